"""Adaptive concurrency limit, computed from latency and refusals of the backend server.

The limit rises slowly while it is fully used. It is multiplied by a factor below 1 when the
smoothed latency of a class exceeds a multiple of its baseline, or when the backend server refuses
work. Load that the backend server reports is not used, because it lags behind and misleads.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.replace import replace_fields

__all__ = [
    "SMOOTHING",
    "ClassLatency",
    "ConcurrencyLimit",
    "ramp_slots",
    "record_answer",
    "record_refusal",
    "service_ms",
]

# With exponentially distributed service times, the smoothed latency then deviates from the mean by
# less than half of it.
SMOOTHING = 0.05
BASELINE_SMOOTHING = 0.02
BASELINE_DROP_SHARE = 0.7  # smaller drops below the baseline are noise
LOW_LOAD_DIVISOR = 4  # with at most a quarter of the slots held, load is light
MIN_SAMPLES = 20  # the mean of fewer answers is mostly noise
LATENCY_CUT_FACTOR = 0.8
# A round is one answer for each slot of the limit, so the limit rises by one slot in 20 rounds.
# With a faster increase it oscillates and is cut every second.
INCREASE_SLOTS_PER_ROUND = 0.05
# Applies while refusals have cut the limit below the lowest value that latency can cut it to.
RECOVERY_SLOTS_PER_ANSWER = 0.25
REFUSAL_CUT_FACTOR = 0.5
MIN_CUT_INTERVAL_MS = 100.0
MIN_LIMIT_SLOTS = 1.0
# Latency does not cut the limit below this share of the slots: slow answers of other services also
# raise latency, and a lower limit does not make them faster.
MIN_LATENCY_LIMIT_SHARE = 0.5


@dataclass(frozen=True)
class ClassLatency:
    """Latency of one class at the backend server.

    :param smoothed_ms: exponentially smoothed latency.
    :param baseline_ms: latency of the backend server under light load.
    :param samples: number of answers so far.
    """

    smoothed_ms: float
    baseline_ms: float
    samples: int


@dataclass(frozen=True)
class ConcurrencyLimit:
    """The limit and the measurements behind it.

    :param value: requests that may run at once; infinite until the first cut.
    :param next_cut_ms: monotonic time before which the limit is not cut again, so that one overload
        cuts it once.
    :param latencies: latency by class name.
    :param mean_ms: smoothed latency of all classes; 0 before the first answer.
    """

    value: float = math.inf
    next_cut_ms: float = 0.0
    latencies: Map[str, ClassLatency] = field(default_factory=Map)
    mean_ms: float = 0.0


def service_ms(limit: ConcurrencyLimit, request_class: str) -> float:
    """Return the measured service time of a class, in milliseconds.

    :param request_class: name of the class.
    :returns: smoothed latency of the class, or of all classes while the class has no answer; 0
        before the first answer.
    """
    latency = limit.latencies.get(request_class)
    return limit.mean_ms if latency is None else latency.smoothed_ms


def ramp_slots(slots: int, ramp_ms: float, since_start_ms: float) -> float:
    """Return the slots that a backend server may use during its ramp.

    :param slots: slots after the ramp.
    :param ramp_ms: length of the ramp, in milliseconds.
    :param since_start_ms: time since the start of the ramp, in milliseconds.
    :returns: a number that rises linearly from 1 to ``slots``.
    """
    if since_start_ms >= ramp_ms:
        return float(slots)
    return 1.0 + (slots - 1) * max(0.0, since_start_ms) / ramp_ms


def _add_sample(
    latency: ClassLatency | None, latency_ms: float, lightly_loaded: bool
) -> ClassLatency:
    """Add an answer to the latency of its class.

    The baseline follows the answers of a lightly loaded backend server. Under load it only falls,
    because a lasting overload would otherwise become the baseline. It falls only when the smoothed
    latency is clearly lower, because the lowest of many noisy answers is far below any latency that
    can be sustained.
    """
    if latency is None:
        return ClassLatency(latency_ms, latency_ms, 1)
    samples = latency.samples + 1
    if samples <= MIN_SAMPLES:
        mean_ms = latency.smoothed_ms + (latency_ms - latency.smoothed_ms) / samples
        return ClassLatency(mean_ms, mean_ms, samples)
    smoothed_ms = latency.smoothed_ms + SMOOTHING * (latency_ms - latency.smoothed_ms)
    baseline_ms = latency.baseline_ms
    if lightly_loaded:
        baseline_ms += BASELINE_SMOOTHING * (latency_ms - baseline_ms)
    elif smoothed_ms < BASELINE_DROP_SHARE * baseline_ms:
        baseline_ms += BASELINE_SMOOTHING * (smoothed_ms - baseline_ms)
    return ClassLatency(smoothed_ms, baseline_ms, samples)


def _cut(
    limit: ConcurrencyLimit, factor: float, min_value: float, slots: int, now_ms: float
) -> ConcurrencyLimit:
    """Multiply the limit by a factor, unless it was already cut for the same overload."""
    if now_ms < limit.next_cut_ms:
        return limit
    value = max(MIN_LIMIT_SLOTS, min_value, min(limit.value, slots) * factor)
    wait_ms = max(MIN_CUT_INTERVAL_MS, 2.0 * limit.mean_ms)
    return replace_fields(limit, value=value, next_cut_ms=now_ms + wait_ms)


def _restart_smoothing(limit: ConcurrencyLimit) -> ConcurrencyLimit:
    """Reset smoothed latencies to the baseline, so that answers before a cut cause no other."""
    latencies = {
        name: ClassLatency(latency.baseline_ms, latency.baseline_ms, latency.samples)
        for name, latency in limit.latencies.items()
    }
    return replace_fields(limit, latencies=Map(latencies))


def record_answer(
    limit: ConcurrencyLimit,
    request_class: str,
    latency_ms: float,
    held: int,
    slots: int,
    latency_factor: float,
    now_ms: float,
) -> ConcurrencyLimit:
    """Update the limit after an answer of the backend server.

    :param request_class: name of the class of the request.
    :param latency_ms: time since dispatch, in milliseconds.
    :param held: larger number of slots held at its dispatch and at its answer, including its own.
    :param slots: upper bound of the limit, from ``hard_slots``.
    :param latency_factor: multiple of the baseline above which smoothed latency cuts the limit.
    :param now_ms: monotonic clock, in milliseconds.
    """
    lightly_loaded = held <= max(1, slots // LOW_LOAD_DIVISOR)
    latency = _add_sample(limit.latencies.get(request_class), latency_ms, lightly_loaded)
    slow = (
        latency.samples > MIN_SAMPLES and latency.smoothed_ms > latency_factor * latency.baseline_ms
    )
    value = limit.value
    if not slow and value < slots and held >= int(value):
        step = (
            INCREASE_SLOTS_PER_ROUND / value
            if value >= MIN_LATENCY_LIMIT_SHARE * slots
            else RECOVERY_SLOTS_PER_ANSWER
        )
        value = min(float(slots), value + step)
    mean_ms = limit.mean_ms + SMOOTHING * (latency_ms - limit.mean_ms)
    updated = ConcurrencyLimit(
        value=value,
        next_cut_ms=limit.next_cut_ms,
        latencies=limit.latencies.set(request_class, latency),
        mean_ms=mean_ms if limit.mean_ms else latency_ms,
    )
    if not slow:
        return updated
    cut = _cut(updated, LATENCY_CUT_FACTOR, MIN_LATENCY_LIMIT_SHARE * slots, slots, now_ms)
    return updated if cut is updated else _restart_smoothing(cut)


def record_refusal(limit: ConcurrencyLimit, slots: int, now_ms: float) -> ConcurrencyLimit:
    """Cut the limit after the backend server refused work that was within it.

    :param slots: upper bound of the limit, from ``hard_slots``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return _cut(limit, REFUSAL_CUT_FACTOR, MIN_LIMIT_SLOTS, slots, now_ms)
