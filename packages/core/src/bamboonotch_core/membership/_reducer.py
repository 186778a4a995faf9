"""The membership reducer, with one handler for each type of event."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.effects import CompeteForSlot
from bamboonotch_core.events import (
    BackendServerAnnounced,
    BackendServerStated,
    DrainRequested,
    Event,
    LinkClosed,
    LinkFailed,
    LinkOpened,
    MessageReceived,
    ShutdownRequested,
    SlotLost,
    SlotObtained,
    SlotsRead,
    StoreReadFailed,
    Tick,
    UndrainRequested,
)
from bamboonotch_core.membership._detection import (
    check_reports,
    check_retention,
    check_suspects,
    restart_suspicion_clocks,
)
from bamboonotch_core.membership._dialling import (
    handle_dial_failure,
    restart_dial_clocks,
    schedule_dials,
    start_due_dials,
)
from bamboonotch_core.membership._exchange import send_heartbeats
from bamboonotch_core.membership._health import record_tick_lag
from bamboonotch_core.membership._links import (
    check_silence,
    close_link,
    mark_link_active,
    open_link,
    remove_link,
    restart_silence_clocks,
)
from bamboonotch_core.membership._overlay import find_unneeded_links, refresh_overlay
from bamboonotch_core.membership._own import (
    check_announcement_age,
    handle_announcement,
    handle_stated_rate,
    refresh_own_record,
    restart_announcement_clock,
    set_quota_shards,
    set_relay_slot,
)
from bamboonotch_core.membership._peer_messages import handle_message
from bamboonotch_core.membership._regions import (
    check_unreachable_regions,
    restart_unreachable_region_clocks,
)
from bamboonotch_core.membership._rendezvous import (
    check_rendezvous,
    handle_slots,
    handle_slots_read_failure,
)
from bamboonotch_core.membership._spreading import flush_updates, flush_urgent_updates
from bamboonotch_core.membership._state import LocalVersions, MembershipState
from bamboonotch_core.membership._work import Step
from bamboonotch_core.quota_events import QuotaShardsChanged
from bamboonotch_core.transition import Transition

__all__ = ["PAUSE_MS", "finish_shutdown", "reduce_membership"]

# Ticks come every 100 ms; a gap of this length means that the process did not run.
PAUSE_MS = 500
_READ_SLOTS = "read-slots"


def reduce_membership(
    state: MembershipState, event: Event, versions: LocalVersions
) -> Transition[MembershipState]:
    """Return the state and effects after an event.

    :param state: the state before the event.
    :param versions: source of the versions in heartbeats and of the readiness of the own record.
    """
    step = Step(state, event.now_ms, versions)
    _handle(event, step)
    refresh_own_record(step)
    flush_urgent_updates(step)
    return step.finish()


def finish_shutdown(
    state: MembershipState, now_ms: float, versions: LocalVersions
) -> Transition[MembershipState]:
    """Publish the state ``stopped`` at once, when a shutting-down node has finished its work.

    :param state: the state before the end of the work.
    :param now_ms: monotonic clock, in milliseconds.
    :param versions: source of the versions in heartbeats and of the readiness of the own record.
    """
    step = Step(state, now_ms, versions)
    step.change_own(shutting_down=True, work_finished=True)
    refresh_own_record(step)
    flush_updates(step)
    return step.finish()


@singledispatch
def _handle(event: Event, step: Step) -> None:
    """Handle one event; ignore the types that do not concern membership."""


@_handle.register
def _(event: Tick, step: Step) -> None:
    _check_start(step)
    if step.now_ms - step.state.schedule.last_tick_ms > PAUSE_MS:
        _restart_clocks(step)
    record_tick_lag(step)
    check_announcement_age(step)
    refresh_own_record(step)
    check_silence(step)
    check_suspects(step)
    check_reports(step)
    check_retention(step)
    refresh_overlay(step)
    check_unreachable_regions(step)
    schedule_dials(step)
    check_rendezvous(step)
    start_due_dials(step)
    for link in find_unneeded_links(step):
        close_link(step, link, "not needed by the overlay")
    flush_updates(step)
    step.change_spreading(urgent_flushes=0)
    send_heartbeats(step)


@_handle.register
def _(event: LinkOpened, step: Step) -> None:
    open_link(step, event)


@_handle.register
def _(event: LinkClosed, step: Step) -> None:
    link = step.state.overlay.links.get(event.link_id)
    if link is not None:
        step.report("link-closed", node_id=link.peer.node_id, reason=event.reason)
        remove_link(step, link)


@_handle.register
def _(event: LinkFailed, step: Step) -> None:
    dial = step.state.overlay.dials.get(event.address)
    if dial is not None and dial.in_flight:
        handle_dial_failure(step, dial)


@_handle.register
def _(event: MessageReceived, step: Step) -> None:
    link = step.state.overlay.links.get(event.link_id)
    if link is not None:
        handle_message(event.message, step, mark_link_active(step, link))


@_handle.register
def _(event: SlotsRead, step: Step) -> None:
    handle_slots(step, event)


@_handle.register
def _(event: StoreReadFailed, step: Step) -> None:
    if event.operation.name == _READ_SLOTS:
        handle_slots_read_failure(step)


@_handle.register
def _(event: SlotObtained, step: Step) -> None:
    set_relay_slot(step, event.slot)


@_handle.register
def _(event: SlotLost, step: Step) -> None:
    set_relay_slot(step, -1)


@_handle.register
def _(event: QuotaShardsChanged, step: Step) -> None:
    set_quota_shards(step, event.shards)


@_handle.register
def _(event: BackendServerAnnounced, step: Step) -> None:
    handle_announcement(step, event)


@_handle.register
def _(event: BackendServerStated, step: Step) -> None:
    handle_stated_rate(step, event)


@_handle.register
def _(event: DrainRequested, step: Step) -> None:
    step.change_own(operator_drain=True)


@_handle.register
def _(event: UndrainRequested, step: Step) -> None:
    step.change_own(operator_drain=False)


@_handle.register
def _(event: ShutdownRequested, step: Step) -> None:
    step.change_own(shutting_down=True)


def _check_start(step: Step) -> None:
    if not step.state.schedule.started:
        step.change_schedule(started=True)
        step.emit(CompeteForSlot())


def _restart_clocks(step: Step) -> None:
    """Restart all time-outs on others after a pause, in which this process received nothing."""
    gap_ms = step.now_ms - step.state.schedule.last_tick_ms
    step.report("resumed", gap_ms=gap_ms)
    restart_announcement_clock(step)
    restart_silence_clocks(step)
    restart_dial_clocks(step)
    restart_suspicion_clocks(step)
    restart_unreachable_region_clocks(step)
