"""Reducer of the ingress."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.access import AccessGranted, AccessRefused
from bamboonotch_core.configuration import Route
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import Event, ShutdownRequested, Tick
from bamboonotch_core.outcomes._access import check_access, refuse_access
from bamboonotch_core.outcomes._answers import make_answer
from bamboonotch_core.outcomes._attempts import end_attempt, on_not_run
from bamboonotch_core.outcomes._copies import (
    copy_failure_report,
    end_request,
    end_unknown_attempt,
    find_attempt,
    hold_response,
    keep_other_attempt,
    pass_response,
)
from bamboonotch_core.outcomes._expiry import end_unanswered, expire, fence_effect
from bamboonotch_core.outcomes._hedging import record_shortage, send_due_hedges
from bamboonotch_core.outcomes._keys import check_idempotency_key
from bamboonotch_core.outcomes._measurements import record_measurements, views_after_reply
from bamboonotch_core.outcomes._patience import is_returning, record_timeout
from bamboonotch_core.outcomes._quota import (
    admit_request,
    apply_ask_result,
    expire_quota_asks,
    forget_request,
)
from bamboonotch_core.outcomes._reasons import AnswerReason, RefusalReason
from bamboonotch_core.outcomes._state import OutcomeState, PendingRequest, Phase
from bamboonotch_core.quota_events import QuotaAnswered, QuotaAskLost
from bamboonotch_core.quotas import take_answer, take_loss
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import Outcome
from bamboonotch_core.request_events import (
    AttemptLost,
    BackendResult,
    CallerGone,
    FenceAnswered,
    FenceState,
    OwnerRefused,
    OwnerReply,
    OwnerResponded,
    RequestArrived,
    ResponseFinished,
)
from bamboonotch_core.routing import (
    NoMatch,
    RouteMatch,
    RoutingTable,
    Verdict,
    draw_share,
    match_route,
    next_seed,
)
from bamboonotch_core.transition import Transition

__all__ = ["end_requests", "reduce_outcomes"]

FAILURE_STATUS = 500  # a response from this status on says that the backend server failed

Step = Transition[OutcomeState]


def end_requests(state: OutcomeState, now_ms: float) -> Step:
    """Refuse new requests, and answer those whose response has not begun: their outcome is unknown.

    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state, and the effects that answer the requests and cancel their attempts.
    """
    return end_unanswered(replace_fields(state, shutting_down=True), now_ms)


def reduce_outcomes(state: OutcomeState, event: Event, table: RoutingTable) -> Step:
    """Handle one event at the ingress.

    :param event: the event; events of other parts of the node change nothing.
    :param table: the routing table in use.
    :returns: the new state and the effects to carry out.
    """
    step = _reduce(event, state, table)
    # Every event can send the copies that are due, so a busy node does not wait for its next tick.
    if event.now_ms < step.state.next_hedge_ms:
        return step
    hedged = send_due_hedges(step.state, table, event.now_ms)
    return Transition(hedged.state, (*step.effects, *hedged.effects))


@singledispatch
def _reduce(event: Event, state: OutcomeState, table: RoutingTable) -> Step:
    return Transition(state)


@_reduce.register
def _on_shutdown(event: ShutdownRequested, state: OutcomeState, table: RoutingTable) -> Step:
    return Transition(replace_fields(state, shutting_down=True))


@_reduce.register
def _on_tick(event: Tick, state: OutcomeState, table: RoutingTable) -> Step:
    expired = expire_quota_asks(state, table, event.now_ms)
    return _add_effects(expire(expired.state, table, event.now_ms), before=expired.effects)


@_reduce.register
def _on_quota_answer(event: QuotaAnswered, state: OutcomeState, table: RoutingTable) -> Step:
    result = take_answer(state.quotas, state.settings.quotas, event)
    return apply_ask_result(state, result, table, event.now_ms)


@_reduce.register
def _on_quota_loss(event: QuotaAskLost, state: OutcomeState, table: RoutingTable) -> Step:
    result = take_loss(state.quotas, state.settings.quotas, event)
    return apply_ask_result(state, result, table, event.now_ms)


def _arrival_refusal_reason(
    state: OutcomeState, event: RequestArrived, table: RoutingTable, match: RouteMatch
) -> str:
    request_limit = state.settings.requests.max_requests * match.room_share
    if match.inactive_reason:
        return match.inactive_reason
    if event.timeout_ms is not None and not event.timeout_ms > 0:
        return AnswerReason.TIMEOUT_MALFORMED
    if event.now_ms + _timeout_ms(event, match.route) > state.requests_end_ms:
        # It may need longer than this process has left, and would then be broken off.
        return AnswerReason.SHUTTING_DOWN
    if len(state.requests) >= request_limit:
        return AnswerReason.TOO_MANY_REQUESTS
    if event.idempotency_key and not match.route.idempotent:
        return check_idempotency_key(event.idempotency_key, event.unix_ms)
    return ""


@_reduce.register
def _on_arrival(event: RequestArrived, state: OutcomeState, table: RoutingTable) -> Step:
    if event.request_id in state.requests:
        return Transition(state)
    if state.shutting_down or not table.serving:
        reason = AnswerReason.SHUTTING_DOWN if state.shutting_down else AnswerReason.NOT_SERVING
        return Transition(
            state,
            (
                make_answer(
                    event.request_id, Outcome.NOT_RUN, reason, _default_retry_after_ms(state)
                ),
            ),
        )
    match = match_route(table, event.method, event.path, event.host)
    if isinstance(match, NoMatch):
        return Transition(state, (make_answer(event.request_id, Outcome.NOT_RUN, match.reason, 0),))
    access = check_access(state, event, table, match.route)
    if isinstance(access, AccessRefused):
        return refuse_access(state, event, table, match.route, access)
    reason = _arrival_refusal_reason(state, event, table, match)
    if reason:
        return Transition(
            state,
            (
                make_answer(
                    event.request_id, Outcome.NOT_RUN, reason, _default_retry_after_ms(state)
                ),
            ),
        )
    if match.route.split:
        state = replace_fields(state, seed=next_seed(state.seed))
    service = _draw_service(match.route, state.seed)
    state, returning = _record_caller_timeout(state, event, match)
    request = _pending_request(event, match, service, returning, access)
    return admit_request(state, request, table, event.now_ms)


def _record_caller_timeout(
    state: OutcomeState, event: RequestArrived, match: RouteMatch
) -> tuple[OutcomeState, bool]:
    """Record the timeout of a caller and determine whether it was probably refused before."""
    if event.timeout_ms is None:
        return state, False
    name = match.route.request_class
    previous = state.caller_timeouts.get(name)
    caller_timeouts = record_timeout(previous, event.timeout_ms, event.now_ms)
    if caller_timeouts is not previous:
        state = replace_fields(
            state, caller_timeouts=state.caller_timeouts.set(name, caller_timeouts)
        )
    return state, is_returning(caller_timeouts, event.timeout_ms)


def _default_retry_after_ms(state: OutcomeState) -> int:
    return state.settings.requests.retry_after_ms


def _draw_service(route: Route, seed: int) -> str:
    """Draw one of the services of a route in proportion to their weights."""
    if not route.split:
        return route.service
    parts = [part for part in route.split if part.weight]
    position = draw_share(seed) * sum(part.weight for part in parts)
    for part in parts:
        position -= part.weight
        if position < 0:
            return part.service
    return parts[-1].service


def _timeout_ms(event: RequestArrived, route: Route) -> float:
    """Return the shorter of the timeouts of a route and of the caller, in milliseconds."""
    if event.timeout_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, event.timeout_ms)


def _pending_request(
    event: RequestArrived,
    match: RouteMatch,
    service: str,
    returning: bool,
    access: AccessGranted,
) -> PendingRequest:
    route = match.route
    caller_timeout_ms = route.timeout_ms if event.timeout_ms is None else event.timeout_ms
    return PendingRequest(
        request_id=event.request_id,
        service=service,
        max_attempts=route.max_attempts,
        rank=match.request_class.rank(returning, access.priority),
        returning=returning,
        caller_gives_up_ms=event.now_ms + caller_timeout_ms,
        request_class=route.request_class,
        idempotent=route.idempotent,
        idempotency_key=event.idempotency_key,
        deadline_ms=event.now_ms + _timeout_ms(event, route),
        arrived_attempt=event.attempt,
        header_attempt=event.attempt,
        workspace=access.workspace,
    )


def _find_current_request(state: OutcomeState, event: OwnerReply) -> PendingRequest | None:
    """Return the request of a reply with the attempt that it names as the current one.

    :returns: the request, or ``None`` when the attempt is not in progress.
    """
    return find_attempt(state.requests.get(event.request_id), event.attempt_id)


def _add_effects(
    step: Step, before: tuple[Effect, ...] = (), after: tuple[Effect, ...] = ()
) -> Step:
    return Transition(step.state, (*before, *step.effects, *after))


def _end_truncated_response(state: OutcomeState, request: PendingRequest, now_ms: float) -> Step:
    """Remove a request whose response ended early after its head was passed to the caller."""
    state, reports = end_attempt(state, request, Verdict.FAILED, now_ms)
    return Transition(state, reports)


@_reduce.register
def _on_response(event: OwnerResponded, state: OutcomeState, table: RoutingTable) -> Step:
    request = _find_current_request(state, event)
    if request is None or request.phase in (Phase.RESPONDING, Phase.HELD):
        return Transition(state)
    views = views_after_reply(
        state, request, event.load, "", event.now_ms, event.uplink_ms, event.slowdown
    )
    state = replace_fields(state, views=views)
    failed = event.status >= FAILURE_STATUS
    if failed and request.other is not None and request.other.phase is not Phase.HELD:
        return hold_response(state, request, event.service_ms)
    return pass_response(state, request, table, event.service_ms, event.now_ms, failed)


@_reduce.register
def _on_refusal(event: OwnerRefused, state: OutcomeState, table: RoutingTable) -> Step:
    request = _find_current_request(state, event)
    if request is None:
        return Transition(state)
    if request.phase is Phase.RESPONDING:
        return _end_truncated_response(state, request, event.now_ms)
    if request.phase is Phase.HELD:
        return _end_unknown(state, request, table, event.now_ms, AnswerReason.RESPONSE_LOST, True)
    views = views_after_reply(state, request, event.load, event.reason, event.now_ms)
    state = replace_fields(state, views=views)
    state = record_shortage(state, request.service, event.reason, event.now_ms)
    lost = event.reason in (RefusalReason.BACKEND_LOST, RefusalReason.BACKEND_UNREACHABLE)
    if event.result is not BackendResult.NOT_RUN:
        return _end_unknown(state, request, table, event.now_ms, event.reason, lost)
    reached_backend = event.reason == RefusalReason.BACKEND_NOT_RUN
    return _end_not_run(state, request, table, event.now_ms, event.reason, lost, reached_backend)


def _end_not_run(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
    failed: bool,
    reached_backend: bool = False,
) -> Step:
    """End the current attempt, which provably was not run.

    :param failed: whether this is a failure of the owner.
    :param reached_backend: whether the attempt reached the backend server.
    """
    verdict = Verdict.FAILED if failed else Verdict.ALIVE
    state, reports = end_attempt(state, request, verdict, now_ms)
    reports = (*reports, *copy_failure_report(request, reason, now_ms))
    if request.other is not None:
        step = keep_other_attempt(state, request, table, now_ms, False, reached_backend)
    else:
        step = on_not_run(state, request, table, now_ms, reason, reached_backend)
    return _add_effects(step, after=reports)


def _end_unknown(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    reason: str,
    failed: bool,
) -> Step:
    """End the current attempt, which may have run.

    :param failed: whether this is a failure of the owner.
    """
    verdict = Verdict.FAILED if failed else Verdict.ALIVE
    state, reports = end_attempt(state, request, verdict, now_ms)
    reports = (*reports, *copy_failure_report(request, reason, now_ms))
    step = end_unknown_attempt(state, request, table, now_ms, reason)
    return _add_effects(step, after=reports)


@_reduce.register
def _on_attempt_lost(event: AttemptLost, state: OutcomeState, table: RoutingTable) -> Step:
    request = _find_current_request(state, event)
    if request is None or request.phase is Phase.FENCING:
        return Transition(state)
    if request.phase is Phase.RESPONDING:
        return _end_truncated_response(state, request, event.now_ms)
    if request.phase is Phase.HELD:
        return _end_unknown(state, request, table, event.now_ms, AnswerReason.RESPONSE_LOST, True)
    if event.sent or request.phase is Phase.RUNNING:
        return _start_fence(state, request, event.now_ms)
    return _end_not_run(state, request, table, event.now_ms, AnswerReason.CONNECTION_FAILED, True)


def _start_fence(state: OutcomeState, request: PendingRequest, now_ms: float) -> Step:
    fence_due_ms = now_ms + state.settings.requests.fence_timeout_ms
    fencing = replace_fields(request, phase=Phase.FENCING, fence_due_ms=fence_due_ms)
    state = replace_fields(
        state,
        requests=state.requests.set(request.request_id, fencing),
        next_expiry_ms=min(state.next_expiry_ms, fence_due_ms),
    )
    return Transition(state, fence_effect(fencing))


@_reduce.register
def _on_fence(event: FenceAnswered, state: OutcomeState, table: RoutingTable) -> Step:
    request = _find_current_request(state, event)
    if request is None or request.phase not in (Phase.FENCING, Phase.RUNNING):
        return Transition(state)
    if event.state is FenceState.RUNNING:
        return _wait_for_running_attempt(state, request, event.now_ms)
    if event.state is FenceState.NOT_RUN:
        return _end_not_run(state, request, table, event.now_ms, RefusalReason.FENCED, False)
    failed = event.state is FenceState.UNKNOWN
    reason = AnswerReason.OWNER_LOST if failed else AnswerReason.RESPONSE_LOST
    return _end_unknown(state, request, table, event.now_ms, reason, failed)


def _wait_for_running_attempt(state: OutcomeState, request: PendingRequest, now_ms: float) -> Step:
    """Wait for an attempt that still runs.

    The response arrives on the stream of the fence. The fence is repeated after the fence timeout,
    because the owner may fail in the meantime.
    """
    fence_due_ms = now_ms + state.settings.requests.fence_timeout_ms
    running = replace_fields(request, phase=Phase.RUNNING, fence_due_ms=fence_due_ms)
    state = replace_fields(
        state,
        requests=state.requests.set(request.request_id, running),
        next_expiry_ms=min(state.next_expiry_ms, fence_due_ms),
    )
    return Transition(state)


@_reduce.register
def _on_response_end(event: ResponseFinished, state: OutcomeState, table: RoutingTable) -> Step:
    request = state.requests.get(event.request_id)
    if request is None or request.phase is not Phase.RESPONDING:
        return Transition(state)
    if not event.complete:
        return _end_truncated_response(state, request, event.now_ms)
    state = record_measurements(state, request, event)
    state, reports = end_attempt(state, request, Verdict.ALIVE, event.now_ms)
    return Transition(state, reports)


@_reduce.register
def _on_caller_gone(event: CallerGone, state: OutcomeState, table: RoutingTable) -> Step:
    request = state.requests.get(event.request_id)
    if request is None:
        return Transition(state)
    state = forget_request(state, request)
    state, cancels, reports = end_request(
        state, request, lambda attempt, phase: Verdict.NONE, "caller-gone", event.now_ms
    )
    return Transition(state, (*cancels, *reports))
