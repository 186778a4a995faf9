"""Buffers a short response until all of it has arrived.

When a response is cut short while it is buffered, the receiver has seen nothing of it, so the
request can be tried again or answered with the known outcome. A long or slow response is passed on
as it arrives.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from bamboonotch_node.backend._work import ResponseReceiver, ResponseStart

__all__ = ["ResponseBuffer"]

MAX_BUFFERED_BYTES = 256 * 1024
# Limits the delay of a response that is sent slowly, such as a stream of events.
MAX_BUFFERING_S = 0.25
CONTENT_LENGTH = "content-length"
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class _Nobody:
    """Takes what follows the end of a response."""

    def start(self, head: ResponseStart) -> None:
        """Take the head of the response."""

    def write(self, data: bytes) -> None:
        """Take a chunk of the body."""

    def finish(self, complete: bool) -> None:
        """Take the end of the body."""


class ResponseBuffer:
    """Buffers one response for its receiver, within bounds of size and time.

    :param receiver: takes the response once it is complete or a bound is exceeded.
    :param has_body: whether the request's method lets a response have a body.
    """

    def __init__(self, receiver: ResponseReceiver, has_body: bool) -> None:
        self._receiver = receiver
        self._has_body = has_body
        self._head: ResponseStart | None = None
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, head: ResponseStart) -> None:
        """Buffer the head for at most ``MAX_BUFFERING_S``."""
        self._head = head
        self._timer = asyncio.get_running_loop().call_later(MAX_BUFFERING_S, self._flush)

    def write(self, data: bytes) -> None:
        """Buffer a chunk of the body, or pass it on if the head was already passed on."""
        if self._head is None:
            self._receiver.write(data)
            return
        self._chunks.append(data)
        self._size_bytes += len(data)
        if self._size_bytes > MAX_BUFFERED_BYTES:
            self._flush()

    def finish(self, complete: bool) -> bool:
        """End the response, and pass on what is buffered if the response is complete.

        :param complete: whether the whole body arrived.
        :returns: whether the receiver got the response, or the start of one that was cut short.
        """
        if self._head is not None:
            if not complete:
                self.discard()
                return False
            self._head = self._with_content_length(self._head)
            self._flush()
        self._receiver.finish(complete)
        return True

    def discard(self) -> None:
        """Discard the buffered response."""
        if self._timer is not None:
            self._timer.cancel()
        self._head = None
        self._chunks.clear()

    def release_receiver(self) -> None:
        """Keep the receiver no longer, because the response has ended."""
        self.discard()
        self._receiver = _Nobody()

    def _with_content_length(self, head: ResponseStart) -> ResponseStart:
        """Return the head with ``Content-Length`` added if a body may follow and it is missing."""
        if not self._has_body or head.status in STATUSES_WITHOUT_BODY:
            return head
        if any(name.lower() == CONTENT_LENGTH for name, _ in head.headers):
            return head
        length = ("Content-Length", str(self._size_bytes))
        return replace(head, headers=(*head.headers, length))

    def _flush(self) -> None:
        head, chunks = self._head, self._chunks
        if self._timer is not None:
            self._timer.cancel()
        if head is None:
            return
        self._head, self._chunks = None, []
        self._receiver.start(head)
        if chunks:
            self._receiver.write(b"".join(chunks))
