"""Announcements and silence of the backend server, and their effect on waiting attempts."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import is_draining
from bamboonotch_core.admission._dispatch import fill_slots
from bamboonotch_core.admission._ending import refuse_queued, refuse_waiting
from bamboonotch_core.admission._limit import ConcurrencyLimit
from bamboonotch_core.admission._state import AdmissionState, BackendServer
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.events import BackendServerAnnounced, BackendServerStated
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.rate_limit import name_rate
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.transition import Transition

__all__ = [
    "apply_announcement",
    "apply_stated_rate",
    "mark_silent_as_stopped",
    "start_or_refuse_waiting",
]

Step = Transition[AdmissionState]


def _is_same_process(old: BackendServer, event: BackendServerAnnounced) -> bool:
    same_address = (old.service, old.address) == (event.service, event.address)
    return same_address and old.state != "stopped"


def _is_same_start(old: BackendServer, event: BackendServerAnnounced) -> bool:
    return (old.instance_id, old.started_unix_ms) == (event.instance_id, event.started_unix_ms)


def apply_announcement(
    state: AdmissionState, event: BackendServerAnnounced, configuration: Configuration
) -> Step:
    """Apply an announcement of the backend server.

    The ramp and the concurrency limit start anew when the backend server was stopped, or when its
    service or address changed. Another process has named no rate limit yet. When the service
    changed, waiting attempts are refused.

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
        instance_id=event.instance_id,
        started_unix_ms=event.started_unix_ms,
    )
    keeps_rate = _is_same_start(state.backend, event) and state.backend.address == event.address
    limit = state.limit if same_process else ConcurrencyLimit()
    rate_limit = state.rate_limit if keeps_rate else None
    slowdown = state.slowdown if same_process else None
    state = replace_fields(
        state, backend=backend, limit=limit, rate_limit=rate_limit, slowdown=slowdown
    )
    if changed_service:
        step = refuse_waiting(state, RefusalReason.WRONG_SERVICE, event.now_ms)
        final = start_or_refuse_waiting(step.state, configuration, event.now_ms)
        return Transition(final.state, step.effects + final.effects)
    return start_or_refuse_waiting(state, configuration, event.now_ms)


def apply_stated_rate(
    state: AdmissionState, event: BackendServerStated, configuration: Configuration
) -> Step:
    """Apply or lift the rate limit that a response of the backend server named.

    :param event: what a response of the present process said.
    :param configuration: the running configuration.
    """
    if event.rate_limit_per_s is None:
        if state.rate_limit is None:
            return Transition(state)
        state = replace_fields(state, rate_limit=None)
    else:
        limit = name_rate(state.rate_limit, event.rate_limit_per_s, event.now_ms)
        state = replace_fields(state, rate_limit=limit)
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
