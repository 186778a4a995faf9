"""One request to the local backend server and its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web._newclient import Request, RequestNotSent
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from bamboonotch_core.request_events import BackendResult
from bamboonotch_node.backend._connections import BackendConnections
from bamboonotch_node.backend._holding import HeldResponse
from bamboonotch_node.backend._work import (
    MAX_RESPONSE_HEADER_BYTES,
    MAX_RESPONSE_HEADERS,
    HeaderList,
    OfferedWork,
    ResponseReceiver,
    ResponseStart,
)
from bamboonotch_node.dialect import HttpDialect
from bamboonotch_store.http import BytesProducer

__all__ = ["BackendExchange"]

# Longest wait for the rest of a refusal's body, after which the connection is not used again.
REFUSAL_BODY_TIMEOUT_S = 1.0


class _BodyProtocol(Protocol):
    """Passes a response body on."""

    def __init__(self, exchange: BackendExchange) -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a piece on.

        :param data: the piece.
        """
        self._exchange.body_received(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Pass the end on.

        A body that ends with the connection, without a length, may be cut short.

        :param reason: ``ResponseDone`` when the body is complete, ``PotentialDataLoss`` when its
            end is that of the connection.
        """
        if reason.check(PotentialDataLoss) is not None:
            self._exchange.unframed_body_ended()
        else:
            self._exchange.body_ended(reason.check(ResponseDone) is not None)


def _encode_headers(
    work: OfferedWork, address: str, remaining_ms: float, dialect: HttpDialect, instance_id: str
) -> Any:
    """Return the headers of the request to the backend server.

    :param work: the attempt.
    :param address: ``ip:port`` of the backend server, for requests without ``Host``.
    :param remaining_ms: time left until the caller stops waiting, in milliseconds.
    :param dialect: names of the headers.
    :param instance_id: the process that the request is meant for, or empty.
    :raises ValueError: when a header cannot be sent.
    """
    values: dict[bytes, list[bytes]] = {}
    for name, value in work.request.headers:
        values.setdefault(name.encode("latin-1").lower(), []).append(value.encode("latin-1"))
    if len(values.setdefault(b"host", [address.encode("latin-1")])) != 1:
        raise ValueError("request has more than one Host header")
    values.setdefault(dialect.request_id, [work.request.request_id.encode("latin-1")])
    values[dialect.timeout] = [b"%d" % max(1, int(remaining_ms))]
    if dialect.attempt:
        values[dialect.attempt] = [b"%d" % work.attempt]
    if dialect.expected_instance and instance_id:
        values[dialect.expected_instance] = [instance_id.encode("latin-1")]
    if work.idempotency_key:
        values[dialect.idempotency_key] = [work.idempotency_key.encode("latin-1")]
    return Headers(values)


def _response_headers(response: Any) -> HeaderList:
    """Return the end-to-end headers of a response; the library removed those of the connection.

    :param response: the library's response.
    """
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    ]
    known = response.length is not UNKNOWN_LENGTH
    if known and response.request.method != b"HEAD" and response.code not in (204, 304):
        headers.append(("Content-Length", str(response.length)))
    return tuple(headers)


def _is_within_bounds(status: int, headers: HeaderList) -> bool:
    size_bytes = sum(len(name) + len(value) for name, value in headers)
    return (
        200 <= status <= 999
        and len(headers) <= MAX_RESPONSE_HEADERS
        and size_bytes <= MAX_RESPONSE_HEADER_BYTES
    )


class BackendExchange:
    """Sends one request, passes the response to a receiver and classifies the end.

    :param work: the attempt.
    :param address: ``ip:port`` of the backend server.
    :param connections: the pool.
    :param receiver: takes the response; not called when the work was not run.
    :param ended: called once with the result and the time since dispatch in milliseconds.
    :param clock: monotonic clock in milliseconds.
    :param queue_ms: time from offer to dispatch, in milliseconds.
    :param load: returns the work in slots and queue.
    :param dialect: names and rules of the HTTP spoken.
    :param instance_id: the process that the request is meant for, or empty.
    """

    def __init__(
        self,
        work: OfferedWork,
        address: str,
        connections: BackendConnections,
        receiver: ResponseReceiver,
        ended: Callable[[BackendResult, float], None],
        clock: Callable[[], float],
        queue_ms: float,
        load: Callable[[], int],
        dialect: HttpDialect,
        instance_id: str,
    ) -> None:
        self._dialect = dialect
        self._instance_id = instance_id
        self._sent_request_id = ""
        self._work = work
        self._address = address
        self._connections = connections
        self._receiver = HeldResponse(receiver, work.request.method != "HEAD")
        self._ended = ended
        self._clock = clock
        self._queue_ms = queue_ms
        self._load = load
        self._started_ms = clock()
        self._connection: Any = None
        self._connecting: Any = None
        self._body: Any = None
        self._deadline: asyncio.TimerHandle | None = None
        self._paused = False
        self._over = False

    def start(self) -> None:
        """Obtain a connection and send the request."""
        remaining_s = (self._work.deadline_ms - self._started_ms) / 1000
        self._deadline = asyncio.get_running_loop().call_later(remaining_s, self._expire)
        connection = self._connections.take_idle(self._address, self._work.idempotent)
        if connection is not None:
            self._connected(connection)
            return
        self._connecting = self._connections.connect(self._address)
        self._connecting.addCallbacks(self._connected, self._not_connected)

    def abort(self) -> None:
        """Give the work up; its result is still reported."""
        if self._over:
            return
        if self._connection is None:
            if self._connecting is not None:
                self._connecting.cancel()
            self._end(BackendResult.UNREACHABLE)
            return
        self._connection.transport.abortConnection()
        # The result is known now, and the library may report the loss only after a while.
        if self._body is None:
            self._end(BackendResult.UNKNOWN)
        else:
            self.body_ended(False)

    def pause(self) -> None:
        """Hold the response body up."""
        self._paused = True
        if self._is_body_flowing():
            self._body.transport.pauseProducing()

    def resume(self) -> None:
        """Let the response body flow again."""
        self._paused = False
        if self._is_body_flowing():
            self._body.transport.resumeProducing()

    def _is_body_flowing(self) -> bool:
        return self._body is not None and self._body.transport is not None and not self._over

    def _expire(self) -> None:
        connected = self._connection is not None
        self.abort()
        if connected:
            # The pooled connections may share the fault, for example a lost state in between.
            self._connections.drop_idle()

    def _not_connected(self, failure: Any) -> None:
        self._end(BackendResult.UNREACHABLE)

    def _connected(self, connection: Any) -> None:
        if self._over:
            connection.transport.loseConnection()
            return
        work = self._work
        remaining_ms = work.deadline_ms - self._clock()
        body = work.request.body
        try:
            headers = _encode_headers(
                work, self._address, remaining_ms, self._dialect, self._instance_id
            )
            self._sent_request_id = headers.getRawHeaders(self._dialect.request_id)[0].decode(
                "latin-1"
            )
            request = Request(
                work.request.method.encode("latin-1"),
                work.request.path.encode("latin-1"),
                headers,
                BytesProducer(body) if body else None,
                persistent=True,
            )
        except ValueError:
            connection.transport.loseConnection()
            self._end(BackendResult.NOT_RUN)
            return
        self._connection = connection
        result: Deferred[Any] = connection.request(request)
        result.addCallbacks(self._head_received, self._failed)
        result.addErrback(self._fault)

    def _failed(self, failure: Any) -> None:
        if not self._over:
            self._connections.broke_without_answer(self._connection, self._work.attempt_id)
        not_sent = failure.check(RequestNotSent) is not None
        self._end(BackendResult.NOT_RUN if not_sent else BackendResult.UNKNOWN)

    def _fault(self, failure: Any) -> Any:
        """Give the work up after an error in this program; the library logs it.

        :param failure: the error.
        """
        self.abort()
        return failure

    def _head_received(self, response: Any) -> None:
        if self._over:
            return
        self._body = _BodyProtocol(self)
        foreign = self._dialect.is_of_other_request(self._sent_request_id, response.headers)
        if not foreign and self._dialect.is_not_run(response.code, response.headers):
            self._discard_refusal(response)
            return
        if foreign or not self._dialect.has_proof(response.headers):
            self._body = None
            self.abort()
            return
        headers = _response_headers(response)
        if not _is_within_bounds(response.code, headers):
            self._body = None
            self.abort()
            return
        now_ms = self._clock()
        self._receiver.start(
            ResponseStart(
                status=response.code,
                headers=headers,
                load=self._load(),
                backend_ms=now_ms - self._started_ms,
                queue_ms=self._queue_ms,
            )
        )
        response.deliverBody(self._body)
        if self._paused:
            self.pause()

    def _discard_refusal(self, response: Any) -> None:
        """Read the body of a refusal to its end, to use the connection again.

        :param response: the library's response.
        """
        self._end(BackendResult.NOT_RUN)
        self._deadline = asyncio.get_running_loop().call_later(
            REFUSAL_BODY_TIMEOUT_S, self._connection.transport.abortConnection
        )
        response.deliverBody(self._body)

    def body_received(self, data: bytes) -> None:
        """Pass a piece of the response body on.

        :param data: the piece.
        """
        if not self._over:
            self._receiver.write(data)

    def unframed_body_ended(self) -> None:
        """Pass on the end of a body whose end is that of the connection."""
        ended_in_order = self._connection is not None and self._connection.closed_in_order
        self.body_ended(self._dialect.trusts_close and ended_in_order)

    def body_ended(self, complete: bool) -> None:
        """Pass the end of the response body on.

        :param complete: whether all of it arrived.
        """
        if self._over:
            if self._deadline is not None:
                self._deadline.cancel()
            return
        self._over = True
        delivered = self._receiver.finish(complete)
        self._report(BackendResult.DONE if delivered else BackendResult.UNKNOWN)

    def _end(self, result: BackendResult) -> None:
        if not self._over:
            self._over = True
            self._report(result)

    def _report(self, result: BackendResult) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self._ended(result, self._clock() - self._started_ms)
