"""Detection of pauses of this process, in which its input waited unread."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["PauseGauge"]

# Ticks come every 100 ms. The loop of a process that is short of processor time is late by less.
PAUSE_MS = 1000.0


class PauseGauge:
    """Tells for how long input that is read now may have waited.

    A frame or a request states how much time is left when it is sent. After a pause that statement
    is as old as the pause, and what it permits may have ended meanwhile.

    :param clock: clock in milliseconds that goes on while the process is paused.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ticked_ms: float | None = None
        self._gap_ms = 0.0

    def note_tick(self) -> None:
        """Note that the loop runs; called at each tick."""
        self._gap_ms = self._since_tick_ms()
        self._ticked_ms = self._clock()

    def unread_ms(self) -> float:
        """Return how long input may have waited: 0, or the length of a pause until the next tick.

        What came during the pause is read before that tick.
        """
        gap_ms = max(self._gap_ms, self._since_tick_ms())
        return gap_ms if gap_ms >= PAUSE_MS else 0.0

    def _since_tick_ms(self) -> float:
        return 0.0 if self._ticked_ms is None else self._clock() - self._ticked_ms
