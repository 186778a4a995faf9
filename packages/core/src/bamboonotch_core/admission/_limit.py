"""Concurrency limit that follows measured latency and refusals of the backend server.

The limit rises by one for each round of answers while it is in use, and is cut by a share when the
smoothed latency of a class exceeds the best seen by a factor, or when the backend server refuses
work. Reported load plays no part, because it lags and misleads.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.routing import replace_fields

__all__ = [
    "ClassLatency",
    "ConcurrencyLimit",
    "ramp_slots",
    "record_answer",
    "record_refusal",
    "service_ms",
]

SMOOTHING = 0.1
BEST_DRIFT = 0.005  # the best latency follows a lasting change in about 200 answers
MIN_SAMPLES = 10  # before that a smoothed latency is mostly chance
LATENCY_CUT = 0.8
REFUSAL_CUT = 0.5
MIN_CUT_INTERVAL_MS = 100.0
MIN_LIMIT = 1.0


@dataclass(frozen=True)
class ClassLatency:
    """Latency of one class at the backend server.

    :param smoothed_ms: exponentially smoothed latency.
    :param best_ms: lowest smoothed latency, drifting up slowly.
    :param samples: answers so far.
    """

    smoothed_ms: float
    best_ms: float
    samples: int


@dataclass(frozen=True)
class ConcurrencyLimit:
    """The limit and what it follows.

    :param value: the limit; infinite until the first cut.
    :param next_cut_ms: no cut before this time, so that one overload counts once.
    :param latencies: latency by class.
    :param mean_ms: smoothed latency of all classes; 0 before the first answer.
    """

    value: float = math.inf
    next_cut_ms: float = 0.0
    latencies: Map[str, ClassLatency] = field(default_factory=Map)
    mean_ms: float = 0.0


def service_ms(limit: ConcurrencyLimit, request_class: str) -> float:
    """Return the measured service time of a class, or of all while it has none.

    :param limit: the limit.
    :param request_class: the class.
    """
    latency = limit.latencies.get(request_class)
    return limit.mean_ms if latency is None else latency.smoothed_ms


def ramp_slots(slots: int, ramp_ms: float, warm_ms: float) -> float:
    """Return the slots that a backend server may use after it became ready.

    :param slots: all its slots.
    :param ramp_ms: time to reach all slots.
    :param warm_ms: time since it became ready.
    """
    if warm_ms >= ramp_ms:
        return float(slots)
    return 1.0 + (slots - 1) * max(0.0, warm_ms) / ramp_ms


def _sample(latency: ClassLatency | None, latency_ms: float) -> ClassLatency:
    if latency is None:
        return ClassLatency(latency_ms, latency_ms, 1)
    smoothed_ms = latency.smoothed_ms + SMOOTHING * (latency_ms - latency.smoothed_ms)
    best_ms = latency.best_ms + BEST_DRIFT * (smoothed_ms - latency.best_ms)
    samples = latency.samples + 1
    if samples <= MIN_SAMPLES:
        # The first answers of a class are too few for a best; take their plain mean.
        smoothed_ms = latency.smoothed_ms + (latency_ms - latency.smoothed_ms) / samples
        best_ms = smoothed_ms
    return ClassLatency(smoothed_ms, min(best_ms, smoothed_ms), samples)


def _cut(limit: ConcurrencyLimit, share: float, slots: int, now_ms: float) -> ConcurrencyLimit:
    """Cut the limit, unless it was cut for the same overload already."""
    if now_ms < limit.next_cut_ms:
        return limit
    value = max(MIN_LIMIT, min(limit.value, slots) * share)
    wait_ms = max(MIN_CUT_INTERVAL_MS, 2.0 * limit.mean_ms)
    return replace_fields(limit, value=value, next_cut_ms=now_ms + wait_ms)


def record_answer(
    limit: ConcurrencyLimit,
    request_class: str,
    latency_ms: float,
    in_use: bool,
    slots: int,
    latency_factor: float,
    now_ms: float,
) -> ConcurrencyLimit:
    """Record an answer of the backend server.

    :param limit: the limit.
    :param request_class: class of the request.
    :param latency_ms: time since dispatch.
    :param in_use: whether the limit held work back while the request ran.
    :param slots: hard limit.
    :param latency_factor: latency over the best at which the limit is cut.
    :param now_ms: monotonic clock, in milliseconds.
    """
    latency = _sample(limit.latencies.get(request_class), latency_ms)
    mean_ms = limit.mean_ms + SMOOTHING * (latency_ms - limit.mean_ms)
    value = limit.value
    slow = latency.samples > MIN_SAMPLES and latency.smoothed_ms > latency_factor * latency.best_ms
    if not slow and in_use and value < slots:
        value = min(float(slots), value + 1.0 / value)
    limit = ConcurrencyLimit(
        value=value,
        next_cut_ms=limit.next_cut_ms,
        latencies=limit.latencies.set(request_class, latency),
        mean_ms=mean_ms if limit.mean_ms else latency_ms,
    )
    return _cut(limit, LATENCY_CUT, slots, now_ms) if slow else limit


def record_refusal(limit: ConcurrencyLimit, slots: int, now_ms: float) -> ConcurrencyLimit:
    """Record that the backend server refused work that was within the limit.

    :param limit: the limit.
    :param slots: hard limit.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return _cut(limit, REFUSAL_CUT, slots, now_ms)
