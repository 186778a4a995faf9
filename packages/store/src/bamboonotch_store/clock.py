"""The clock that decides how long a lease, a deadline or a proof still holds."""

from __future__ import annotations

import time

__all__ = ["now_ms"]

MILLISECONDS_PER_SECOND = 1000.0
# Where the system has it: unlike the monotonic clock, it goes on while the machine is suspended.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_ms() -> float:
    """Return a clock that never goes back and counts the time in which the machine is suspended.

    :returns: milliseconds since an arbitrary moment.
    """
    return time.clock_gettime(_CLOCK_ID) * MILLISECONDS_PER_SECOND
