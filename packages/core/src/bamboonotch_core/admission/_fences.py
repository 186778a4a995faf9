"""Fences and cancellations."""

from __future__ import annotations

from bamboonotch_core.admission._dispatch import fill_slots
from bamboonotch_core.admission._ending import refuse
from bamboonotch_core.admission._memory import may_have_been_forgotten, remember
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.outcomes import RefusalReason, parse_attempt_id
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import AbortBackend, AnswerFence
from bamboonotch_core.request_events import (
    BackendResult,
    FenceReceived,
    FenceState,
    WorkCancelled,
)
from bamboonotch_core.transition import Transition

__all__ = ["abort", "cancel", "fence"]

Step = Transition[AdmissionState]


def _fence_unremembered(
    state: AdmissionState, attempt_id: str, now_ms: float
) -> tuple[AdmissionState, FenceState]:
    """Fence an attempt that this process does not remember.

    The attempt was provably not dispatched when it was addressed to this process and its sequence
    number is above all numbers of its ingress process that this process has forgotten. Only then
    is it remembered as not run, so that it is refused if it arrives later.
    """
    attempt_name = parse_attempt_id(attempt_id)
    provably_not_run = (
        attempt_name is not None
        and attempt_name.owner_incarnation in state.incarnations
        and not may_have_been_forgotten(state.memory, attempt_name)
    )
    if not provably_not_run:
        return state, FenceState.UNKNOWN
    memory = remember(
        state.memory, attempt_id, FenceState.NOT_RUN, now_ms, state.settings.admission
    )
    return replace_fields(state, memory=memory), FenceState.NOT_RUN


def fence(state: AdmissionState, event: FenceReceived, configuration: Configuration) -> Step:
    """Answer a fence, and refuse the attempt if it is waiting or being claimed.

    An attempt that is not remembered is refused on arrival when the answer was ``NOT_RUN``.

    :param configuration: the running configuration.
    """
    attempt = state.live.get(event.attempt_id)
    if attempt is None:
        remembered = state.memory.attempts.get(event.attempt_id)
        if remembered is not None:
            answer = remembered.state
        else:
            state, answer = _fence_unremembered(state, event.attempt_id, event.now_ms)
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
    """Tell the backend server once to stop a dispatched attempt."""
    if attempt.aborted:
        return Transition(state)
    stopped = replace_fields(attempt, aborted=True)
    state = replace_fields(state, live=state.live.set(attempt.attempt_id, stopped))
    return Transition(state, (AbortBackend(attempt.attempt_id),))


def cancel(state: AdmissionState, event: WorkCancelled, configuration: Configuration) -> Step:
    """Refuse or abort a live attempt, or fence one that has not arrived yet.

    :param configuration: the running configuration.
    """
    attempt = state.live.get(event.attempt_id)
    if attempt is None:
        if event.attempt_id not in state.memory.attempts:
            state, _ = _fence_unremembered(state, event.attempt_id, event.now_ms)
        return Transition(state)
    if attempt.stage is Stage.DISPATCHED:
        return abort(state, attempt)
    return _refuse_and_fill(state, attempt, RefusalReason.CANCELLED, configuration, event.now_ms)
