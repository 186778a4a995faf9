"""Bounded pool of HTTP/1.1 connections to the local backend server."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import fail
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.web._newclient import HTTPClientParser, ParseError, ResponseFailed

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import BamboonotchError
from bamboonotch_store.response_heads import BoundedHeadProtocol

__all__ = ["BackendConnections", "ConnectionsExhaustedError"]

CONNECT_TIMEOUT_S = 1.0
# HTTP servers usually close idle connections after 5 s or more. A shorter timeout here makes it
# unlikely that the server closes a pooled connection at the moment of its next use.
IDLE_TIMEOUT_S = 4.0
IDLE_CHECK_INTERVAL_S = 1.0
# A request that is not idempotent cannot be sent again when the backend server has already dropped
# the connection, so it only uses a connection that was idle for less than this. Servers with short
# idle timeouts drop connections after 0.3 s.
MAX_NON_IDEMPOTENT_IDLE_S = 0.2
# When a reused connection breaks before a response, the idle limit is reduced to at most half of
# that connection's idle time. The reduced limit applies for this duration.
REDUCED_LIMIT_DURATION_S = 60.0
MIN_IDLE_LIMIT_S = 0.02
# The slots of a backend server bound the requests in progress. Aborted requests may leave further
# connections open for a while; this limit bounds the total.
MAX_CONNECTIONS = 512


# Protocol and status code from 100 to 599; what follows is free text.
STATUS_LINE = re.compile(rb"[^ ]+ [1-5][0-9]{2}(?: |$)")
MAX_REPORTED_BYTES = 40


class ConnectionsExhaustedError(BamboonotchError):
    """The limit on connections to the backend server is reached."""


class InvalidStatusError(ParseError):  # type: ignore[misc]
    """A status line has no valid status code."""


class _StatusCheckingParser(HTTPClientParser):  # type: ignore[misc]
    """Refuses what the library reads as an integer, such as ``0200``, ``+200`` or ``000``."""

    def statusReceived(self, status: bytes) -> None:  # noqa: N802
        """Read a status line."""
        if not STATUS_LINE.match(status):
            raise InvalidStatusError("no valid status code", status)
        super().statusReceived(status)


class _Connection(BoundedHeadProtocol):
    """A connection that carries one request at a time.

    Twisted's own connection pool is not used. It starts and cancels a timer for each request, and
    it sends a request again when a pooled connection breaks, which could run the request twice.

    :param pool: the pool that the connection returns to after each request.
    :param address: ``ip:port`` of the backend server.
    """

    def __init__(self, pool: BackendConnections, address: str) -> None:
        super().__init__(pool.release)
        self.address = address
        self.closed_cleanly = False
        self.idle_s = 0.0
        self.requests_sent = 0
        self.refused_request_id = ""
        self.received_unasked = False
        self.on_read: Callable[[], None] | None = None
        self._pool = pool

    def request(self, request: Any) -> Any:
        """Send a request.

        :param request: Twisted's request.
        :returns: a ``Deferred`` of the response.
        """
        self.requests_sent += 1
        result = super().request(request)
        if self._parser is not None:
            # The library does not let its user choose the parser. A wrapped method would hold the
            # parser, and with it the body of the request, in a reference cycle.
            self._parser.__class__ = _StatusCheckingParser
        return result

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read, unless nothing was asked for.

        :param data: bytes from the backend server.
        """
        if self.state == "QUIESCENT":
            self.received_unasked = True
            self._pool.report_unasked_bytes(self)
            self.transport.abortConnection()
            return
        super().dataReceived(data)
        if self.on_read is not None:
            self.on_read()

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        # Twisted ignores what follows a response in the same segment.
        if rest:
            self.received_unasked = True
        super()._finishResponse(rest)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Remove the connection from the pool.

        :param reason: Twisted's failure; ``ConnectionDone`` when the connection closed cleanly.
        """
        self.closed_cleanly = reason.check(ConnectionDone) is not None
        self._pool.remove(self)
        super().connectionLost(reason)


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, make_connection: Callable[[], _Connection]) -> None:
        self._make_connection = make_connection

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Create the protocol of a new connection."""
        return self._make_connection()


