"""When a second copy of a slow request is due, and whether it is sent."""

from __future__ import annotations

import math
from collections.abc import Collection

from bamboonotch_core.effects import Effect
from bamboonotch_core.outcomes._attempts import start_attempt, update_candidates
from bamboonotch_core.outcomes._budget import ROUNDING_TOLERANCE_TOKENS, take_token
from bamboonotch_core.outcomes._hedge_state import next_due_ms, schedule, take_due
from bamboonotch_core.outcomes._reasons import OVERLOAD_REASONS, RefusalReason
from bamboonotch_core.outcomes._response_times import record_response_time
from bamboonotch_core.outcomes._state import (
    Attempt,
    LiveAttempt,
    OutcomeState,
    PendingRequest,
    Phase,
)
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import HedgeReport
from bamboonotch_core.routing import (
    UNKNOWN_WORK,
    CandidateSet,
    Owner,
    OwnerChoice,
    OwnerView,
    RoutingTable,
    WorkEstimate,
    choose_owner,
    has_no_room,
    rate_wait_ms,
    view_of,
)
from bamboonotch_core.transition import Transition

__all__ = [
    "HedgeReason",
    "plan_hedge",
    "record_first_response",
    "record_shortage",
    "record_unanswered",
    "send_due_hedges",
]

# Slow requests come in groups. With 2 tokens a fifth of the copies that a share of 0.02 pays for in
# the long run was withheld, with 4 tokens less than a tenth.
BURST_TOKENS = 4.0
COPY_COST_TOKENS = 1.0
# After a refusal for lack of room the service gets no copies for this long. Room for single
# requests comes and goes within milliseconds, but the shortage behind refusals lasts for seconds.
SHORTAGE_MS = 2000.0
# An owner whose last report showed no free slot gets no copies for this long. Copies are few, so an
# owner left out for too long costs less than a copy that waits.
QUEUE_RETENTION_MS = 2000.0
SHORTAGE_REASONS = OVERLOAD_REASONS | {
    RefusalReason.BACKEND_NOT_RUN,
    RefusalReason.BACKEND_REFUSING,
}

Step = Transition[OutcomeState]


class HedgeReason:
    """Reasons for which a copy that is due is not sent."""

    SHUTTING_DOWN = "shutting-down"
    STREAM_LOST = "stream-lost"
    TOO_LATE = "too-late"
    SHORT_OF_ROOM = "short-of-room"
    NO_FREE_OWNER = "no-free-owner"
    HEDGE_SHARE = "hedge-share"
    RETRY_BUDGET = "retry-budget"


def plan_hedge(state: OutcomeState, request: PendingRequest, now_ms: float) -> OutcomeState:
    """Enter a request that was just sent for the first time among those that may get a copy.

    :param state: the state, which contains the request unless it was answered at once.
    :param now_ms: monotonic clock, in milliseconds.
    """
    settings = state.settings.requests
    if not settings.hedge_share or request.arrived_attempt:
        return state
    if request.service in state.traffic:
        # A copy to another version would count against the exposure of that version.
        return state
    if request.request_id not in state.requests:
        return state
    hedging = state.hedging
    tokens = hedging.tokens.get(request.service, 0.0)
    if tokens < BURST_TOKENS:
        earned = hedging.tokens.set(
            request.service, min(BURST_TOKENS, tokens + settings.hedge_share)
        )
        hedging = replace_fields(hedging, tokens=earned)
    times = hedging.response_times.get((request.service, request.request_class))
    due_ms = now_ms + (math.inf if times is None else times.slow_ms)
    may_repeat = request.max_attempts != 1 and settings.max_owners_tried > 1
    if request.idempotent and may_repeat and due_ms < request.deadline_ms:
        hedging = schedule(hedging, request.request_id, due_ms)
    if hedging is state.hedging:
        return state
    return replace_fields(state, hedging=hedging, next_hedge_ms=next_due_ms(hedging))


