"""Clocks of the process."""

from __future__ import annotations

import time

from bamboonotch_store.clock import now_ms

__all__ = ["now_ms", "unix_ms"]

MILLISECONDS_PER_SECOND = 1000.0


def unix_ms() -> int:
    """Return the wall clock, in milliseconds since 1970."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
