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
from bamboonotch_core.slowdown import UNKNOWN_SLOWDOWN
from bamboonotch_node.backend._body import BodyProducer, is_released
from bamboonotch_node.backend._connections import BackendConnections
from bamboonotch_node.backend._holding import ResponseBuffer
from bamboonotch_node.backend._work import (
    MAX_RESPONSE_HEADER_BYTES,
    MAX_RESPONSE_HEADERS,
    HeaderList,
    OfferedWork,
    ResponseReceiver,
    ResponseStart,
    is_final_status,
)
from bamboonotch_node.dialect import HttpDialect

__all__ = ["BackendExchange"]

# When the body of a refusal takes longer than this to arrive, its connection is closed, not reused.
REFUSAL_BODY_TIMEOUT_S = 1.0


def _ignore_result(result: BackendResult, latency_ms: float) -> None:
    """Take a result that was reported before."""


class _BodyProtocol(Protocol):
    """Passes a response body to its exchange."""

    def __init__(self, exchange: BackendExchange) -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a chunk of the body to the exchange."""
        self._exchange.body_received(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Pass the end of the body to the exchange.

        A body without a length ends when the connection closes, so it may have been cut short.

        :param reason: ``ResponseDone`` when the body is complete, ``PotentialDataLoss`` when it had
            no length and the connection closed.
        """
        if reason.check(PotentialDataLoss) is not None:
            self._exchange.unframed_body_ended()
        else:
            self._exchange.body_ended(reason.check(ResponseDone) is not None)


def _encode_headers(
    work: OfferedWork,
    address: str,
    remaining_ms: float,
    dialect: HttpDialect,
    instance_id: str,
    has_workspaces: bool,
) -> Any:
    """Return the headers of the request to the backend server.

    The node where the request arrived may have run another version, so the key is removed here too.

    :param address: ``ip:port`` of the backend server, sent as ``Host`` when the request has none.
    :param remaining_ms: time left until the caller stops waiting, in milliseconds.
    :param dialect: names of the headers.
    :param instance_id: id of the backend server process that the request is meant for, or empty.
    :param has_workspaces: whether the running configuration has workspaces.
    :raises ValueError: when the request has several ``Host`` headers or a header cannot be sent.
    """
    values: dict[bytes, list[bytes]] = {}
    for name, value in work.request.headers:
        values.setdefault(name.encode("latin-1").lower(), []).append(value.encode("latin-1"))
    if len(values.setdefault(b"host", [address.encode("latin-1")])) != 1:
        raise ValueError(
            f"request {work.request.request_id} has {len(values[b'host'])} Host headers, limit is 1"
        )
    values.setdefault(dialect.request_id, [work.request.request_id.encode("latin-1")])
    values[dialect.timeout] = [b"%d" % max(1, int(remaining_ms))]
    if dialect.attempt:
        values[dialect.attempt] = [b"%d" % work.attempt]
    if dialect.expected_instance and instance_id:
        values[dialect.expected_instance] = [instance_id.encode("latin-1")]
    if has_workspaces or work.workspace:
        for name_to_remove in dialect.access_headers:
            values.pop(name_to_remove, None)
    if work.workspace and dialect.workspace:
        values[dialect.workspace] = [work.workspace.encode("latin-1")]
    if work.idempotency_key:
        values[dialect.idempotency_key] = [work.idempotency_key.encode("latin-1")]
    return Headers(values)


def _response_headers(response: Any) -> HeaderList:
    """Return the end-to-end headers of a response.

    Twisted has already removed the hop-by-hop headers.

    :param response: Twisted's response.
    """
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    ]
    length_known = response.length is not UNKNOWN_LENGTH
    if length_known and response.request.method != b"HEAD" and response.code not in (204, 304):
        headers.append(("Content-Length", str(response.length)))
    return tuple(headers)


def _is_within_bounds(status: int, headers: HeaderList) -> bool:
    size_bytes = sum(len(name) + len(value) for name, value in headers)
    return (
        is_final_status(status)
        and len(headers) <= MAX_RESPONSE_HEADERS
        and size_bytes <= MAX_RESPONSE_HEADER_BYTES
    )


