"""Start and end of attempts, and what follows when one ends without a response."""

from __future__ import annotations

import math
from collections.abc import Collection

from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.outcomes._answers import answer
from bamboonotch_core.outcomes._attempt_id import make_attempt_id
from bamboonotch_core.outcomes._budget import take_token
from bamboonotch_core.outcomes._reasons import OVERLOAD_REASONS, AnswerReason
from bamboonotch_core.outcomes._state import Attempt, OutcomeState, PendingRequest, Phase
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
    replace_fields,
    select_candidates,
    view_of,
)
from bamboonotch_core.transition import Transition

__all__ = ["end_attempt", "finish", "forward", "on_not_run", "on_unknown"]

Step = Transition[OutcomeState]


def _with_candidates(
    state: OutcomeState, service: str, table: RoutingTable
) -> tuple[OutcomeState, CandidateSet | None]:
    source = table.services.get(service)
    if source is None or not source.owners:
        return state, None
    candidates = state.candidates.get(service)
    if candidates is None or candidates.source is not source:
        candidates = select_candidates(state.settings, source)
        state = replace_fields(state, candidates=state.candidates.set(service, candidates))
    return state, candidates


def _start_attempt(
    state: OutcomeState, request: PendingRequest, owner: Owner, seed: int, now_ms: float
) -> Step:
    attempt_id = make_attempt_id(
        request.request_id, state.ingress_tag, state.next_sequence, owner.incarnation
    )
    request = replace_fields(
        request,
        attempt=Attempt(attempt_id, owner, now_ms),
        phase=Phase.WAITING,
        check_ms=math.inf,
        tried=(*request.tried, owner.node_id),
    )
    view = record_forward(view_of(state.views, owner), attempt_id)
    state = replace_fields(
        state,
        seed=seed,
        next_sequence=state.next_sequence + 1,
        next_check_ms=min(state.next_check_ms, request.deadline_ms),
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
    )
    return Transition(state, (effect,))


def forward(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float, reason: str
) -> Step:
    """Send a request to an owner that it has not tried, or answer that it was not run.

    :param state: the state.
    :param request: the request, without an attempt under way.
    :param table: the routing table.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why the last attempt ended, for the answer when no owner is left; or empty.
    """
    state, candidates = _with_candidates(state, request.service, table)
    if candidates is None:
        return finish(state, request, Outcome.NOT_RUN, reason or AnswerReason.NO_OWNER, now_ms)
    choice = choose_owner(
        candidates,
        state.views,
        state.settings.requests,
        now_ms,
        state.seed,
        _excluded(state, request, candidates, now_ms),
        request.idempotent,
        state.works.get((request.service, request.request_class), UNKNOWN_WORK),
    )
    if choice.owner is None:
        return finish(state, request, Outcome.NOT_RUN, reason or AnswerReason.NO_OWNER, now_ms)
    return _start_attempt(state, request, choice.owner, choice.seed, now_ms)


def _excluded(
    state: OutcomeState, request: PendingRequest, candidates: CandidateSet, now_ms: float
) -> Collection[str]:
    """Return the owners not to ask: after a refusal, those tried and those without room lately.

    Under overload every owner refuses, and asking each of them about each request adds to it. One
    is asked all the same, because room for short work comes back within milliseconds.
    """
    if not request.tried:
        return ()
    full = {
        owner.node_id
        for owner in candidates.owners
        if has_no_room(view_of(state.views, owner), request.rank, now_ms)
    }
    return full.union(request.tried)


def _retry_after_ms(
    state: OutcomeState, request: PendingRequest, reason: str, now_ms: float
) -> int:
    """Return when a repeat makes sense.

    Overload lasts longer than the wait after any other refusal. A repeat within the same overload
    would only take the place of a request that can still be answered in time.
    """
    settings = state.settings.requests
    if reason not in OVERLOAD_REASONS:
        return settings.retry_after_ms
    left_ms = request.patience_ends_ms - now_ms
    return max(settings.retry_after_ms, int(settings.overload_retry_share * left_ms))


