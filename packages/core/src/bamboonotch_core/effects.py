"""Effects of the control part: what the runtime does for the reducer."""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.messages import Message

__all__ = [
    "CloseLink",
    "CompeteForSlot",
    "CountEvent",
    "Effect",
    "KeepDeparture",
    "OpenLink",
    "ReadNewest",
    "ReadSlots",
    "RegisterAgain",
    "Report",
    "SendMessage",
    "StopCompeting",
    "StopProcess",
    "WatchDocument",
    "WatchEntry",
    "WriteSnapshot",
]


class Effect:
    """Base class of effects."""


@dataclass(frozen=True)
class SendMessage(Effect):
    """Send a control message; dropped without notice when the link has closed.

    :param link_id: the stream.
    :param message: the message.
    """

    link_id: str
    message: Message


@dataclass(frozen=True)
class OpenLink(Effect):
    """Dial a peer; answered by ``LinkOpened`` or ``LinkFailed``.

    :param address: ``ip:port`` to dial.
    """

    address: str


@dataclass(frozen=True)
class CloseLink(Effect):
    """Close a control stream; answered by ``LinkClosed``.

    :param link_id: the stream.
    :param reason: why, for the log.
    """

    link_id: str
    reason: str


@dataclass(frozen=True)
class ReadNewest(Effect):
    """Read the newest version; answered by ``StoreNewestRead`` or ``StoreReadFailed``."""


@dataclass(frozen=True)
class WatchEntry(Effect):
    """Wait for a log entry; answered by ``StoreEntryRead`` or ``StoreReadFailed``.

    The answer carries no data when the wait ended without the entry.

    :param version: the version.
    :param wait_ms: longest wait, in milliseconds; 0 reads at once.
    """

    version: int
    wait_ms: int


@dataclass(frozen=True)
class WatchDocument(Effect):
    """Read the newest whole document, or wait for a newer one.

    Answered by ``DocumentRead``, ``DocumentRefused``, ``DocumentUnchanged`` or
    ``StoreReadFailed``.

    A later effect replaces one that is not yet answered.

    :param revision: revision of the source to wait after; 0 reads at once.
    :param wait_ms: longest wait, in milliseconds.
    :param epoch: epoch of the source in which it had that revision.
    """

    revision: int
    wait_ms: int
    epoch: int = 0


@dataclass(frozen=True)
class WriteSnapshot(Effect):
    """Write a snapshot; nothing is answered, and a failure is only reported.

    :param version: version of the snapshot.
    :param digest: SHA-256 of the document's canonical JSON, hexadecimal.
    :param data: the compressed document.
    """

    version: int
    digest: str
    data: bytes


@dataclass(frozen=True)
class ReadSlots(Effect):
    """Read the list of relay slots; answered by ``SlotsRead`` or ``StoreReadFailed``."""


@dataclass(frozen=True)
class CompeteForSlot(Effect):
    """Keep trying to hold one of the relay slots of this node's data centre.

    Answered by ``SlotObtained`` and ``SlotLost`` as they happen.
    """


@dataclass(frozen=True)
class CountEvent(Effect):
    """Count an event that was reported before, without another line in the log.

    :param name: name of the report.
    """

    name: str


@dataclass(frozen=True)
class KeepDeparture(Effect):
    """Keep what a leaving backend server has said beyond the life of this process.

    Answered by ``DepartureRecalled`` in the next process of this node.

    :param announcement: what it said.
    """

    announcement: BackendServerAnnounced


@dataclass(frozen=True)
class RegisterAgain(Effect):
    """Write the entry by which others find this node again, unless its lease is of this epoch.

    :param epoch: newest epoch of the store.
    """

    epoch: int


@dataclass(frozen=True)
class Report(Effect):
    """Record one event in the log, the explain buffer and the metrics.

    :param name: name of the event, lower case with dashes.
    :param fields: pairs of field name and value.
    """

    name: str
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()


@dataclass(frozen=True)
class StopCompeting(Effect):
    """Stop trying to hold a relay slot; nothing is answered."""


@dataclass(frozen=True)
class StopProcess(Effect):
    """End the process; all work in flight is done or its time is up."""
