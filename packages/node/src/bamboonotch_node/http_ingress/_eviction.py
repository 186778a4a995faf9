"""Which connection gives way when memory or connections are short."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Generic, Protocol, TypeVar

__all__ = ["ConnectionState", "Evictable", "Victims"]

# A search that found nothing is not repeated sooner, because it looks at every connection.
SEARCH_INTERVAL_MS = 50.0


class ConnectionState(Enum):
    """What a connection does; a request that was handed on makes it ``WORKING``."""

    CLOSING = "closing"
    REFUSED = "refused"  # is only read until its caller has the answer
    IDLE = "idle"
    HALF_SENT = "half-sent"
    STALLED = "stalled"  # the caller does not read what is sent
    WORKING = "working"


class Evictable(Protocol):
    """A connection that may give way."""

    def state(self, now_ms: float) -> ConnectionState:
        """Return what the connection does."""

    def since_ms(self, state: ConnectionState) -> float:
        """Return when the connection made progress last, on the monotonic clock."""


Connection = TypeVar("Connection", bound=Evictable)


class Victims(Generic[Connection]):
    """Hands out connections that may give way, those without progress for longest first.

    :param connections: returns all connections.
    :param may_give_way: tells whether a connection may, by its state and its time without
        progress in milliseconds.
    """

    def __init__(
        self,
        connections: Callable[[], Iterable[Connection]],
        may_give_way: Callable[[Connection, ConnectionState, float], bool],
    ) -> None:
        self._connections = connections
        self._may_give_way = may_give_way
        self._found: list[tuple[float, Connection]] = []
        self._search_due_ms = 0.0

    def take(self, now_ms: float) -> tuple[Connection, ConnectionState, float] | None:
        """Return the next connection, its state and its time without progress, or ``None``.

        :param now_ms: monotonic clock, in milliseconds.
        """
        while self._found or self._search(now_ms):
            since_ms, connection = self._found.pop()
            state = connection.state(now_ms)
            unchanged = connection.since_ms(state) <= since_ms
            if unchanged and self._may_give_way(connection, state, now_ms - since_ms):
                return connection, state, now_ms - since_ms
        return None

    def _search(self, now_ms: float) -> bool:
        if now_ms < self._search_due_ms:
            return False
        for connection in self._connections():
            state = connection.state(now_ms)
            since_ms = connection.since_ms(state)
            if self._may_give_way(connection, state, now_ms - since_ms):
                self._found.append((since_ms, connection))
        self._found.sort(key=lambda item: -item[0])
        self._search_due_ms = now_ms + SEARCH_INTERVAL_MS
        return bool(self._found)