def finish(
    state: OutcomeState, request: PendingRequest, outcome: Outcome, reason: str, now_ms: float
) -> Step:
    """Give the final answer.

    :param state: the state, without the request.
    :param request: the request.
    :param outcome: what is known of the last attempt.
    :param reason: why.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if request.may_have_run:
        outcome = Outcome.UNKNOWN
    retry_after_ms = _retry_after_ms(state, request, reason, now_ms)
    return Transition(state, (answer(request.request_id, outcome, reason, retry_after_ms),))


def end_attempt(
    state: OutcomeState, request: PendingRequest, verdict: int, now_ms: float
) -> tuple[OutcomeState, tuple[Effect, ...]]:
    """Take a request out and record the end of its attempt in the view of the owner.

    :param state: the state.
    :param request: the request.
    :param verdict: a value of :class:`bamboonotch_core.routing.Verdict`.
    :param now_ms: monotonic clock, in milliseconds.
    """
    requests = state.requests.delete(request.request_id)
    attempt = request.attempt
    view = state.views.get(attempt.owner.node_id) if attempt else None
    if attempt is None or view is None or view.incarnation != attempt.owner.incarnation:
        return replace_fields(state, requests=requests), ()
    change = record_end(
        view,
        attempt.attempt_id,
        verdict,
        _may_eject(state, request, view),
        state.settings.requests,
        now_ms,
    )
    views = state.views.set(view.node_id, change.view)
    state = replace_fields(state, requests=requests, views=views)
    if not change.report:
        return state, ()
    return state, (_report(change, request),)


def _may_eject(state: OutcomeState, request: PendingRequest, view: OwnerView) -> bool:
    """Tell whether one more failure may eject an owner without ejecting more than half."""
    if view.failures + 1 < state.settings.requests.ejection_failures:
        return False
    candidates = state.candidates.get(request.service)
    if candidates is None:
        return False
    return count_ejected(candidates, state.views) < len(candidates.owners) // 2


def _report(change: ViewChange, request: PendingRequest) -> Report:
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
    """Go to another owner after a proof that the attempt was not run, or answer the caller.

    Work that a backend server refused itself counts as a retry and needs a token; work that no
    backend server saw does not.

    :param state: the state, with the attempt ended.
    :param request: the request.
    :param table: the routing table.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why it was not run.
    :param reached_backend: whether the backend server saw the attempt.
    """
    if _deadline_passed(request, now_ms):
        return finish(state, request, Outcome.NOT_RUN, AnswerReason.DEADLINE, now_ms)
    if len(request.tried) >= state.settings.requests.max_owners_tried:
        return finish(state, request, Outcome.NOT_RUN, reason, now_ms)
    if reached_backend:
        return _retry(state, request, table, now_ms, reason, Outcome.NOT_RUN)
    return forward(state, request, table, now_ms, reason)


def on_unknown(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
) -> Step:
    """Retry idempotent work within the budget, or answer that the outcome is unknown.

    :param state: the state, with the attempt ended.
    :param request: the request.
    :param table: the routing table.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why the outcome is unknown.
    """
    request = replace_fields(request, may_have_run=True)
    if _deadline_passed(request, now_ms):
        return finish(state, request, Outcome.UNKNOWN, AnswerReason.DEADLINE, now_ms)
    tried_enough = len(request.tried) >= state.settings.requests.max_owners_tried
    if not request.idempotent or tried_enough:
        return finish(state, request, Outcome.UNKNOWN, reason, now_ms)
    return _retry(state, request, table, now_ms, reason, Outcome.UNKNOWN)


def _retry(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
    outcome: Outcome,
) -> Step:
    arrivals = request.arrivals + 1
    exhausted = request.max_attempts and arrivals >= request.max_attempts
    if request.arrived_attempt > 0 or exhausted:
        return finish(state, request, outcome, reason, now_ms)
    paid = take_token(state, request.service, table)
    if paid is None:
        return finish(state, request, outcome, reason, now_ms)
    retried = replace_fields(request, header_attempt=request.header_attempt + 1, arrivals=arrivals)
    step = forward(paid, retried, table, now_ms, reason)
    if request.request_id not in step.state.requests:
        # No owner was left; the token is kept.
        return finish(state, request, outcome, reason, now_ms)
    return step
