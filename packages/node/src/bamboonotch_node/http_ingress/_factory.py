"""The connections of callers."""

from __future__ import annotations

import asyncio
import resource
from typing import Any

from twisted.web import http

from bamboonotch_core.effects import Report
from bamboonotch_core.settings import RequestSettings
from bamboonotch_node.clock import now_ms
from bamboonotch_node.http_ingress._channel import CallerChannel
from bamboonotch_node.http_ingress._eviction import ConnectionState, Victims
from bamboonotch_node.http_ingress._http_request import RequestTaker

__all__ = ["CallerFactory", "max_connections"]

# How often connections are looked at; a fraction of the time after which one counts as stalled.
SWEEP_S = 0.25
# Half of the descriptors stay free for the backend server, peers, the store and other addresses.
DESCRIPTOR_SHARE = 2
REPLACEABLE = frozenset(
    {
        ConnectionState.REFUSED,
        ConnectionState.IDLE,
        ConnectionState.HALF_SENT,
        ConnectionState.STALLED,
    }
)
FREEING = frozenset({ConnectionState.HALF_SENT, ConnectionState.STALLED})


def max_connections(settings: RequestSettings) -> int:
    """Return how many connections of callers a node takes.

    :param settings: the settings in force for requests.
    """
    if settings.max_caller_connections:
        return settings.max_caller_connections
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return 2 * settings.max_requests
    return min(2 * settings.max_requests, descriptors // DESCRIPTOR_SHARE)


class CallerFactory(http.HTTPFactory):
    """Makes the connections of callers; writes no access log.

    :param ingress: takes the requests.
    :param reactor: the reactor.
    """

    protocol = CallerChannel

    def __init__(self, ingress: RequestTaker, reactor: Any) -> None:
        super().__init__(reactor=reactor)
        self.ingress = ingress
        self.connections: set[CallerChannel] = set()
        self._all_closed: asyncio.Future[None] | None = None
        self._sweep: asyncio.TimerHandle | None = None
        self._stalled: Victims[CallerChannel] = Victims(
            lambda: self.connections, self._frees_memory
        )
        self._replaceable: Victims[CallerChannel] = Victims(
            lambda: self.connections, lambda channel, state, waited_ms: state in REPLACEABLE
        )
        ingress.memory.make_room = self._make_room

    def startFactory(self) -> None:  # noqa: N802
        """Open no log file and start no clock for log lines."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make a connection, in place of another one beyond the bound, or refuse it.

        :param addr: address of the caller.
        """
        limit = max_connections(self.ingress.settings)
        if len(self.connections) >= limit and not self._replace_one(limit):
            fields = (("connections", len(self.connections)), ("limit", limit))
            self.ingress.report(Report("caller-connection-refused", fields))
            return None
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(SWEEP_S, self._settle)
        return super().buildProtocol(addr)

    def _replace_one(self, limit: int) -> bool:
        """Close a connection for a new one, and return whether the new one may come."""
        # A closed connection keeps its descriptor until the reactor has run once more.
        if len(self.connections) >= limit + max(1, limit // 8):
            return False
        victim = self._replaceable.take(now_ms())
        if victim is None:
            return False
        channel, state, waited_ms = victim
        self._report_eviction("connections", state, waited_ms)
        channel.close_for_another(state)
        return True

    def _make_room(self) -> bool:
        """Let one connection give its memory back, and return whether one did."""
        victim = self._stalled.take(now_ms())
        if victim is None:
            return False
        channel, state, waited_ms = victim
        self._report_eviction("memory", state, waited_ms)
        channel.give_way(state)
        return True

    def _frees_memory(
        self, channel: CallerChannel, state: ConnectionState, waited_ms: float
    ) -> bool:
        is_slow = waited_ms >= self.ingress.settings.stalled_after_ms
        return is_slow and state in FREEING and channel.held_bytes > 0

    def _report_eviction(self, short_of: str, state: ConnectionState, waited_ms: float) -> None:
        fields = (
            ("short_of", short_of),
            ("state", state.value),
            ("without_progress_ms", round(waited_ms)),
            ("connections", len(self.connections)),
            ("held_bytes", self.ingress.memory.held_bytes),
        )
        self.ingress.report(Report("caller-connection-evicted", fields))

    def _settle(self) -> None:
        """Look at what every connection holds, because a connection does not tell what it sent."""
        self._sweep = None
        for channel in list(self.connections):
            channel.settle()
        if self.connections:
            self._sweep = asyncio.get_running_loop().call_later(SWEEP_S, self._settle)

    def connection_closed(self, channel: CallerChannel) -> None:
        """Forget a connection.

        :param channel: the connection.
        """
        self.connections.discard(channel)
        if not self.connections and self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        waiter = self._all_closed
        if waiter is not None and not self.connections and not waiter.done():
            waiter.set_result(None)

    async def wait_closed(self) -> None:
        """Wait until no connection is left."""
        if self.connections:
            self._all_closed = asyncio.get_running_loop().create_future()
            await self._all_closed

    def log(self, request: Any) -> None:
        """Write no access log line.

        :param request: the finished request.
        """
