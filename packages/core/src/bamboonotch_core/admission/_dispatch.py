"""Dispatch of waiting attempts to free slots, in the order of service."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import allowed_slots, hard_slots
from bamboonotch_core.admission._ending import refuse
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.admission._waiting import charge_attempt, dequeue, next_queued
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.effects import Effect
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.rate_limit import has_token, take_token
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import ClaimKey, DispatchToBackend
from bamboonotch_core.request_events import BackendResult
from bamboonotch_core.transition import Transition

__all__ = ["dispatch", "fill_slots", "start"]

Step = Transition[AdmissionState]


def dispatch(state: AdmissionState, attempt: LiveAttempt, now_ms: float) -> Step:
    """Send an attempt to the backend server.

    :param attempt: attempt that is in no queue; it may already hold a reserved slot.
    :param now_ms: monotonic clock, in milliseconds.
    """
    held = state.slots_held + (not attempt.holds_slot)
    running = replace_fields(
        attempt,
        stage=Stage.DISPATCHED,
        started_ms=now_ms,
        held_at_start=held,
        holds_slot=True,
    )
    state = replace_fields(
        state,
        slots_held=held,
        next_expiry_ms=min(state.next_expiry_ms, attempt.deadline_ms),
        live=state.live.set(attempt.attempt_id, running),
    )
    return Transition(state, (DispatchToBackend(attempt.attempt_id),))


def _claim(state: AdmissionState, attempt: LiveAttempt, now_ms: float) -> Step:
    """Request the claim of an attempt's key, and reserve a slot unless the last claim was slow."""
    reserve = not state.claims_slow
    claiming = replace_fields(attempt, stage=Stage.CLAIMING, started_ms=now_ms, holds_slot=reserve)
    state = replace_fields(
        state,
        slots_held=state.slots_held + reserve,
        claims_pending=state.claims_pending + 1,
        next_expiry_ms=min(state.next_expiry_ms, attempt.deadline_ms),
        live=state.live.set(attempt.attempt_id, claiming),
    )
    return Transition(state, (ClaimKey(attempt.attempt_id, attempt.claim_key),))


def start(state: AdmissionState, attempt: LiveAttempt, now_ms: float) -> Step:
    """Dispatch an attempt, or claim its key first when it has one.

    Its token is taken, and its expected service time is charged to its workspace.

    :param attempt: attempt that is in no queue.
    :param now_ms: monotonic clock, in milliseconds.
    """
    rate_limit = take_token(state.rate_limit, now_ms)
    if rate_limit is not state.rate_limit:
        state = replace_fields(state, rate_limit=rate_limit)
    state, attempt = charge_attempt(state, attempt)
    if attempt.claim_key:
        return _claim(state, attempt, now_ms)
    return dispatch(state, attempt, now_ms)


def _start_next(state: AdmissionState, may_claim: bool, now_ms: float) -> Step | None:
    if state.claimed:
        attempt = state.live[state.claimed[0]]
        if now_ms >= attempt.deadline_ms:
            reason = RefusalReason.DEADLINE
            return refuse(state, attempt.attempt_id, BackendResult.NOT_RUN, reason, now_ms)
        return dispatch(replace_fields(state, claimed=state.claimed[1:]), attempt, now_ms)
    queued = next_queued(state, may_claim) if has_token(state.rate_limit, now_ms) else None
    if queued is None:
        return None
    if now_ms >= queued.expires_ms:
        reason = RefusalReason.QUEUE_TIMEOUT
        return refuse(state, queued.attempt_id, BackendResult.NOT_RUN, reason, now_ms)
    return start(dequeue(state, queued), queued, now_ms)


def fill_slots(state: AdmissionState, configuration: Configuration, now_ms: float) -> Step:
    """Start waiting attempts while slots are free, and refuse those that have expired.

    Claimed attempts start before queued ones.

    :param configuration: the running configuration.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not state.queued and not state.claimed:
        return Transition(state)
    allowed = allowed_slots(state, configuration, now_ms)
    max_claims = hard_slots(state, configuration)
    effects: list[Effect] = []
    while state.slots_held < allowed:
        step = _start_next(state, state.claims_pending < max_claims, now_ms)
        if step is None:
            break
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))
