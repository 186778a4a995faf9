"""Recognition of requests whose caller was refused before.

A caller that repeats a refused request has less time left than a caller with a first request, and
therefore sends a shorter timeout. No other property distinguishes the two, because a repeat may
arrive at another node under another request id.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerTimeouts", "is_returning", "record_timeout"]

# The timeouts of first requests of one class differ by up to 15 %. A caller that was told to repeat
# its request after a third of its timeout has at most two thirds of the timeout left.
RETURNING_TIMEOUT_SHARE = 0.8
# After this time without a timeout close to the longest one, the callers of the class are assumed
# to use shorter timeouts now.
LONGEST_TIMEOUT_RETENTION_MS = 30_000.0


@dataclass(frozen=True)
class CallerTimeouts:
    """Timeouts of the callers of one request class.

    :param longest_timeout_ms: longest timeout of the recent requests, in milliseconds.
    :param confirmed_ms: when a timeout of at least ``RETURNING_TIMEOUT_SHARE`` of the longest one
        last arrived, on the monotonic clock in milliseconds.
    """

    longest_timeout_ms: float
    confirmed_ms: float


def record_timeout(
    caller_timeouts: CallerTimeouts | None, timeout_ms: float, now_ms: float
) -> CallerTimeouts:
    """Record the timeout of one more request.

    :param caller_timeouts: timeouts of the class so far, or ``None`` before the first request.
    :param timeout_ms: timeout that the caller sent, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new record; the same object when the timeout changes nothing.
    """
    if caller_timeouts is None or timeout_ms >= caller_timeouts.longest_timeout_ms:
        return CallerTimeouts(timeout_ms, now_ms)
    if timeout_ms >= RETURNING_TIMEOUT_SHARE * caller_timeouts.longest_timeout_ms:
        return CallerTimeouts(caller_timeouts.longest_timeout_ms, now_ms)
    if now_ms - caller_timeouts.confirmed_ms > LONGEST_TIMEOUT_RETENTION_MS:
        return CallerTimeouts(timeout_ms, now_ms)
    return caller_timeouts


def is_returning(caller_timeouts: CallerTimeouts, timeout_ms: float) -> bool:
    """Return whether a caller was probably refused before.

    :param caller_timeouts: timeouts of the request class.
    :param timeout_ms: timeout that the caller sent, in milliseconds.
    """
    return timeout_ms < RETURNING_TIMEOUT_SHARE * caller_timeouts.longest_timeout_ms
