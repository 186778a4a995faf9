"""Removal and refusal of attempts."""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from bamboonotch_core.admission._memory import remember
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.admission._waiting import dequeue, settle_attempt
from bamboonotch_core.effects import Effect
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import OwnerLoad, RefuseWork
from bamboonotch_core.request_events import BackendResult, FenceState
from bamboonotch_core.transition import Transition

__all__ = ["limit_work", "refuse", "refuse_queued", "refuse_waiting", "remove_live_attempt"]

Step = Transition[AdmissionState]


def remove_live_attempt(
    state: AdmissionState, attempt: LiveAttempt, fence_state: FenceState, now_ms: float
) -> AdmissionState:
    """Remove a live attempt from its queue or slot and remember how it ended.

    :param fence_state: answer to a later fence, ``NOT_RUN`` or ``FINISHED``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    claimed = state.claimed
    if attempt.stage is Stage.QUEUED:
        state = dequeue(state, attempt)
    elif attempt.stage is Stage.CLAIMED:
        claimed = tuple(item for item in claimed if item != attempt.attempt_id)
    state = settle_attempt(state, attempt, now_ms)
    live = state.live.delete(attempt.attempt_id)
    return replace_fields(
        state,
        claimed=claimed,
        claims_pending=state.claims_pending - (attempt.stage is Stage.CLAIMING),
        slots_held=state.slots_held - attempt.holds_slot,
        live=live,
        # Without live attempts nobody waits, and past service counts no more.
        shares=state.shares if live else Map(),
        memory=remember(
            state.memory, attempt.attempt_id, fence_state, now_ms, state.settings.admission
        ),
    )


def refuse(
    state: AdmissionState,
    attempt_id: str,
    result: BackendResult,
    reason: str,
    now_ms: float,
) -> Step:
    """End an attempt that was not dispatched, and send the refusal to the ingress.

    :param attempt_id: id of a live attempt, or of an offered one that was not admitted.
    :param result: ``NOT_RUN`` or ``UNKNOWN``.
    :param reason: a value of ``RefusalReason``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    not_run = result is BackendResult.NOT_RUN
    fence_state = FenceState.NOT_RUN if not_run else FenceState.FINISHED
    owner_load = _owner_load(state)
    attempt = state.live.get(attempt_id)
    if attempt is not None:
        state = remove_live_attempt(state, attempt, fence_state, now_ms)
    else:
        memory = remember(state.memory, attempt_id, fence_state, now_ms, state.settings.admission)
        state = replace_fields(state, memory=memory)
    refusal = RefuseWork(attempt_id, result, reason, len(state.live), owner_load)
    return Transition(state, (refusal,))


def _owner_load(state: AdmissionState) -> OwnerLoad:
    return OwnerLoad(
        slots_held=state.slots_held,
        limit_slots=min(float(state.backend.slots), state.limit.value),
        queued=state.queued,
        service_ms=state.limit.mean_ms,
        rate_limit_per_s=None if state.rate_limit is None else state.rate_limit.named_per_s,
        waiting_workspaces=sum(share.waiting_workspaces for share in state.shares.values()),
    )


def refuse_queued(state: AdmissionState, reason: str, now_ms: float) -> Step:
    """Refuse every queued attempt as not run.

    :param reason: a value of ``RefusalReason``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    ids = [item for queue in state.queues.values() for item in queue.entries.values()]
    return _refuse_all(state, ids, reason, now_ms)


def limit_work(state: AdmissionState, end_ms: float, reason: str, now_ms: float) -> Step:
    """Refuse every queued attempt that may go on after the process, and those that come later.

    :param end_ms: by when all work must have ended, on the monotonic clock, in milliseconds.
    :param reason: a value of ``RefusalReason``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    queued = [item for queue in state.queues.values() for item in queue.entries.values()]
    late = [item for item in queued if state.live[item].deadline_ms > end_ms]
    return _refuse_all(replace_fields(state, work_end_ms=end_ms), late, reason, now_ms)


def refuse_waiting(state: AdmissionState, reason: str, now_ms: float) -> Step:
    """Refuse every queued or claimed attempt as not run.

    :param reason: a value of ``RefusalReason``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    queued = refuse_queued(state, reason, now_ms)
    claimed = _refuse_all(queued.state, queued.state.claimed, reason, now_ms)
    return Transition(claimed.state, queued.effects + claimed.effects)


def _refuse_all(state: AdmissionState, ids: Iterable[str], reason: str, now_ms: float) -> Step:
    effects: list[Effect] = []
    for attempt_id in ids:
        step = refuse(state, attempt_id, BackendResult.NOT_RUN, reason, now_ms)
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))
