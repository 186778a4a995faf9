"""Admission of offered work: to a slot, to the queue of its class, or refused."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import (
    allowed_slots,
    expected_wait_ms,
    hard_slots,
    is_draining,
    total_queue_limit,
)
from bamboonotch_core.admission._dispatch import fill_slots, start
from bamboonotch_core.admission._ending import refuse
from bamboonotch_core.admission._limit import service_ms
from bamboonotch_core.admission._memory import may_be_forgotten
from bamboonotch_core.admission._queue import ClassQueue, newest_id, push
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.configuration import Configuration, RequestClass
from bamboonotch_core.outcomes import RefusalReason, parse_attempt_id
from bamboonotch_core.request_events import BackendResult, FenceState, WorkOffered
from bamboonotch_core.routing import replace_fields
from bamboonotch_core.transition import Transition

__all__ = ["admit"]

EXPIRY_MARGIN_SHARE = 0.05
TYPICAL_FACTOR = 1.2  # service times vary, and the way to the caller takes time as well
MIN_WAIT_SHARE = 0.1  # of the target, for classes that hardly meet it without any wait
# A queue of this share of the target keeps all slots busy. A longer one only delays what is served
# and what is refused.
MAX_WAIT_SHARE = 0.3
LONG_WAIT_MS = 100.0  # shorter waits are not cut, or a burst of short calls would be refused
MAX_EXPIRY_MARGIN_MS = 100.0  # one tick, after which the ingress can only answer unknown

Step = Transition[AdmissionState]


def _identity_refusal(
    state: AdmissionState, event: WorkOffered
) -> tuple[BackendResult, str] | None:
    """Refuse work whose id does not prove that it was never here before."""
    name = parse_attempt_id(event.attempt_id)
    if name is None or name.owner_incarnation not in state.incarnations:
        if event.idempotent or not state.incarnations:
            return None
        return BackendResult.NOT_RUN, RefusalReason.OTHER_INCARNATION
    if may_be_forgotten(state.memory, name):
        return BackendResult.UNKNOWN, RefusalReason.FORGOTTEN
    return None


def _policy_refusal(state: AdmissionState, event: WorkOffered, configuration: Configuration) -> str:
    if event.service != state.backend.service or event.service not in configuration.services:
        return RefusalReason.WRONG_SERVICE if state.backend.service else RefusalReason.NOT_READY
    if event.request_class not in configuration.classes:
        return RefusalReason.UNKNOWN_CLASS
    if is_draining(state):
        return RefusalReason.DRAINING
    if hard_slots(state, configuration) < 1:
        return RefusalReason.NOT_READY
    if event.now_ms < state.paused_until_ms:
        return RefusalReason.BACKEND_REFUSING
    if event.now_ms >= event.deadline_ms:
        return RefusalReason.DEADLINE
    return ""


def _expiry_ms(state: AdmissionState, event: WorkOffered, request_class: RequestClass) -> float:
    """Return when an attempt leaves the queue.

    Under overload every queue is as long as it may be. With a bound on the wait alone, all that is
    served would then miss the target of its class.
    """
    remaining_ms = event.deadline_ms - event.now_ms
    margin_ms = min(MAX_EXPIRY_MARGIN_MS, EXPIRY_MARGIN_SHARE * remaining_ms)
    wait_ms = float(request_class.queue_timeout_ms)
    if request_class.target_ms:
        typical_ms = TYPICAL_FACTOR * service_ms(state.limit, request_class.name)
        shortest_ms = MIN_WAIT_SHARE * request_class.target_ms
        longest_ms = max(LONG_WAIT_MS, MAX_WAIT_SHARE * request_class.target_ms)
        in_time_ms = max(shortest_ms, request_class.target_ms - typical_ms)
        wait_ms = min(wait_ms, longest_ms, in_time_ms)
    return min(event.now_ms + wait_ms, event.deadline_ms - margin_ms)


def admit(state: AdmissionState, event: WorkOffered, configuration: Configuration) -> Step:
    """Admit or refuse an attempt.

    :param state: the state.
    :param event: the offer.
    :param configuration: the running configuration.
    """
    if event.attempt_id in state.live:
        return Transition(state)
    known = state.memory.attempts.get(event.attempt_id)
    if known is not None:
        if known.state is not FenceState.NOT_RUN:
            return Transition(state)
        reason = RefusalReason.FENCED
        return refuse(state, event.attempt_id, BackendResult.NOT_RUN, reason, event.now_ms)
    refusal = _identity_refusal(state, event)
    if refusal is not None:
        return refuse(state, event.attempt_id, refusal[0], refusal[1], event.now_ms)
    reason = _policy_refusal(state, event, configuration)
    if reason:
        return refuse(state, event.attempt_id, BackendResult.NOT_RUN, reason, event.now_ms)
    return _admit_checked(state, event, configuration)


def _admit_checked(state: AdmissionState, event: WorkOffered, configuration: Configuration) -> Step:
    request_class = configuration.classes[event.request_class]
    attempt = LiveAttempt(
        attempt_id=event.attempt_id,
        request_class=event.request_class,
        returning=event.returning,
        deadline_ms=event.deadline_ms,
        expires_ms=_expiry_ms(state, event, request_class),
        claim_key="" if event.idempotent else event.idempotency_key,
        stage=Stage.QUEUED,
    )
    allowed = allowed_slots(state, configuration, event.now_ms)
    free = state.slots_held < allowed and not state.queued and not state.claimed
    if free and not (attempt.claim_key and state.claims_pending >= allowed):
        return start(state, attempt, event.now_ms)
    rank = request_class.rank(event.returning)
    expected_ms = event.now_ms + expected_wait_ms(state, rank, allowed)
    if state.slots_held >= allowed and expected_ms >= attempt.expires_ms:
        reason = RefusalReason.TOO_LATE
        return refuse(state, event.attempt_id, BackendResult.NOT_RUN, reason, event.now_ms)
    return _queue(state, attempt, request_class, configuration, event.now_ms)


def _lowest_queue(state: AdmissionState) -> ClassQueue | None:
    return max(state.queues.values(), key=lambda queue: queue.rank, default=None)


def _queue(
    state: AdmissionState,
    attempt: LiveAttempt,
    request_class: RequestClass,
    configuration: Configuration,
    now_ms: float,
) -> Step:
    queue = state.queues.get(attempt.queue_key)
    if queue is None:
        queue = ClassQueue(request_class.rank(attempt.returning))
    not_run = BackendResult.NOT_RUN
    if len(queue.entries) >= request_class.queue_limit:
        return refuse(state, attempt.attempt_id, not_run, RefusalReason.QUEUE_FULL, now_ms)
    before: Step = Transition(state)
    if state.queued >= total_queue_limit(configuration):
        lowest = _lowest_queue(state)
        if lowest is None or lowest.rank <= queue.rank:
            return refuse(state, attempt.attempt_id, not_run, RefusalReason.QUEUE_FULL, now_ms)
        before = refuse(state, newest_id(lowest), not_run, RefusalReason.EVICTED, now_ms)
    step = _push(before.state, attempt, queue, configuration, now_ms)
    return Transition(step.state, before.effects + step.effects)


def _push(
    state: AdmissionState,
    attempt: LiveAttempt,
    queue: ClassQueue,
    configuration: Configuration,
    now_ms: float,
) -> Step:
    queue, place = push(queue, attempt.attempt_id)
    attempt = replace_fields(attempt, place=place, ticket=state.next_ticket)
    state = replace_fields(
        state,
        queues=state.queues.set(attempt.queue_key, queue),
        queued=state.queued + 1,
        next_ticket=state.next_ticket + 1,
        next_expiry_ms=min(state.next_expiry_ms, attempt.expires_ms),
        live=state.live.set(attempt.attempt_id, attempt),
    )
    return fill_slots(state, configuration, now_ms)
