"""Admission of offered attempts to a slot or a class queue, or their refusal."""

from __future__ import annotations

from bamboonotch_core.admission._capacity import (
    allowed_slots,
    count_ahead,
    expected_wait_ms,
    hard_slots,
    is_draining,
    service_time_trend,
    total_queue_limit,
)
from bamboonotch_core.admission._dispatch import fill_slots, start
from bamboonotch_core.admission._ending import refuse
from bamboonotch_core.admission._limit import service_ms
from bamboonotch_core.admission._memory import may_have_been_forgotten
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.admission._uplink import can_send_in_time
from bamboonotch_core.admission._waiting import enqueue, evicted_id, waiting_in_class
from bamboonotch_core.configuration import Configuration, RequestClass
from bamboonotch_core.outcomes import RefusalReason, parse_attempt_id
from bamboonotch_core.rate_limit import has_token, rate_wait_ms
from bamboonotch_core.request_events import BackendResult, FenceState, WorkOffered
from bamboonotch_core.transition import Transition

__all__ = ["admit"]

EXPIRY_MARGIN_SHARE = 0.05  # of the time until the deadline
# Service times vary, and the response takes time to reach the caller.
SERVICE_TIME_MARGIN_FACTOR = 1.2
# Lets attempts wait in classes whose service time alone nearly reaches the target.
MIN_WAIT_TARGET_SHARE = 0.1
# Waits up to this share of the target keep all slots busy. Longer waits only delay responses and
# refusals.
MAX_WAIT_TARGET_SHARE = 0.3
# Applies to short targets, where the share alone would refuse a burst of short calls.
MIN_WAIT_BOUND_MS = 100.0
# One tick: attempts expire on ticks, and after the deadline the ingress can only answer unknown.
MAX_EXPIRY_MARGIN_MS = 100.0

Step = Transition[AdmissionState]


def _identity_refusal(
    state: AdmissionState, event: WorkOffered
) -> tuple[BackendResult, str] | None:
    """Return a refusal when the id does not prove that the attempt never arrived before.

    An id that was not made for an incarnation of this process proves nothing. Such work is still
    taken when it is idempotent, or while this process has no incarnation.
    """
    attempt_name = parse_attempt_id(event.attempt_id)
    if attempt_name is None or attempt_name.owner_incarnation not in state.incarnations:
        if event.idempotent or not state.incarnations:
            return None
        return BackendResult.NOT_RUN, RefusalReason.OTHER_INCARNATION
    if may_have_been_forgotten(state.memory, attempt_name):
        return BackendResult.UNKNOWN, RefusalReason.FORGOTTEN
    return None


def _policy_refusal(state: AdmissionState, event: WorkOffered, configuration: Configuration) -> str:
    """Return why this node cannot take the attempt now, or an empty text when it can."""
    if event.service != state.backend.service or event.service not in configuration.services:
        return RefusalReason.WRONG_SERVICE if state.backend.service else RefusalReason.NOT_READY
    if event.request_class not in configuration.classes:
        return RefusalReason.UNKNOWN_CLASS
    if state.version_held:
        return RefusalReason.ROLLOUT_HELD
    if is_draining(state) or event.deadline_ms > state.work_end_ms:
        # Work that may outlast this process is for another owner.
        return RefusalReason.DRAINING
    if hard_slots(state, configuration) < 1:
        return RefusalReason.NOT_READY
    if event.now_ms < state.paused_until_ms:
        return RefusalReason.BACKEND_REFUSING
    if event.now_ms >= event.deadline_ms:
        return RefusalReason.DEADLINE
    if not can_send_in_time(state, event, configuration.classes[event.request_class]):
        return RefusalReason.UPLINK_FULL
    return ""


def _expiry_ms(state: AdmissionState, event: WorkOffered, request_class: RequestClass) -> float:
    """Return when an attempt is refused if it is still queued, on the monotonic clock.

    Under overload, attempts wait as long as the bound allows. If the bound were the queue timeout
    alone, every dispatched attempt could then miss the target of its class, so the target bounds
    the wait as well.
    """
    remaining_ms = event.deadline_ms - event.now_ms
    margin_ms = min(MAX_EXPIRY_MARGIN_MS, EXPIRY_MARGIN_SHARE * remaining_ms)
    wait_ms = float(request_class.queue_timeout_ms)
    if request_class.target_ms:
        expected_service_ms = SERVICE_TIME_MARGIN_FACTOR * service_ms(
            state.limit, request_class.name
        )
        expected_service_ms *= service_time_trend(state, event.now_ms)
        shortest_ms = MIN_WAIT_TARGET_SHARE * request_class.target_ms
        longest_ms = max(MIN_WAIT_BOUND_MS, MAX_WAIT_TARGET_SHARE * request_class.target_ms)
        in_time_ms = max(shortest_ms, request_class.target_ms - expected_service_ms)
        wait_ms = min(wait_ms, longest_ms, in_time_ms)
    return min(event.now_ms + wait_ms, event.deadline_ms - margin_ms)


