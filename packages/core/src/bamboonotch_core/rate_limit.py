"""Rate of requests that a backend server has named, as a token bucket at its owner.

The owner is the only way to its backend server, so its bucket bounds the requests of all nodes
together. Every attempt that is started takes a token, whether first or repeated.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.replace import replace_fields

__all__ = [
    "MIN_RATE_PER_S",
    "RateLimit",
    "has_token",
    "name_rate",
    "rate_wait_ms",
    "take_token",
]

# Bounds the burst after idle time or a pause of this process.
BURST_S = 0.25
# A backend server that gets no request cannot raise its rate again, so one is sent this often even
# at a rate of 0.
MIN_RATE_PER_S = 0.5
MS_PER_S = 1000.0


@dataclass(frozen=True)
class RateLimit:
    """The rate in force and the tokens left.

    :param named_per_s: requests a second, as the backend server named them.
    :param tokens: attempts that could start at ``refilled_ms``.
    :param refilled_ms: when ``tokens`` was computed, on the monotonic clock.
    """

    named_per_s: float
    tokens: float
    refilled_ms: float

    @property
    def per_s(self) -> float:
        """Rate at which tokens are earned."""
        return max(MIN_RATE_PER_S, self.named_per_s)

    @property
    def burst(self) -> float:
        """Largest number of tokens."""
        return max(1.0, BURST_S * self.per_s)


def name_rate(limit: RateLimit | None, per_s: float, now_ms: float) -> RateLimit:
    """Return the limit after the backend server named a rate.

    :param limit: the limit in force, or ``None``.
    :param per_s: requests a second, finite and not negative.
    :param now_ms: monotonic clock, in milliseconds.
    """
    # The backend server has just been given work without a limit, so the bucket starts empty.
    tokens = 0.0 if limit is None else _refill(limit, now_ms).tokens
    named = RateLimit(per_s, tokens, now_ms)
    return replace_fields(named, tokens=min(tokens, named.burst))


def _refill(limit: RateLimit, now_ms: float) -> RateLimit:
    earned = max(0.0, now_ms - limit.refilled_ms) / MS_PER_S * limit.per_s
    return RateLimit(limit.named_per_s, min(limit.burst, limit.tokens + earned), now_ms)


def has_token(limit: RateLimit | None, now_ms: float) -> bool:
    """Return whether an attempt may start now.

    :param limit: the limit in force, or ``None``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return limit is None or rate_wait_ms(limit, 0, now_ms) <= 0.0


def take_token(limit: RateLimit | None, now_ms: float) -> RateLimit | None:
    """Return the limit after an attempt was started.

    :param limit: the limit in force, or ``None``.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if limit is None:
        return None
    refilled = _refill(limit, now_ms)
    return replace_fields(refilled, tokens=refilled.tokens - 1.0)


def rate_wait_ms(limit: RateLimit | None, ahead: float, now_ms: float) -> float:
    """Return how long an attempt waits for its token, in milliseconds.

    :param limit: the limit in force, or ``None``.
    :param ahead: number of attempts that start before it, which may be an estimate.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if limit is None:
        return 0.0
    missing = ahead + 1 - _refill(limit, now_ms).tokens
    return max(0.0, missing) / limit.per_s * MS_PER_S
