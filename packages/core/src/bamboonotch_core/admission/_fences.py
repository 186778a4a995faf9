"""Fences and cancellations."""

from __future__ import annotations

from bamboonotch_core.admission._dispatch import fill_slots
from bamboonotch_core.admission._ending import refuse
from bamboonotch_core.admission._memory import may_be_forgotten, remember
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.outcomes import RefusalReason, parse_attempt_id
from bamboonotch_core.request_effects import AbortBackend, AnswerFence
from bamboonotch_core.request_events import (
    BackendResult,
    FenceReceived,
    FenceState,
    WorkCancelled,
)
from bamboonotch_core.routing import replace_fields
from bamboonotch_core.transition import Transition

__all__ = ["abort", "cancel", "fence"]

Step = Transition[AdmissionState]


def _fence_unseen(
    state: AdmissionState, attempt_id: str, now_ms: float
) -> tuple[AdmissionState, FenceState]:
    """Fence an attempt that this process does not remember.

    It is refused if it still comes. That it was not dispatched before is certain only when it was
    addressed to this process and is newer than everything that this process has forgotten.
    """
    name = parse_attempt_id(attempt_id)
    certain = (
        name is not None
        and name.owner_incarnation in state.incarnations
        and not may_be_forgotten(state.memory, name)
    )
    if not certain:
        return state, FenceState.UNKNOWN
    memory = remember(
        state.memory, attempt_id, FenceState.NOT_RUN, now_ms, state.settings.admission
    )
    return replace_fields(state, memory=memory), FenceState.NOT_RUN


def fence(state: AdmissionState, event: FenceReceived, configuration: Configuration) -> Step:
    """Answer what is known of an attempt, and make sure that it is not dispatched later.

    :param state: the state.
    :param event: the fence.
    :param configuration: the running configuration.
    """
    attempt = state.live.get(event.attempt_id)
    if attempt is None:
        known = state.memory.attempts.get(event.attempt_id)
        if known is not None:
            answer = known.state
        else:
            state, answer = _fence_unseen(state, event.attempt_id, event.now_ms)
        return Transition(state, (AnswerFence(event.fence_id, event.attempt_id, answer),))
    if attempt.stage is Stage.DISPATCHED:
        running = AnswerFence(event.fence_id, event.attempt_id, FenceState.RUNNING)
        return Transition(state, (running,))
    step = _refuse_and_fill(state, attempt, RefusalReason.FENCED, configuration, event.now_ms)
    not_run = AnswerFence(event.fence_id, event.attempt_id, FenceState.NOT_RUN)
    return Transition(step.state, (*step.effects, not_run))


def _refuse_and_fill(
    state: AdmissionState,
    attempt: LiveAttempt,
    reason: str,
    configuration: Configuration,
    now_ms: float,
) -> Step:
    step = refuse(state, attempt.attempt_id, BackendResult.NOT_RUN, reason, now_ms)
    filled = fill_slots(step.state, configuration, now_ms)
    return Transition(filled.state, step.effects + filled.effects)


def abort(state: AdmissionState, attempt: LiveAttempt) -> Step:
    """Tell the backend server to stop a dispatched attempt.

    :param state: the state.
    :param attempt: the attempt.
    """
    if attempt.aborted:
        return Transition(state)
    stopped = replace_fields(attempt, aborted=True)
    state = replace_fields(state, live=state.live.set(attempt.attempt_id, stopped))
    return Transition(state, (AbortBackend(attempt.attempt_id),))


def cancel(state: AdmissionState, event: WorkCancelled, configuration: Configuration) -> Step:
    """Give up an attempt, also one that has not come yet.

    :param state: the state.
    :param event: the cancellation.
    :param configuration: the running configuration.
    """
    attempt = state.live.get(event.attempt_id)
    if attempt is None:
        if event.attempt_id not in state.memory.attempts:
            state, _ = _fence_unseen(state, event.attempt_id, event.now_ms)
        return Transition(state)
    if attempt.stage is Stage.DISPATCHED:
        return abort(state, attempt)
    return _refuse_and_fill(state, attempt, RefusalReason.CANCELLED, configuration, event.now_ms)
