"""HTTP exchanges by IP address: one pool of connections, a deadline on each exchange."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote, urlencode

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError, ConnectionClosed, DNSLookupError, UserError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
    _HTTP11ClientFactory,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from bamboonotch_core.errors import BamboonotchError
from bamboonotch_store.response_heads import BoundedHeadProtocol

__all__ = ["BytesProducer", "ExchangeFailedError", "HttpAnswer", "HttpExchange", "HttpTransport"]

MAX_IDLE_CONNECTIONS = 8
# Shorter than the minute after which common servers close an idle connection.
IDLE_CONNECTION_S = 20
LONGEST_TRANSFER_MS = 10_000
# More than a page of a listing or the largest value of a store takes, in base64.
MAX_BODY_BYTES = 4 * 1024 * 1024

_CONNECTION_ERRORS = (
    ConnectError,
    ConnectionClosed,
    DNSLookupError,
    PotentialDataLoss,
    RequestNotSent,
    ResponseFailed,
    ResponseNeverReceived,
    UserError,
)


class ExchangeFailedError(BamboonotchError):
    """No whole answer came in time; the server may or may not have acted on the request."""


@dataclass(frozen=True)
class HttpExchange:
    """One request.

    :param address: ``ip:port`` of the server.
    :param method: HTTP method.
    :param path: path without query, not yet escaped.
    :param parameters: query parameters.
    :param body: request body.
    :param deadline_ms: longest wait for the whole answer, in milliseconds.
    :param progress_ms: if given, an answer whose body still arrives at the deadline has this time
        for each further piece, in milliseconds, and ``LONGEST_TRANSFER_MS`` in all.
    :param content_type: type of the request body, or empty.
    """

    address: str
    method: str
    path: str
    parameters: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: float
    content_type: str = ""
    progress_ms: float | None = None


@dataclass(frozen=True)
class HttpAnswer:
    """The server's answer.

    :param status: HTTP status.
    :param index: text of the header ``X-Consul-Index``, or empty.
    :param body: response body.
    :param headers: response headers.
    """

    status: int
    index: str
    body: bytes
    headers: Headers = field(default_factory=Headers, compare=False, repr=False)


def _describe(error: Exception) -> str:
    """Return the text of an error without the failure objects that the library nests."""
    reasons = getattr(error, "reasons", None)
    if reasons:
        return ", ".join(_describe(reason.value) for reason in reasons)
    return str(error) or type(error).__name__


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a request body at once; the library's own producer needs the global reactor.

    :param body: the body.
    """

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, as everything is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, as everything is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as everything is written."""


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Dials IP addresses; the library's own endpoint reports a refused connection 300 ms late.

    :param reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint | TCP6ClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI."""
        host = uri.host.decode().strip("[]")
        endpoint = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return endpoint(self._reactor, host, uri.port)


class _ConnectionFactory(_HTTP11ClientFactory):  # type: ignore[misc]
    """Makes the connections of the pool."""

    def buildProtocol(self, addr: Any) -> BoundedHeadProtocol:  # noqa: N802
        """Make a connection whose response heads are bounded."""
        return BoundedHeadProtocol(self._quiescentCallback)


class _BodyReader(Protocol):
    """Collects the body of an answer and tells of each piece.

    :param progressed: called after each piece.
    """

    def __init__(self, progressed: Callable[[], None]) -> None:
        self.body: Deferred[bytes] = Deferred(lambda _: self._abort())
        self._progressed = progressed
        self._pieces: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body, up to a bound."""
        self._size_bytes += len(data)
        if self._size_bytes > MAX_BODY_BYTES:
            self._pieces.clear()
            self._fail(ExchangeFailedError(f"answer is longer than {MAX_BODY_BYTES} bytes"))
            self._abort()
            return
        self._pieces.append(data)
        self._progressed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Hand the body over if it is whole."""
        if reason.check(ResponseDone) is None:
            self._fail(reason.value)
        elif not self.body.called:
            self.body.callback(b"".join(self._pieces))

    def _fail(self, error: BaseException) -> None:
        if not self.body.called:
            self.body.errback(error)

    def _abort(self) -> None:
        # Nothing waits to be written, so this closes the connection at once. The transport that the
        # library gives to readers has no way to abort it, which is why ``readBody`` leaves it open.
        if self.transport is not None:
            self.transport.loseConnection()


