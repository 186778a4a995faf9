"""Handling of deadlines and fence timeouts, and removal of entries no longer used."""

from __future__ import annotations

import math

from immutables import Map

from bamboonotch_core.effects import Effect
from bamboonotch_core.outcomes._attempts import end_attempt, finish_request
from bamboonotch_core.outcomes._copies import (
    cancel_effects,
    copy_failure_report,
    end_request,
    end_unknown_attempt,
    find_attempt,
)
from bamboonotch_core.outcomes._hedge_state import forget_services
from bamboonotch_core.outcomes._quota import forget_request, refuse_unconfirmed
from bamboonotch_core.outcomes._reasons import AnswerReason
from bamboonotch_core.outcomes._state import Attempt, OutcomeState, PendingRequest, Phase
from bamboonotch_core.quotas import drop_workspaces
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import Outcome, SendFence
from bamboonotch_core.routing import RoutingTable, Verdict, subset_size
from bamboonotch_core.transition import Transition

__all__ = ["end_unanswered", "expire", "fence_effect"]

CLEANUP_INTERVAL_MS = 10_000.0
MIN_COUNTED_MS = 1000.0  # the first interval may be short
MS_PER_S = 1000.0
MIN_SILENCE_MS = 500.0  # callers that set very short timeouts must not eject healthy owners

Step = Transition[OutcomeState]


def fence_effect(request: PendingRequest) -> tuple[Effect, ...]:
    """Return the effects that fence the current attempt of a request.

    :returns: one effect, or none when the request has no attempt.
    """
    attempt = request.attempt
    if attempt is None:
        return ()
    owner = attempt.owner
    return (SendFence(request.request_id, attempt.attempt_id, owner.node_id, owner.peer_address),)


def _deadline_verdict(attempt: Attempt, phase: Phase, now_ms: float) -> int:
    """Return the verdict on the owner of an attempt whose deadline has passed.

    An owner that has not responded counts as failed if it had at least ``MIN_SILENCE_MS`` to do so.
    """
    if phase in (Phase.RESPONDING, Phase.HELD):
        return Verdict.NONE
    waited_ms = now_ms - attempt.started_ms
    return Verdict.FAILED if waited_ms >= MIN_SILENCE_MS else Verdict.NONE


def _handle_deadline(state: OutcomeState, request: PendingRequest, now_ms: float) -> Step:
    """End a request whose deadline has passed.

    The attempt was sent, and nothing proves that it was not run, so the outcome is unknown. A
    caller that already receives a response gets no other answer.
    """
    state, cancels, reports = end_request(
        state,
        request,
        lambda attempt, phase: _deadline_verdict(attempt, phase, now_ms),
        AnswerReason.DEADLINE,
        now_ms,
    )
    step = finish_request(state, request, Outcome.UNKNOWN, AnswerReason.DEADLINE, now_ms)
    answers = step.effects if request.phase is not Phase.RESPONDING else ()
    return Transition(step.state, (*cancels, *answers, *reports))


def _handle_fence_due(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> Step:
    """Fence a running attempt again, or end an attempt whose fence was not answered in time."""
    if request.phase is Phase.RUNNING:
        fence_due_ms = now_ms + state.settings.requests.fence_timeout_ms
        fencing_request = replace_fields(request, phase=Phase.FENCING, fence_due_ms=fence_due_ms)
        state = replace_fields(
            state, requests=state.requests.set(request.request_id, fencing_request)
        )
        return Transition(state, fence_effect(request))
    cancel = cancel_effects(request)
    state, reports = end_attempt(state, request, Verdict.FAILED, now_ms)
    reports = (*reports, *copy_failure_report(request, AnswerReason.OWNER_LOST, now_ms))
    step = end_unknown_attempt(state, request, table, now_ms, AnswerReason.OWNER_LOST)
    return Transition(step.state, (*cancel, *step.effects, *reports))


def _fence_due_ms(request: PendingRequest) -> float:
    """Return when the first fence of the attempts of a request is due, in milliseconds."""
    if request.other is None:
        return request.fence_due_ms
    return min(request.fence_due_ms, request.other.fence_due_ms)


def _handle_fences_due(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> Step:
    """Handle the fence of each attempt of a request that is due."""
    due_ids = []
    if request.attempt is not None and now_ms >= request.fence_due_ms:
        due_ids.append(request.attempt.attempt_id)
    if request.other is not None and now_ms >= request.other.fence_due_ms:
        due_ids.append(request.other.attempt.attempt_id)
    effects: list[Effect] = []
    for attempt_id in due_ids:
        current = find_attempt(state.requests.get(request.request_id), attempt_id)
        if current is None or now_ms < current.fence_due_ms:
            continue
        step = _handle_fence_due(state, current, table, now_ms)
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))