def _record_time(
    state: OutcomeState, request: PendingRequest, response_ms: float, now_ms: float
) -> OutcomeState:
    hedging = state.hedging
    key = (request.service, request.request_class)
    times = record_response_time(hedging.response_times.get(key), response_ms, now_ms)
    hedging = replace_fields(hedging, response_times=hedging.response_times.set(key, times))
    return replace_fields(state, hedging=hedging)


def record_first_response(
    state: OutcomeState, request: PendingRequest, now_ms: float
) -> OutcomeState:
    """Record the response time of an attempt that is not a copy.

    :param request: the request, whose current attempt has responded.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not state.settings.requests.hedge_share or not request.idempotent:
        return state
    if request.attempt is None:
        return state
    return _record_time(state, request, now_ms - request.attempt.started_ms, now_ms)


def _first_attempt(request: PendingRequest) -> Attempt | None:
    """Return the attempt in progress that is not a copy, or ``None`` when it has ended."""
    attempts = [request.attempt, request.other.attempt if request.other else None]
    for attempt in attempts:
        if attempt is not None and attempt.attempt_id != request.copy_id:
            return attempt
    return None


def record_unanswered(state: OutcomeState, request: PendingRequest, now_ms: float) -> OutcomeState:
    """Record that a first attempt had not responded when it was ended.

    Its response time is unknown but longer than the time so far. That is a sample only if it is
    above the quantile already.

    :param now_ms: monotonic clock, in milliseconds.
    """
    if not state.settings.requests.hedge_share or not request.idempotent:
        return state
    attempt = _first_attempt(request)
    times = state.hedging.response_times.get((request.service, request.request_class))
    if attempt is None or times is None or now_ms - attempt.started_ms < times.slow_ms:
        return state
    return _record_time(state, request, now_ms - attempt.started_ms, now_ms)


def record_shortage(state: OutcomeState, service: str, reason: str, now_ms: float) -> OutcomeState:
    """Record that an owner refused a request, which stops copies if it was for lack of room.

    :param reason: why the owner refused.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not state.settings.requests.hedge_share or reason not in SHORTAGE_REASONS:
        return state
    until_ms = state.hedging.short_until_ms.set(service, now_ms + SHORTAGE_MS)
    return replace_fields(state, hedging=replace_fields(state.hedging, short_until_ms=until_ms))


def _work_estimate(state: OutcomeState, request: PendingRequest) -> WorkEstimate:
    return state.work_estimates.get((request.service, request.request_class), UNKNOWN_WORK)


def _is_free(
    owner: Owner, view: OwnerView, request: PendingRequest, work: WorkEstimate, now_ms: float
) -> bool:
    """Return whether an owner is expected to start a copy at once."""
    if owner.suspect or view.ejected_until_ms or view.failures or now_ms < view.avoid_until_ms:
        return False
    if has_no_room(view, request.rank, request.workspace, now_ms):
        return False
    is_recent = now_ms - view.load_reported_ms < QUEUE_RETENTION_MS
    load = max(view.load if is_recent else 0, view.in_flight)
    if load >= owner.slots:
        return False
    rate_per_s = owner.rate_limit_per_s
    return rate_per_s is None or not rate_wait_ms(rate_per_s, load, work.service_ms)


def _busy_owner_ids(
    state: OutcomeState,
    request: PendingRequest,
    candidates: CandidateSet,
    work: WorkEstimate,
    now_ms: float,
) -> Collection[str]:
    """Return the owners that a copy is not sent to."""
    busy_owner_ids = {
        owner.node_id
        for owner in candidates.owners
        if not _is_free(owner, view_of(state.views, owner), request, work, now_ms)
    }
    return busy_owner_ids.union(request.tried_owner_ids)


