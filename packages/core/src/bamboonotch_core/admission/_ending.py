"""Removal of live attempts and the refusals that go with it."""

from __future__ import annotations

from bamboonotch_core.admission._memory import remember
from bamboonotch_core.admission._queue import remove
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, Stage
from bamboonotch_core.effects import Effect
from bamboonotch_core.request_effects import RefuseWork
from bamboonotch_core.request_events import BackendResult, FenceState
from bamboonotch_core.routing import replace_fields
from bamboonotch_core.transition import Transition

__all__ = ["refuse", "refuse_waiting", "remove_live", "waiting_ids"]

Step = Transition[AdmissionState]


def remove_live(
    state: AdmissionState, attempt: LiveAttempt, fence_state: FenceState, now_ms: float
) -> AdmissionState:
    """Take an attempt out of its queue or slot and remember how it ended.

    :param state: the state.
    :param attempt: a live attempt.
    :param fence_state: what a later fence is to be told.
    :param now_ms: monotonic clock, in milliseconds.
    """
    queues = state.queues
    claimed = state.claimed
    if attempt.stage is Stage.QUEUED:
        name = attempt.request_class
        queue = remove(queues[name], attempt.place)
        queues = queues.set(name, queue) if queue.entries else queues.delete(name)
    elif attempt.stage is Stage.CLAIMED:
        claimed = tuple(item for item in claimed if item != attempt.attempt_id)
    return replace_fields(
        state,
        queues=queues,
        claimed=claimed,
        queued=state.queued - (attempt.stage is Stage.QUEUED),
        claims_pending=state.claims_pending - (attempt.stage is Stage.CLAIMING),
        slots_held=state.slots_held - attempt.holds_slot,
        live=state.live.delete(attempt.attempt_id),
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
    """End an attempt that was not dispatched, live or just offered, and tell the ingress.

    :param state: the state.
    :param attempt_id: the attempt.
    :param result: ``NOT_RUN`` or ``UNKNOWN``.
    :param reason: why.
    :param now_ms: monotonic clock, in milliseconds.
    """
    not_run = result is BackendResult.NOT_RUN
    fence_state = FenceState.NOT_RUN if not_run else FenceState.FINISHED
    attempt = state.live.get(attempt_id)
    if attempt is not None:
        state = remove_live(state, attempt, fence_state, now_ms)
    else:
        memory = remember(state.memory, attempt_id, fence_state, now_ms, state.settings.admission)
        state = replace_fields(state, memory=memory)
    return Transition(state, (RefuseWork(attempt_id, result, reason, len(state.live)),))


def waiting_ids(state: AdmissionState) -> list[str]:
    """Return the ids of all attempts that wait for a slot.

    :param state: the state.
    """
    ids = list(state.claimed)
    for queue in state.queues.values():
        ids.extend(queue.entries.values())
    return ids


def refuse_waiting(state: AdmissionState, reason: str, now_ms: float) -> Step:
    """Refuse every attempt that waits for a slot as not run.

    :param state: the state.
    :param reason: why.
    :param now_ms: monotonic clock, in milliseconds.
    """
    effects: list[Effect] = []
    for attempt_id in waiting_ids(state):
        step = refuse(state, attempt_id, BackendResult.NOT_RUN, reason, now_ms)
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))
