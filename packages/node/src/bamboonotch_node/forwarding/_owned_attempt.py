"""One attempt at the owner, from its offer to a while after its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bamboonotch_node.backend import BackendExchange, OfferedWork, ResponseStart
from bamboonotch_node.forwarding._sink import AttemptSink

__all__ = ["REPLAY_BYTES", "OwnedAttempt"]

# Longest response that can be sent a second time after its stream was lost.
REPLAY_BYTES = 16 * 1024


class OwnedAttempt:
    """Passes the backend server's response to a sink, which a fence can replace.

    A stream can be lost with the response in it. So the beginning of the response is kept as long
    as it is small, and the whole of it can then leave again through another sink.

    :param work: the attempt.
    :param sink: takes the response.
    :param offered_ms: when it was offered, on this node's monotonic clock.
    :param replayable: whether the sink can be replaced.
    :param finished: called when the whole response was passed to a sink, or nobody can take it.
    """

    def __init__(
        self,
        work: OfferedWork,
        sink: AttemptSink,
        offered_ms: float,
        replayable: bool,
        finished: Callable[[OwnedAttempt], None],
    ) -> None:
        self.work = work
        self.sink: AttemptSink | None = sink
        self.offered_ms = offered_ms
        self.replayable = replayable
        self.exchange: BackendExchange | None = None
        self.orphan_timer: asyncio.TimerHandle | None = None
        self.size_bytes = 0
        self._finished = finished
        self._head: ResponseStart | None = None
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._complete: bool | None = None

    @property
    def kept_bytes(self) -> int:
        """Size of the response body that is kept."""
        return self._kept_bytes

    def has_response(self) -> bool:
        """Tell whether the head of the response has arrived."""
        return self._head is not None

    def is_complete(self) -> bool:
        """Tell whether the end of the response has arrived."""
        return self._complete is not None

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
        self._keep(data)
        if self.sink is not None:
            self.sink.write(data)

    def _keep(self, data: bytes) -> None:
        if not self.replayable:
            return
        self._kept.append(data)
        self._kept_bytes += len(data)
        if self._kept_bytes <= REPLAY_BYTES:
            return
        if self.sink is None:
            if self.exchange is not None:
                self.exchange.pause()
        else:
            self.give_up_replay()

    def give_up_replay(self) -> None:
        """Drop what is kept of the response."""
        self.replayable = False
        self._kept.clear()
        self._kept_bytes = 0

    def finish(self, complete: bool) -> None:
        """Take the end of the body.

        :param complete: whether all of it arrived.
        """
        self._complete = complete
        if self.sink is not None:
            self.sink.finish(complete)
        if self.sink is not None or not self.replayable:
            self._finished(self)

    def adopt(self, sink: AttemptSink) -> None:
        """Pass the whole response to another sink.

        :param sink: the new sink.
        """
        self.sink = sink
        if self.orphan_timer is not None:
            self.orphan_timer.cancel()
            self.orphan_timer = None
        if self.exchange is not None:
            sink.set_source(self.exchange)
        if self._head is None:
            return
        sink.start(self._head)
        for data in self._kept:
            sink.write(data)
        if self._complete is not None:
            sink.finish(self._complete)
            self._finished(self)
        elif self._kept_bytes > REPLAY_BYTES and self.exchange is not None:
            self.give_up_replay()
            self.exchange.resume()
