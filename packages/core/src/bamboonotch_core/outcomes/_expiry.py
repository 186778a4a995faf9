"""Deadlines, fence timeouts and the dropping of views that are no longer used."""

from __future__ import annotations

import math

from bamboonotch_core.effects import Effect
from bamboonotch_core.outcomes._attempts import end_attempt, finish, on_unknown
from bamboonotch_core.outcomes._reasons import AnswerReason
from bamboonotch_core.outcomes._state import OutcomeState, PendingRequest, Phase
from bamboonotch_core.request_effects import CancelAttempt, Outcome, SendFence
from bamboonotch_core.routing import RoutingTable, Verdict, replace_fields
from bamboonotch_core.transition import Transition

__all__ = ["cancel_effects", "expire", "fence_effect"]

CLEANUP_INTERVAL_MS = 10_000.0
MIN_SILENCE_MS = 500.0  # callers that set very short timeouts must not eject healthy owners

Step = Transition[OutcomeState]


def cancel_effects(request: PendingRequest) -> tuple[Effect, ...]:
    """Return the effects that give the current attempt up.

    :param request: the request.
    """
    attempt = request.attempt
    if attempt is None:
        return ()
    return (CancelAttempt(request.request_id, attempt.attempt_id, attempt.owner.node_id),)


def fence_effect(request: PendingRequest) -> tuple[Effect, ...]:
    """Return the effect that fences the current attempt.

    :param request: the request.
    """
    attempt = request.attempt
    if attempt is None:
        return ()
    owner = attempt.owner
    return (SendFence(request.request_id, attempt.attempt_id, owner.node_id, owner.peer_address),)


def _deadline_verdict(request: PendingRequest, now_ms: float) -> int:
    """Count silence against the owner, unless the caller hardly gave it any time."""
    attempt = request.attempt
    if attempt is None or request.phase is Phase.RESPONDING:
        return Verdict.NONE
    waited_ms = now_ms - attempt.started_ms
    return Verdict.FAILED if waited_ms >= MIN_SILENCE_MS else Verdict.NONE


def _pass_deadline(state: OutcomeState, request: PendingRequest, now_ms: float) -> Step:
    """End a request whose caller stops waiting; its attempt was sent, so nothing proves not-run."""
    state, reports = end_attempt(state, request, _deadline_verdict(request, now_ms), now_ms)
    step = finish(state, request, Outcome.UNKNOWN, AnswerReason.DEADLINE, now_ms)
    answers = step.effects if request.phase is not Phase.RESPONDING else ()
    return Transition(step.state, (*cancel_effects(request), *answers, *reports))


def _pass_check(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> Step:
    if request.phase is Phase.RUNNING:
        check_ms = now_ms + state.settings.requests.fence_timeout_ms
        asked = replace_fields(request, phase=Phase.FENCING, check_ms=check_ms)
        state = replace_fields(state, requests=state.requests.set(request.request_id, asked))
        return Transition(state, fence_effect(request))
    cancel = cancel_effects(request)
    state, reports = end_attempt(state, request, Verdict.FAILED, now_ms)
    step = on_unknown(state, request, table, now_ms, AnswerReason.OWNER_LOST)
    return Transition(step.state, (*cancel, *step.effects, *reports))


def _earliest_check(state: OutcomeState) -> float:
    times = (min(item.deadline_ms, item.check_ms) for item in state.requests.values())
    return min(times, default=math.inf)


def _clean_up(state: OutcomeState, table: RoutingTable, now_ms: float) -> OutcomeState:
    known = {owner.node_id for item in table.services.values() for owner in item.owners}
    views = state.views
    for node_id, view in state.views.items():
        if node_id not in known and not view.in_flight:
            views = views.delete(node_id)
    candidates = state.candidates
    tokens = state.tokens
    for service in [name for name in candidates if name not in table.services]:
        candidates = candidates.delete(service)
    for service in [name for name in tokens if name not in table.services]:
        tokens = tokens.delete(service)
    return replace_fields(
        state,
        views=views,
        candidates=candidates,
        tokens=tokens,
        next_cleanup_ms=now_ms + CLEANUP_INTERVAL_MS,
    )


def expire(state: OutcomeState, table: RoutingTable, now_ms: float) -> Step:
    """Carry out what is due.

    :param state: the state.
    :param table: the routing table.
    :param now_ms: monotonic clock, in milliseconds.
    """
    effects: list[Effect] = []
    if now_ms >= state.next_check_ms:
        for request in state.requests.values():
            if now_ms >= request.deadline_ms:
                step = _pass_deadline(state, request, now_ms)
            elif now_ms >= request.check_ms:
                step = _pass_check(state, request, table, now_ms)
            else:
                continue
            state = step.state
            effects.extend(step.effects)
        state = replace_fields(state, next_check_ms=_earliest_check(state))
    if now_ms >= state.next_cleanup_ms:
        state = _clean_up(state, table, now_ms)
    return Transition(state, tuple(effects))
