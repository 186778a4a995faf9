"""Bounded pool of HTTP/1.1 connections to the local backend server."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import fail
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.web.client import HTTP11ClientProtocol

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import BamboonotchError

__all__ = ["BackendConnections", "ConnectionsExhaustedError"]

CONNECT_TIMEOUT_S = 1.0
# Below the idle timeouts usual in HTTP servers (5 s and up), so that a pooled connection is
# seldom closed by the server at the moment of its next use.
IDLE_TIMEOUT_S = 4.0
IDLE_CHECK_S = 1.0
# A request that cannot be repeated is lost when the backend server has forgotten the connection, so
# it takes one that rested for less than this. Servers that forget early do so after 0.3 s.
UNREPEATABLE_REST_S = 0.2
# Once a connection broke at its reuse, those that rested half as long are not reused either, for
# this time.
DISTRUST_S = 60.0
MIN_REST_S = 0.02
# The slots of a backend server bound the requests in progress; this bounds what aborted ones add.
MAX_CONNECTIONS = 512


class ConnectionsExhaustedError(BamboonotchError):
    """As many connections to the backend server are open as are allowed."""


class _Connection(HTTP11ClientProtocol):
    """A connection that carries one request at a time.

    The library's own pool starts and cancels a timer for each request, which this one does not. It
    also sends a request again when a pooled connection dies, which must never happen here.

    :param pool: takes the connection back.
    :param address: ``ip:port`` of the backend server.
    """

    def __init__(self, pool: BackendConnections, address: str) -> None:
        super().__init__(pool.put_back)
        self.address = address
        self.closed_in_order = False
        self.rested_s = 0.0
        self._pool = pool

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Take the connection out of the pool.

        :param reason: why.
        """
        self.closed_in_order = reason.check(ConnectionDone) is not None
        self._pool.forget(self)
        super().connectionLost(reason)


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, make: Callable[[], _Connection]) -> None:
        self._make = make

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Make a connection.

        :param addr: address of the peer.
        """
        return self._make()


def _is_open(connection: Any) -> bool:
    """Tell whether the peer has neither closed an idle connection nor sent bytes on it.

    The reactor may not have seen the end of the stream yet.

    :param connection: a connection that carries no request.
    """
    if connection.state != "QUIESCENT":
        return False
    handle = connection.transport.getHandle()
    try:
        handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class BackendConnections:
    """Hands out connections, each for one request at a time.

    :param reactor: the reactor.
    :param report: takes reports of faults.
    """

    def __init__(self, reactor: Any, report: Callable[[Report], None]) -> None:
        self._reactor = reactor
        self._report = report
        self._address = ""
        self._endpoint: Any = None
        self._idle: deque[tuple[float, _Connection]] = deque()
        self._open: set[_Connection] = set()
        self._connecting = 0
        self._check: asyncio.TimerHandle | None = None
        self._trusted_rest_s = IDLE_TIMEOUT_S
        self._distrusted_until_s = 0.0

    def take_idle(self, address: str, repeatable: bool) -> Any | None:
        """Return an idle connection that is alive, or ``None``.

        :param address: ``ip:port`` of the backend server.
        :param repeatable: whether the request may be sent again when the connection breaks.
        """
        self._choose(address)
        now_s = asyncio.get_running_loop().time()
        limit_s = self._longest_rest_s(now_s)
        if not repeatable:
            limit_s = min(limit_s, UNREPEATABLE_REST_S)
        # The last one rested the shortest time.
        while self._idle and now_s - self._idle[-1][0] < limit_s:
            since_s, connection = self._idle.pop()
            if _is_open(connection):
                connection.rested_s = now_s - since_s
                return connection
            connection.transport.abortConnection()
        return None

    def broke_without_answer(self, connection: Any, attempt_id: str) -> None:
        """Note that a connection broke before an answer came.

        :param connection: the connection, which may be a new one.
        :param attempt_id: the attempt that it carried.
        """
        if not connection.rested_s:
            return
        now_s = asyncio.get_running_loop().time()
        rest_s = min(self._longest_rest_s(now_s), connection.rested_s / 2)
        self._trusted_rest_s = max(MIN_REST_S, rest_s)
        self._distrusted_until_s = now_s + DISTRUST_S
        fields = (
            ("attempt_id", attempt_id),
            ("rested_ms", round(connection.rested_s * 1000)),
            ("trusted_rest_ms", round(self._trusted_rest_s * 1000)),
        )
        self._report(Report("backend-connection-broke", fields))

    def connect(self, address: str) -> Any:
        """Return a ``Deferred`` of a new connection; when it fails, nothing was written.

        :param address: ``ip:port`` of the backend server.
        """
        self._choose(address)
        if len(self._open) + self._connecting >= MAX_CONNECTIONS:
            return fail(ConnectionsExhaustedError("too many connections to the backend server"))
        self._connecting += 1
        factory = _ConnectionFactory(lambda: _Connection(self, address))
        return self._endpoint.connect(factory).addBoth(self._connected)

    def put_back(self, connection: Any) -> None:
        """Keep a connection whose request has ended.

        :param connection: the connection.
        """
        if connection.address != self._address:
            connection.transport.loseConnection()
            return
        loop = asyncio.get_running_loop()
        self._idle.append((loop.time(), connection))
        if self._check is None:
            self._check = loop.call_later(IDLE_CHECK_S, self._close_old)

    def forget(self, connection: Any) -> None:
        """Note that a connection was lost.

        :param connection: the connection.
        """
        self._open.discard(connection)

    def drop_idle(self) -> None:
        """Close the idle connections, because one of them was found dead."""
        while self._idle:
            self._idle.pop()[1].transport.abortConnection()

    def close(self) -> None:
        """Close the idle connections and cancel the timer."""
        self._address = ""
        self.drop_idle()
        if self._check is not None:
            self._check.cancel()
            self._check = None

    def _choose(self, address: str) -> None:
        if address == self._address:
            return
        # A backend server has one address at a time.
        self.drop_idle()
        self._address = address
        host, _, port = address.rpartition(":")
        kind = TCP4ClientEndpoint if host.replace(".", "").isdigit() else HostnameEndpoint
        self._endpoint = kind(self._reactor, host, int(port), timeout=CONNECT_TIMEOUT_S)

    def _connected(self, result: Any) -> Any:
        self._connecting -= 1
        if isinstance(result, _Connection):
            self._open.add(result)
        return result

    def _longest_rest_s(self, now_s: float) -> float:
        """Return how long a connection may have rested to be used again."""
        return self._trusted_rest_s if now_s < self._distrusted_until_s else IDLE_TIMEOUT_S

    def _close_old(self) -> None:
        loop = asyncio.get_running_loop()
        oldest_s = loop.time() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0][0] <= oldest_s:
            self._idle.popleft()[1].transport.loseConnection()
        self._check = loop.call_later(IDLE_CHECK_S, self._close_old) if self._idle else None
