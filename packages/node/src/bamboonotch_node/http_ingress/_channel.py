"""Connections from callers: bounds, typed refusals, and reading a whole request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from twisted.web import http
from zope.interface import provider

from bamboonotch_node.http_ingress._answer import encode_answer
from bamboonotch_node.http_ingress._turn import ResponseTurn

if TYPE_CHECKING:
    from bamboonotch_node.http_ingress._ingress import HttpIngress

__all__ = ["CallerChannel", "CallerFactory", "CallerHttpRequest"]

# How long a refused caller may go on sending. Closing at once would reset the connection, and the
# caller would not see the answer.
LINGER_S = 2.0
# Requests of one connection that are worked on at once; what follows is read when one is answered.
MAX_REQUESTS_AT_ONCE = 8
# Callers send these without waiting for the answers before them. Any other request is handed on
# when those are sent, so that a connection that closes early has not run it.
METHODS_AHEAD = frozenset({b"GET", b"HEAD"})


@provider(http.INonQueuedRequestFactory)
class CallerHttpRequest(http.Request):
    """One request of a caller; its body is kept in memory up to a bound.

    :param channel: the connection.
    """

    def __init__(self, channel: CallerChannel) -> None:
        turn = ResponseTurn(channel, is_first=not channel.requests)
        super().__init__(turn, parsePOSTFormSubmission=False)
        self.turn = turn
        self.ingress: HttpIngress = channel.factory.ingress
        self.request_id = ""
        self.keeps_open = True
        self.is_read = False
        self.is_handed_on = False
        self.body_size_bytes = 0
        # Not a list of pieces, because each small chunk would be an object of its own.
        self._body = bytearray()
        self._refused = False

    @property
    def body(self) -> bytes:
        """The whole body."""
        return bytes(self._body)

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
            self._body += data

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hand the whole request on.

        :param command: the method.
        :param path: the request target.
        :param version: the version of HTTP.
        """
        self.is_read = True
        if self._refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        if self.may_overtake or not self.turn.is_waiting:
            self._hand_on()

    @property
    def may_overtake(self) -> bool:
        """Whether the request may be worked on while requests before it are."""
        return self.method in METHODS_AHEAD

    def take_turn(self) -> None:
        """Note that every request before this one is answered."""
        self.turn.take()
        if self.is_read and not self._refused and not self.is_handed_on:
            self._hand_on()

    def _hand_on(self) -> None:
        self.is_handed_on = True
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
        self.keeps_open = False
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def release_body(self) -> None:
        """Return the memory of the body."""
        self.ingress.release_body_bytes(self.body_size_bytes)
        self.body_size_bytes = 0
        self._body.clear()

    def _refuse(self, status: int, reason: str) -> None:
        self._refused = True
        self.release_body()
        self.channel.refuse(status, reason)


class CallerChannel(http.HTTPChannel):
    """A connection from a caller."""

    requestFactory = CallerHttpRequest  # noqa: N815
    requests: list[CallerHttpRequest]
    _handlingRequest: bool  # noqa: N815
    _dataBuffer: list[bytes]  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.write_paused = False
        self._refused = False
        self._refusal_due: tuple[int, str] | None = None
        self._continue_due = False
        self._linger: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_local = False

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the limits of callers."""
        self._apply_limits()
        self._is_local = self.transport.getPeer().host == self.transport.getHost().host
        super().connectionMade()
        self.factory.connections.add(self)

    def write(self, data: bytes) -> None:
        """Write to the caller.

        :param data: part of a response.
        """
        self._note_sent(len(data))
        super().write(data)

    def writeSequence(self, iovec: Any) -> None:  # noqa: N802
        """Write several pieces to the caller.

        :param iovec: parts of a response.
        """
        self._note_sent(sum(map(len, iovec)))
        super().writeSequence(iovec)

    def _note_sent(self, size_bytes: int) -> None:
        if not self._is_local:
            self.factory.ingress.note_sent(size_bytes)

    def _apply_limits(self) -> None:
        settings = self.factory.ingress.settings
        self.totalHeadersSize = settings.max_header_bytes
        self.timeOut = settings.idle_timeout_ms / 1000

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Keep with the request whether its connection stays open after it."""
        request = self.requests[-1]
        super().allHeadersReceived()
        request.keeps_open = request.keeps_open and self.persistent

    def allContentReceived(self) -> None:  # noqa: N802
        """Hand the request on, and read the next one if it may overtake."""
        super().allContentReceived()
        self._read_ahead()

    def _read_ahead(self) -> None:
        """Go on reading while the requests read so far are worked on, within the bounds."""
        if not self._handlingRequest or self._refused or not self.requests:
            return
        last = self.requests[-1]
        ahead = last.is_read and last.keeps_open and last.may_overtake
        if ahead and len(self.requests) < MAX_REQUESTS_AT_ONCE:
            self._handlingRequest = False
            data = b"".join(self._dataBuffer)
            self._dataBuffer = []
            self.setLineMode(data)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Let the next request have its turn, or wait for one.

        :param request: the request that was answered.
        """
        self.persistent = request.keeps_open
        if len(self.requests) == 1 or not request.keeps_open:
            # The limits may be those of a newer configuration.
            self._apply_limits()
            self._savedTimeOut = self.timeOut
            super().requestDone(request)
            self._refuse_if_due()
            return
        del self.requests[0]
        following = self.requests[0]
        if not following.is_read:
            self.setTimeout(self._savedTimeOut)
        following.take_turn()
        if self._continue_due and not following.is_read:
            self._continue_due = False
            super()._send100Continue()
        self._refuse_if_due()
        self._read_ahead()

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
        self._refusal_due = (status, reason)
        self._stop_head_timer()
        self._refuse_if_due()

    def _refuse_if_due(self) -> None:
        """Write a refusal, once every request before the one that it is for is answered."""
        unanswered = [request for request in self.requests if request.is_handed_on]
        if self._refusal_due is None or unanswered or self.transport.disconnecting:
            return
        status, reason = self._refusal_due
        self._refusal_due = None
        self.factory.ingress.input_refused(status, reason)
        self.setTimeout(None)
        self._linger = asyncio.get_running_loop().call_later(
            LINGER_S, self.transport.abortConnection
        )
        self.write(encode_answer(status, reason))
        self.transport.loseWriteConnection()

    def _send100Continue(self) -> None:  # noqa: N802
        if self._refused:
            return
        if len(self.requests) > 1:
            # It would stand in the middle of the response before it.
            self._continue_due = True
        else:
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
