"""Connections from callers: bounds, typed refusals, and reading a whole request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from twisted.web import http
from zope.interface import provider

from bamboonotch_node.http_ingress._answer import encode_answer

if TYPE_CHECKING:
    from bamboonotch_node.http_ingress._ingress import HttpIngress

__all__ = ["CallerChannel", "CallerFactory", "CallerHttpRequest"]

# How long a refused caller may go on sending. Closing at once would reset the connection, and the
# caller would not see the answer.
LINGER_S = 2.0


@provider(http.INonQueuedRequestFactory)
class CallerHttpRequest(http.Request):
    """One request of a caller; its body is kept in memory up to a bound.

    :param channel: the connection.
    """

    def __init__(self, channel: CallerChannel) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.ingress: HttpIngress = channel.factory.ingress
        self.request_id = ""
        self.body_size_bytes = 0
        self._pieces: list[bytes] = []
        self._refused = False

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._pieces)

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing; cookies pass through as a header."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body that announces too much.

        :param length: the announced length in bytes, or ``None``.
        """
        if length is not None and length > self.ingress.settings.max_body_bytes:
            self._refuse(413, "body-too-large")

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body.

        :param data: the piece.
        """
        if self._refused:
            return
        if self.body_size_bytes + len(data) > self.ingress.settings.max_body_bytes:
            self._refuse(413, "body-too-large")
        elif not self.ingress.reserve_body_bytes(len(data)):
            self._refuse(503, "body-memory-exhausted")
        else:
            self.body_size_bytes += len(data)
            self._pieces.append(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hand the whole request on.

        :param command: the method.
        :param path: the request target.
        :param version: the version of HTTP.
        """
        if self._refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.ingress.request_received(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Report that the caller is gone.

        :param reason: why.
        """
        super().connectionLost(reason)
        self.release_body()
        self.ingress.caller_gone(self)

    def close_after_response(self) -> None:
        """Tell the caller that its connection closes after the response, and close it then."""
        self.channel.persistent = False
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def release_body(self) -> None:
        """Return the memory of the body."""
        self.ingress.release_body_bytes(self.body_size_bytes)
        self.body_size_bytes = 0
        self._pieces.clear()

    def _refuse(self, status: int, reason: str) -> None:
        self._refused = True
        self.release_body()
        self.channel.refuse(status, reason)


class CallerChannel(http.HTTPChannel):
    """A connection from a caller."""

    requestFactory = CallerHttpRequest  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.write_paused = False
        self._refused = False
        self._linger: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the limits of callers."""
        self._apply_limits()
        super().connectionMade()
        self.factory.connections.add(self)

    def _apply_limits(self) -> None:
        settings = self.factory.ingress.settings
        self.totalHeadersSize = settings.max_header_bytes
        self.timeOut = settings.idle_timeout_ms / 1000

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Apply the limits anew, which may be those of a newer configuration.

        :param request: the request that was answered.
        """
        self._apply_limits()
        self._savedTimeOut = self.timeOut
        super().requestDone(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read, and bound the time that the head of a request takes.

        :param data: bytes from the caller.
        """
        super().dataReceived(data)
        unfinished = self.line_mode and not self._handlingRequest
        unfinished = unfinished and bool(self._receivedHeaderSize or self._buffer)
        if unfinished and self._head_timer is None and not self._refused:
            timeout_s = self.factory.ingress.settings.header_timeout_ms / 1000
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(timeout_s, self.refuse, 408, "header-timeout")
        elif not unfinished:
            self._stop_head_timer()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop waiting for a refused caller.

        :param reason: why.
        """
        self.factory.connection_closed(self)
        self._stop_head_timer()
        if self._linger is not None:
            self._linger.cancel()
        super().connectionLost(reason)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Discard what a refused caller still sends.

        :param line: a line of a request's head.
        """
        if not self._refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Discard what a refused caller still sends.

        :param data: bytes of a body.
        """
        if not self._refused:
            super().rawDataReceived(data)

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller does not read."""
        self.write_paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller reads again."""
        self.write_paused = False
        super().resumeProducing()

    def refuse(self, status: int, reason: str) -> None:
        """Answer a request that was not read to its end, and close the connection.

        :param status: HTTP status.
        :param reason: why, lower case with dashes.
        """
        if self._refused:
            return
        self._refused = True
        self._stop_head_timer()
        self.factory.ingress.input_refused(status, reason)
        self.setTimeout(None)
        self._linger = asyncio.get_running_loop().call_later(
            LINGER_S, self.transport.abortConnection
        )
        self.transport.write(encode_answer(status, reason))
        self.transport.loseWriteConnection()

    def _send100Continue(self) -> None:  # noqa: N802
        if not self._refused:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # The library answers malformed input without a body or headers; the mesh adds the outcome.
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        self.refuse(400, "headers-too-large" if too_large else "malformed-request")


class CallerFactory(http.HTTPFactory):
    """Makes the connections of callers; writes no access log.

    :param ingress: takes the requests.
    :param reactor: the reactor.
    """

    protocol = CallerChannel

    def __init__(self, ingress: HttpIngress, reactor: Any) -> None:
        super().__init__(reactor=reactor)
        self.ingress = ingress
        self.connections: set[CallerChannel] = set()
        self._all_closed: asyncio.Future[None] | None = None

    def startFactory(self) -> None:  # noqa: N802
        """Open no log file and start no clock for log lines."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make a connection, or refuse it beyond the bound.

        :param addr: address of the caller.
        """
        if len(self.connections) >= 2 * self.ingress.settings.max_requests:
            return None
        return super().buildProtocol(addr)

    def connection_closed(self, channel: CallerChannel) -> None:
        """Forget a connection.

        :param channel: the connection.
        """
        self.connections.discard(channel)
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
