"""Events of the control part: everything that can happen to a node besides requests.

``now_ms`` is the node's monotonic clock in milliseconds on every event.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.configuration import Document
from bamboonotch_core.messages import Message
from bamboonotch_core.settings import IdentitySettings

__all__ = [
    "BackendServerAnnounced",
    "BackendServerStated",
    "DepartureRecalled",
    "DocumentRead",
    "DocumentRefused",
    "DocumentUnchanged",
    "DrainRequested",
    "Event",
    "IdentityChanged",
    "LinkClosed",
    "LinkFailed",
    "LinkOpened",
    "MessageReceived",
    "PeerIdentity",
    "ShutdownRequested",
    "SlotHolder",
    "SlotLost",
    "SlotObtained",
    "SlotsRead",
    "StoreEntryRead",
    "StoreEpochSeen",
    "StoreNewestRead",
    "StoreOperation",
    "StoreReadFailed",
    "Tick",
    "UndrainRequested",
]


@dataclass(frozen=True)
class Event:
    """Base class of events.

    :param now_ms: monotonic clock, in milliseconds.
    """

    now_ms: float


@dataclass(frozen=True)
class Tick(Event):
    """Comes every 100 ms; drives every timeout.

    :param owned_attempts: attempts at the local backend server, until the last byte of their
        responses has left this node.
    """

    owned_attempts: int = 0


@dataclass(frozen=True)
class PeerIdentity:
    """Who is at the other end of a link, from its first message.

    :param node_id: the peer.
    :param incarnation: its incarnation.
    :param region: its region.
    :param data_centre: its data centre.
    :param peer_address: ``ip:port`` where it takes streams.
    """

    node_id: str
    incarnation: int
    region: str
    data_centre: str
    peer_address: str


@dataclass(frozen=True)
class LinkOpened(Event):
    """A control stream is open in both directions and the peer has named itself.

    :param link_id: unique id of the stream within this process.
    :param peer: who is at the other end.
    :param outbound: whether this node dialled.
    """

    link_id: str
    peer: PeerIdentity
    outbound: bool


@dataclass(frozen=True)
class LinkClosed(Event):
    """An open control stream ended.

    :param link_id: the stream.
    :param reason: why, for the log.
    """

    link_id: str
    reason: str


@dataclass(frozen=True)
class LinkFailed(Event):
    """A control stream could not be opened.

    :param address: the address dialled.
    :param reason: why, for the log.
    """

    address: str
    reason: str


@dataclass(frozen=True)
class MessageReceived(Event):
    """A control message arrived.

    :param link_id: the stream.
    :param message: the message.
    """

    link_id: str
    message: Message


@dataclass(frozen=True)
class StoreOperation:
    """Names a store read, so that its failure can be told from others.

    :param name: ``read-newest``, ``read-entry``, ``watch-entry``, ``watch-document`` or
        ``read-slots``.
    :param version: the version asked for, or 0.
    """

    name: str
    version: int = 0


@dataclass(frozen=True)
class StoreEntryRead(Event):
    """A read or watch of one log entry was answered.

    :param version: the version asked for.
    :param data: the entry's bytes, or ``None`` when the entry does not exist.
    """

    version: int
    data: bytes | None


@dataclass(frozen=True)
class StoreNewestRead(Event):
    """The newest snapshot and every log entry after it were read, up to an absent one.

    :param snapshot_version: version of the snapshot, 0 when there is none.
    :param snapshot_digest: SHA-256 of the snapshot's canonical JSON, hexadecimal, or empty.
    :param snapshot: the compressed document, or empty.
    :param entries: the entries after it, in order.
    """

    snapshot_version: int
    snapshot_digest: str
    snapshot: bytes
    entries: tuple[bytes, ...]


@dataclass(frozen=True)
class DocumentRead(Event):
    """A read or watch of the newest whole document brought it.

    :param version: its version.
    :param document: the document.
    :param revision: revision of the source to wait after; 0 if that is not known.
    :param epoch: epoch of the source; 0 if it states none.
    :param age_ms: how long before ``now_ms`` the answer is certain to have held, in milliseconds.
    """

    version: int
    document: Document
    revision: int
    epoch: int = 0
    age_ms: float = 0.0


@dataclass(frozen=True)
class DocumentRefused(Event):
    """What the source holds cannot be read as a document.

    :param reason: why, for the log.
    :param revision: revision of the source to wait after; 0 if that is not known.
    :param epoch: epoch of the source; 0 if it states none.
    :param age_ms: how long before ``now_ms`` the answer is certain to have held, in milliseconds.
    :param version: version of the document; 0 if it cannot be read either.
    """

    reason: str
    revision: int
    epoch: int = 0
    age_ms: float = 0.0
    version: int = 0


@dataclass(frozen=True)
class DocumentUnchanged(Event):
    """A read or watch ended without a document.

    :param revision: revision of the source to wait after; 0 if that is not known.
    :param epoch: epoch of the source; 0 if it states none.
    :param age_ms: how long before ``now_ms`` the answer is certain to have held, in milliseconds.
    """

    revision: int
    epoch: int = 0
    age_ms: float = 0.0


@dataclass(frozen=True)
class StoreEpochSeen(Event):
    """A call of the store that reads no document was answered in a newer epoch than the last.

    :param epoch: the epoch.
    """

    epoch: int


@dataclass(frozen=True)
class StoreReadFailed(Event):
    """A store read got no answer.

    :param operation: what was asked.
    :param reason: why, for the log.
    """

    operation: StoreOperation
    reason: str


@dataclass(frozen=True)
class SlotHolder:
    """One held relay slot, as the store lists it.

    :param data_centre: data centre of the slot.
    :param slot: number of the slot.
    :param peer_address: ``ip:port`` of the holder.
    """

    data_centre: str
    slot: int
    peer_address: str


@dataclass(frozen=True)
class SlotsRead(Event):
    """The list of relay slots was read.

    :param holders: the held slots.
    """

    holders: tuple[SlotHolder, ...]


@dataclass(frozen=True)
class SlotObtained(Event):
    """This node obtained a relay slot.

    :param slot: number of the slot.
    """

    slot: int


@dataclass(frozen=True)
class SlotLost(Event):
    """This node's lease on its relay slot ended or could not be renewed in time."""