def _earliest_expiry_ms(state: OutcomeState) -> float:
    times = (
        min(request.deadline_ms, _fence_due_ms(request), request.token_due_ms)
        for request in state.requests.values()
    )
    return min(times, default=math.inf)


def _clean_up(state: OutcomeState, table: RoutingTable, now_ms: float) -> OutcomeState:
    known_owner_ids = {
        owner.node_id
        for service_owners in table.services.values()
        for owner in service_owners.owners
    }
    views = state.views
    for node_id, view in state.views.items():
        if node_id not in known_owner_ids and not view.in_flight:
            views = views.delete(node_id)
    candidates = state.candidates
    retry_tokens = state.retry_tokens
    for service in [name for name in candidates if name not in table.services]:
        candidates = candidates.delete(service)
    for service in [name for name in retry_tokens if name not in table.services]:
        retry_tokens = retry_tokens.delete(service)
    return replace_fields(
        state,
        quotas=drop_workspaces(state.quotas, table.configuration.workspaces, now_ms),
        views=views,
        candidates=candidates,
        retry_tokens=retry_tokens,
        hedging=forget_services(state.hedging, table.services),
        subset_sizes=_subset_sizes(state, table, now_ms),
        sent=Map(),
        counted_from_ms=now_ms,
        next_cleanup_ms=now_ms + CLEANUP_INTERVAL_MS,
    )


def _subset_sizes(state: OutcomeState, table: RoutingTable, now_ms: float) -> Map[str, int]:
    """Return the size of the subset of each service that this node has lately sent requests to."""
    elapsed_s = max(MIN_COUNTED_MS, now_ms - state.counted_from_ms) / MS_PER_S
    return Map(
        {
            service: subset_size(
                state.settings,
                len(table.services),
                count / elapsed_s,
                state.subset_sizes.get(service, 0),
            )
            for service, count in state.sent.items()
            if service in table.services
        }
    )


def end_unanswered(state: OutcomeState, now_ms: float) -> Step:
    """End every request whose response has not begun, because the process ends.

    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state and the effects of all requests that were ended.
    """
    effects: list[Effect] = []
    for request in state.requests.values():
        if request.phase is Phase.RESPONDING:
            continue
        reason = AnswerReason.SHUTTING_DOWN
        outcome = Outcome.NOT_RUN if request.token_due_ms < math.inf else Outcome.UNKNOWN
        state = forget_request(state, request)
        state, cancels, reports = end_request(
            state, request, lambda attempt, phase: Verdict.NONE, reason, now_ms
        )
        step = finish_request(state, request, outcome, reason, now_ms)
        effects.extend((*cancels, *step.effects, *reports))
    return Transition(state, tuple(effects))


def expire(state: OutcomeState, table: RoutingTable, now_ms: float) -> Step:
    """Handle the deadlines and fences that are due, and remove unused entries periodically.

    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state and the effects of all requests that were due.
    """
    effects: list[Effect] = []
    if now_ms >= state.next_expiry_ms:
        for request in state.requests.values():
            if now_ms >= request.token_due_ms:
                step = refuse_unconfirmed(state, request, now_ms)
            elif now_ms >= request.deadline_ms:
                step = _handle_deadline(state, request, now_ms)
            elif now_ms >= _fence_due_ms(request):
                step = _handle_fences_due(state, request, table, now_ms)
            else:
                continue
            state = step.state
            effects.extend(step.effects)
        state = replace_fields(state, next_expiry_ms=_earliest_expiry_ms(state))
    if now_ms >= state.next_cleanup_ms:
        state = _clean_up(state, table, now_ms)
    return Transition(state, tuple(effects))
