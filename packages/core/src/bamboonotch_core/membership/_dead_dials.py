"""Dialling of dead members, whose processes may return without knowing anybody."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._dials import add_dial, has_spare_room
from bamboonotch_core.membership._ring import nearest_members
from bamboonotch_core.membership._state import Dial, DialReason
from bamboonotch_core.membership._work import Work

__all__ = ["adopt_dead_members", "dial_dead_neighbour"]


def dial_dead_neighbour(work: Work, record: MemberRecord) -> None:
    """Keep dialling the address of a neighbour that has just died.

    :param work: the event being handled.
    :param record: its record.
    """
    overlay = work.state.overlay
    if record.node_id in overlay.successors + overlay.predecessors:
        _keep_dialling(work, record, work.now_ms)


def adopt_dead_members(work: Work) -> None:
    """Dial the dead members that this node has become nearest to on the ring.

    When a herd dies, the neighbours of a member may have died with it and know nothing of it when
    they return. Called only after the ring was computed.

    :param work: the event being handled.
    """
    own = work.own_record
    ring = work.state.overlay.ring
    for node_id, since_ms in sorted(work.state.detection.dead_since.items()):
        if work.now_ms - since_ms >= work.settings.redial_ms:
            continue
        record = work.state.directory.records[node_id]
        if record.region == own.region and own.node_id in nearest_members(ring, node_id):
            _keep_dialling(work, record, since_ms)


def _keep_dialling(work: Work, record: MemberRecord, since_ms: float) -> None:
    overlay = work.state.overlay
    dial = overlay.dials.get(record.peer_address)
    if dial is None:
        dial = Dial(record.peer_address, record.node_id, DialReason.DEAD, work.now_ms)
    elif dial.node_id != record.node_id:
        return
    elif dial.reason != DialReason.DEAD and not has_spare_room(work):
        work.change_overlay(dials=overlay.dials.delete(dial.address))
        return
    expires_ms = since_ms + work.settings.redial_ms
    add_dial(work, replace(dial, reason=DialReason.DEAD, expires_ms=expires_ms))
