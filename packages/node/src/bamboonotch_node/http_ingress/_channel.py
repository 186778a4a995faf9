"""Connections from callers: bounds, typed refusals, and reading whole requests."""

from __future__ import annotations

import asyncio
from typing import Any

from twisted.web import http

from bamboonotch_node.clock import now_ms
from bamboonotch_node.http_ingress._account import ConnectionAccount
from bamboonotch_node.http_ingress._answer import encode_answer
from bamboonotch_node.http_ingress._ending import ConnectionEnd
from bamboonotch_node.http_ingress._eviction import ConnectionState
from bamboonotch_node.http_ingress._http_request import CallerHttpRequest
from bamboonotch_node.http_ingress._unread import UnreadAnswers, unsent_bytes

__all__ = ["CallerChannel"]

# Requests of one connection that are worked on at once; what follows is read when one is answered.
MAX_REQUESTS_AT_ONCE = 8
# Beside the largest legal body: heads of requests that are worked on at once.
HEADS_BYTES = 1024 * 1024
# Trailers are not passed on, and the library keeps each as an object.
MAX_TRAILER_BYTES = 1024
# A body that grows by less makes no progress, so that a byte now and then does not keep it.
PROGRESS_BYTES = 16 * 1024
# How often a connection looks whether its caller has received the answers before.
UNREAD_CHECK_S = 0.02