class _Cancellable:
    """A running exchange whose result says for certain why it was ended.

    The HTTP library reports a cancelled request with the error of the phase that it was in.

    :param call: the exchange.
    """

    def __init__(self, call: Deferred[HttpAnswer]) -> None:
        self._call = call
        self.result: Deferred[HttpAnswer] = Deferred(lambda _: self.end(CancelledError()))
        call.addCallbacks(self._succeed, self._fail)

    def _succeed(self, answer: HttpAnswer) -> None:
        if not self.result.called:
            self.result.callback(answer)

    def _fail(self, failure: Failure) -> None:
        if not self.result.called:
            self.result.errback(failure)

    def end(self, error: Exception) -> None:
        """End the exchange with an error.

        :param error: what the caller gets.
        """
        if not self.result.called:
            self.result.errback(error)
        self._call.cancel()


class _Deadline:
    """The time that an exchange may still take; a context manager.

    :param reactor: Twisted reactor.
    :param exchange: the exchange.
    """

    def __init__(self, reactor: Any, exchange: HttpExchange) -> None:
        self._reactor = reactor
        self._exchange = exchange
        self._started_s: float = reactor.seconds()
        self._timer: Any = None
        self.expired: Callable[[str], None] = lambda reason: None

    def __enter__(self) -> _Deadline:
        delay_s = self._exchange.deadline_ms / 1000
        reason = f"no answer within {self._exchange.deadline_ms:.0f} ms"
        self._timer = self._reactor.callLater(delay_s, self._expire, reason)
        return self

    def __exit__(self, *_: object) -> None:
        if self._timer.active():
            self._timer.cancel()

    def note_progress(self) -> None:
        """Grant time for the next piece of the body, up to the longest transfer."""
        progress_ms = self._exchange.progress_ms
        if progress_ms is None or not self._timer.active():
            return
        now_s = self._reactor.seconds()
        longest_ms = max(LONGEST_TRANSFER_MS, self._exchange.deadline_ms)
        end_s = min(now_s + progress_ms / 1000, self._started_s + longest_ms / 1000)
        if end_s > self._timer.getTime():
            self._timer.reset(max(0.0, end_s - now_s))

    def _expire(self, reason: str) -> None:
        self.expired(reason)


class HttpTransport:
    """Owns persistent connections; a context manager.

    :param reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self._pool._factory = _ConnectionFactory
        self._agent = Agent.usingEndpointFactory(reactor, _EndpointFactory(reactor), self._pool)
        self._pending: set[_Cancellable] = set()
        self._closed = False

    async def __aenter__(self) -> HttpTransport:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def exchange(self, exchange: HttpExchange) -> HttpAnswer:
        """Send a request and read the whole answer.

        :param exchange: the request.
        :raises ExchangeFailedError: when no whole answer came in time.
        """
        if self._closed:
            raise ExchangeFailedError("the client is closed")
        with _Deadline(self._reactor, exchange) as deadline:
            call = _Cancellable(Deferred.fromCoroutine(self._exchange(exchange, deadline)))
            deadline.expired = lambda reason: self._end_late(call, reason)
            self._pending.add(call)
            try:
                answer: HttpAnswer = await call.result
                return answer
            except _CONNECTION_ERRORS as error:
                raise ExchangeFailedError(_describe(error)) from error
            finally:
                self._pending.discard(call)

    def _end_late(self, call: _Cancellable, reason: str) -> None:
        # Idle connections to a silent peer are as dead as the one that got no answer, so the next
        # call dials anew.
        self._pool.closeCachedConnections()
        call.end(ExchangeFailedError(reason))

    async def _exchange(self, exchange: HttpExchange, deadline: _Deadline) -> HttpAnswer:
        path = quote(exchange.path)
        query = urlencode(exchange.parameters)
        uri = f"http://{exchange.address}{path}{'?' if query else ''}{query}"
        producer = BytesProducer(exchange.body) if exchange.body else None
        headers = Headers()
        if exchange.content_type:
            headers.setRawHeaders(b"Content-Type", [exchange.content_type.encode("ascii")])
        response = await self._agent.request(
            exchange.method.encode(), uri.encode(), headers, producer
        )
        index = response.headers.getRawHeaders(b"x-consul-index", [b""])[0]
        reader = _BodyReader(deadline.note_progress)
        response.deliverBody(reader)
        body = await reader.body
        return HttpAnswer(response.code, index.decode("ascii", "replace"), body, response.headers)

    def close(self) -> Deferred[None]:
        """End calls in progress and close all connections."""
        self._closed = True
        for call in list(self._pending):
            call.end(ExchangeFailedError("the client is closed"))
        return self._pool.closeCachedConnections()
