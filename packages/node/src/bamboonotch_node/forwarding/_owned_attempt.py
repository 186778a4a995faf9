"""One attempt at the owner, from its offer to a while after its response."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bamboonotch_node.backend import BackendExchange, Body, OfferedWork, ResponseStart
from bamboonotch_node.forwarding._outbox import CHUNK_BYTES, append_piece
from bamboonotch_node.forwarding._sink import AttemptSink

__all__ = ["OwnedAttempt", "ResumePosition"]

# A source is held up while this much of its response waits for another sink.
MAX_DETACHED_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class ResumePosition:
    """How far a response had come when its stream was lost.

    :param number: rises with each resumption that the ingress asks for.
    :param received_bytes: body bytes that the ingress has received.
    :param unacknowledged_bytes: how many of them it has not acknowledged yet.
    """

    number: int
    received_bytes: int
    unacknowledged_bytes: int


class OwnedAttempt:
    """Passes the backend server's response to a sink, which can be replaced.

    A stream can be lost with a part of the response in it. So each part is kept until the ingress
    has acknowledged it, and can leave again through another sink.

    :param work: the attempt.
    :param sink: takes the response.
    :param offered_ms: when it was offered, on this node's monotonic clock.
    :param replayable: whether the sink can be replaced.
    :param finished: called when the response has ended and cannot leave again.
    :param kept: called with each change of the size of what is kept, in bytes.
    """

    def __init__(
        self,
        work: OfferedWork,
        sink: AttemptSink,
        offered_ms: float,
        replayable: bool,
        finished: Callable[[OwnedAttempt], None],
        kept: Callable[[OwnedAttempt, int], None],
    ) -> None:
        self.work = work
        self.sink: AttemptSink | None = sink
        self.offered_ms = offered_ms
        self.replayable = replayable
        # A body that came over a stream ends with the attempt; the ingress may send its own again.
        self._owns_body = replayable
        self.exchange: BackendExchange | None = None
        self.orphan_timer: asyncio.TimerHandle | None = None
        self.size_bytes = 0
        self._finished = finished
        self._note_kept = kept
        self._head: ResponseStart | None = None
        self._kept: deque[bytes] = deque()
        self._kept_bytes = 0
        self._kept_from_bytes = 0
        self._acknowledged_bytes = 0
        self._resumption_number = 0
        self._held_up = False
        self._complete: bool | None = None

    def has_response(self) -> bool:
        """Tell whether the head of the response has arrived."""
        return self._head is not None

    @property
    def status(self) -> int:
        """HTTP status of the response, 0 before its head."""
        return 0 if self._head is None else self._head.status

    def is_complete(self) -> bool:
        """Tell whether the end of the response has arrived."""
        return self._complete is not None

    def can_start_again(self) -> bool:
        """Tell whether the response can leave through another sink from its head."""
        return self.replayable and not self._kept_from_bytes and not self._resumption_number

    def start(self, head: ResponseStart) -> None:
        """Take the head of the backend server's response.

        :param head: the head.
        """
        self._head = head
        if self.sink is not None:
            self.sink.start(head)

    def write(self, data: bytes) -> None:
        """Take a piece of the body.

        :param data: the piece.
        """
        self.size_bytes += len(data)
        if not self.replayable:
            if self.sink is not None:
                self.sink.write(data)
            return
        for start in range(0, len(data), CHUNK_BYTES):
            # Small parts, so that what has been acknowledged need not stay with what has not.
            part = data[start : start + CHUNK_BYTES]
            self._keep(part)
            if self.sink is not None:
                self.sink.write(part)

    def _keep(self, data: bytes) -> None:
        if not self.replayable:
            return
        append_piece(self._kept, data)
        self._kept_bytes += len(data)
        if self.sink is None and self._kept_bytes > MAX_DETACHED_BYTES and self.exchange:
            self._held_up = True
            self.exchange.pause()
        self._note_kept(self, len(data))

    def acknowledge(self, size_bytes: int) -> None:
        """Drop what the ingress has passed on.

        :param size_bytes: how much more of the body that is.
        """
        self._acknowledged_bytes += size_bytes
        self._drop_kept(self._acknowledged_bytes)

    def _drop_kept(self, before_bytes: int) -> None:
        dropped_bytes = 0
        while self._kept and self._kept_from_bytes + len(self._kept[0]) <= before_bytes:
            size_bytes = len(self._kept.popleft())
            self._kept_from_bytes += size_bytes
            dropped_bytes += size_bytes
        self._kept_bytes -= dropped_bytes
        self._note_kept(self, -dropped_bytes)

    def give_up_replay(self) -> None:
        """Drop what is kept of the response."""
        dropped_bytes, self._kept_bytes = self._kept_bytes, 0
        self.replayable = False
        self._kept.clear()
        self._note_kept(self, -dropped_bytes)

    def release_body(self) -> None:
        """Free the body of the request, because the backend server needs it no longer."""
        body = self.work.request.body
        if self._owns_body and isinstance(body, Body):
            body.release()

    def finish(self, complete: bool) -> None:
        """Take the end of the body.

        :param complete: whether all of it arrived.
        """
        self._complete = complete
        if self.sink is not None:
            self.sink.finish(complete)
        if not self.replayable:
            self._finished(self)

    def adopt(self, sink: AttemptSink) -> None:
        """Pass the whole response to another sink.

        :param sink: the new sink.
        """
        self._replace_sink(sink)
        if self._head is not None:
            sink.start(self._head)
            self._replay(sink, 0)

    def resume(self, sink: AttemptSink, position: ResumePosition) -> bool:
        """Pass the rest of the response to another sink.

        :param sink: the new sink.
        :param position: where the rest begins.
        :returns: whether the rest is there to be passed on.
        """
        skipped_bytes = position.received_bytes - self._kept_from_bytes
        available = self.replayable and self._head is not None
        if not (available and 0 <= skipped_bytes <= self._kept_bytes):
            return False
        if position.number <= self._resumption_number:
            # The request to resume was overtaken by a later one over another stream.
            return False
        self._resumption_number = position.number
        self._acknowledged_bytes = position.received_bytes - position.unacknowledged_bytes
        self._drop_kept(position.received_bytes)
        self._replace_sink(sink)
        self._replay(sink, position.received_bytes - self._kept_from_bytes)
        return True

    def _replace_sink(self, sink: AttemptSink) -> None:
        if self.sink is not None:
            self.sink.discard()
        self.sink = sink
        if self.orphan_timer is not None:
            self.orphan_timer.cancel()
            self.orphan_timer = None
        if self.exchange is not None:
            sink.set_source(self.exchange)
            if self._held_up:
                self._held_up = False
                self.exchange.resume()

    def _replay(self, sink: AttemptSink, skipped_bytes: int) -> None:
        for data in self._kept:
            sink.write(data[skipped_bytes:])
            skipped_bytes = max(0, skipped_bytes - len(data))
        if self._complete is not None:
            sink.finish(self._complete)
