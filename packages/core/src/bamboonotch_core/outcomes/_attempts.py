"""Start and end of attempts, and the handling of attempts that end without a response."""

from __future__ import annotations

import math
from collections.abc import Collection

from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.outcomes._answers import make_answer
from bamboonotch_core.outcomes._attempt_id import make_attempt_id
from bamboonotch_core.outcomes._budget import take_token
from bamboonotch_core.outcomes._reasons import OVERLOAD_REASONS, AnswerReason
from bamboonotch_core.outcomes._state import Attempt, OutcomeState, PendingRequest, Phase
from bamboonotch_core.outcomes._versions import update_version_candidates
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import ForwardAttempt, Outcome
from bamboonotch_core.routing import (
    UNKNOWN_WORK,
    CandidateSet,
    Owner,
    OwnerView,
    RoutingTable,
    ViewChange,
    choose_owner,
    count_ejected,
    has_no_room,
    record_end,
    record_forward,
    select_candidates,
    view_of,
)
from bamboonotch_core.transition import Transition

__all__ = [
    "end_attempt",
    "finish_request",
    "forward_request",
    "on_not_run",
    "on_unknown",
    "record_attempt_end",
    "start_attempt",
    "update_candidates",
]

Step = Transition[OutcomeState]


def update_candidates(
    state: OutcomeState, service: str, table: RoutingTable
) -> tuple[OutcomeState, CandidateSet | None]:
    """Return the owners of a service that this ingress uses, and the state that remembers them."""
    source = table.services.get(service)
    if source is None or not source.owners:
        return state, None
    candidates = state.candidates.get(service)
    size = state.subset_sizes.get(service, state.settings.requests.owners_per_service)
    if candidates is None or candidates.source is not source or candidates.max_owners != size:
        candidates = select_candidates(state.settings, source, size)
        state = replace_fields(state, candidates=state.candidates.set(service, candidates))
    return state, candidates


def start_attempt(
    state: OutcomeState, request: PendingRequest, owner: Owner, seed: int, now_ms: float
) -> Step:
    """Send a request to an owner as its current attempt.

    :param owner: the owner, which the request has not tried.
    :param seed: seed for the next random number.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state and the effect that forwards the request.
    """
    attempt_id = make_attempt_id(
        request.request_id, state.ingress_tag, state.next_sequence, owner.incarnation
    )
    request = replace_fields(
        request,
        attempt=Attempt(attempt_id, owner, now_ms),
        phase=Phase.WAITING,
        fence_due_ms=math.inf,
        tried_owner_ids=(*request.tried_owner_ids, owner.node_id),
    )
    view = record_forward(view_of(state.views, owner), attempt_id)
    state = replace_fields(
        state,
        seed=seed,
        next_sequence=state.next_sequence + 1,
        sent=state.sent.set(request.service, state.sent.get(request.service, 0) + 1),
        next_expiry_ms=min(state.next_expiry_ms, request.deadline_ms),
        requests=state.requests.set(request.request_id, request),
        views=state.views.set(owner.node_id, view),
    )
    effect = ForwardAttempt(
        request_id=request.request_id,
        attempt_id=attempt_id,
        owner_id=owner.node_id,
        owner_address=owner.peer_address,
        service=request.service,
        request_class=request.request_class,
        deadline_ms=request.deadline_ms,
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        attempt=request.header_attempt,
        returning=request.returning,
        workspace=request.workspace,
    )
    return Transition(state, (effect,))


def forward_request(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float, reason: str
) -> Step:
    """Send a request to an owner that it has not tried, or answer that it was not run.

    :param request: the request, which has no attempt in progress.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why the last attempt ended, for the answer when no owner is left; empty before
        the first attempt.
    :returns: the new state and the effect that forwards or answers the request.
    """
    traffic = state.traffic.get(request.service)
    if traffic is None:
        state, candidates = update_candidates(state, request.service, table)
    else:
        state, candidates = update_version_candidates(state, request, traffic, table)
    if candidates is None:
        return finish_request(
            state, request, Outcome.NOT_RUN, reason or AnswerReason.NO_OWNER, now_ms
        )
    choice = choose_owner(
        candidates,
        state.views,
        state.settings.requests,
        now_ms,
        state.seed,
        _excluded_owner_ids(state, request, candidates, now_ms),
        request.idempotent,
        state.work_estimates.get((request.service, request.request_class), UNKNOWN_WORK),
    )
    if choice.owner is None:
        return finish_request(
            state, request, Outcome.NOT_RUN, reason or AnswerReason.NO_OWNER, now_ms
        )
    return start_attempt(state, request, choice.owner, choice.seed, now_ms)


def _excluded_owner_ids(
    state: OutcomeState, request: PendingRequest, candidates: CandidateSet, now_ms: float
) -> Collection[str]:
    """Return the owners that a request is not sent to.

    After the first attempt these are the owners tried and the owners that recently had no room.
    Under overload every owner refuses, and sending each request to each of them adds to the load.
    The first attempt excludes no owner, because room for short work returns within milliseconds.
    """
    if not request.tried_owner_ids:
        return ()
    full_owner_ids = {
        owner.node_id
        for owner in candidates.owners
        if has_no_room(view_of(state.views, owner), request.rank, request.workspace, now_ms)
    }
    return full_owner_ids.union(request.tried_owner_ids)


def _retry_after_ms(
    state: OutcomeState, request: PendingRequest, reason: str, now_ms: float
) -> int:
    """Return the wait before a repeat, in milliseconds.

    Overload lasts longer than the wait after any other refusal. A repeat during the same overload
    would only displace a request that can still be answered in time.
    """
    settings = state.settings.requests
    if reason not in OVERLOAD_REASONS:
        return settings.retry_after_ms
    left_ms = request.caller_gives_up_ms - now_ms
    return max(settings.retry_after_ms, int(settings.overload_retry_share * left_ms))


