"""Dialling of dead members, whose processes may restart without knowing any other member."""

from __future__ import annotations

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._dials import add_dial, has_optional_capacity
from bamboonotch_core.membership._ring import nearest_members
from bamboonotch_core.membership._state import Dial, DialReason
from bamboonotch_core.membership._work import Step
from bamboonotch_core.replace import replace_fields

__all__ = ["dial_adjacent_dead_members", "dial_dead_neighbour"]


def dial_dead_neighbour(step: Step, record: MemberRecord) -> None:
    """Schedule dials to the address of a ring neighbour that has just been declared dead."""
    overlay = step.state.overlay
    if record.node_id in overlay.successors + overlay.predecessors:
        _keep_dialling(step, record, step.now_ms)


def dial_adjacent_dead_members(step: Step) -> None:
    """Dial the dead members next to this node's position on the ring.

    When many members die at the same time, the neighbours of a member may be among them, and do
    not know of it when they restart. Call this function only after the ring was recomputed.
    """
    own = step.own_record
    ring = step.state.overlay.ring
    for node_id, since_ms in sorted(step.state.detection.dead_since.items()):
        if step.now_ms - since_ms >= step.settings.redial_ms:
            continue
        record = step.state.directory.records[node_id]
        if record.region == own.region and own.node_id in nearest_members(ring, node_id):
            _keep_dialling(step, record, since_ms)


def _keep_dialling(step: Step, record: MemberRecord, since_ms: float) -> None:
    overlay = step.state.overlay
    dial = overlay.dials.get(record.peer_address)
    if dial is None:
        dial = Dial(record.peer_address, record.node_id, DialReason.DEAD, step.now_ms)
    elif dial.node_id != record.node_id:
        return
    elif dial.reason != DialReason.DEAD and not has_optional_capacity(step):
        step.change_overlay(dials=overlay.dials.delete(dial.address))
        return
    expires_ms = since_ms + step.settings.redial_ms
    add_dial(step, replace_fields(dial, reason=DialReason.DEAD, expires_ms=expires_ms))
