"""How long work takes at a backend server now, relative to usual, as its responses state it.

The figure changes many times a second, and each request runs through several of its values. The
owner smooths it over about the length of a request, so that ingresses follow what lasts and not
what has passed when their next request arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = [
    "MAX_SLOWDOWN",
    "MIN_SLOWDOWN",
    "UNKNOWN_SLOWDOWN",
    "Slowdown",
    "clip_slowdown",
    "slowdown_trend",
    "smooth",
]

UNKNOWN_SLOWDOWN = 0.0
"""Stands for a figure that is not known."""

# Bounds the effect of an implausible figure: a backend server is never preferred by more than a
# factor of two, and one that is eight times slower gets work only when all others are as bad.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
SMOOTHING_MS = 100.0
# Bounds the effect of an implausible change on choices and refusals.
MIN_TREND = 0.5
MAX_TREND = 4.0


@dataclass(frozen=True)
class Slowdown:
    """The smoothed figure.

    :param value: how long work takes, where 1 is usual.
    :param stated_ms: when a response last stated the figure, on the monotonic clock.
    """

    value: float
    stated_ms: float


def clip_slowdown(value: float) -> float:
    """Return a figure from a peer within bounds; one that is no positive number is unknown."""
    if not value > 0.0:
        return UNKNOWN_SLOWDOWN
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, value))


def slowdown_trend(value: float, past: float) -> float:
    """Return how long work takes now, relative to the past, within bounds.

    :param value: the figure now, positive.
    :param past: the figure of the past, positive.
    """
    return min(MAX_TREND, max(MIN_TREND, value / past))


def smooth(previous: Slowdown | None, stated: float, now_ms: float) -> Slowdown:
    """Return the smoothed figure after one more response.

    A figure weighs by the time since the one before it, because responses come in bursts.

    :param previous: the smoothed figure, or ``None`` before the first response.
    :param stated: the figure of the response, positive.
    :param now_ms: monotonic clock, in milliseconds.
    """
    value = clip_slowdown(stated)
    if previous is None:
        return Slowdown(value, now_ms)
    age_ms = max(0.0, now_ms - previous.stated_ms)
    weight = 1.0 - math.exp(-age_ms / SMOOTHING_MS)
    return Slowdown(previous.value + weight * (value - previous.value), now_ms)
