"""Announcements and silence of the backend server, and their effect on waiting attempts."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import is_draining
from bamboonotch_core.admission._dispatch import fill_slots
from bamboonotch_core.admission._ending import refuse_queued, refuse_waiting
from bamboonotch_core.admission._limit import ConcurrencyLimit
from bamboonotch_core.admission._state import AdmissionState, BackendServer
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.transition import Transition

__all__ = ["apply_announcement", "mark_silent_as_stopped", "start_or_refuse_waiting"]

Step = Transition[AdmissionState]


def _is_same_process(old: BackendServer, event: BackendServerAnnounced) -> bool:
    same_address = (old.service, old.address) == (event.service, event.address)
    return same_address and old.state != "stopped"


def apply_announcement(
    state: AdmissionState, event: BackendServerAnnounced, configuration: Configuration
) -> Step:
    """Apply an announcement of the backend server.

    The ramp and the concurrency limit start anew when the backend server was stopped, or when its
    service or address changed. When the service changed, waiting attempts are refused.

    :param configuration: the running configuration.
    """
    same_process = _is_same_process(state.backend, event)
    changed_service = state.backend.service != event.service
    backend = BackendServer(
        service=event.service,
        address=event.address,
        slots=event.slots,
        state=event.state,
        announced_ms=event.now_ms,
        ramp_start_ms=state.backend.ramp_start_ms if same_process else event.now_ms,
    )
    limit = state.limit if same_process else ConcurrencyLimit()
    state = replace_fields(state, backend=backend, limit=limit)
    if changed_service:
        step = refuse_waiting(state, RefusalReason.WRONG_SERVICE, event.now_ms)
        final = start_or_refuse_waiting(step.state, configuration, event.now_ms)
        return Transition(final.state, step.effects + final.effects)
    return start_or_refuse_waiting(state, configuration, event.now_ms)


def start_or_refuse_waiting(
    state: AdmissionState, configuration: Configuration, now_ms: float
) -> Step:
    """Refuse waiting attempts when no new work may start, and fill free slots otherwise.

    A drain does not refuse attempts whose key is claimed or being claimed: another owner that finds
    the claim in the store may have to answer unknown.

    :param configuration: the running configuration.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if state.backend.state == "stopped":
        return refuse_waiting(state, RefusalReason.NOT_READY, now_ms)
    if is_draining(state):
        queued = refuse_queued(state, RefusalReason.DRAINING, now_ms)
        filled = fill_slots(queued.state, configuration, now_ms)
        return Transition(filled.state, queued.effects + filled.effects)
    return fill_slots(state, configuration, now_ms)


def mark_silent_as_stopped(state: AdmissionState, now_ms: float) -> AdmissionState:
    """Mark the backend server as stopped when it has not announced itself for too long.

    :param now_ms: monotonic clock, in milliseconds.
    """
    timeout_ms = state.settings.membership.announcement_silence_ms
    if state.backend.state == "stopped" or now_ms < state.backend.announced_ms + timeout_ms:
        return state
    return replace_fields(state, backend=replace_fields(state.backend, state="stopped"))
