"""Bounded memory of reported events, for the explain interface."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from bamboonotch_core.effects import Report

__all__ = ["EventHistory", "RecordedEvent"]

MAX_RECORDED_EVENTS = 2000


@dataclass(frozen=True)
class RecordedEvent:
    """One reported event.

    :param unix_ms: wall clock when it was reported, in milliseconds since 1970.
    :param report: what was reported.
    """

    unix_ms: int
    report: Report

    def as_json(self) -> dict[str, object]:
        """Return the event as a JSON object."""
        return {"unix_ms": self.unix_ms, "event": self.report.name, **dict(self.report.fields)}


class EventHistory:
    """Keeps the newest reported events."""

    def __init__(self) -> None:
        self._events: deque[RecordedEvent] = deque(maxlen=MAX_RECORDED_EVENTS)

    def record(self, unix_ms: int, report: Report) -> None:
        """Keep one event.

        :param unix_ms: wall clock, in milliseconds since 1970.
        :param report: the event.
        """
        self._events.append(RecordedEvent(unix_ms, report))

    def newest(self, limit: int, prefix: str = "") -> list[RecordedEvent]:
        """Return the newest events in the order in which they happened.

        :param limit: events returned at most.
        :param prefix: only events whose name starts with this.
        """
        matching = [event for event in self._events if event.report.name.startswith(prefix)]
        return matching[-limit:]
