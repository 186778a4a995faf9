"""Validation of announcements, records, suspicions and peer identities from outside this node."""

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
MAX_QUOTA_SHARDS = 256
MAX_COLD_MS = 3_600_000
# Clocks differ by seconds. A start time far ahead would outdate every later announcement.
MAX_CLOCK_LEAD_MS = 3_600_000
# A counter that a faulty peer has raised to this limit can still be raised further.
MAX_COUNTER = 1 << 62
ANNOUNCED_STATES = {
    "ready": MemberState.READY,
    "draining": MemberState.DRAINING,
    "stopped": MemberState.STOPPED,
}

_STOPPED = "stopped"
_SERVICE = re.compile(r"[a-z0-9-]{1,64}")
_NAME = re.compile(r"[!-~]{1,128}")
_ADDRESS = re.compile(r"(?:[A-Za-z0-9._-]{1,120}|\[[0-9A-Fa-f:.]{2,45}\]):[0-9]{1,5}")


def find_announcement_fault(event: BackendServerAnnounced) -> str:
    """Return what is wrong with an announcement, or an empty string.

    A departure may name only its process, because it can come before the first announcement.
    """
    fault = _find_process_fault(event)
    if fault or (event.state == _STOPPED and not event.service):
        return fault
    return _find_server_fault(event)


def _find_process_fault(event: BackendServerAnnounced) -> str:
    if event.instance_id and not _NAME.fullmatch(event.instance_id):
        return f"process id {event.instance_id!r:.130} must be 1 to 128 printable ASCII characters"
    if not 0 <= event.started_unix_ms < MAX_COUNTER:
        return f"start time of process {event.instance_id!r} must be 0 to {MAX_COUNTER - 1} ms"
    if event.heard_unix_ms and event.started_unix_ms > event.heard_unix_ms + MAX_CLOCK_LEAD_MS:
        return f"process {event.instance_id!r} starts at {event.started_unix_ms} ms, in the future"
    if event.sequence is not None and not 0 <= event.sequence < MAX_COUNTER:
        return f"sequence of process {event.instance_id!r} must be 0 to {MAX_COUNTER - 1}"
    if not 0 <= event.cold_ms <= MAX_COLD_MS:
        return f"cold time of process {event.instance_id!r} must be 0 to {MAX_COLD_MS} ms"
    return ""


def _find_server_fault(event: BackendServerAnnounced) -> str:
    if not _SERVICE.fullmatch(event.service):
        return f"service {event.service!r:.66} must be 1 to 64 characters of a-z, 0-9 and -"
    if not 1 <= event.slots <= MAX_SLOTS:
        return f"slots must be 1 to {MAX_SLOTS}"
    if event.state not in ANNOUNCED_STATES:
        return f"state must be ready, draining or stopped, not {event.state!r:.18}"
    if not _is_address(event.address):
        return f"address {event.address!r:.128} must be ip:port"
    if event.software_version and not _NAME.fullmatch(event.software_version):
        return f"software version {event.software_version!r:.130} must be 1 to 128 characters"
    return ""


def find_address_fault(address: str) -> str:
    """Return what is wrong with an address, or an empty string."""
    return "" if _is_address(address) else f"address {address!r:.128} must be ip:port"


def find_suspicion_fault(suspicion: Suspicion) -> str:
    """Return what is wrong with a suspicion, or an empty string."""
    if not 1 <= suspicion.incarnation < MAX_COUNTER:
        return (
            f"incarnation {suspicion.incarnation} of {suspicion.node_id!r:.130}"
            f" must be 1 to {MAX_COUNTER - 1}"
        )
    if not 0 <= suspicion.sequence < MAX_COUNTER:
        return (
            f"sequence {suspicion.sequence} of {suspicion.node_id!r:.130}"
            f" must be 0 to {MAX_COUNTER - 1}"
        )
    if suspicion.node_id == suspicion.reporter:
        return f"reporter {suspicion.reporter!r:.130} is the suspected member itself"
    return ""


def find_peer_fault(peer: PeerIdentity) -> str:
    """Return what is wrong with a peer's identity, or an empty string."""
    if not 1 <= peer.incarnation < MAX_COUNTER:
        return (
            f"incarnation {peer.incarnation} of {peer.node_id!r:.130}"
            f" must be 1 to {MAX_COUNTER - 1}"
        )
    return _find_identity_fault(peer.node_id, peer.region, peer.data_centre, peer.peer_address)


def find_record_fault(record: MemberRecord) -> str:
    """Return what is wrong with a member record, or an empty string."""
    if not 1 <= record.incarnation < MAX_COUNTER:
        return (
            f"incarnation {record.incarnation} of {record.node_id!r:.130}"
            f" must be 1 to {MAX_COUNTER - 1}"
        )
    if not 0 <= record.sequence < MAX_COUNTER:
        return (
            f"sequence {record.sequence} of {record.node_id!r:.130} must be 0 to {MAX_COUNTER - 1}"
        )
    if record.service and not _SERVICE.fullmatch(record.service):
        return f"service of {record.node_id!r:.130} must be 1 to 64 characters of a-z, 0-9 and -"
    if not (1 if record.service else 0) <= record.slots <= MAX_SLOTS:
        return (
            f"slots {record.slots} of {record.node_id!r:.130}"
            f" must be 1 to {MAX_SLOTS}, or 0 without a service"
        )
    if not -1 <= record.relay_slot <= MAX_RELAY_SLOT:
        return (
            f"relay slot {record.relay_slot} of {record.node_id!r:.130}"
            f" must be -1 to {MAX_RELAY_SLOT}"
        )
    if len(record.quota_shards) > MAX_QUOTA_SHARDS or any(
        not 0 <= shard < MAX_QUOTA_SHARDS for shard in record.quota_shards
    ):
        return f"quota shards of {record.node_id!r:.130} must be 0 to {MAX_QUOTA_SHARDS - 1}"
    if record.state is MemberState.READY and not record.service:
        return f"member {record.node_id!r:.130} is ready without a service"
    if not _is_address(record.http_address) or not _is_address(record.admin_address):
        return f"HTTP and admin addresses of {record.node_id!r:.130} must be ip:port"
    return _find_identity_fault(
        record.node_id, record.region, record.data_centre, record.peer_address
    )


def _find_identity_fault(node_id: str, region: str, data_centre: str, peer_address: str) -> str:
    if not _NAME.fullmatch(node_id):
        return f"node id {node_id!r:.130} must be 1 to 128 printable ASCII characters"
    if not _NAME.fullmatch(region) or not _NAME.fullmatch(data_centre):
        return f"region and data centre of {node_id!r} must be 1 to 128 printable ASCII characters"
    if not _is_address(peer_address):
        return f"peer address {peer_address!r:.128} of {node_id!r} must be ip:port"
    return ""


def _is_address(address: str) -> bool:
    if not _ADDRESS.fullmatch(address):
        return False
    return 1 <= int(address.rpartition(":")[2]) <= 65535
