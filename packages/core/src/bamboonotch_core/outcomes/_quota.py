"""Tokens of workspaces' quotas for requests, taken before the first attempt."""

from __future__ import annotations

import math

from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.outcomes._answers import make_answer
from bamboonotch_core.outcomes._attempts import forward_request
from bamboonotch_core.outcomes._hedging import plan_hedge
from bamboonotch_core.outcomes._reasons import AnswerReason
from bamboonotch_core.outcomes._state import OutcomeState, PendingRequest
from bamboonotch_core.quotas import (
    AskResult,
    Closing,
    RefusalCause,
    expire_asks,
    find_limited,
    forget_waiting,
    request_token,
    shard_of,
)
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import Outcome
from bamboonotch_core.routing import RoutingTable
from bamboonotch_core.transition import Transition

__all__ = [
    "admit_request",
    "apply_ask_result",
    "expire_quota_asks",
    "forget_request",
    "refuse_unconfirmed",
]

# A request that waits longer than this share of its timeout leaves too little for the work.
WAIT_SHARE_OF_TIMEOUT = 0.1

Step = Transition[OutcomeState]


def admit_request(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> Step:
    """Forward a request that has arrived, once its workspace has a token for it.

    Retries and copies of the request need no further token.

    :param request: the request, before its first attempt.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    if find_limited(table.configuration, request.workspace) is None:
        return _send_first(state, request, table, now_ms)
    settings = state.settings.quotas
    decision = request_token(state.quotas, settings, request.workspace, request.request_id, now_ms)
    state = replace_fields(state, quotas=decision.state)
    if decision.granted:
        step = _send_first(state, request, table, now_ms)
        return Transition(step.state, (*step.effects, *decision.effects))
    if decision.closing is not None:
        return _refuse(state, request, decision.closing, now_ms)
    timeout_ms = request.deadline_ms - now_ms
    due_ms = now_ms + min(settings.wait_ms, WAIT_SHARE_OF_TIMEOUT * timeout_ms)
    waiting = replace_fields(request, token_due_ms=due_ms)
    state = replace_fields(
        state,
        requests=state.requests.set(request.request_id, waiting),
        next_expiry_ms=min(state.next_expiry_ms, due_ms),
    )
    return Transition(state, decision.effects)


def _send_first(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> Step:
    """Send a request to its first owner, and plan a second copy in case it is slow."""
    step = forward_request(state, request, table, now_ms, "")
    if not state.settings.requests.hedge_share:
        return step
    return Transition(plan_hedge(step.state, request, now_ms), step.effects)


def apply_ask_result(
    state: OutcomeState, result: AskResult, table: RoutingTable, now_ms: float
) -> Step:
    """Forward or refuse the requests that waited for an ask.

    :param result: what the end of the ask means for them.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    state = replace_fields(state, quotas=result.state)
    effects: list[Effect] = list(result.effects)
    for request_id in result.granted:
        request = state.requests[request_id]
        state = replace_fields(state, requests=state.requests.delete(request_id))
        request = replace_fields(request, token_due_ms=math.inf)
        step = _send_first(state, request, table, now_ms)
        state = step.state
        effects.extend(step.effects)
    for request_id in result.refused:
        request = state.requests[request_id]
        assert result.closing is not None
        step = _refuse(state, request, result.closing, now_ms)
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))


def expire_quota_asks(state: OutcomeState, table: RoutingTable, now_ms: float) -> Step:
    """Give up asks that are too old, and refuse the requests that wait for them.

    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    if not state.quotas.asks:
        return Transition(state)
    effects: list[Effect] = []
    for result in expire_asks(state.quotas, state.settings.quotas, now_ms):
        step = apply_ask_result(state, result, table, now_ms)
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))


def forget_request(state: OutcomeState, request: PendingRequest) -> OutcomeState:
    """Remove a request from those that wait for a token, if it does.

    :param request: the request.
    """
    if request.token_due_ms == math.inf:
        return state
    quotas = forget_waiting(state.quotas, request.workspace, request.request_id)
    return replace_fields(state, quotas=quotas)


def refuse_unconfirmed(state: OutcomeState, request: PendingRequest, now_ms: float) -> Step:
    """Refuse a request that has waited for a token for too long.

    :param request: the request.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    known = state.quotas.tokens.get(request.workspace)
    ask = state.quotas.asks.get(known.ask_id) if known is not None else None
    asked_ms, lender_id = (now_ms, "") if ask is None else (ask.asked_ms, ask.lender.node_id)
    state = forget_request(state, request)
    closing = Closing(RefusalCause.NO_ANSWER, now_ms, asked_ms, lender_id)
    return _refuse(state, request, closing, now_ms)


def _refuse(state: OutcomeState, request: PendingRequest, closing: Closing, now_ms: float) -> Step:
    """Answer a request that gets no token: it has not run and will not."""
    if request.request_id in state.requests:
        state = replace_fields(state, requests=state.requests.delete(request.request_id))
    exhausted = closing.cause is RefusalCause.EXHAUSTED
    reason = AnswerReason.QUOTA_EXHAUSTED if exhausted else AnswerReason.QUOTA_UNCONFIRMED
    retry_after_ms = state.settings.requests.retry_after_ms
    if exhausted:
        # A repeat after the caller has given up is of no use to it.
        left_ms = request.caller_gives_up_ms - now_ms
        retry_after_ms = max(1, math.ceil(min(closing.until_ms - now_ms, left_ms)))
    report = Report(
        "quota-refused",
        (
            ("request", request.request_id),
            ("workspace", request.workspace),
            ("shard", shard_of(request.workspace, state.settings.quotas.shards)),
            ("reason", reason),
            ("cause", closing.cause.value),
            ("lender", closing.lender_id),
            ("age_ms", now_ms - closing.decided_ms),
            ("retry_after_ms", retry_after_ms),
        ),
    )
    answer = make_answer(request.request_id, Outcome.NOT_RUN, reason, retry_after_ms)
    return Transition(state, (answer, report))
