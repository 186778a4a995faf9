"""This node's own record: the backend server, drains, shutdown and the relay slot."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._merge import publish_own
from bamboonotch_core.membership._state import BackendServer, OwnState
from bamboonotch_core.membership._validation import ANNOUNCED_STATES, find_announcement_fault
from bamboonotch_core.membership._work import Work

__all__ = [
    "check_announcement_age",
    "hear_announcement",
    "refresh_own_record",
    "restart_announcement_clock",
    "set_relay_slot",
]


def hear_announcement(work: Work, event: BackendServerAnnounced) -> None:
    """Take an announcement of the backend server, or report why it is refused.

    :param work: the event being handled.
    :param event: the announcement.
    """
    fault = find_announcement_fault(event)
    if fault:
        work.report("announcement-refused", reason=fault)
        return
    state = ANNOUNCED_STATES[event.state]
    server = BackendServer(event.service, event.address, event.slots, state, event.now_ms)
    work.change_own(backend_server=server)


def check_announcement_age(work: Work) -> None:
    """Treat a backend server that fell silent as stopped.

    :param work: the event being handled.
    """
    server = work.state.own.backend_server
    if server is None or server.state is MemberState.STOPPED:
        return
    if work.now_ms - server.announced_ms > work.settings.announcement_silence_ms:
        work.report("backend-server-silent", service=server.service, address=server.address)
        work.change_own(backend_server=replace(server, state=MemberState.STOPPED))


def restart_announcement_clock(work: Work) -> None:
    """Give the backend server its full time again after a pause of this process.

    :param work: the event being handled.
    """
    server = work.state.own.backend_server
    if server is not None:
        work.change_own(backend_server=replace(server, announced_ms=work.now_ms))


def set_relay_slot(work: Work, slot: int) -> None:
    """Publish the relay slot that this node holds.

    :param work: the event being handled.
    :param slot: the slot, or -1.
    """
    own = work.own_record
    if own.relay_slot != slot:
        publish_own(work, replace(own, relay_slot=slot, sequence=own.sequence + 1))


def refresh_own_record(work: Work) -> None:
    """Publish the own record if what decides it has changed.

    :param work: the event being handled.
    """
    own = work.own_record
    server = work.state.own.backend_server
    changed = replace(
        own,
        service="" if server is None else server.service,
        slots=0 if server is None else server.slots,
        state=_decide_state(work.state.own, work.versions.serving),
    )
    if changed != own:
        publish_own(work, _raise_sequence(changed))


def _raise_sequence(record: MemberRecord) -> MemberRecord:
    return replace(record, sequence=record.sequence + 1)


def _decide_state(own: OwnState, serving: bool) -> MemberState:
    server = own.backend_server
    stopped = server is None or server.state is MemberState.STOPPED
    if own.work_finished:
        return MemberState.STOPPED
    if own.shutting_down or own.operator_drain:
        return MemberState.STOPPED if stopped else MemberState.DRAINING
    if not serving:
        return MemberState.JOINING
    if server is None:
        return MemberState.STOPPED
    return server.state
