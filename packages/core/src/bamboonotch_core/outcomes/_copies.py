"""Requests with two attempts in progress: a first attempt and its hedged copy.

Replies are handled as for one attempt: the attempt that a reply names becomes the current one, and
the other stays beside it. When the current one ends without a response, the other takes its place,
and only the end of the last attempt decides about the request.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from bamboonotch_core.effects import Effect
from bamboonotch_core.outcomes._attempts import end_attempt, on_unknown, record_attempt_end
from bamboonotch_core.outcomes._budget import earn_token
from bamboonotch_core.outcomes._hedging import record_first_response, record_unanswered
from bamboonotch_core.outcomes._state import (
    Attempt,
    LiveAttempt,
    OutcomeState,
    PendingRequest,
    Phase,
)
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import CancelAttempt, HedgeReport, PassResponse
from bamboonotch_core.routing import RoutingTable, Verdict
from bamboonotch_core.transition import Transition

__all__ = [
    "cancel_all_effects",
    "cancel_effects",
    "copy_failure_report",
    "end_request",
    "end_unknown_attempt",
    "find_attempt",
    "hold_response",
    "keep_other_attempt",
    "pass_response",
]

FAILURE_RESPONSE = "failure-response"  # reason of a copy whose response has a failure status

Step = Transition[OutcomeState]


def find_attempt(request: PendingRequest | None, attempt_id: str) -> PendingRequest | None:
    """Return a request with one of its attempts in progress as the current one.

    :returns: the request, or ``None`` when the attempt is not in progress.
    """
    if request is None or request.attempt is None:
        return None
    if request.attempt.attempt_id == attempt_id:
        return request
    other = request.other
    if other is None or other.attempt.attempt_id != attempt_id:
        return None
    return replace_fields(
        request,
        attempt=other.attempt,
        phase=other.phase,
        fence_due_ms=other.fence_due_ms,
        other=LiveAttempt(request.attempt, request.phase, request.fence_due_ms),
    )


def _cancel_effect(request: PendingRequest, attempt: Attempt) -> CancelAttempt:
    return CancelAttempt(request.request_id, attempt.attempt_id, attempt.owner.node_id)


def cancel_effects(request: PendingRequest) -> tuple[Effect, ...]:
    """Return the effects that cancel the current attempt of a request.

    :returns: one effect, or none when the request has no attempt.
    """
    return () if request.attempt is None else (_cancel_effect(request, request.attempt),)


def cancel_all_effects(request: PendingRequest) -> tuple[Effect, ...]:
    """Return the effects that cancel every attempt of a request that is in progress."""
    effects = cancel_effects(request)
    if request.other is None:
        return effects
    return (*effects, _cancel_effect(request, request.other.attempt))


def _copy_report(
    request: PendingRequest, name: str, attempt: Attempt, reason: str, now_ms: float
) -> HedgeReport:
    fields = (
        ("request", request.request_id),
        ("service", request.service),
        ("request_class", request.request_class),
        ("attempt", attempt.attempt_id),
        ("owner", attempt.owner.node_id),
        ("reason", reason),
        ("copy_age_ms", now_ms - attempt.started_ms),
    )
    return HedgeReport(name, fields, request.service, request.request_class, reason)


def copy_failure_report(request: PendingRequest, reason: str, now_ms: float) -> tuple[Effect, ...]:
    """Return the report of a copy that ends without a response.

    :param reason: why it ended.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: one report, or none when the current attempt is not the copy.
    """
    attempt = request.attempt
    if attempt is None or attempt.attempt_id != request.copy_id:
        return ()
    return (_copy_report(request, "hedge-failed", attempt, reason, now_ms),)


def _cancelled_copy_report(
    request: PendingRequest, reason: str, now_ms: float
) -> tuple[Effect, ...]:
    """Return the report of a copy that is cancelled, or none when no copy is in progress."""
    attempts = [request.attempt, request.other.attempt if request.other else None]
    return tuple(
        _copy_report(request, "hedge-cancelled", attempt, reason, now_ms)
        for attempt in attempts
        if attempt is not None and attempt.attempt_id == request.copy_id
    )


def end_request(
    state: OutcomeState,
    request: PendingRequest,
    find_verdict: Callable[[Attempt, Phase], int],
    reason: str,
    now_ms: float,
) -> tuple[OutcomeState, tuple[Effect, ...], tuple[Effect, ...]]:
    """Remove a request and record the end of each of its attempts.

    :param find_verdict: returns the verdict on the owner of an attempt.
    :param reason: why the request ends.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state, the effects that cancel the attempts, and the reports.
    """
    if request.phase is not Phase.RESPONDING:
        state = record_unanswered(state, request, now_ms)
        copy_reports = _cancelled_copy_report(request, reason, now_ms)
    else:
        copy_reports = ()
    verdict = (
        Verdict.NONE if request.attempt is None else find_verdict(request.attempt, request.phase)
    )
    state, reports = end_attempt(state, request, verdict, now_ms)
    if request.other is not None:
        other = request.other
        state, more = record_attempt_end(
            state, request, other.attempt, find_verdict(other.attempt, other.phase), now_ms
        )
        reports = (*reports, *more)
    return state, cancel_all_effects(request), (*reports, *copy_reports)


def hold_response(state: OutcomeState, request: PendingRequest, service_ms: float) -> Step:
    """Keep a response with a failure status while the other attempt is in progress.

    :param service_ms: time that the backend server took until the head, in milliseconds.
    """
    assert request.attempt is not None
    held = replace_fields(
        request,
        phase=Phase.HELD,
        fence_due_ms=math.inf,
        attempt=replace_fields(request.attempt, service_ms=service_ms),
    )
    return Transition(replace_fields(state, requests=state.requests.set(request.request_id, held)))


def pass_response(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    service_ms: float,
    now_ms: float,
    failed: bool = False,
) -> Step:
    """Pass the response of the current attempt on, and cancel the other attempt.

    :param service_ms: time that the backend server took until the head, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    :param failed: whether the response has a failure status.
    :returns: the new state and the effects, of which the first passes the response on.
    """
    attempt, other = request.attempt, request.other
    assert attempt is not None
    responding = replace_fields(
        request,
        phase=Phase.RESPONDING,
        fence_due_ms=math.inf,
        attempt=replace_fields(attempt, service_ms=service_ms),
        other=None,
    )
    state = replace_fields(
        state,
        requests=state.requests.set(request.request_id, responding),
        retry_tokens=(
            state.retry_tokens
            if request.arrived_attempt
            else earn_token(state, request.service, table)
        ),
    )
    effects: tuple[Effect, ...] = (PassResponse(request.request_id, attempt.attempt_id),)
    if attempt.attempt_id == request.copy_id:
        state = record_unanswered(state, request, now_ms)
        name, reason = ("hedge-failed", FAILURE_RESPONSE) if failed else ("hedge-won", "")
        effects = (*effects, _copy_report(request, name, attempt, reason, now_ms))
    elif not failed:
        state = record_first_response(state, request, now_ms)
    if other is None:
        return Transition(state, effects)
    state, reports = record_attempt_end(state, request, other.attempt, Verdict.NONE, now_ms)
    cancel = _cancel_effect(request, other.attempt)
    if other.attempt.attempt_id == request.copy_id:
        reports = (*reports, *_cancelled_copy_report(request, "answered", now_ms))
    return Transition(state, (*effects, cancel, *reports))


def keep_other_attempt(
    state: OutcomeState,
    request: PendingRequest,
    table: RoutingTable,
    now_ms: float,
    may_have_run: bool,
    reached_backend: bool,
) -> Step:
    """Go on with the other attempt of a request whose current one has ended without a response.

    :param state: the state, from which the request has been removed.
    :param request: the request, which has another attempt in progress.
    :param now_ms: monotonic clock, in milliseconds.
    :param may_have_run: whether the attempt that ended may have run.
    :param reached_backend: whether it reached a backend server.
    :returns: the new state, and the effects when the other attempt has a response already.
    """
    other = request.other
    assert other is not None
    ran = int(may_have_run or reached_backend)
    kept = replace_fields(
        request,
        attempt=other.attempt,
        phase=other.phase,
        fence_due_ms=other.fence_due_ms,
        other=None,
        may_have_run=request.may_have_run or may_have_run,
        backend_attempts=request.backend_attempts + ran,
        # An attempt that did not run does not count for the number that the next one is sent with.
        header_attempt=request.header_attempt - (1 - ran),
    )
    if kept.phase is Phase.HELD:
        return pass_response(state, kept, table, other.attempt.service_ms, now_ms, failed=True)
    return Transition(replace_fields(state, requests=state.requests.set(kept.request_id, kept)))


def end_unknown_attempt(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float, reason: str
) -> Step:
    """Go on after the end of an attempt that may have run.

    :param state: the state, from which the request has been removed.
    :param now_ms: monotonic clock, in milliseconds.
    :param reason: why the outcome is unknown.
    """
    if request.other is not None:
        return keep_other_attempt(state, request, table, now_ms, True, True)
    return on_unknown(state, request, table, now_ms, reason)
