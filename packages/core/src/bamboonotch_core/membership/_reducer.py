"""The membership reducer: what each event does."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.effects import CompeteForSlot
from bamboonotch_core.events import (
    BackendServerAnnounced,
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
    fail_dial,
    launch_dials,
    plan_dials,
    restart_dial_clocks,
)
from bamboonotch_core.membership._exchange import send_heartbeats
from bamboonotch_core.membership._health import note_tick
from bamboonotch_core.membership._links import (
    check_silence,
    close_link,
    forget_link,
    hear_link,
    open_link,
    restart_silence_clocks,
)
from bamboonotch_core.membership._overlay import find_unneeded_links, refresh_overlay
from bamboonotch_core.membership._own import (
    check_announcement_age,
    hear_announcement,
    refresh_own_record,
    restart_announcement_clock,
    set_relay_slot,
)
from bamboonotch_core.membership._peer_messages import handle_message
from bamboonotch_core.membership._regions import check_cuts, restart_cut_clocks
from bamboonotch_core.membership._rendezvous import check_contact, hear_slots, hear_slots_unread
from bamboonotch_core.membership._spreading import flush_updates, flush_urgent_updates
from bamboonotch_core.membership._state import LocalVersions, MembershipState
from bamboonotch_core.membership._work import Work
from bamboonotch_core.transition import Transition

__all__ = ["PAUSE_MS", "finish_shutdown", "reduce_membership"]

# Ticks come every 100 ms; a gap of this length means that the process did not run.
PAUSE_MS = 500
_READ_SLOTS = "read-slots"


def reduce_membership(
    state: MembershipState, event: Event, versions: LocalVersions
) -> Transition[MembershipState]:
    """Return the state and effects after an event.

    :param state: the state before.
    :param event: the event.
    :param versions: what goes into heartbeats and the own record.
    """
    work = Work(state, event.now_ms, versions)
    _handle(event, work)
    refresh_own_record(work)
    flush_urgent_updates(work)
    return work.finish()


def finish_shutdown(
    state: MembershipState, now_ms: float, versions: LocalVersions
) -> Transition[MembershipState]:
    """Announce ``stopped`` at once, when the last work of a shutdown is done.

    :param state: the state before.
    :param now_ms: monotonic clock, in milliseconds.
    :param versions: what goes into heartbeats and the own record.
    """
    work = Work(state, now_ms, versions)
    work.change_own(shutting_down=True, work_finished=True)
    refresh_own_record(work)
    flush_updates(work)
    return work.finish()


@singledispatch
def _handle(event: Event, work: Work) -> None:
    """Handle one event; events of other parts change nothing but the own record."""


@_handle.register
def _(event: Tick, work: Work) -> None:
    _check_start(work)
    if work.now_ms - work.state.schedule.last_tick_ms > PAUSE_MS:
        _restart_clocks(work)
    note_tick(work)
    check_announcement_age(work)
    refresh_own_record(work)
    check_silence(work)
    check_suspects(work)
    check_reports(work)
    check_retention(work)
    refresh_overlay(work)
    check_cuts(work)
    plan_dials(work)
    check_contact(work)
    launch_dials(work)
    for link in find_unneeded_links(work):
        close_link(work, link, "not needed by the overlay")
    flush_updates(work)
    work.change_spreading(urgent_flushes=0)
    send_heartbeats(work)


@_handle.register
def _(event: LinkOpened, work: Work) -> None:
    open_link(work, event)


@_handle.register
def _(event: LinkClosed, work: Work) -> None:
    link = work.state.overlay.links.get(event.link_id)
    if link is not None:
        work.report("link-closed", node_id=link.peer.node_id, reason=event.reason)
        forget_link(work, link)


@_handle.register
def _(event: LinkFailed, work: Work) -> None:
    dial = work.state.overlay.dials.get(event.address)
    if dial is not None and dial.in_flight:
        fail_dial(work, dial)


@_handle.register
def _(event: MessageReceived, work: Work) -> None:
    link = work.state.overlay.links.get(event.link_id)
    if link is not None:
        handle_message(event.message, work, hear_link(work, link))


@_handle.register
def _(event: SlotsRead, work: Work) -> None:
    hear_slots(work, event)


@_handle.register
def _(event: StoreReadFailed, work: Work) -> None:
    if event.operation.name == _READ_SLOTS:
        hear_slots_unread(work)


@_handle.register
def _(event: SlotObtained, work: Work) -> None:
    set_relay_slot(work, event.slot)


@_handle.register
def _(event: SlotLost, work: Work) -> None:
    set_relay_slot(work, -1)


@_handle.register
def _(event: BackendServerAnnounced, work: Work) -> None:
    hear_announcement(work, event)


@_handle.register
def _(event: DrainRequested, work: Work) -> None:
    work.change_own(operator_drain=True)


@_handle.register
def _(event: UndrainRequested, work: Work) -> None:
    work.change_own(operator_drain=False)


@_handle.register
def _(event: ShutdownRequested, work: Work) -> None:
    work.change_own(shutting_down=True)


def _check_start(work: Work) -> None:
    if not work.state.schedule.started:
        work.change_schedule(started=True)
        work.emit(CompeteForSlot())


def _restart_clocks(work: Work) -> None:
    """Forgive the silence that this process slept through."""
    gap_ms = work.now_ms - work.state.schedule.last_tick_ms
    work.report("resumed", gap_ms=gap_ms)
    restart_announcement_clock(work)
    restart_silence_clocks(work)
    restart_dial_clocks(work)
    restart_suspicion_clocks(work)
    restart_cut_clocks(work)
