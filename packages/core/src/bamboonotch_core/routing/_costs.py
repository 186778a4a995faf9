"""Expected cost of a request at an owner, in milliseconds of its caller's time.

Waiting time and distance are expressed in the same unit, so that a request leaves its data centre
exactly when waiting there would cost more than the distance to another data centre. Links between
data centres and between regions are billed by volume, so the cost of distance grows with the size
of the response.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.rate_limit import MIN_RATE_PER_S
from bamboonotch_core.routing._candidates import Distance
from bamboonotch_core.routing._owner_view import (
    OwnerView,
    decayed_load,
    decayed_service_time_ratio,
    decayed_slowdown_trend,
    remaining_uplink_ms,
)
from bamboonotch_core.routing._table import Owner

__all__ = [
    "UNKNOWN_WORK",
    "WorkEstimate",
    "crowding_cost_ms",
    "expected_cost_ms",
    "rate_wait_ms",
    "record_work",
]

# Cost of a distance for every request: latency and the fixed part of the price of the link.
DISTANCE_COST_MS = {
    Distance.SAME_VM: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 10.0,
    Distance.FAR: 60.0,
}
# Cost of a distance for each kilobyte of the response. A response that stays on its VM occupies no
# link at all.
DISTANCE_COST_MS_PER_KB = {
    Distance.SAME_VM: 0.0,
    Distance.DATA_CENTRE: 1.0,
    Distance.REGION: 2.0,
    Distance.FAR: 7.0,
}
UTILISATION_COST_MS = 10.0  # decides between owners that both have free slots
# Of the service time, for an owner with all slots in use. With less, quick owners get most of the
# requests in calm; with more, slow ones get as many as they can take and the mean latency rises.
CROWDING_SHARE = 0.5
# Added after a refusal and for a suspect owner; about the cost of a failed attempt.
AVOIDED_COST_MS = 200.0
# If failures counted for ever, an owner that failed would never be chosen again.
FAILURE_RETENTION_MS = 1000.0
WORK_SMOOTHING_FACTOR = 0.05
KILOBYTE = 1024.0
MS_PER_S = 1000.0
# Responses up to this size leave at once and do not wait for the bodies before them.
SMALL_RESPONSE_KB = 16.0


@dataclass(frozen=True)
class WorkEstimate:
    """Smoothed needs of the requests of one class at one service, over all its owners.

    :param service_ms: time from dispatch to the head of the response, in milliseconds.
    :param response_kb: size of the response body, in kilobytes.
    """

    service_ms: float
    response_kb: float


UNKNOWN_WORK = WorkEstimate(100.0, 0.0)
"""The estimate before the first response."""


def record_work(
    estimate: WorkEstimate | None, service_ms: float, response_kb: float
) -> WorkEstimate:
    """Return the estimate after one more response.

    :param estimate: the previous estimate, or ``None`` before the first response.
    :param service_ms: time from dispatch to the head of the response, in milliseconds.
    :param response_kb: size of the response body, in kilobytes.
    """
    if estimate is None:
        return WorkEstimate(service_ms, response_kb)
    return WorkEstimate(
        estimate.service_ms + WORK_SMOOTHING_FACTOR * (service_ms - estimate.service_ms),
        estimate.response_kb + WORK_SMOOTHING_FACTOR * (response_kb - estimate.response_kb),
    )


def rate_wait_ms(rate_limit_per_s: float, load: float, service_ms: float) -> float:
    """Return how long an arrival waits for the rate that a backend server has named.

    An owner without work has a request to spare, so one whose backend server names a low rate is
    still sent one now and then, and hears when the rate rises.

    :param load: requests at the owner, of which those that run do not wait for the rate.
    :param service_ms: service time of the request at the owner, in milliseconds.
    """
    rate_per_s = max(MIN_RATE_PER_S, rate_limit_per_s)
    running = max(1.0, rate_per_s * service_ms / MS_PER_S)
    return max(0.0, load + 1.0 - running) / rate_per_s * MS_PER_S


def crowding_cost_ms(owner: Owner, view: OwnerView, work: WorkEstimate, now_ms: float) -> float:
    """Return what the load of an owner costs beyond its expected cost, before all slots are in use.

    Reports are late and do not show what other nodes have just sent, so a quick owner that looks
    half full is a risk of waiting that grows with the service time.

    :param view: what this node knows of the owner.
    :param work: expected service time and response size of the request.
    :param now_ms: monotonic clock, in milliseconds.
    """
    utilisation = (decayed_load(view, now_ms) + view.in_flight) / owner.slots
    return CROWDING_SHARE * work.service_ms * utilisation


def expected_cost_ms(
    owner: Owner, view: OwnerView, distance: int, work: WorkEstimate, now_ms: float
) -> float:
    """Return the expected cost of a request at an owner, in milliseconds of its caller's time.

    :param view: what this node knows of the owner.
    :param distance: :class:`Distance` of the owner from this node.
    :param work: expected service time and response size of the request.
    :param now_ms: monotonic clock, in milliseconds.
    """
    reported = decayed_load(view, now_ms)
    # The reported load may already include this node's own requests; the larger is the queue.
    load = max(reported, float(view.in_flight))
    service_ms = work.service_ms * decayed_service_time_ratio(view, now_ms)
    service_ms *= decayed_slowdown_trend(view, now_ms)
    slots = owner.slots
    wait_ms = max(0.0, (load + 1.0 - slots) / slots) * service_ms
    if owner.rate_limit_per_s is not None:
        wait_ms = max(wait_ms, rate_wait_ms(owner.rate_limit_per_s, load, service_ms))
    cost_ms = service_ms + wait_ms + UTILISATION_COST_MS * (reported + view.in_flight) / slots
    cost_ms += DISTANCE_COST_MS[distance] + DISTANCE_COST_MS_PER_KB[distance] * work.response_kb
    if work.response_kb > SMALL_RESPONSE_KB and distance != Distance.SAME_VM:
        cost_ms += remaining_uplink_ms(view, now_ms)
    if view.failures and now_ms - view.last_failure_ms < FAILURE_RETENTION_MS:
        cost_ms += view.failures * work.service_ms
    if owner.suspect or now_ms < view.avoid_until_ms:
        cost_ms += AVOIDED_COST_MS
    return cost_ms
