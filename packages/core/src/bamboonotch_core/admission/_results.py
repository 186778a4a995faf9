"""Answers of the store to claims, and results of dispatched attempts."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import allowed_slots, hard_slots
from bamboonotch_core.admission._dispatch import dispatch, fill_slots
from bamboonotch_core.admission._ending import refuse, remove_live_attempt
from bamboonotch_core.admission._limit import (
    SMOOTHING,
    ConcurrencyLimit,
    record_answer,
    record_refusal,
)
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, SlowdownTrend, Stage
from bamboonotch_core.admission._uplink import record_send_time
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import RefuseWork
from bamboonotch_core.request_events import (
    BackendFinished,
    BackendResult,
    ClaimAnswered,
    ClaimResult,
    FenceState,
)
from bamboonotch_core.transition import Transition

__all__ = ["MAX_CLAIM_RESERVATION_MS", "finish_claim", "finish_work"]

# A backend server that is leaving or sheds all load refuses until its next announcement arrives.
# During a pause the node itself refuses, which costs no retry token, because no backend server saw
# the request.
REFUSALS_BEFORE_PAUSE = 2
PAUSE_MS = 250.0
# A backend server that answered this recently is taken to refuse at random: a lower limit or a
# pause would only lose answers. When half of the requests are refused at random, six refusals in a
# row have a probability of 1 in 64.
RECENT_ANSWER_MS = 500.0
REFUSALS_BEFORE_SHORT_PAUSE = 6
SHORT_PAUSE_MS = 100.0
# The store normally answers in milliseconds; a slow store must not hold slots.
MAX_CLAIM_RESERVATION_MS = 50.0

Step = Transition[AdmissionState]

RESULT_REASONS = {
    BackendResult.NOT_RUN: RefusalReason.BACKEND_NOT_RUN,
    BackendResult.UNKNOWN: RefusalReason.BACKEND_LOST,
    BackendResult.UNREACHABLE: RefusalReason.BACKEND_UNREACHABLE,
}
CLAIM_REASONS = {
    ClaimResult.TAKEN: RefusalReason.CLAIM_TAKEN,
    ClaimResult.UNAVAILABLE: RefusalReason.CLAIM_UNAVAILABLE,
}


def finish_claim(state: AdmissionState, event: ClaimAnswered, configuration: Configuration) -> Step:
    """Dispatch an attempt whose claim was created, or refuse it as unknown.

    With a created claim, the attempt waits while no slot is free, and is refused as not run when
    its deadline has passed or the backend server has no slots.

    :param configuration: the running configuration.
    """
    attempt = state.live.get(event.attempt_id)
    if attempt is None or attempt.stage is not Stage.CLAIMING:
        return Transition(state)
    slow = event.now_ms - attempt.started_ms > MAX_CLAIM_RESERVATION_MS
    slow = slow or event.result is ClaimResult.UNAVAILABLE
    if slow is not state.claims_slow:
        state = replace_fields(state, claims_slow=slow)
    if event.result is ClaimResult.CREATED:
        step = _apply_created_claim(state, attempt, configuration, event.now_ms)
    else:
        reason = CLAIM_REASONS[event.result]
        step = refuse(state, event.attempt_id, BackendResult.UNKNOWN, reason, event.now_ms)
    filled = fill_slots(step.state, configuration, event.now_ms)
    return Transition(filled.state, step.effects + filled.effects)


def _apply_created_claim(
    state: AdmissionState, attempt: LiveAttempt, configuration: Configuration, now_ms: float
) -> Step:
    not_run = BackendResult.NOT_RUN
    if now_ms >= attempt.deadline_ms:
        return refuse(state, attempt.attempt_id, not_run, RefusalReason.DEADLINE, now_ms)
    if hard_slots(state, configuration) < 1:
        return refuse(state, attempt.attempt_id, not_run, RefusalReason.NOT_READY, now_ms)
    state = replace_fields(state, claims_pending=state.claims_pending - 1)
    if attempt.holds_slot or state.slots_held < allowed_slots(state, configuration, now_ms):
        return dispatch(state, attempt, now_ms)
    waiting = replace_fields(attempt, stage=Stage.CLAIMED)
    state = replace_fields(
        state,
        claimed=(*state.claimed, attempt.attempt_id),
        live=state.live.set(attempt.attempt_id, waiting),
    )
    return Transition(state)


def finish_work(
    state: AdmissionState, event: BackendFinished, configuration: Configuration
) -> Step:
    """Release the slot of a dispatched attempt that ended, and start waiting attempts.

    :param configuration: the running configuration.
    """
    attempt = state.live.get(event.attempt_id)
    if attempt is None or attempt.stage is not Stage.DISPATCHED:
        return Transition(state)
    limit = _update_limit(state, attempt, event, configuration)
    reports = _report_cut(state, limit, configuration)
    not_run = event.result.is_not_run
    fence_state = FenceState.NOT_RUN if not_run else FenceState.FINISHED
    state = remove_live_attempt(state, attempt, fence_state, event.now_ms)
    state = replace_fields(state, limit=limit)
    state = record_send_time(state, attempt, event)
    state = _record_slowdown(_record_backend_result(state, event), event)
    refusals: tuple[Effect, ...] = ()
    if event.result is not BackendResult.DONE:
        result = BackendResult.NOT_RUN if not_run else BackendResult.UNKNOWN
        reason = RESULT_REASONS[event.result]
        refusals = (RefuseWork(event.attempt_id, result, reason, len(state.live)),)
    filled = fill_slots(state, configuration, event.now_ms)
    return Transition(filled.state, refusals + filled.effects + reports)


def _record_backend_result(state: AdmissionState, event: BackendFinished) -> AdmissionState:
    """Count consecutive refusals and failed connections, and pause after several."""
    if event.result is BackendResult.DONE:
        return replace_fields(state, backend_refusals=0, last_answer_ms=event.now_ms)
    if event.result is BackendResult.UNKNOWN:
        return replace_fields(state, backend_refusals=0) if state.backend_refusals else state
    refusals = state.backend_refusals + 1
    answered_recently = _answered_recently(state, event.now_ms)
    if refusals < (REFUSALS_BEFORE_SHORT_PAUSE if answered_recently else REFUSALS_BEFORE_PAUSE):
        return replace_fields(state, backend_refusals=refusals)
    paused_until_ms = event.now_ms + (SHORT_PAUSE_MS if answered_recently else PAUSE_MS)
    return replace_fields(state, backend_refusals=refusals, paused_until_ms=paused_until_ms)


def _record_slowdown(state: AdmissionState, event: BackendFinished) -> AdmissionState:
    """Record how long work takes at the backend server, if its response stated that."""
    if not event.slowdown:
        return state
    value, past = event.slowdown, event.slowdown
    if state.slowdown is not None:
        past = state.slowdown.past + SMOOTHING * (value - state.slowdown.past)
    return replace_fields(state, slowdown=SlowdownTrend(value, past, event.now_ms))


def _answered_recently(state: AdmissionState, now_ms: float) -> bool:
    return now_ms - state.last_answer_ms < RECENT_ANSWER_MS


def _update_limit(
    state: AdmissionState,
    attempt: LiveAttempt,
    event: BackendFinished,
    configuration: Configuration,
) -> ConcurrencyLimit:
    slots = hard_slots(state, configuration)
    if not slots or attempt.aborted:
        return state.limit
    if event.result is BackendResult.NOT_RUN and not _answered_recently(state, event.now_ms):
        return record_refusal(state.limit, slots, event.now_ms)
    if event.result is not BackendResult.DONE:
        return state.limit
    return record_answer(
        state.limit,
        attempt.request_class,
        event.latency_ms,
        max(state.slots_held, attempt.held_at_start),
        slots,
        state.settings.admission.latency_factor,
        event.now_ms,
    )


def _report_cut(
    state: AdmissionState, limit: ConcurrencyLimit, configuration: Configuration
) -> tuple[Effect, ...]:
    """Report a cut that lowers the limit by at least one whole slot."""
    slots = hard_slots(state, configuration)
    before = int(min(state.limit.value, slots))
    after = int(min(limit.value, slots))
    if after >= before:
        return ()
    fields = (("service", state.backend.service), ("before", before), ("after", after))
    return (Report("concurrency-limit-cut", fields),)
