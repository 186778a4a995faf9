"""State of the distribution reducer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.configuration import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    Configuration,
    Document,
)
from bamboonotch_core.distribution._witness_register import WitnessRegister
from bamboonotch_core.distribution._witness_storage import WitnessStorage
from bamboonotch_core.events import StoreOperation
from bamboonotch_core.messages import WitnessRecord
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "Candidate",
    "DistributionState",
    "PeerVersions",
    "PendingRequest",
    "Recovery",
    "SentWrite",
    "SnapshotAssembly",
    "Source",
    "StoreReading",
    "WitnessLinks",
    "make_distribution_state",
]


@dataclass(frozen=True)
class Source:
    """The origin of a version.

    :param kind: ``store``, ``delta`` or ``snapshot``; ``start`` before any version is held.
    :param node_id: the peer that sent the version, or empty for other kinds.
    :param region: the peer's region, or empty.
    :param link_id: the link that the version came over, or empty.
    """

    kind: str
    node_id: str = ""
    region: str = ""
    link_id: str = ""


@dataclass(frozen=True)
class StoreReading:
    """The one store read in progress, and when the next one may start.

    :param pending: the read in progress, or ``None``.
    :param pending_since_ms: start of the read in progress, on the monotonic clock in milliseconds.
    :param pending_wait_ms: longest time that its answer may take, in milliseconds.
    :param failures: reads since the last valid answer that got no answer or an invalid one.
    :param not_before_ms: earliest start of the next read, on the monotonic clock in milliseconds.
    :param reread_from_snapshot: whether the next read starts from the stored snapshot, because an
        entry did not fit the held document.
    """

    pending: StoreOperation | None = None
    pending_since_ms: float = 0.0
    pending_wait_ms: float = 0.0
    failures: int = 0
    not_before_ms: float = 0.0
    reread_from_snapshot: bool = False


@dataclass(frozen=True)
class PeerVersions:
    """The versions of the peer at the other end of a link, as far as they are known.

    :param held_version: newest version that the peer stated or sent.
    :param unanswered: consecutive requests that the peer did not answer.
    :param refused_version: newest version of which the peer sent an invalid copy, or 0.
    """

    held_version: int = 0
    unanswered: int = 0
    refused_version: int = 0


@dataclass(frozen=True)
class PendingRequest:
    """The request for versions that waits for its answer.

    :param link_id: the link that the request was sent over.
    :param target_version: version that the peer held when the request was sent.
    :param sent_ms: when the request was sent, on the monotonic clock in milliseconds.
    :param asked_ms: when the request was sent or last made progress, on the same clock.
    """

    link_id: str
    target_version: int
    sent_ms: float
    asked_ms: float


@dataclass(frozen=True)
class SnapshotAssembly:
    """The snapshot being received.

    :param link_id: the link that the chunks come over.
    :param digest: SHA-256 of the document's canonical JSON, hexadecimal.
    :param count: number of chunks of the snapshot.
    :param chunks: the chunks received so far, by index.
    """

    link_id: str
    version: int
    digest: str
    count: int
    chunks: Map[int, bytes] = Map()


@dataclass(frozen=True)
class Recovery:
    """The queries to witnesses after a restart while the store does not answer.

    :param asked: when each node was last queried, on the monotonic clock in milliseconds, by id.
    :param replies: the record that each node replied with, by id; ``None`` if it holds none.
    """

    asked: Map[str, float] = Map()
    replies: Map[str, WitnessRecord | None] = Map()


@dataclass(frozen=True)
class SentWrite:
    """The last record written to one witness.

    :param incarnation: incarnation of the record.
    :param sequence: sequence number of the record.
    :param sent_ms: when it was sent, on the monotonic clock in milliseconds.
    """

    link_id: str
    incarnation: int
    sequence: int
    sent_ms: float


@dataclass(frozen=True)
class WitnessLinks:
    """Writes and links to the witnesses, by node id; times are on the monotonic clock.

    :param sent: last write to each node.
    :param incarnations: incarnation of each witness on its last link.
    :param unlinked_ms: when each witness without a link lost it, in milliseconds.
    :param dialled_ms: when each node without a link was last dialled, in milliseconds.
    """

    sent: Map[str, SentWrite] = Map()
    incarnations: Map[str, int] = Map()
    unlinked_ms: Map[str, float] = Map()
    dialled_ms: Map[str, float] = Map()


@dataclass(frozen=True)
class Candidate:
    """A version that waits for its witnesses before it runs.

    :param held_ms: when this node held the version, on the monotonic clock in milliseconds.
    :param since_ms: when the wait began, on the same clock.
    :param reported: whether the wait has been reported.
    """

    version: int
    configuration: Configuration
    source: Source
    held_ms: float
    since_ms: float
    reported: bool = False


@dataclass(frozen=True)
class DistributionState:
    """State of the distribution reducer; all times are on the monotonic clock.

    :param seed: state of the pseudo-random generator for jitter.
    :param register: this node's own witness record.
    :param held_version: newest version that this node holds and has checked.
    :param held_document: document of the held version.
    :param held_configuration: configuration of the held version.
    :param held_source: origin of the held version.
    :param held_ms: when this node held that version, in milliseconds.
    :param running_version: version that runs; meaningful only while ``serving``.
    :param running_configuration: configuration of the running version.
    :param serving: whether this node runs a version and serves requests with it.
    :param not_serving_reason: why this node does not serve, lower case with dashes; empty while it
        serves.
    :param store_reachable: whether the last store read was answered.
    :param started_ms: when the first event came, in milliseconds, or ``None`` before it.
    :param proven_version: a version at least as new as any that this node ran, or ``None``.
    :param proof: what proved that version: ``store`` or ``witnesses``; empty before.
    :param witnessed_version: highest version in a record of an earlier process of this node that a
        witness returned instead of an acknowledgement.
    :param entries: log entries kept for neighbours by version, without gaps up to the held one.
    :param store: the store read in progress and the time of the next one.
    :param peers: versions of the peer of each link, by link id.
    :param wanted: the request for versions in progress, or ``None``.
    :param last_asked: link that the last request was sent over.
    :param last_asked_ms: when the last request was sent, in milliseconds.
    :param assembly: the snapshot being received, or ``None``.
    :param snapshots_sent: version and time, in milliseconds, of the last snapshot sent over each
        link.
    :param encoded_snapshot: version and compressed document of the last encoded snapshot.
    :param stored_snapshot_version: newest snapshot known to be in the store.
    :param refused: versions and BLAKE2b digests of invalid copies already reported, oldest first.
    :param recovery: queries to witnesses after a restart.
    :param storage: witness records kept for other nodes.
    :param witness_links: writes and links to this node's witnesses.
    :param candidate: version that waits for its witnesses, or ``None``.
    """

    settings: NodeSettings
    seed: int
    register: WitnessRegister
    held_version: int = 0
    held_document: Document = field(default_factory=lambda: EMPTY_DOCUMENT)
    held_configuration: Configuration = EMPTY_CONFIGURATION
    held_source: Source = Source("start")
    held_ms: float = 0.0
    running_version: int = 0
    running_configuration: Configuration = EMPTY_CONFIGURATION
    serving: bool = False
    not_serving_reason: str = "starting"
    store_reachable: bool = True
    started_ms: float | None = None
    proven_version: int | None = None
    proof: str = ""
    witnessed_version: int = 0
    entries: Map[int, bytes] = Map()
    store: StoreReading = StoreReading()
    peers: Map[str, PeerVersions] = Map()
    wanted: PendingRequest | None = None
    last_asked: str = ""
    last_asked_ms: float = float("-inf")
    assembly: SnapshotAssembly | None = None
    snapshots_sent: Map[str, tuple[int, float]] = Map()
    encoded_snapshot: tuple[int, bytes] = (-1, b"")
    stored_snapshot_version: int = 0
    refused: tuple[tuple[int, str], ...] = ()
    recovery: Recovery = Recovery()
    storage: WitnessStorage = WitnessStorage()
    witness_links: WitnessLinks = WitnessLinks()
    candidate: Candidate | None = None


def make_distribution_state(settings: NodeSettings, incarnation: int) -> DistributionState:
    """Return the state of a process that has just started.

    :param incarnation: the process's incarnation, which also seeds the generator for jitter.
    """
    name = f"{settings.identity.node_id}/{incarnation}".encode()
    seed = int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")
    register = WitnessRegister(settings.identity.node_id, incarnation)
    return DistributionState(settings=settings, seed=seed, register=register)
