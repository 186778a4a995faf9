"""State of the document reducer."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.configuration import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    Configuration,
    Document,
)
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "Confirmation",
    "DocumentReading",
    "DocumentState",
    "EncodedDocument",
    "PeerStatement",
    "make_document_state",
]


@dataclass(frozen=True)
class DocumentReading:
    """The one read of the source in progress, and when the next one may start.

    :param revision: the read waits for a revision of the source after this one; 0 reads at once.
    :param pending: whether a read is in progress.
    :param may_use_confirmed: whether the read may wait for a revision after the confirmed one
        instead; not when the source has dropped its history, or when a whole read is wanted.
    :param failures: consecutive reads that failed.
    :param not_before_ms: earliest start of the next read, on the monotonic clock in milliseconds.
    :param watched_whole: whether the read before lasted as long as it was to wait.
    :param whole_ms: from when on that can be said of the read in progress, on the same clock.
    :param due_ms: when an answer of the source is due at the latest, on the same clock, or ``None``
        while none is.
    """

    revision: int = 0
    pending: bool = False
    may_use_confirmed: bool = True
    failures: int = 0
    not_before_ms: float = 0.0
    watched_whole: bool = False
    whole_ms: float = 0.0
    due_ms: float | None = None


@dataclass(frozen=True)
class Confirmation:
    """What is known of how current a version is.

    :param revision: revision of the source as of which the version was the newest; 0 if that is not
        known.
    :param confirmed_ms: no later than a moment at which the version was the newest one in the
        source, on the monotonic clock in milliseconds, or ``None``.
    """

    revision: int = 0
    confirmed_ms: float | None = None


@dataclass(frozen=True)
class PeerStatement:
    """What a peer stated of a version that is newer than the one held here.

    :param version: version that the peer holds.
    :param confirmation: how current that version is, dated by the clock of this node.
    """

    version: int
    confirmation: Confirmation


@dataclass(frozen=True)
class EncodedDocument:
    """A document encoded for peers.

    :param version: version of the document; -1 if there is no document.
    :param digest: SHA-256 of the document's canonical JSON, hexadecimal.
    :param data: the compressed canonical JSON.
    """

    version: int = -1
    digest: str = ""
    data: bytes = b""


@dataclass(frozen=True)
class DocumentState:
    """State of the document reducer; all times are on the monotonic clock.

    A version runs as soon as it is held.

    :param held_version: newest version held.
    :param held_document: document of the held version.
    :param running_configuration: configuration of the held version.
    :param serving: whether this node knows a configuration.
    :param not_serving_reason: why this node does not serve; empty while it serves.
    :param source: origin of the held version: ``store`` or ``peer``; ``start`` before any.
    :param source_node_id: the peer that sent the held version, or empty.
    :param held_ms: when this node held that version, in milliseconds.
    :param store_reachable: whether the last read was answered.
    :param reading: the read in progress and the time of the next one.
    :param change_times_ms: when the store brought the last newer versions, oldest first, in
        milliseconds.
    :param encoded: the document as it was last sent to a peer.
    :param peer_versions: version that the peer of each link last stated, by link id.
    :param behind_since_ms: since when a peer is known to hold a newer version, in milliseconds, or
        ``None``.
    :param last_request_ms: when a version was last requested from a peer, in milliseconds.
    :param last_request_link: link id of that peer, or empty.
    :param started_ms: when this process took its first event, in milliseconds, or ``None``.
    :param linked_ms: since when this node has had peers, in milliseconds, or ``None`` without any.
    :param reader_missed_ms: since when this node has missed the link to a store reader, in
        milliseconds, or ``None``.
    :param lost_store: whether this node is a store reader without an answer in time.
    :param lost_readers: links to store readers of this region that state that of themselves.
    :param lost_reader_ms: since when there has been any, in milliseconds, or ``None``.
    :param confirmation: how current the newest known version is, held or refused.
    :param peer_statements: the freshest confirmation of a newer version that the peer of each link
        has stated, by link id; it holds here once such a version is held.
    :param store_epoch: newest epoch of the source that is known, to which ``reading`` and
        ``confirmation`` belong; 0 before any, and at a source that states none.
    :param restored_ms: when this node learned that the source was restored, in milliseconds, or
        ``None``.
    :param refused: versions whose documents were invalid, oldest first.
    :param refused_version: newest version that is known to have been refused here or by a peer; it
        supersedes the held one while it is newer. 0 before any.
    :param superseded_confirmed_ms: as of when the held version was known to be the newest before
        that one was refused, in milliseconds, or ``None``.
    """

    settings: NodeSettings
    held_version: int = 0
    held_document: Document = field(default_factory=lambda: EMPTY_DOCUMENT)
    running_configuration: Configuration = EMPTY_CONFIGURATION
    serving: bool = False
    not_serving_reason: str = "starting"
    source: str = "start"
    source_node_id: str = ""
    held_ms: float = 0.0
    store_reachable: bool = True
    reading: DocumentReading = DocumentReading()
    change_times_ms: tuple[float, ...] = ()
    encoded: EncodedDocument = EncodedDocument()
    peer_versions: Map[str, int] = Map()
    behind_since_ms: float | None = None
    last_request_ms: float = float("-inf")
    last_request_link: str = ""
    started_ms: float | None = None
    linked_ms: float | None = None
    reader_missed_ms: float | None = None
    lost_store: bool = False
    lost_readers: frozenset[str] = frozenset()
    lost_reader_ms: float | None = None
    confirmation: Confirmation = Confirmation()
    peer_statements: Map[str, PeerStatement] = Map()
    store_epoch: int = 0
    restored_ms: float | None = None
    refused: tuple[int, ...] = ()
    refused_version: int = 0
    superseded_confirmed_ms: float | None = None

    @property
    def is_superseded(self) -> bool:
        """Whether a version that was refused is newer than the held one."""
        return self.refused_version > self.held_version

    @property
    def newest_version(self) -> int:
        """The newest version that is known, held or refused."""
        return max(self.held_version, self.refused_version)

    @property
    def held_confirmed_ms(self) -> float | None:
        """No later than a moment at which the held version was the newest one, or ``None``."""
        return (
            self.superseded_confirmed_ms if self.is_superseded else self.confirmation.confirmed_ms
        )

    @property
    def running_version(self) -> int:
        """The running version, which is the held one."""
        return self.held_version


def make_document_state(settings: NodeSettings) -> DocumentState:
    """Return the state of a process that has just started."""
    return DocumentState(settings)
