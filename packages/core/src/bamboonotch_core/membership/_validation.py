"""Checks of announcements, records and peers that come from outside this node."""

from __future__ import annotations

import re

from bamboonotch_core.events import BackendServerAnnounced, PeerIdentity
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.messages import Suspicion

__all__ = [
    "ANNOUNCED_STATES",
    "MAX_COUNTER",
    "find_address_fault",
    "find_announcement_fault",
    "find_peer_fault",
    "find_record_fault",
    "find_suspicion_fault",
]

MAX_SLOTS = 10_000
MAX_RELAY_SLOT = 1_000
# Leaves room for raising a counter that a faulty peer has driven to its limit.
MAX_COUNTER = 1 << 62
ANNOUNCED_STATES = {
    "ready": MemberState.READY,
    "draining": MemberState.DRAINING,
    "stopped": MemberState.STOPPED,
}

_SERVICE = re.compile(r"[a-z0-9-]{1,64}")
_NAME = re.compile(r"[!-~]{1,128}")
_ADDRESS = re.compile(r"[!-~]{1,120}:[0-9]{1,5}")


def find_announcement_fault(event: BackendServerAnnounced) -> str:
    """Return what is wrong with an announcement, or an empty string.

    :param event: the announcement.
    """
    if not _SERVICE.fullmatch(event.service):
        return "service must be 1 to 64 characters of a-z, 0-9 and -"
    if not 1 <= event.slots <= MAX_SLOTS:
        return f"slots must be 1 to {MAX_SLOTS}"
    if event.state not in ANNOUNCED_STATES:
        return "state must be ready, draining or stopped"
    if not _is_address(event.address):
        return "address must be ip:port"
    return ""


def find_address_fault(address: str) -> str:
    """Return what is wrong with an address, or an empty string.

    :param address: the address.
    """
    return "" if _is_address(address) else "address must be ip:port"


def find_suspicion_fault(suspicion: Suspicion) -> str:
    """Return what is wrong with a suspicion, or an empty string.

    :param suspicion: the suspicion.
    """
    if not 1 <= suspicion.incarnation < MAX_COUNTER:
        return "incarnation out of range"
    if not 0 <= suspicion.sequence < MAX_COUNTER:
        return "sequence out of range"
    if suspicion.node_id == suspicion.reporter:
        return "reporter is the suspect"
    return ""


def find_peer_fault(peer: PeerIdentity) -> str:
    """Return what is wrong with a peer's identity, or an empty string.

    :param peer: the identity.
    """
    if not 1 <= peer.incarnation < MAX_COUNTER:
        return "incarnation out of range"
    return _find_place_fault(peer.node_id, peer.region, peer.data_centre, peer.peer_address)


def find_record_fault(record: MemberRecord) -> str:
    """Return what is wrong with a member record, or an empty string.

    :param record: the record.
    """
    if not 1 <= record.incarnation < MAX_COUNTER:
        return "incarnation out of range"
    if not 0 <= record.sequence < MAX_COUNTER:
        return "sequence out of range"
    if record.service and not _SERVICE.fullmatch(record.service):
        return "malformed service"
    if not (1 if record.service else 0) <= record.slots <= MAX_SLOTS:
        return "slots out of range"
    if not -1 <= record.relay_slot <= MAX_RELAY_SLOT:
        return "relay slot out of range"
    if record.state is MemberState.READY and not record.service:
        return "ready without a service"
    if not _is_address(record.http_address) or not _is_address(record.admin_address):
        return "malformed address"
    return _find_place_fault(record.node_id, record.region, record.data_centre, record.peer_address)


def _find_place_fault(node_id: str, region: str, data_centre: str, peer_address: str) -> str:
    if not _NAME.fullmatch(node_id):
        return "malformed node id"
    if not _NAME.fullmatch(region) or not _NAME.fullmatch(data_centre):
        return "malformed region or data centre"
    if not _is_address(peer_address):
        return "malformed peer address"
    return ""


def _is_address(address: str) -> bool:
    if not _ADDRESS.fullmatch(address):
        return False
    return 1 <= int(address.rpartition(":")[2]) <= 65535
