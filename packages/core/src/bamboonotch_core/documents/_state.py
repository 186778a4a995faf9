"""State of the part that follows whole documents."""

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

__all__ = ["DocumentReading", "DocumentState", "EncodedDocument", "make_document_state"]


@dataclass(frozen=True)
class DocumentReading:
    """The one read of the source in progress, and when the next one may start.

    :param revision: revision of the source to wait after; 0 reads at once.
    :param pending: whether a read is in progress.
    :param failures: reads in a row without a good answer.
    :param not_before_ms: earliest start of the next read, in milliseconds.
    """

    revision: int = 0
    pending: bool = False
    failures: int = 0
    not_before_ms: float = 0.0


@dataclass(frozen=True)
class EncodedDocument:
    """A document as it travels to peers.

    :param version: its version; -1 for none.
    :param digest: SHA-256 of its canonical JSON, hexadecimal.
    :param data: its compressed canonical JSON.
    """

    version: int = -1
    digest: str = ""
    data: bytes = b""


@dataclass(frozen=True)
class DocumentState:
    """Everything that this part remembers. A version runs as soon as it is held.

    :param settings: the node's settings.
    :param held_version: newest version held.
    :param held_document: its document.
    :param running_configuration: its configuration.
    :param serving: whether this node knows a configuration.
    :param not_serving_reason: why not; empty while it serves.
    :param source: where the version came from: ``store``, ``peer`` or ``start``.
    :param source_node_id: the peer that it came from, or empty.
    :param held_ms: when it was held, in milliseconds.
    :param store_reachable: whether the last read was answered.
    :param reading: the read in progress.
    :param changes_ms: when the store last answered with a newer version, oldest first, in
        milliseconds.
    :param encoded: the document as it was last sent to a peer.
    :param peer_versions: newest version that the peer of each link says it holds.
    :param behind_since_ms: since when a peer is known to hold a newer version, or ``None``.
    :param asked_ms: when a peer was last asked for a version, in milliseconds.
    :param refused: versions whose documents were bad, oldest first.
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
    changes_ms: tuple[float, ...] = ()
    encoded: EncodedDocument = EncodedDocument()
    peer_versions: Map[str, int] = Map()
    behind_since_ms: float | None = None
    asked_ms: float = float("-inf")
    refused: tuple[int, ...] = ()

    @property
    def running_version(self) -> int:
        """The version that runs, which is the newest held."""
        return self.held_version


def make_document_state(settings: NodeSettings) -> DocumentState:
    """Return the state of a process that has just started.

    :param settings: the node's settings.
    """
    return DocumentState(settings)
