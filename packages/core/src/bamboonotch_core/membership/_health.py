"""Detection of the own overload, so that an overloaded node does not report others.

When many processes start on busy machines, dials time out because the dialling node is slow.
Reporting the peers then changes links, records and dials, which costs more processor time: without
this check, 100 nodes on 10 cores kept suspecting each other for minutes.
"""

from __future__ import annotations

from bamboonotch_core.membership._work import Step

__all__ = ["is_overloaded", "record_tick_lag", "timeout_factor"]

TICK_MS = 100.0
TOLERATED_LAG_MS = 50.0
OVERLOAD_LAG_MS = 150.0
# Share of the peak lag that remains after each tick; the lag halves in 1.4 s.
LAG_DECAY_FACTOR = 0.95
MAX_TIMEOUT_FACTOR = 8.0


def record_tick_lag(step: Step) -> None:
    """Update the tick lag, a peak value that decays with each tick."""
    schedule = step.state.schedule
    late_ms = step.now_ms - schedule.last_tick_ms - TICK_MS
    late_ms = late_ms if late_ms > TOLERATED_LAG_MS else 0.0
    lag_ms = max(late_ms, schedule.lag_ms * LAG_DECAY_FACTOR)
    if lag_ms < 1.0:
        lag_ms = 0.0
    step.change_schedule(lag_ms=lag_ms, last_tick_ms=step.now_ms)


def is_overloaded(step: Step) -> bool:
    """Return whether the ticks are too late to judge whether other nodes answer in time."""
    return step.state.schedule.lag_ms >= OVERLOAD_LAG_MS


def timeout_factor(step: Step) -> float:
    """Return the factor, at least 1, by which this process extends its time-outs on others."""
    return min(1.0 + step.state.schedule.lag_ms / OVERLOAD_LAG_MS, MAX_TIMEOUT_FACTOR)
