"""State of the distribution part."""

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
    "PeerKnowledge",
    "Recovery",
    "SentWrite",
    "SnapshotAssembly",
    "Source",
    "StoreReading",
    "VersionWanted",
    "WitnessLinks",
    "make_distribution_state",
]


@dataclass(frozen=True)
class Source:
    """Where a version came from.

    :param kind: ``store``, ``delta`` or ``snapshot``.
    :param node_id: the peer that sent it, or empty.
    :param region: the peer's region, or empty.
    :param link_id: the stream that it came over, or empty.
    """

    kind: str
    node_id: str = ""
    region: str = ""
    link_id: str = ""


@dataclass(frozen=True)
class StoreReading:
    """The one store read in progress, and when the next one may start.

    :param pending: the read in progress, or ``None``.
    :param pending_since_ms: when it was started, in milliseconds.
    :param pending_wait_ms: how long its answer may take, in milliseconds.
    :param failures: reads without an answer or with a bad one since the last good one.
    :param not_before_ms: earliest start of the next read, in milliseconds.
    :param read_whole: whether the next read takes the snapshot too, because an entry did not fit
        the document held.
    """

    pending: StoreOperation | None = None
    pending_since_ms: float = 0.0
    pending_wait_ms: float = 0.0
    failures: int = 0
    not_before_ms: float = 0.0
    read_whole: bool = False


@dataclass(frozen=True)
class PeerKnowledge:
    """What this node knows of the versions at the other end of a link.

    :param held_version: newest version that the peer said it holds.
    :param unanswered: requests in a row that it did not answer.
    :param refused_version: newest version whose copy from it was bad, or 0.
    """

    held_version: int = 0
    unanswered: int = 0
    refused_version: int = 0


@dataclass(frozen=True)
class VersionWanted:
    """The request for versions in progress.

    :param link_id: the stream that it was sent over.
    :param target_version: version that the peer held when it was asked.
    :param sent_ms: when it was sent, in milliseconds.
    :param asked_ms: when it was sent, or last made progress, in milliseconds.
    """

    link_id: str
    target_version: int
    sent_ms: float
    asked_ms: float


@dataclass(frozen=True)
class SnapshotAssembly:
    """The snapshot being received.

    :param link_id: the stream that it comes over.
    :param version: its version.
    :param digest: its digest.
    :param count: number of its chunks.
    :param chunks: the chunks so far, by number.
    """

    link_id: str
    version: int
    digest: str
    count: int
    chunks: Map[int, bytes] = Map()


@dataclass(frozen=True)
class Recovery:
    """The questions to witnesses after a restart without the store.

    :param asked: when each node was last asked, in milliseconds.
    :param replies: the answers so far.
    """

    asked: Map[str, float] = Map()
    replies: Map[str, WitnessRecord | None] = Map()


@dataclass(frozen=True)
class SentWrite:
    """The last write sent to one witness.

    :param link_id: the stream.
    :param incarnation: incarnation of the record.
    :param sequence: sequence number of the record.
    :param sent_ms: when, in milliseconds.
    """

    link_id: str
    incarnation: int
    sequence: int
    sent_ms: float


@dataclass(frozen=True)
class WitnessLinks:
    """What the register's writes need to know of links.

    :param sent: last write to each node.
    :param incarnations: incarnation of each witness when it was last linked.
    :param unlinked_ms: when a witness lost its link, in milliseconds.
    :param dialled_ms: when a former witness without a link was last dialled, in milliseconds.
    """

    sent: Map[str, SentWrite] = Map()
    incarnations: Map[str, int] = Map()
    unlinked_ms: Map[str, float] = Map()
    dialled_ms: Map[str, float] = Map()


@dataclass(frozen=True)
class Candidate:
    """A version that waits for its witnesses before it runs.

    :param version: the version.
    :param configuration: its configuration.
    :param source: where it came from.
    :param held_ms: when it was held, in milliseconds.
    :param since_ms: when the wait began, in milliseconds.
    :param reported: whether the wait was reported.
    """

    version: int
    configuration: Configuration
    source: Source
    held_ms: float
    since_ms: float
    reported: bool = False


@dataclass(frozen=True)
class DistributionState:
    """Everything that the distribution part remembers.

    :param settings: the node's settings.
    :param seed: state of the generator for jitter.
    :param register: this node's own witness record.
    :param held_version: newest version that this node holds and has checked.
    :param held_document: its document.
    :param held_configuration: its configuration.
    :param held_source: where it came from.
    :param held_ms: when it was held, in milliseconds.
    :param running_version: version that runs; meaningful while ``serving``.
    :param running_configuration: its configuration.
    :param serving: whether this node serves.
    :param not_serving_reason: why not, lower case with dashes; empty while it serves.
    :param store_reachable: whether the last store read was answered.
    :param started_ms: when the first event came, in milliseconds, or ``None``.
    :param proven_version: a version at least as new as any that this node ran, or ``None``.
    :param proof: where that is known from: ``store`` or ``witnesses``.
    :param witnessed_version: highest version of a record of an earlier life that turned up.
    :param entries: log entries kept for neighbours, without gaps up to the held version.
    :param store: the store read in progress.
    :param peers: knowledge of each link's peer.
    :param wanted: the request for versions in progress.
    :param last_asked: link asked last.
    :param last_asked_ms: when it was asked, in milliseconds.
    :param assembly: the snapshot being received.
    :param snapshots_sent: version and time of the last snapshot sent over each link.
    :param encoded_snapshot: version and bytes of the last encoded snapshot.
    :param stored_snapshot_version: newest snapshot known to be in the store.
    :param refused: versions and digests of bad copies already reported, oldest first.
    :param recovery: questions to witnesses after a restart.
    :param storage: witness records kept for others.
    :param witness_links: links to this node's witnesses.
    :param candidate: version that waits for its witnesses.
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
    peers: Map[str, PeerKnowledge] = Map()
    wanted: VersionWanted | None = None
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

    :param settings: the node's settings.
    :param incarnation: the process's incarnation.
    """
    name = f"{settings.identity.node_id}/{incarnation}".encode()
    seed = int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")
    register = WitnessRegister(settings.identity.node_id, incarnation)
    return DistributionState(settings=settings, seed=seed, register=register)
