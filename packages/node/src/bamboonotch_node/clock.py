"""Clocks of the process."""

from __future__ import annotations

import time

__all__ = ["now_ms", "unix_ms"]

MILLISECONDS_PER_SECOND = 1000.0


def now_ms() -> float:
    """Return the monotonic clock, in milliseconds."""
    return time.monotonic() * MILLISECONDS_PER_SECOND


def unix_ms() -> int:
    """Return the wall clock, in milliseconds since 1970."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
