"""Control messages between nodes.

The wire encoding is in ``bamboonotch_wire``; these types are what the reducer sees.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.member_record import MemberRecord

__all__ = [
    "Heartbeat",
    "MemberDigests",
    "MemberRequest",
    "MemberUpdate",
    "MemberVersion",
    "Message",
    "SnapshotChunk",
    "Suspicion",
    "VersionAnnounce",
    "VersionPush",
    "VersionRequest",
    "WitnessAck",
    "WitnessQuery",
    "WitnessRecord",
    "WitnessReply",
    "WitnessWrite",
]


class Message:
    """Base class of control messages."""


@dataclass(frozen=True)
class Heartbeat(Message):
    """Proof of life, and what is needed to notice a difference.

    :param held_version: newest version that the sender holds.
    :param running_version: version that the sender runs.
    :param membership_digest: 64-bit digest of the sender's membership map.
    :param serving: whether the sender serves requests.
    :param confirmed_revision: revision of the store as of which the confirmed version was the
        newest; 0 while that is not known.
    :param confirmed_age_ms: time since the store stated that, in milliseconds, or ``None``.
    :param store_epoch: newest epoch of the store that the sender knows of, in which it was stated;
        0 if the store states none.
    :param number: number of this heartbeat on its link, from 1; 0 from a peer of a version without
        numbers.
    :param echo: number of the last heartbeat that the sender has received on the link; 0 before
        any.
    :param confirmed_version: the version that the confirmation is of, when it is not the held one:
        a newer one that was refused. 0 for the held one.
    :param lost_store: whether the sender is to watch the store for its region, and has no answer in
        time.
    """

    held_version: int
    running_version: int
    membership_digest: int
    serving: bool
    confirmed_revision: int = 0
    confirmed_age_ms: int | None = None
    store_epoch: int = 0
    number: int = 0
    echo: int = 0
    confirmed_version: int = 0
    lost_store: bool = False


@dataclass(frozen=True)
class VersionPush(Message):
    """One log entry.

    :param version: number of the version.
    :param entry: the entry as the store keeps it (zlib-compressed JSON).
    """

    version: int
    entry: bytes


@dataclass(frozen=True)
class VersionAnnounce(Message):
    """The sender holds this version and all before it.

    :param version: number of the version.
    :param store_epoch: newest epoch of the store that the sender knows of; 0 if the store states
        none.
    """

    version: int
    store_epoch: int = 0


@dataclass(frozen=True)
class VersionRequest(Message):
    """Asks for all log entries after a version, or for a snapshot when they are too many.

    :param after_version: newest version that the asker holds.
    """

    after_version: int


@dataclass(frozen=True)
class SnapshotChunk(Message):
    """One piece of a snapshot.

    :param version: version of the snapshot.
    :param digest: SHA-256 of the document's canonical JSON, hexadecimal.
    :param index: number of this piece, from 0.
    :param count: number of pieces.
    :param data: bytes of this piece of the compressed document.
    """

    version: int
    digest: str
    index: int
    count: int
    data: bytes


@dataclass(frozen=True)
class MemberUpdate(Message):
    """Member records that are new to the sender or that the receiver asked for.

    :param records: the records.
    """

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True)
class MemberDigests(Message):
    """Digests of the sender's membership map, to find where two maps differ.

    :param digests: pairs of data centre and 64-bit digest.
    """

    digests: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class MemberVersion:
    """Names one state of one member's record.

    :param node_id: the member.
    :param incarnation: its incarnation.
    :param sequence: its sequence number within the incarnation.
    :param state_rank: rank of its state, see :func:`state_rank`.
    """

    node_id: str
    incarnation: int
    sequence: int
    state_rank: int


@dataclass(frozen=True)
class MemberRequest(Message):
    """Asks for the records of some data centres that differ from those listed.

    :param data_centres: the data centres.
    :param known: what the asker holds of them.
    """

    data_centres: tuple[str, ...]
    known: tuple[MemberVersion, ...]


@dataclass(frozen=True)
class Suspicion(Message):
    """One node's report that a neighbour does not answer.

    :param node_id: the suspected member.
    :param incarnation: its incarnation as the reporter knows it.
    :param sequence: its sequence number as the reporter knows it.
    :param reporter: node id of the reporter.
    """

    node_id: str
    incarnation: int
    sequence: int
    reporter: str


@dataclass(frozen=True)
class WitnessRecord:
    """What a node was about to run, as its witnesses remember it.

    :param node_id: the node.
    :param incarnation: its incarnation.
    :param sequence: counts the records of one incarnation.
    :param version: the version.
    :param witnesses: node ids of the witnesses of this record.
    """

    node_id: str
    incarnation: int
    sequence: int
    version: int
    witnesses: tuple[str, ...]


@dataclass(frozen=True)
class WitnessWrite(Message):
    """Asks a neighbour to remember a record.

    :param record: the record.
    """

    record: WitnessRecord


@dataclass(frozen=True)
class WitnessAck(Message):
    """Answers a write with the newest record held, which is a newer one when the write is refused.

    :param record: the newest record held of that node.
    """

    record: WitnessRecord


@dataclass(frozen=True)
class WitnessQuery(Message):
    """Asks for the record of a restarted node.

    :param node_id: the restarted node.
    """

    node_id: str


@dataclass(frozen=True)
class WitnessReply(Message):
    """Answers a query.

    :param node_id: the node asked about.
    :param record: its newest record, or ``None`` when this process holds none.
    :param held_version: newest version that the sender holds.
    """

    node_id: str
    record: WitnessRecord | None
    held_version: int
