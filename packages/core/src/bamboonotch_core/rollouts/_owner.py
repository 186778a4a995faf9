"""Bound and counts at the owner: the only gate to a backend server."""

from __future__ import annotations

from bamboonotch_core.replace import replace_fields
from bamboonotch_core.rollout_messages import (
    RolloutCounts,
    RolloutPlan,
    RolloutStatus,
    RouteCounts,
)
from bamboonotch_core.rollouts._evidence import NO_LATENCY, latency_bucket
from bamboonotch_core.rollouts._state import KnownRollout, RolloutsState, Tally

__all__ = [
    "PLAN_LIFETIME_MS",
    "count_arrival",
    "count_end",
    "is_counted",
    "make_counts",
    "note_lost",
    "refusal_cause",
]

# Drivers write twice a second. A node that has heard nothing for this long, which is half of the
# 5 s within which a bad version must be stopped, sends and runs nothing of the target version.
PLAN_LIFETIME_MS = 2500.0
# Bad responses after which an owner stops by itself, also while no driver tells it to.
OWN_FAILURES = 10
OWN_FAILURE_SHARE = 0.3
# Responses lost within this time are counted as one.
LOST_INTERVAL_MS = 500.0
# Routes that are told apart; a configuration may have hundreds.
MAX_ROUTES = 48


def _allowance(plan: RolloutPlan, node_id: str, incarnation: int) -> int:
    for grant in plan.grants:
        if (grant.node_id, grant.incarnation) == (node_id, incarnation):
            return grant.allowance
    return 0


def _has_failed(tally: Tally) -> bool:
    failures = sum(tally.failures.values())
    responses = failures + sum(tally.latencies.values())
    return failures >= OWN_FAILURES and failures >= OWN_FAILURE_SHARE * responses


def refusal_cause(
    state: RolloutsState, service: str, version: str, incarnation: int, now_ms: float
) -> str:
    """Return why the backend server beside this node may not take a request, or an empty text.

    :param service: its service.
    :param version: its software version; empty when it states none.
    :param incarnation: incarnation of this process.
    """
    known = state.known.get(service)
    if known is None or not known.order.target_version:
        return ""
    if version and version in known.plan.barred:
        return "version-barred"
    if version != known.order.target_version:
        completed = known.plan.state == RolloutStatus.COMPLETED
        return "completed" if completed else ""
    return _target_cause(state, known, incarnation, now_ms)


def _target_cause(
    state: RolloutsState, known: KnownRollout, incarnation: int, now_ms: float
) -> str:
    plan = known.plan
    if plan.state == RolloutStatus.COMPLETED:
        return ""
    if plan.state != RolloutStatus.RUNNING or known.stopped:
        return "rolled-back" if known.stopped else f"order-{plan.state}"
    if now_ms - known.heard_ms > PLAN_LIFETIME_MS:
        return "plan-too-old"
    tally = state.tallies.get(plan.order.target_version, Tally())
    if _has_failed(tally):
        return "own-failures"
    if tally.arrivals >= _allowance(plan, state.node_id, incarnation):
        return "allowance-used"
    return ""


def is_counted(state: RolloutsState, service: str) -> bool:
    """Tell whether the requests of a service are counted, which they are while it has an order."""
    known = state.known.get(service)
    return known is not None and bool(known.order.target_version)


def _current(state: RolloutsState, service: str) -> RolloutsState:
    """Return the state with tallies of the order in force."""
    known = state.known.get(service)
    key = "" if known is None else known.order.key
    if key == state.tally_key:
        return state
    empty = RolloutsState(state.node_id)
    return replace_fields(state, tallies=empty.tallies, live=empty.live, tally_key=key)


def count_arrival(
    state: RolloutsState, service: str, version: str, attempt_id: str, route: str
) -> RolloutsState:
    """Count a request that the owner has taken."""
    state = _current(state, service)
    tally = state.tallies.get(version, Tally())
    counted = replace_fields(tally, arrivals=tally.arrivals + 1)
    return replace_fields(
        state,
        tallies=state.tallies.set(version, counted),
        live=state.live.set(attempt_id, (version, route)),
    )


def _known_route(tally: Tally, route: str) -> str:
    if route in tally.failures:
        return route
    routes = {name for name, _ in tally.latencies} | set(tally.failures)
    return route if route in routes or len(routes) < MAX_ROUTES else ""


def count_end(
    state: RolloutsState, attempt_id: str, failed: bool | None, latency_ms: float
) -> RolloutsState:
    """Count the end of a request.

    :param failed: whether its response was a failure; ``None`` when it says nothing of the version,
        as when it was not run.
    :param latency_ms: how long it took, in milliseconds; 0 when that is not usual for a reason
        other than the version.
    """
    found = state.live.get(attempt_id)
    if found is None:
        return state
    version, name = found
    state = replace_fields(state, live=state.live.delete(attempt_id))
    if failed is None:
        return state
    tally = state.tallies.get(version, Tally())
    route = _known_route(tally, name)
    if failed:
        failures = tally.failures.set(route, tally.failures.get(route, 0) + 1)
        tally = replace_fields(tally, failures=failures)
    else:
        place = (route, latency_bucket(latency_ms) if latency_ms > 0 else NO_LATENCY)
        latencies = tally.latencies.set(place, tally.latencies.get(place, 0) + 1)
        tally = replace_fields(tally, latencies=latencies)
    return replace_fields(state, tallies=state.tallies.set(version, tally))


def note_lost(state: RolloutsState, now_ms: float) -> tuple[RolloutsState, bool]:
    """Tell whether a lost response counts as a failure.

    A server that ends, or a VM that fails, loses all responses in progress at once, which says no
    more of the version than a single one.
    """
    if now_ms - state.lost_ms < LOST_INTERVAL_MS:
        return state, False
    return replace_fields(state, lost_ms=now_ms), True


def make_counts(
    state: RolloutsState, service: str, version: str, incarnation: int, ready: bool
) -> tuple[RolloutsState, RolloutCounts]:
    """Return the next counts of this owner.

    :param version: software version of the backend server.
    :param incarnation: incarnation of this process.
    :param ready: whether the backend server takes requests.
    """
    state = replace_fields(_current(state, service), counts_number=state.counts_number + 1)
    tally = state.tallies.get(version, Tally())
    latencies: dict[str, list[tuple[int, int]]] = {name: [] for name in tally.failures}
    for (route, bucket), number in tally.latencies.items():
        latencies.setdefault(route, []).append((bucket, number))
    routes = tuple(
        RouteCounts(name, tally.failures.get(name, 0), tuple(sorted(latencies[name])))
        for name in sorted(latencies)
    )
    counts = RolloutCounts(
        node_id=state.node_id,
        incarnation=incarnation,
        number=state.counts_number,
        service=service,
        order_key=state.tally_key,
        software_version=version,
        arrivals=tally.arrivals,
        running=sum(item[0] == version for item in state.live.values()),
        ready=ready,
        routes=routes,
    )
    return state, counts
