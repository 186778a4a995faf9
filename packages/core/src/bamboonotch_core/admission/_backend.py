"""Announcements of the backend server, drain and shutdown."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import is_draining
from bamboonotch_core.admission._dispatch import fill_slots
from bamboonotch_core.admission._ending import refuse_queued, refuse_waiting
from bamboonotch_core.admission._limit import ConcurrencyLimit
from bamboonotch_core.admission._state import AdmissionState, BackendServer
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.routing import replace_fields
from bamboonotch_core.transition import Transition

__all__ = ["announce", "check_silence", "settle"]

Step = Transition[AdmissionState]


def _is_same_process(old: BackendServer, event: BackendServerAnnounced) -> bool:
    same = (old.service, old.address) == (event.service, event.address)
    return same and old.state != "stopped"


def announce(
    state: AdmissionState, event: BackendServerAnnounced, configuration: Configuration
) -> Step:
    """Take over what the backend server says of itself; one that was stopped starts cold.

    :param state: the state.
    :param event: the announcement.
    :param configuration: the running configuration.
    """
    warm = _is_same_process(state.backend, event)
    changed_service = state.backend.service != event.service
    backend = BackendServer(
        service=event.service,
        address=event.address,
        slots=event.slots,
        state=event.state,
        announced_ms=event.now_ms,
        warm_since_ms=state.backend.warm_since_ms if warm else event.now_ms,
    )
    limit = state.limit if warm else ConcurrencyLimit()
    state = replace_fields(state, backend=backend, limit=limit)
    if changed_service:
        step = refuse_waiting(state, RefusalReason.WRONG_SERVICE, event.now_ms)
        settled = settle(step.state, configuration, event.now_ms)
        return Transition(settled.state, step.effects + settled.effects)
    return settle(state, configuration, event.now_ms)


def settle(state: AdmissionState, configuration: Configuration, now_ms: float) -> Step:
    """Refuse what waits when no new work may start, and fill free slots otherwise.

    Attempts whose key is claimed or being claimed are let through a drain: the claim is in the
    store, and another owner that finds it there may have to answer unknown.

    :param state: the state.
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


def check_silence(state: AdmissionState, now_ms: float) -> AdmissionState:
    """Treat a backend server as stopped when its announcements stay away.

    :param state: the state.
    :param now_ms: monotonic clock, in milliseconds.
    """
    timeout_ms = state.settings.membership.announcement_silence_ms
    if state.backend.state == "stopped" or now_ms < state.backend.announced_ms + timeout_ms:
        return state
    return replace_fields(state, backend=replace_fields(state.backend, state="stopped"))