class CallerChannel(http.HTTPChannel):
    """A connection from a caller."""

    requestFactory = CallerHttpRequest  # noqa: N815
    requests: list[CallerHttpRequest]
    _handlingRequest: bool  # noqa: N815
    _dataBuffer: list[bytes]  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.write_paused = False
        self._account: ConnectionAccount
        self._answers: UnreadAnswers
        self._waiting_bytes = 0
        self._progress_bytes = 0
        self._progress_ms = 0.0
        self._is_closing = False
        self._unread_check: asyncio.TimerHandle | None = None
        self._end: ConnectionEnd
        self._refused = False
        self._broken_off = False
        self._refusal_due: tuple[int, str] | None = None
        self._continue_due = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_local = False

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the limits of callers."""
        self._apply_limits()
        ingress = self.factory.ingress
        self._account = ConnectionAccount(
            ingress.memory, lambda: ingress.settings.max_body_bytes + HEADS_BYTES
        )
        self._progress_ms = now_ms()
        self._answers = UnreadAnswers(self.transport, self._progress_ms)
        self._end = ConnectionEnd(self.transport, self._answers)
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

    def writeHeaders(self, *head: Any) -> None:  # noqa: N802
        """Write the head of a response.

        :param head: version, status, reason and headers.
        """
        before_bytes = unsent_bytes(self.transport)
        super().writeHeaders(*head)
        self._answers.note_written(unsent_bytes(self.transport) - before_bytes)

    @property
    def has_unread_answers(self) -> bool:
        """Whether the caller has not received every answer that was written."""
        return self._answers.reaches(1)

    def _note_sent(self, size_bytes: int) -> None:
        self._answers.note_written(size_bytes)
        if not self._is_local:
            self.factory.ingress.note_sent(size_bytes)

    def _apply_limits(self) -> None:
        settings = self.factory.ingress.settings
        self.totalHeadersSize = settings.max_header_bytes
        self.maxHeaders = settings.max_header_fields
        self.timeOut = settings.idle_timeout_ms / 1000

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory of a head or body, or return ``False`` when there is none.

        :param size_bytes: how much.
        """
        return self._account.reserve(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Return reserved memory.

        :param size_bytes: how much.
        """
        self._account.release(size_bytes)

    def note_waiting(self, change_bytes: int) -> None:
        """Note a change of the size of responses that wait for their turn or for the caller.

        :param change_bytes: how much more waits.
        """
        self._waiting_bytes += change_bytes

    def note_progress(self, size_bytes: int) -> None:
        """Note that a body grew.

        :param size_bytes: by how much.
        """
        self._progress_bytes += size_bytes
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self._progress_ms = now_ms()

    def settle(self) -> None:
        """Count what was read ahead and what is not sent yet, and whether the caller reads."""
        self._answers.note_drain(now_ms())
        read_bytes = len(self._buffer) + sum(map(len, self._dataBuffer))
        before_bytes = self._account.held_bytes
        unsent = unsent_bytes(self.transport) + self._waiting_bytes
        self._account.note_buffered(read_bytes + unsent)
        grew = self._account.held_bytes > before_bytes
        if read_bytes and grew and self.factory.ingress.memory.is_exhausted:
            self.refuse(503, "caller-memory-exhausted")

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Take a field of a head, within the memory.

        :param line: name and value.
        """
        if self._refused:
            return False
        if not self.requests[-1].reserve_field(len(line)):
            self.refuse(503, "caller-memory-exhausted")
            return False
        return bool(super().headerReceived(line))

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Keep with the request whether its connection stays open after it."""
        request = self.requests[-1]
        self._progress_ms = now_ms()
        if isinstance(self._transferDecoder, http._ChunkedTransferDecoder):
            self._transferDecoder._maxTrailerHeadersSize = MAX_TRAILER_BYTES
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
        self._progress_ms = now_ms()
        self._answers.note_end()
        self._hold_if_unread()
        self._finish_request(request)
        self._hold_if_unread()

    def _finish_request(self, request: Any) -> None:
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
        if self._broken_off:
            return
        super().dataReceived(data)
        unfinished = self.line_mode and not self._handlingRequest
        unfinished = unfinished and bool(self._receivedHeaderSize or self._buffer)
        if unfinished and self._head_timer is None and not self._refused:
            self._progress_ms = now_ms()
            timeout_s = self.factory.ingress.settings.header_timeout_ms / 1000
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(timeout_s, self.refuse, 408, "header-timeout")
        elif not unfinished:
            self._stop_head_timer()
        self.settle()

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
        self._end.stop()
        if self._unread_check is not None:
            self._unread_check.cancel()
        super().connectionLost(reason)
        # These lead back to the connection.
        self.requests = []
        self._transferDecoder = None
        self._dataBuffer = []
        self._account.close()

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
        self._hold()

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller reads again."""
        self.write_paused = False
        super().resumeProducing()
        self._hold_if_unread()

    def _hold(self) -> None:
        """Read and answer no further request, because the caller does not read the answers."""
        self.paused = True
        self._networkProducer.pauseProducing()

    def _hold_if_unread(self) -> None:
        if self._refused:
            return
        if self.write_paused:
            self._hold()
        elif self._answers.reaches(MAX_REQUESTS_AT_ONCE):
            self._hold()
            if self._unread_check is None:
                loop = asyncio.get_running_loop()
                self._unread_check = loop.call_later(UNREAD_CHECK_S, self._check_unread)
        elif self.paused:
            self._read_on()

    def _check_unread(self) -> None:
        self._unread_check = None
        self._hold_if_unread()

    def _read_on(self) -> None:
        self.paused = False
        read_ahead_bytes = sum(map(len, self._dataBuffer))
        if not self._handlingRequest or read_ahead_bytes <= self._optimisticEagerReadSize:
            self._networkProducer.resumeProducing()
        if self._buffer:
            self.dataReceived(b"")

    def state(self, now_ms: float) -> ConnectionState:
        """Return what the connection does.

        :param now_ms: monotonic clock, in milliseconds.
        """
        in_work = any(request.is_handed_on for request in self.requests)
        if self._is_closing:
            return ConnectionState.CLOSING
        if self._refused and (self._broken_off or not in_work):
            if not self._answers.waiting_bytes():
                return ConnectionState.REFUSED
            # Closing would discard the answers that are on their way.
            in_work = True
        if unsent_bytes(self.transport):
            stalled_ms = now_ms - self._answers.drained_ms
            is_stalled = stalled_ms >= self.factory.ingress.settings.stalled_after_ms
            return ConnectionState.STALLED if is_stalled else ConnectionState.WORKING
        if in_work:
            return ConnectionState.WORKING
        half_sent = bool(self.requests or self._receivedHeaderSize or self._buffer)
        return ConnectionState.HALF_SENT if half_sent else ConnectionState.IDLE

    def since_ms(self, state: ConnectionState) -> float:
        """Return when the connection made progress last, on the monotonic clock.

        :param state: what it does.
        """
        if state is ConnectionState.REFUSED:
            return 0.0
        if state is ConnectionState.STALLED:
            return self._answers.drained_ms
        return self._progress_ms

    @property
    def held_bytes(self) -> int:
        """Heads, bodies and buffers of this connection."""
        return self._account.held_bytes

    def give_way(self, state: ConnectionState) -> None:
        """Free the memory of a request that is half sent, or of a response that is not read.

        :param state: what the connection does.
        """
        if state is ConnectionState.HALF_SENT:
            self.refuse(408, "request-too-slow")
        else:
            self._is_closing = True
            self.transport.abortConnection()

    def close_for_another(self, state: ConnectionState) -> None:
        """Close the connection, because a new one needs its descriptor.

        :param state: what the connection does.
        """
        self._is_closing = True
        if state is ConnectionState.HALF_SENT:
            self.refuse(408, "request-too-slow")
        if state in (ConnectionState.HALF_SENT, ConnectionState.IDLE):
            self.loseConnection()
        else:
            self.transport.abortConnection()

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
        for request in self.requests:
            if not request.is_read:
                request.give_way()
        self._discard_input()
        self._refuse_if_due()

    def _discard_input(self) -> None:
        """Drop what was read ahead, and go on reading, so that the caller gets the refusal."""
        self._buffer = b""
        self._dataBuffer = []
        if self.paused and not self.write_paused:
            self.paused = False
            self._networkProducer.resumeProducing()

    def _refuse_if_due(self) -> None:
        """Write a refusal, once every request before the one that it is for is answered."""
        unanswered = [request for request in self.requests if request.is_handed_on]
        if self._refusal_due is None or unanswered or self.transport.disconnecting:
            return
        status, reason = self._refusal_due
        self._refusal_due = None
        self.factory.ingress.input_refused(status, reason)
        self.setTimeout(None)
        self.write(encode_answer(status, reason))
        self._end.close()

    def break_off(self, in_order: bool) -> None:
        """End the connection within a response, and lose nothing of the ones before it.

        :param in_order: whether to close it in order, because the caller can see from what was
            written that the response is not whole, instead of resetting it.
        """
        if not self._broken_off:
            self._broken_off = self._refused = True
            self._refusal_due = None
            self._stop_head_timer()
            self.setTimeout(None)
            for request in self.requests[1:]:
                request.abandon()
            # Input is dropped from here on, whether or not the caller reads.
            self.write_paused = False
            self._discard_input()
        if in_order:
            self._end.close()
        else:
            self._end.reset()

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
        if self._receivedHeaderCount > self.maxHeaders:
            self.refuse(431, "too-many-header-fields")
            return
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        self.refuse(400, "headers-too-large" if too_large else "malformed-request")