@dataclass(frozen=True)
class BackendServerAnnounced(Event):
    """The backend server beside this node announced itself.

    :param service: its service.
    :param address: ``ip:port`` where it takes requests.
    :param slots: requests that it runs at once.
    :param state: ``ready``, ``draining`` or ``stopped``.
    :param instance_id: id of its process, or empty when it gives none.
    :param started_unix_ms: when its process started, in milliseconds since 1970, or 0.
    :param sequence: rises with each announcement of one process; ``None`` when not given.
    :param cold_ms: how much longer it is slow after its start, in milliseconds.
    :param heard_unix_ms: when this node heard it, in milliseconds since 1970, or 0 when not noted.
    :param leaving: whether a response of the process said that it leaves; then it does not get
        ready again.
    :param software_version: version of its software, or empty when it states none.
    """

    service: str
    address: str
    slots: int
    state: str
    instance_id: str = ""
    started_unix_ms: int = 0
    sequence: int | None = None
    cold_ms: float = 0.0
    heard_unix_ms: int = 0
    leaving: bool = False
    software_version: str = ""


@dataclass(frozen=True)
class BackendServerStated(Event):
    """The backend server beside this node said something of itself in a response.

    :param instance_id: id of the process that the request was meant for, or empty.
    :param started_unix_ms: when that process started, in milliseconds since 1970, or 0.
    :param rate_limit_per_s: requests a second that it takes from all nodes together; ``None`` when
        it names no limit.
    :param leaving: whether it leaves and takes no new requests.
    """

    instance_id: str
    started_unix_ms: int
    rate_limit_per_s: float | None
    leaving: bool = False


@dataclass(frozen=True)
class DepartureRecalled(Event):
    """An earlier process of this node had acknowledged that a backend server leaves.

    :param announcement: what the backend server had said, of which the time is not used.
    """

    announcement: BackendServerAnnounced


@dataclass(frozen=True)
class IdentityChanged(Event):
    """The settings of this node were read again.

    :param identity: section ``[node]`` of the settings.
    """

    identity: IdentitySettings


@dataclass(frozen=True)
class DrainRequested(Event):
    """An operator asked this node to take no new work for its backend server."""


@dataclass(frozen=True)
class UndrainRequested(Event):
    """An operator asked this node to take work again."""


@dataclass(frozen=True)
class ShutdownRequested(Event):
    """The process was asked to end."""
