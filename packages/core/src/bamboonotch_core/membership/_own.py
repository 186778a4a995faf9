"""Updates of the own record: backend server, drains, shutdown and relay slot."""

from __future__ import annotations

from bamboonotch_core.events import BackendServerAnnounced, BackendServerStated
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._merge import publish_own
from bamboonotch_core.membership._state import BackendServer, OwnState
from bamboonotch_core.membership._validation import ANNOUNCED_STATES, find_announcement_fault
from bamboonotch_core.membership._work import Step
from bamboonotch_core.replace import replace_fields

__all__ = [
    "check_announcement_age",
    "handle_announcement",
    "handle_stated_rate",
    "refresh_own_record",
    "restart_announcement_clock",
    "set_quota_shards",
    "set_relay_slot",
]


def handle_announcement(step: Step, event: BackendServerAnnounced) -> None:
    """Store an announcement of the backend server, or report why it is refused."""
    fault = find_announcement_fault(event)
    if fault:
        step.report("announcement-refused", reason=fault)
        return
    if not event.service:
        # A departure before the first announcement names no server that could be marked stopped.
        return
    state = ANNOUNCED_STATES[event.state]
    server = BackendServer(
        event.service,
        event.address,
        event.slots,
        state,
        event.now_ms,
        event.instance_id,
        event.started_unix_ms,
        software_version=event.software_version,
    )
    before = step.state.own.backend_server
    if before is not None and before.is_same_process(server):
        server = replace_fields(server, rate_limit_per_s=before.rate_limit_per_s)
    step.change_own(backend_server=server)


def handle_stated_rate(step: Step, event: BackendServerStated) -> None:
    """Store the rate limit that a response of the backend server named."""
    server = step.state.own.backend_server
    if server is not None and server.rate_limit_per_s != event.rate_limit_per_s:
        limited = replace_fields(server, rate_limit_per_s=event.rate_limit_per_s)
        step.change_own(backend_server=limited)


def check_announcement_age(step: Step) -> None:
    """Mark the backend server stopped if it has not announced itself in time."""
    server = step.state.own.backend_server
    if server is None or server.state is MemberState.STOPPED:
        return
    if step.now_ms - server.announced_ms > step.settings.announcement_silence_ms:
        step.report("backend-server-silent", service=server.service, address=server.address)
        step.change_own(backend_server=replace_fields(server, state=MemberState.STOPPED))


def restart_announcement_clock(step: Step) -> None:
    """Restart the announcement time-out after a pause of this process."""
    server = step.state.own.backend_server
    if server is not None:
        step.change_own(backend_server=replace_fields(server, announced_ms=step.now_ms))


def set_relay_slot(step: Step, slot: int) -> None:
    """Publish the relay slot that this node holds.

    :param slot: number of the slot, or -1 for none.
    """
    own = step.own_record
    if own.relay_slot != slot:
        publish_own(step, replace_fields(own, relay_slot=slot, sequence=own.sequence + 1))


def set_quota_shards(step: Step, shards: tuple[int, ...]) -> None:
    """Publish the shards that this node lends tokens for, without waiting for the next tick.

    :param shards: the shards, in order.
    """
    own = step.own_record
    if own.quota_shards != shards:
        publish_own(step, _raise_sequence(replace_fields(own, quota_shards=shards)))
        step.urgent = True


def refresh_own_record(step: Step) -> None:
    """Publish the own record if what it says of the backend server has changed."""
    own = step.own_record
    server = step.state.own.backend_server
    service = "" if server is None else server.service
    slots = 0 if server is None else server.slots
    rate_limit_per_s = None if server is None else server.rate_limit_per_s
    version = "" if server is None else server.software_version
    state = _decide_state(step.state.own, step.versions.serving)
    published = (own.service, own.slots, own.rate_limit_per_s, own.software_version, own.state)
    if (service, slots, rate_limit_per_s, version, state) != published:
        changed = replace_fields(
            own,
            service=service,
            slots=slots,
            rate_limit_per_s=rate_limit_per_s,
            software_version=version,
            state=state,
        )
        publish_own(step, _raise_sequence(changed))


def _raise_sequence(record: MemberRecord) -> MemberRecord:
    return replace_fields(record, sequence=record.sequence + 1)


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