def finish_request(
    state: OutcomeState, request: PendingRequest, outcome: Outcome, reason: str, now_ms: float
) -> Step:
    """Answer a request for which no attempt follows.

    :param state: the state, which does not contain the request.
    :param outcome: outcome of the last attempt; the answer is ``UNKNOWN`` when an earlier attempt
        may have run.
    :param reason: why the request has no response, as sent to the caller.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the unchanged state and the answer.
    """
    if request.may_have_run:
        outcome = Outcome.UNKNOWN
    retry_after_ms = _retry_after_ms(state, request, reason, now_ms)
    return Transition(state, (make_answer(request.request_id, outcome, reason, retry_after_ms),))


def end_attempt(
    state: OutcomeState, request: PendingRequest, verdict: int, now_ms: float
) -> tuple[OutcomeState, tuple[Effect, ...]]:
    """Remove a request and record the end of its attempt in the view of the owner.

    :param verdict: a value of :class:`bamboonotch_core.routing.Verdict`.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state, and a report when the owner was ejected or recovered.
    """
    state = replace_fields(state, requests=state.requests.delete(request.request_id))
    if request.attempt is None:
        return state, ()
    return record_attempt_end(state, request, request.attempt, verdict, now_ms)


def record_attempt_end(
    state: OutcomeState, request: PendingRequest, attempt: Attempt, verdict: int, now_ms: float
) -> tuple[OutcomeState, tuple[Effect, ...]]:
    """Record the end of an attempt in the view of its owner.

    :param request: the request of the attempt.
    :param verdict: a value of :class:`bamboonotch_core.routing.Verdict`.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state, and a report when the owner was ejected or recovered.
    """
    view = state.views.get(attempt.owner.node_id)
    if view is None or view.incarnation != attempt.owner.incarnation:
        return state, ()
    change = record_end(
        view,
        attempt.attempt_id,
        verdict,
        _may_eject(state, request, view),
        state.settings.requests,
        now_ms,
    )
    state = replace_fields(state, views=state.views.set(view.node_id, change.view))
    if not change.report:
        return state, ()
    return state, (_make_owner_report(change, request),)


def _may_eject(state: OutcomeState, request: PendingRequest, view: OwnerView) -> bool:
    """Return whether one more failure may eject an owner.

    The failure must reach the bound of consecutive failures, and at most half of the candidates
    may be ejected afterwards.
    """
    if view.failures + 1 < state.settings.requests.ejection_failures:
        return False
    candidates = state.candidates.get(request.service)
    if candidates is None:
        return False
    return count_ejected(candidates, state.views) < len(candidates.owners) // 2


def _make_owner_report(change: ViewChange, request: PendingRequest) -> Report:
    fields = (
        ("owner", change.view.node_id),
        ("service", request.service),
        ("ejections", change.view.ejections),
        ("until_ms", change.view.ejected_until_ms),
    )
    return Report(change.report, fields)


def _deadline_passed(request: PendingRequest, now_ms: float) -> bool:
    return now_ms >= request.deadline_ms


def on_not_run(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
    reached_backend: bool,
) -> Step:
    """Try another owner after a proof that the attempt was not run, or answer the caller.

    The request has no other attempt in progress.

    When a backend server itself refused the attempt, the next one counts as a retry and needs a
    token. When the attempt reached no backend server, the next one needs no token.

    :param state: the state, from which the request has been removed.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why the attempt was not run.
    :param reached_backend: whether the attempt reached the backend server.
    :returns: the new state and the effect that forwards or answers the request.
    """
    if _deadline_passed(request, now_ms):
        return finish_request(state, request, Outcome.NOT_RUN, AnswerReason.DEADLINE, now_ms)
    if len(request.tried_owner_ids) >= state.settings.requests.max_owners_tried:
        return finish_request(state, request, Outcome.NOT_RUN, reason, now_ms)
    if reached_backend:
        return _retry(state, request, table, now_ms, reason, Outcome.NOT_RUN)
    return forward_request(state, request, table, now_ms, reason)


def on_unknown(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
) -> Step:
    """Retry idempotent work within the retry budget, or answer that the outcome is unknown.

    :param state: the state, from which the request has been removed.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why the outcome is unknown.
    :returns: the new state and the effect that forwards or answers the request.
    """
    request = replace_fields(request, may_have_run=True)
    if _deadline_passed(request, now_ms):
        return finish_request(state, request, Outcome.UNKNOWN, AnswerReason.DEADLINE, now_ms)
    owner_limit_reached = len(request.tried_owner_ids) >= state.settings.requests.max_owners_tried
    if not request.idempotent or owner_limit_reached:
        return finish_request(state, request, Outcome.UNKNOWN, reason, now_ms)
    return _retry(state, request, table, now_ms, reason, Outcome.UNKNOWN)


def _retry(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
    outcome: Outcome,
) -> Step:
    backend_attempts = request.backend_attempts + 1
    attempts_exhausted = request.max_attempts and backend_attempts >= request.max_attempts
    if request.arrived_attempt > 0 or attempts_exhausted:
        return finish_request(state, request, outcome, reason, now_ms)
    charged_state = take_token(state, request.service, table)
    if charged_state is None:
        return finish_request(state, request, outcome, reason, now_ms)
    retried = replace_fields(
        request, header_attempt=request.header_attempt + 1, backend_attempts=backend_attempts
    )
    step = forward_request(charged_state, retried, table, now_ms, reason)
    if request.request_id not in step.state.requests:
        # No owner was left: the state from before the retry is used, so the token is not spent.
        return finish_request(state, request, outcome, reason, now_ms)
    return step
