"""Deadlines of waiting and running attempts, and claims that take too long."""

from __future__ import annotations

import math

from bamboonotch_core.admission._backend import mark_silent_as_stopped, start_or_refuse_waiting
from bamboonotch_core.admission._capacity import allowed_slots, service_time_trend
from bamboonotch_core.admission._ending import refuse
from bamboonotch_core.admission._fences import abort
from bamboonotch_core.admission._limit import service_ms
from bamboonotch_core.admission._memory import forget_expired
from bamboonotch_core.admission._results import MAX_CLAIM_RESERVATION_MS
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.admission._waiting import in_service_order
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.effects import Effect
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.rate_limit import rate_wait_ms
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_events import BackendResult
from bamboonotch_core.transition import Transition

__all__ = ["expire"]

Step = Transition[AdmissionState]


def _due_time_ms(attempt: LiveAttempt) -> float:
    if attempt.stage is Stage.QUEUED:
        return attempt.expires_ms
    return math.inf if attempt.aborted else attempt.deadline_ms


def _expire_attempt(state: AdmissionState, attempt: LiveAttempt, now_ms: float) -> Step:
    if attempt.stage is Stage.DISPATCHED:
        return abort(state, attempt)
    late = now_ms >= attempt.deadline_ms
    reason = RefusalReason.DEADLINE if late else RefusalReason.QUEUE_TIMEOUT
    return refuse(state, attempt.attempt_id, BackendResult.NOT_RUN, reason, now_ms)


def _expire_due(state: AdmissionState, now_ms: float) -> Step:
    if now_ms < state.next_expiry_ms:
        return Transition(state)
    effects: list[Effect] = []
    for attempt in state.live.values():
        if now_ms >= _due_time_ms(attempt):
            step = _expire_attempt(state, attempt, now_ms)
            state = step.state
            effects.extend(step.effects)
    next_ms = min((_due_time_ms(attempt) for attempt in state.live.values()), default=math.inf)
    return Transition(replace_fields(state, next_expiry_ms=next_ms), tuple(effects))


def _release_slow_claims(state: AdmissionState, now_ms: float) -> AdmissionState:
    """Release slots reserved for claims that the store has not answered in time."""
    if not state.claims_pending:
        return state
    for attempt in state.live.values():
        reserved = attempt.stage is Stage.CLAIMING and attempt.holds_slot
        if reserved and now_ms - attempt.started_ms > MAX_CLAIM_RESERVATION_MS:
            without_slot = replace_fields(attempt, holds_slot=False)
            state = replace_fields(
                state,
                claims_slow=True,
                slots_held=state.slots_held - 1,
                live=state.live.set(attempt.attempt_id, without_slot),
            )
    return state


def _refuse_too_late(state: AdmissionState, configuration: Configuration, now_ms: float) -> Step:
    """Refuse queued attempts that would expire before the work ahead of them is done."""
    if not state.queued:
        return Transition(state)
    slots = max(1, allowed_slots(state, configuration, now_ms))
    trend = service_time_trend(state, now_ms)
    ahead_ms = trend * state.limit.mean_ms * len(state.claimed)
    ahead = 0
    effects: list[Effect] = []
    for attempt in in_service_order(state):
        reason = ""
        if now_ms + rate_wait_ms(state.rate_limit, ahead, now_ms) >= attempt.expires_ms:
            reason = RefusalReason.RATE_LIMITED
        elif now_ms + ahead_ms / slots >= attempt.expires_ms:
            reason = RefusalReason.TOO_LATE
        if reason:
            step = refuse(state, attempt.attempt_id, BackendResult.NOT_RUN, reason, now_ms)
            state = step.state
            effects.extend(step.effects)
        else:
            ahead += 1
            ahead_ms += trend * service_ms(state.limit, attempt.request_class)
    return Transition(state, tuple(effects))


def expire(state: AdmissionState, configuration: Configuration, now_ms: float) -> Step:
    """Apply every time-out that is due, then start or refuse waiting attempts.

    :param configuration: the running configuration.
    :param now_ms: monotonic clock, in milliseconds.
    """
    state = mark_silent_as_stopped(state, now_ms)
    memory = forget_expired(state.memory, now_ms, state.settings.admission)
    if memory is not state.memory:
        state = replace_fields(state, memory=memory)
    expired = _expire_due(_release_slow_claims(state, now_ms), now_ms)
    too_late = _refuse_too_late(expired.state, configuration, now_ms)
    final = start_or_refuse_waiting(too_late.state, configuration, now_ms)
    return Transition(final.state, expired.effects + too_late.effects + final.effects)