class BackendExchange:
    """Sends one request, passes the response to a receiver and reports a ``BackendResult``.

    :param address: ``ip:port`` of the backend server.
    :param connections: pool of connections to the backend server.
    :param receiver: takes the response; not called when the work was not run.
    :param on_result: called once with the result and the time since dispatch in milliseconds.
    :param clock: monotonic clock in milliseconds.
    :param queue_ms: time from offer to dispatch, in milliseconds.
    :param load: returns the number of attempts in slots and queue.
    :param dialect: header names and rules of the HTTP that the backend server speaks.
    :param instance_id: id of the backend server process that the request is meant for, or empty.
    :param head_received: takes the headers of a response of that process, also of a refusal.
    :param has_workspaces: returns whether the running configuration has workspaces.
    :param slowdown: returns how long work takes there, after the headers were taken.
    """

    def __init__(
        self,
        work: OfferedWork,
        address: str,
        connections: BackendConnections,
        receiver: ResponseReceiver,
        on_result: Callable[[BackendResult, float], None],
        clock: Callable[[], float],
        queue_ms: float,
        load: Callable[[], int],
        dialect: HttpDialect,
        instance_id: str,
        head_received: Callable[[Any], None] = lambda headers: None,
        has_workspaces: Callable[[], bool] = lambda: False,
        slowdown: Callable[[], float] = lambda: UNKNOWN_SLOWDOWN,
    ) -> None:
        self._has_workspaces = has_workspaces
        self._slowdown = slowdown
        self._note_head = head_received
        self._dialect = dialect
        self._instance_id = instance_id
        self._sent_request_id = ""
        self._work = work
        self._address = address
        self._connections = connections
        self._response_buffer = ResponseBuffer(receiver, work.request.method != "HEAD")
        self._on_result = on_result
        self._clock = clock
        self._queue_ms = queue_ms
        self._load = load
        self._started_ms = clock()
        self._connection: Any = None
        self._pending_connection: Any = None
        self._body_protocol: Any = None
        self._read_pieces: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self._paused = False
        self._finished = False

    def start(self) -> None:
        """Obtain a connection and send the request."""
        remaining_s = (self._work.deadline_ms - self._started_ms) / 1000
        self._timer = asyncio.get_running_loop().call_later(remaining_s, self._deadline_passed)
        connection = self._connections.take_idle(
            self._address, self._work.idempotent, self._find_request_id()
        )
        if connection is not None:
            self._connected(connection)
            return
        self._pending_connection = self._connections.connect(self._address)
        self._pending_connection.addCallbacks(self._connected, self._connect_failed)

    def abort(self) -> None:
        """Stop the request, close its connection and report the result."""
        if self._finished:
            return
        if self._connection is None:
            if self._pending_connection is not None:
                self._pending_connection.cancel()
            self._finish(BackendResult.UNREACHABLE)
            return
        self._connection.transport.abortConnection()
        # The result is already known, and Twisted may report the lost connection much later.
        if self._body_protocol is None:
            self._finish(BackendResult.UNKNOWN)
        else:
            self.body_ended(False)

    def pause(self) -> None:
        """Pause the delivery of the response body."""
        self._paused = True
        if self._is_body_flowing():
            self._body_protocol.transport.pauseProducing()

    def resume(self) -> None:
        """Continue the delivery of the response body."""
        self._paused = False
        if self._is_body_flowing():
            self._body_protocol.transport.resumeProducing()

    def _is_body_flowing(self) -> bool:
        return (
            self._body_protocol is not None
            and self._body_protocol.transport is not None
            and not self._finished
        )

    def _deadline_passed(self) -> None:
        connected = self._connection is not None
        self.abort()
        if connected:
            # The idle connections may be broken too, for example when a network device between
            # this node and the backend server has lost its connection state.
            self._connections.close_idle()

    def _find_request_id(self) -> str:
        """Return the id that the request has at the backend server."""
        name = self._dialect.request_id
        for header, value in self._work.request.headers:
            if header.encode("latin-1").lower() == name:
                return value
        return self._work.request.request_id

    def _connect_failed(self, failure: Any) -> None:
        self._finish(BackendResult.UNREACHABLE)

    def _connected(self, connection: Any) -> None:
        if self._finished:
            connection.transport.loseConnection()
            return
        work = self._work
        remaining_ms = work.deadline_ms - self._clock()
        body = work.request.body
        if is_released(body):
            # The attempt has ended meanwhile; without its body it would be another request.
            connection.transport.loseConnection()
            self._finish(BackendResult.NOT_RUN)
            return
        try:
            headers = _encode_headers(
                work,
                self._address,
                remaining_ms,
                self._dialect,
                self._instance_id,
                self._has_workspaces(),
            )
            self._sent_request_id = headers.getRawHeaders(self._dialect.request_id)[0].decode(
                "latin-1"
            )
            request = Request(
                work.request.method.encode("latin-1"),
                work.request.path.encode("latin-1"),
                headers,
                BodyProducer(body) if body else None,
                persistent=True,
            )
        except ValueError:
            connection.transport.loseConnection()
            self._finish(BackendResult.NOT_RUN)
            return
        self._connection = connection
        connection.on_read = self._pass_on_read
        result: Deferred[Any] = connection.request(request)
        result.addCallbacks(self._head_received, self._request_failed)
        result.addErrback(self._handle_internal_error)

    def _request_failed(self, failure: Any) -> None:
        if not self._finished:
            self._connections.record_broken_connection(self._connection, self._work.attempt_id)
            self._connections.report_invalid_status(failure, self._work.attempt_id)
        not_sent = failure.check(RequestNotSent) is not None
        self._finish(BackendResult.NOT_RUN if not_sent else BackendResult.UNKNOWN)

    def _handle_internal_error(self, failure: Any) -> Any:
        """Stop the request after an exception in this node's code.

        :param failure: the exception.
        :returns: the failure, so that Twisted logs it.
        """
        self.abort()
        return failure

    def _head_received(self, response: Any) -> None:
        if self._finished:
            return
        self._body_protocol = _BodyProtocol(self)
        if not is_final_status(response.code):
            # Whatever its headers say, a broken response does not prove that nothing was run.
            self._break_off()
            return
        of_other_request = self._dialect.is_of_other_request(
            self._sent_request_id, response.headers
        )
        if not of_other_request and self._dialect.is_not_run(response.code, response.headers):
            if self._is_refusal_of_this_send(response):
                if response.code != self._dialect.misdirected_status:
                    self._note_head(response.headers)
                self._discard_refusal(response)
            else:
                self._break_off()
            return
        if of_other_request or not self._dialect.has_proof(response.headers):
            self._break_off()
            return
        self._note_head(response.headers)
        headers = _response_headers(response)
        if not _is_within_bounds(response.code, headers):
            self._break_off()
            return
        now_ms = self._clock()
        self._response_buffer.start(
            ResponseStart(
                status=response.code,
                headers=headers,
                load=self._load(),
                backend_ms=now_ms - self._started_ms,
                queue_ms=self._queue_ms,
                slowdown=self._slowdown(),
            )
        )
        response.deliverBody(self._body_protocol)
        if self._paused:
            self.pause()

    def _break_off(self) -> None:
        """Stop the request after a head that cannot be its response; its outcome is unknown."""
        self._body_protocol = None
        self.abort()

    def _is_refusal_of_this_send(self, response: Any) -> bool:
        """Return whether a refusal cannot be a copy of one that was written before.

        One without a request id may be any on a connection that has carried other requests.
        """
        if self._dialect.names_request(response.headers):
            return True
        return self._connection.requests_sent == 1 or not self._dialect.echoes_request_id

    def _discard_refusal(self, response: Any) -> None:
        """Read the body of a refusal to its end, so that the connection can be reused.

        :param response: Twisted's response, which says that the request was not run.
        """
        self._connection.refused_request_id = self._sent_request_id
        if not self._dialect.echoes_request_id:
            # A copy of the refusal, written later, could not be told from one of the next request.
            self._connection.transport.abortConnection()
            self._finish(BackendResult.NOT_RUN)
            return
        self._finish(BackendResult.NOT_RUN)
        self._timer = asyncio.get_running_loop().call_later(
            REFUSAL_BODY_TIMEOUT_S, self._connection.transport.abortConnection
        )
        response.deliverBody(self._body_protocol)

    def body_received(self, data: bytes) -> None:
        """Take a chunk of the response body."""
        if not self._finished:
            self._read_pieces.append(data)

    def _pass_on_read(self) -> None:
        """Pass what was read at once to the receiver as one piece, however small its chunks are."""
        pieces, self._read_pieces = self._read_pieces, []
        if pieces and not self._finished:
            self._response_buffer.write(pieces[0] if len(pieces) == 1 else b"".join(pieces))

    def unframed_body_ended(self) -> None:
        """End a response body without a length, whose end is the end of the connection.

        The body counts as complete only if the connection closed cleanly and the dialect trusts a
        clean close.
        """
        connection_closed_cleanly = self._connection is not None and self._connection.closed_cleanly
        self.body_ended(self._dialect.trusts_close and connection_closed_cleanly)

    def body_ended(self, complete: bool) -> None:
        """End the response and report the result.

        :param complete: whether the whole body arrived.
        """
        if self._finished:
            if self._timer is not None:
                self._timer.cancel()
            return
        self._pass_on_read()
        self._finished = True
        delivered = self._response_buffer.finish(complete)
        self._report_result(BackendResult.DONE if delivered else BackendResult.UNKNOWN)

    def _finish(self, result: BackendResult) -> None:
        if not self._finished:
            self._finished = True
            self._report_result(result)

    def _report_result(self, result: BackendResult) -> None:
        if self._connection is not None:
            self._connection.on_read = None
        if self._timer is not None:
            self._timer.cancel()
        # The result and the receiver lead back to the attempt, which holds this exchange.
        on_result, self._on_result = self._on_result, _ignore_result
        self._response_buffer.release_receiver()
        on_result(result, self._clock() - self._started_ms)