def _choose_free_owner(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> tuple[OutcomeState, OwnerChoice]:
    state, candidates = update_candidates(state, request.service, table)
    if candidates is None:
        return state, OwnerChoice(None, state.seed)
    work = _work_estimate(state, request)
    choice = choose_owner(
        candidates,
        state.views,
        state.settings.requests,
        now_ms,
        state.seed,
        _busy_owner_ids(state, request, candidates, work, now_ms),
        request.idempotent,
        work,
    )
    return state, choice


def _withheld_before_choice(state: OutcomeState, request: PendingRequest, now_ms: float) -> str:
    """Return why a request gets no copy whatever the owners, or an empty string."""
    if state.shutting_down or math.isfinite(state.requests_end_ms):
        return HedgeReason.SHUTTING_DOWN
    if request.phase is not Phase.WAITING:
        return HedgeReason.STREAM_LOST
    if now_ms < state.hedging.short_until_ms.get(request.service, 0.0):
        return HedgeReason.SHORT_OF_ROOM
    if now_ms + _work_estimate(state, request).service_ms > request.deadline_ms:
        return HedgeReason.TOO_LATE
    return ""


def _take_hedge_token(state: OutcomeState, service: str) -> OutcomeState | None:
    tokens = state.hedging.tokens.get(service, 0.0)
    if tokens + ROUNDING_TOLERANCE_TOKENS < COPY_COST_TOKENS:
        return None
    left = state.hedging.tokens.set(service, max(0.0, tokens - COPY_COST_TOKENS))
    return replace_fields(state, hedging=replace_fields(state.hedging, tokens=left))


def _report(
    request: PendingRequest, name: str, reason: str, owner_id: str, now_ms: float
) -> HedgeReport:
    assert request.attempt is not None
    fields = (
        ("request", request.request_id),
        ("service", request.service),
        ("request_class", request.request_class),
        ("first_owner", request.attempt.owner.node_id),
        ("owner", owner_id),
        ("reason", reason),
        ("waited_ms", now_ms - request.attempt.started_ms),
        ("left_ms", request.deadline_ms - now_ms),
    )
    return HedgeReport(name, fields, request.service, request.request_class, reason)


def _withhold(state: OutcomeState, request: PendingRequest, reason: str, now_ms: float) -> Step:
    return Transition(state, (_report(request, "hedge-withheld", reason, "", now_ms),))


def _send_copy(
    state: OutcomeState, request: PendingRequest, table: RoutingTable, now_ms: float
) -> Step:
    """Send the copy of a request that is due, or report why it is not sent."""
    reason = _withheld_before_choice(state, request, now_ms)
    if reason:
        return _withhold(state, request, reason, now_ms)
    state, choice = _choose_free_owner(state, request, table, now_ms)
    if choice.owner is None:
        return _withhold(state, request, HedgeReason.NO_FREE_OWNER, now_ms)
    charged = _take_hedge_token(state, request.service)
    if charged is None:
        return _withhold(state, request, HedgeReason.HEDGE_SHARE, now_ms)
    charged = take_token(charged, request.service, table)
    if charged is None:
        return _withhold(state, request, HedgeReason.RETRY_BUDGET, now_ms)
    assert request.attempt is not None
    copied = replace_fields(
        request,
        other=LiveAttempt(request.attempt, request.phase, request.fence_due_ms),
        header_attempt=request.header_attempt + 1,
    )
    step = start_attempt(charged, copied, choice.owner, choice.seed, now_ms)
    sent = step.state.requests[request.request_id]
    assert sent.attempt is not None
    sent = replace_fields(sent, copy_id=sent.attempt.attempt_id)
    state = replace_fields(step.state, requests=step.state.requests.set(sent.request_id, sent))
    report = _report(request, "hedge-sent", "", choice.owner.node_id, now_ms)
    return Transition(state, (*step.effects, report))


def send_due_hedges(state: OutcomeState, table: RoutingTable, now_ms: float) -> Step:
    """Send the copies that are due.

    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state, and the effects of all copies sent and withheld.
    """
    hedging, request_ids = take_due(state.hedging, now_ms)
    state = replace_fields(state, hedging=hedging, next_hedge_ms=next_due_ms(hedging))
    effects: list[Effect] = []
    for request_id in request_ids:
        request = state.requests.get(request_id)
        if request is None or request.phase is Phase.RESPONDING:
            continue
        if len(request.tried_owner_ids) != 1:
            # It was refused or lost before and is tried elsewhere already.
            continue
        step = _send_copy(state, request, table, now_ms)
        state = step.state
        effects.extend(step.effects)
    return Transition(state, tuple(effects))
