"""Whether the counts of the owners show that a version is bad."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from bamboonotch_core.rollout_messages import RolloutCounts

__all__ = ["NO_LATENCY", "Evidence", "find_fault", "latency_bucket", "sum_evidence"]

BUCKETS_PER_DOUBLING = 2
# Bucket of responses whose latency says nothing of the version.
NO_LATENCY = -1
MAX_BUCKET = 40  # 2^20 ms, longer than any request may last
# A single failure or slow response proves nothing; the 50th bad response starts the time in which
# the version must be stopped, so a few more than noise are enough to decide.
MIN_FAILURES = 4
# Least number and least part of slow responses. A VM that stands still for a moment makes all
# requests in its slots slow at once, so a small part needs a larger number.
SLOW_RULES = ((6, 0.5), (8, 0.2), (12, 0.08))
# Part of all responses that must be failures beyond the part that the other versions show.
MIN_FAILURE_SHARE = 0.01
# Slow means beyond twice the 95th percentile of the other versions; "several times slower" is at
# least three times, and a healthy server under a higher share stays below two.
SLOW_QUANTILE = 0.95
SLOW_BUCKETS = 2
# Responses of the other versions without which a route has no usual latency.
MIN_REFERENCE = 20
# The failures must exceed what the other versions lead to expect by this factor, and by three
# standard deviations.
EXCESS_FACTOR = 2.0
DEVIATIONS = 3.0


def latency_bucket(latency_ms: float) -> int:
    """Return the number of the latency bucket, whose width is half a doubling."""
    return min(MAX_BUCKET, int(BUCKETS_PER_DOUBLING * math.log2(max(1.0, latency_ms))))


@dataclass
class _RouteSum:
    failures: int = 0
    responses: int = 0
    latencies: dict[int, int] = field(default_factory=dict)

    @property
    def timed(self) -> int:
        """Number of responses with a latency."""
        return sum(number for bucket, number in self.latencies.items() if bucket != NO_LATENCY)


@dataclass
class Evidence:
    """Counts of one side of a roll-out, summed over its owners.

    :param arrivals: requests taken.
    :param running: requests taken and not ended.
    """

    arrivals: int = 0
    running: int = 0
    routes: dict[str, _RouteSum] = field(default_factory=dict)


def sum_evidence(counts: Iterable[RolloutCounts]) -> Evidence:
    """Return the sum of counts of different owners."""
    total = Evidence()
    for item in counts:
        total.arrivals += item.arrivals
        total.running += item.running
        for route in item.routes:
            into = total.routes.setdefault(route.route, _RouteSum())
            into.failures += route.failures
            into.responses += route.failures + sum(number for _, number in route.latencies)
            for bucket, number in route.latencies:
                into.latencies[bucket] = into.latencies.get(bucket, 0) + number
    return total


def _exceeds(bad: int, responses: int, usual_share: float, min_share: float) -> bool:
    expected = usual_share * responses
    margin = DEVIATIONS * math.sqrt(expected + 1.0)
    return bad >= min_share * responses and bad > max(EXCESS_FACTOR * expected, expected + margin)


def _failure_fault(name: str, new: _RouteSum, old: _RouteSum) -> str:
    if new.failures < MIN_FAILURES:
        return ""
    usual = old.failures / old.responses if old.responses else 0.0
    if not _exceeds(new.failures, new.responses, usual, MIN_FAILURE_SHARE):
        return ""
    return f"{new.failures} of {new.responses} responses of {name} failed, usually {usual:.3f}"


def _slow_limit(old: _RouteSum) -> int | None:
    """Return the first bucket that counts as slow, or ``None`` without a usual latency."""
    total = old.timed
    if total < MIN_REFERENCE:
        return None
    seen = 0
    for bucket in sorted(old.latencies.keys() - {NO_LATENCY}):
        seen += old.latencies[bucket]
        if seen >= SLOW_QUANTILE * total:
            return bucket + SLOW_BUCKETS + 1
    return None


@dataclass(frozen=True)
class _Slowness:
    """Slow responses of a route, and how many responses would usually be slow."""

    slow: int
    timed: int
    expected: float


def _slowness(new: _RouteSum, old: _RouteSum) -> _Slowness | None:
    """Return how slow a route is, or ``None`` without a usual latency."""
    limit = _slow_limit(old)
    if limit is None:
        return None
    slow = sum(number for bucket, number in new.latencies.items() if bucket >= limit)
    usual_slow = sum(number for bucket, number in old.latencies.items() if bucket >= limit)
    return _Slowness(slow, new.timed, usual_slow / old.timed * new.timed)


def _latency_fault(name: str, found: list[_Slowness]) -> str:
    slow = sum(item.slow for item in found)
    timed = sum(item.timed for item in found)
    usual = sum(item.expected for item in found) / max(1, timed)
    for min_slow, min_share in SLOW_RULES:
        if slow >= min_slow and _exceeds(slow, timed, usual, min_share):
            return f"{slow} of {timed} responses of {name} were slow, usually {usual:.3f}"
    return ""


def _all_routes(side: Evidence) -> _RouteSum:
    total = _RouteSum()
    for route in side.routes.values():
        total.failures += route.failures
        total.responses += route.responses
    return total


def find_fault(target: Evidence, others: Evidence) -> str:
    """Return why the target version is bad, or an empty text when nothing shows it.

    :param target: counts of the owners of the target version.
    :param others: counts of the owners of the versions in use before.
    """
    fault = _failure_fault("all routes", _all_routes(target), _all_routes(others))
    found = []
    for name in sorted(target.routes):
        new, old = target.routes[name], others.routes.get(name, _RouteSum())
        slowness = _slowness(new, old)
        fault = fault or _failure_fault(f"route {name}", new, old)
        if slowness is not None:
            found.append(slowness)
            fault = fault or _latency_fault(f"route {name}", [slowness])
    return fault or _latency_fault("all routes", found)
