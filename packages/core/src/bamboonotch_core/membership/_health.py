"""How late this process is, so that an overloaded node does not blame others.

When many processes start on busy machines, dials time out at nodes that are merely slow. Accusing
their peers makes links, records and dials change, which costs more processor time: without this
check, 100 nodes on 10 cores went on suspecting each other for minutes.
"""

from __future__ import annotations

from bamboonotch_core.membership._work import Work

__all__ = ["is_overloaded", "note_tick", "patience"]

TICK_MS = 100.0
TOLERATED_LAG_MS = 50.0
OVERLOAD_LAG_MS = 150.0
# Share of the peak lag that is left after each tick; half of it is gone after 1.4 s.
LAG_KEPT = 0.95
MAX_PATIENCE = 8.0


def note_tick(work: Work) -> None:
    """Take note of how late a tick came.

    :param work: the event being handled.
    """
    schedule = work.state.schedule
    late_ms = work.now_ms - schedule.last_tick_ms - TICK_MS
    late_ms = late_ms if late_ms > TOLERATED_LAG_MS else 0.0
    lag_ms = max(late_ms, schedule.lag_ms * LAG_KEPT)
    if lag_ms < 1.0:
        lag_ms = 0.0
    work.change_schedule(lag_ms=lag_ms, last_tick_ms=work.now_ms)


def is_overloaded(work: Work) -> bool:
    """Tell whether this process is too late to judge whether others answer in time.

    :param work: the event being handled.
    """
    return work.state.schedule.lag_ms >= OVERLOAD_LAG_MS


def patience(work: Work) -> float:
    """Return the factor by which this process waits longer for others.

    :param work: the event being handled.
    """
    return min(1.0 + work.state.schedule.lag_ms / OVERLOAD_LAG_MS, MAX_PATIENCE)
