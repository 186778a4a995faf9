"""Number of requests that the backend server may run now, and the expected wait for a slot."""

from __future__ import annotations

from collections.abc import Callable

from bamboonotch_core.admission._fair_share import others_waiting
from bamboonotch_core.admission._limit import ramp_slots, service_ms
from bamboonotch_core.admission._state import AdmissionState
from bamboonotch_core.configuration import Configuration, Rank
from bamboonotch_core.slowdown import slowdown_trend

__all__ = [
    "allowed_slots",
    "count_ahead",
    "expected_wait_ms",
    "hard_slots",
    "is_draining",
    "service_time_trend",
    "total_queue_limit",
]

# A stated slowdown says nothing of the work that starts later than this.
SLOWDOWN_VALID_MS = 500.0
RESIDUAL_SHARE = 0.5  # on average, half of the service time of a running request remains


def hard_slots(state: AdmissionState, configuration: Configuration) -> int:
    """Return the smaller of the announced and the configured slots.

    :param configuration: the running configuration.
    :returns: number of slots; 0 when the backend server is stopped or its service is not in the
        configuration.
    """
    service = configuration.services.get(state.backend.service)
    if service is None or state.backend.state == "stopped":
        return 0
    return min(state.backend.slots, service.slots_per_backend_server)


def allowed_slots(state: AdmissionState, configuration: Configuration, now_ms: float) -> int:
    """Return the slots that may be held now.

    :param configuration: the running configuration.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the smallest of hard slots, ramp and concurrency limit; 0 during a pause after
        refusals, else at least 1 when there is a hard slot.
    """
    if now_ms < state.paused_until_ms:
        return 0
    slots = hard_slots(state, configuration)
    if slots <= 1:
        return slots
    service = configuration.services[state.backend.service]
    ramped_slots = ramp_slots(slots, service.ramp_ms, now_ms - state.backend.ramp_start_ms)
    return max(1, int(min(slots, ramped_slots, state.limit.value)))


def is_draining(state: AdmissionState) -> bool:
    """Return whether new work is refused because of a drain or shutdown."""
    return state.draining or state.shutting_down or state.backend.state == "draining"


def total_queue_limit(configuration: Configuration) -> int:
    """Return the limit of attempts in all queues together: the largest queue limit of a class.

    :param configuration: the running configuration.
    """
    return max((item.queue_limit for item in configuration.classes.values()), default=0)


def service_time_trend(state: AdmissionState, now_ms: float) -> float:
    """Return the service time of work that starts now, relative to the measured service times.

    Measured times follow the backend server over tens of answers; what its last answer stated says
    how it is now.

    :param now_ms: monotonic clock, in milliseconds.
    """
    trend = state.slowdown
    if trend is None or now_ms - trend.stated_ms >= SLOWDOWN_VALID_MS:
        return 1.0
    return slowdown_trend(trend.value, trend.past)


def _sum_ahead(
    state: AdmissionState,
    rank: Rank,
    workspace: str,
    cost_of: Callable[[str], float],
    own_cost: float,
) -> float:
    """Add up the costs of the queued attempts that start before an arrival.

    These are all attempts of lower rank values and, of the same rank, those of the arrival's
    workspace. Each other workspace of the rank gets as much service as the arrival's own until the
    arrival has started, and requests without a workspace as much as all workspaces together, so
    what they have queued beyond that does not count.

    :param cost_of: returns the cost of one attempt of a class.
    :param own_cost: cost of the arrival.
    """
    total = 0.0
    for other_rank, classes in state.backlog.items():
        if other_rank < rank:
            total += sum(count * cost_of(name) for name, count in classes.items())
    same = state.backlog.get(rank)
    if same is None:
        return total
    same_total = sum(count * cost_of(name) for name, count in same.items())
    share = state.shares.get(rank)
    if share is None:
        return total + same_total
    without = _sum_queues(state, rank, "", cost_of)
    if not workspace:
        return total + without + min(same_total - without, without + own_cost)
    own = _sum_queues(state, rank, workspace, cost_of)
    others = (own + own_cost) * others_waiting(share, workspace)
    named = own + min(same_total - without - own, others)
    return total + named + min(without, named + own_cost)


def _sum_queues(
    state: AdmissionState, rank: Rank, workspace: str, cost_of: Callable[[str], float]
) -> float:
    """Add up the costs of the queued attempts of one rank and workspace."""
    total = 0.0
    for name in state.backlog[rank]:
        queue = state.queues.get((rank, workspace, name))
        if queue is not None:
            total += len(queue.entries) * cost_of(name)
    return total


def count_ahead(state: AdmissionState, rank: Rank, workspace: str) -> float:
    """Return the number of queued attempts that go before an arrival.

    :param rank: rank of the arrival.
    :param workspace: its workspace, or empty.
    """
    return _sum_ahead(state, rank, workspace, lambda _: 1.0, 1.0)


def expected_wait_ms(
    state: AdmissionState,
    rank: Rank,
    workspace: str,
    request_class: str,
    slots: int,
    now_ms: float,
) -> float:
    """Estimate how long an arrival waits for a slot, from measured service times.

    :param rank: rank of the arrival.
    :param workspace: its workspace, or empty.
    :param slots: slots that may be held now.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: wait in milliseconds; 0 before the first answer of the backend server.
    """
    work_ms = state.limit.mean_ms * (RESIDUAL_SHARE + len(state.claimed))
    own_ms = service_ms(state.limit, request_class)
    work_ms += _sum_ahead(
        state, rank, workspace, lambda name: service_ms(state.limit, name), own_ms
    )
    return work_ms * service_time_trend(state, now_ms) / max(1, slots)
