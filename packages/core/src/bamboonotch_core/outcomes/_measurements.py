"""What the ingress learns of owners from their replies."""

from __future__ import annotations

from immutables import Map

from bamboonotch_core.outcomes._reasons import BUSY_REASONS, RefusalReason
from bamboonotch_core.outcomes._state import OutcomeState, PendingRequest
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_events import ResponseFinished
from bamboonotch_core.routing import (
    OwnerView,
    record_load,
    record_no_room,
    record_refusal,
    record_service_time,
    record_slowdown,
    record_uplink,
    record_work,
)
from bamboonotch_core.slowdown import UNKNOWN_SLOWDOWN

__all__ = ["record_measurements", "views_after_reply"]

KILOBYTE = 1024.0
AVOID_BUSY_MS = 100.0  # about the time in which a queue of short requests advances
AVOID_LEAVING_MS = 2000.0  # by then the membership protocol has distributed the draining state
LEAVING_REASONS = frozenset(
    {
        RefusalReason.DRAINING,
        RefusalReason.NOT_READY,
        RefusalReason.OTHER_INCARNATION,
        RefusalReason.WRONG_SERVICE,
    }
)


def views_after_reply(
    state: OutcomeState,
    request: PendingRequest,
    load: int,
    reason: str,
    now_ms: float,
    uplink_ms: float | None = None,
    slowdown: float = UNKNOWN_SLOWDOWN,
) -> Map[str, OwnerView]:
    """Return the views of owners with the load and the refusal that the current owner reported."""
    owner = request.attempt.owner if request.attempt else None
    view = state.views.get(owner.node_id) if owner else None
    if owner is None or view is None or view.incarnation != owner.incarnation:
        return state.views
    view = record_load(view, load, now_ms)
    if uplink_ms is not None:
        view = record_uplink(view, uplink_ms, now_ms)
    if slowdown:
        view = record_slowdown(view, slowdown, now_ms)
    if reason in BUSY_REASONS:
        view = record_refusal(view, AVOID_BUSY_MS, now_ms)
        # A backend server that refuses one request may accept the next one.
        if reason != RefusalReason.BACKEND_NOT_RUN:
            view = record_no_room(view, request.rank, request.workspace, AVOID_BUSY_MS, now_ms)
    elif reason in LEAVING_REASONS:
        view = record_refusal(view, AVOID_LEAVING_MS, now_ms)
    return state.views.set(owner.node_id, view)


def record_measurements(
    state: OutcomeState, request: PendingRequest, event: ResponseFinished
) -> OutcomeState:
    """Record the service time and response size of a request, and the slowness of its owner."""
    attempt = request.attempt
    if attempt is None or attempt.service_ms <= 0.0:
        return state
    key = (request.service, request.request_class)
    work = record_work(
        state.work_estimates.get(key), attempt.service_ms, event.size_bytes / KILOBYTE
    )
    views = state.views
    view = views.get(attempt.owner.node_id)
    if view is not None and view.incarnation == attempt.owner.incarnation:
        ratio = attempt.service_ms / max(1.0, work.service_ms)
        views = views.set(view.node_id, record_service_time(view, ratio, event.now_ms))
    return replace_fields(state, work_estimates=state.work_estimates.set(key, work), views=views)