def _is_open(connection: Any) -> bool:
    """Return whether the peer has neither closed an idle connection nor sent bytes on it.

    The socket is read directly, because the reactor may not have processed the end of the stream
    yet.

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
    """Pool of connections to one address, each used by one request at a time.

    :param report: called with a report for each connection that broke after it was reused.
    :param clock: clock in milliseconds that goes on while the process is paused, as the idle time
        at the backend server does.
    """

    def __init__(
        self, reactor: Any, report: Callable[[Report], None], clock: Callable[[], float]
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._report = report
        self._address = ""
        self._endpoint: Any = None
        self._idle: deque[tuple[float, _Connection]] = deque()
        self._open: set[_Connection] = set()
        self._connecting_count = 0
        self._idle_check_timer: asyncio.TimerHandle | None = None
        self._reduced_idle_limit_s = IDLE_TIMEOUT_S
        self._limit_reduced_until_s = 0.0

    def take_idle(self, address: str, idempotent: bool, request_id: str) -> Any | None:
        """Take an open idle connection out of the pool.

        :param address: ``ip:port`` of the backend server.
        :param idempotent: whether the request may be sent again when the connection breaks.
        :param request_id: the request; a connection on which it was refused before is not used,
            because a copy of that refusal would look like one of this send.
        :returns: the connection, or ``None`` when there is none below the idle limit.
        """
        self._set_address(address)
        now_s = self._now_s()
        limit_s = self._idle_limit_s(now_s)
        if not idempotent:
            limit_s = min(limit_s, MAX_NON_IDEMPOTENT_IDLE_S)
        # The last entry has been idle for the shortest time.
        while self._idle and now_s - self._idle[-1][0] < limit_s:
            idle_since_s, connection = self._idle.pop()
            if connection.refused_request_id != request_id and _is_open(connection):
                connection.idle_s = now_s - idle_since_s
                return connection
            connection.transport.abortConnection()
        return None

    def record_broken_connection(self, connection: Any, attempt_id: str) -> None:
        """Reduce the idle limit after a reused connection broke before its response came.

        :param connection: the broken connection; a new one, never idle before, changes nothing.
        :param attempt_id: the attempt whose request the connection carried.
        """
        if not connection.idle_s:
            return
        now_s = self._now_s()
        limit_s = min(self._idle_limit_s(now_s), connection.idle_s / 2)
        self._reduced_idle_limit_s = max(MIN_IDLE_LIMIT_S, limit_s)
        self._limit_reduced_until_s = now_s + REDUCED_LIMIT_DURATION_S
        fields = (
            ("attempt_id", attempt_id),
            ("rested_ms", round(connection.idle_s * 1000)),
            ("trusted_rest_ms", round(self._reduced_idle_limit_s * 1000)),
        )
        self._report(Report("backend-connection-broke", fields))

    def connect(self, address: str) -> Any:
        """Open a new connection.

        :param address: ``ip:port`` of the backend server.
        :returns: a ``Deferred`` of the connection; when it fails, no bytes were sent.
        """
        self._set_address(address)
        if len(self._open) + self._connecting_count >= MAX_CONNECTIONS:
            return fail(
                ConnectionsExhaustedError(
                    f"no connection to backend server {address}: limit of {MAX_CONNECTIONS} reached"
                )
            )
        self._connecting_count += 1
        factory = _ConnectionFactory(lambda: _Connection(self, address))
        return self._endpoint.connect(factory).addBoth(self._connect_finished)

    def release(self, connection: Any) -> None:
        """Return a connection to the pool, or close it if its address is no longer in use.

        :param connection: a connection whose request has ended.
        """
        if connection.address != self._address:
            connection.transport.loseConnection()
            return
        if connection.received_unasked:
            self.report_unasked_bytes(connection)
            connection.transport.abortConnection()
            return
        loop = asyncio.get_running_loop()
        self._idle.append((self._now_s(), connection))
        if self._idle_check_timer is None:
            self._idle_check_timer = loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_expired)

    def report_unasked_bytes(self, connection: Any) -> None:
        """Report bytes that belong to no request; their connection is not used again."""
        fields = (("address", connection.address), ("requests", connection.requests_sent))
        self._report(Report("backend-sent-unasked-bytes", fields))

    def report_invalid_status(self, failure: Any, attempt_id: str) -> None:
        """Report a response that broke because of its status line; another failure is not reported.

        :param failure: Twisted's failure of the request.
        :param attempt_id: the attempt.
        """
        if failure.check(ResponseFailed) is None:
            return
        reasons = [reason.value for reason in failure.value.reasons]
        lines = [reason.data for reason in reasons if isinstance(reason, InvalidStatusError)]
        if not lines:
            return
        text = ascii(lines[0][:MAX_REPORTED_BYTES].decode("latin-1"))
        fields = (("attempt_id", attempt_id), ("status_line", text))
        self._report(Report("backend-status-invalid", fields))

    def remove(self, connection: Any) -> None:
        """Remove a lost connection from the count of open connections."""
        self._open.discard(connection)

    def close_idle(self) -> None:
        """Close all idle connections immediately."""
        while self._idle:
            self._idle.pop()[1].transport.abortConnection()

    def close(self) -> None:
        """Close all idle connections and cancel the idle check."""
        self._address = ""
        self.close_idle()
        if self._idle_check_timer is not None:
            self._idle_check_timer.cancel()
            self._idle_check_timer = None

    def _set_address(self, address: str) -> None:
        if address == self._address:
            return
        # The backend server has one address at a time, so connections to the old one are useless.
        self.close_idle()
        self._address = address
        host, _, port = address.rpartition(":")
        endpoint_class = TCP4ClientEndpoint if host.replace(".", "").isdigit() else HostnameEndpoint
        self._endpoint = endpoint_class(self._reactor, host, int(port), timeout=CONNECT_TIMEOUT_S)

    def _connect_finished(self, result: Any) -> Any:
        self._connecting_count -= 1
        if isinstance(result, _Connection):
            self._open.add(result)
        return result

    def _idle_limit_s(self, now_s: float) -> float:
        """Return the idle time, in seconds, below which a connection may be reused."""
        return self._reduced_idle_limit_s if now_s < self._limit_reduced_until_s else IDLE_TIMEOUT_S

    def _now_s(self) -> float:
        return self._clock() / 1000

    def _close_expired(self) -> None:
        loop = asyncio.get_running_loop()
        expired_before_s = self._now_s() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0][0] <= expired_before_s:
            self._idle.popleft()[1].transport.loseConnection()
        self._idle_check_timer = (
            loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_expired) if self._idle else None
        )