def admit(state: AdmissionState, event: WorkOffered, configuration: Configuration) -> Step:
    """Start, queue or refuse an offered attempt; ignore one that is live or has finished.

    :param configuration: the running configuration.
    """
    if event.attempt_id in state.live:
        return Transition(state)
    remembered = state.memory.attempts.get(event.attempt_id)
    if remembered is not None:
        if remembered.state is not FenceState.NOT_RUN:
            return Transition(state)
        reason = RefusalReason.FENCED
        return refuse(state, event.attempt_id, BackendResult.NOT_RUN, reason, event.now_ms)
    refusal = _identity_refusal(state, event)
    if refusal is not None:
        return refuse(state, event.attempt_id, refusal[0], refusal[1], event.now_ms)
    reason = _policy_refusal(state, event, configuration)
    if reason:
        return refuse(state, event.attempt_id, BackendResult.NOT_RUN, reason, event.now_ms)
    return _start_or_enqueue(state, event, configuration)


def _workspace_priority(configuration: Configuration, event: WorkOffered) -> int:
    """Return the priority of the caller's workspace, or 0 without one that is known."""
    workspace = configuration.workspaces.get(event.workspace)
    return 0 if workspace is None else workspace.priority


def _start_or_enqueue(
    state: AdmissionState, event: WorkOffered, configuration: Configuration
) -> Step:
    request_class = configuration.classes[event.request_class]
    attempt = LiveAttempt(
        attempt_id=event.attempt_id,
        request_class=event.request_class,
        returning=event.returning,
        deadline_ms=event.deadline_ms,
        expires_ms=_expiry_ms(state, event, request_class),
        claim_key="" if event.idempotent else event.idempotency_key,
        stage=Stage.QUEUED,
        uses_uplink=event.uplink_ms is not None,
        workspace=event.workspace,
        rank=request_class.rank(event.returning, _workspace_priority(configuration, event)),
    )
    now_ms = event.now_ms
    allowed = allowed_slots(state, configuration, now_ms)
    in_rate = has_token(state.rate_limit, now_ms)
    free = state.slots_held < allowed and in_rate and not state.queued and not state.claimed
    if free and not (attempt.claim_key and state.claims_pending >= allowed):
        return start(state, attempt, now_ms)
    reason = _late_start_reason(state, attempt, allowed, now_ms)
    if reason:
        return refuse(state, event.attempt_id, BackendResult.NOT_RUN, reason, now_ms)
    return _enqueue(state, attempt, request_class, configuration, now_ms)


def _late_start_reason(
    state: AdmissionState, attempt: LiveAttempt, allowed: int, now_ms: float
) -> str:
    """Return why an arrival would start too late, or an empty text when it would not."""
    rank, workspace = attempt.rank, attempt.workspace
    if state.rate_limit is not None:
        ahead = count_ahead(state, rank, workspace)
        rate_ms = rate_wait_ms(state.rate_limit, ahead, now_ms)
        if rate_ms and now_ms + rate_ms >= attempt.expires_ms:
            return RefusalReason.RATE_LIMITED
    if state.slots_held < allowed:
        return ""
    slot_ms = expected_wait_ms(state, rank, workspace, attempt.request_class, allowed, now_ms)
    return RefusalReason.TOO_LATE if now_ms + slot_ms >= attempt.expires_ms else ""


def _enqueue(
    state: AdmissionState,
    attempt: LiveAttempt,
    request_class: RequestClass,
    configuration: Configuration,
    now_ms: float,
) -> Step:
    not_run = BackendResult.NOT_RUN
    class_full = (
        waiting_in_class(state, attempt.request_class, attempt.returning)
        >= request_class.queue_limit
    )
    eviction: Step = Transition(state)
    if class_full or state.queued >= total_queue_limit(configuration):
        evicted = evicted_id(state, attempt, within_class=class_full)
        if not evicted:
            return refuse(state, attempt.attempt_id, not_run, RefusalReason.QUEUE_FULL, now_ms)
        eviction = refuse(state, evicted, not_run, RefusalReason.EVICTED, now_ms)
    step = fill_slots(enqueue(eviction.state, attempt), configuration, now_ms)
    return Transition(step.state, eviction.effects + step.effects)
