"""Bodies of requests, held in blocks that are freed for every holder at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["Body", "BodyProducer", "RequestBody", "body_pieces", "is_released"]

# Small pieces are joined up to this size. Larger blocks would be copied as they grow, and the
# copies of many bodies that grow at once leave holes in the heap.
BLOCK_BYTES = 64 * 1024
# A piece from this size on is kept as it is.
LARGE_PIECE_BYTES = 16 * 1024


class Body:
    """The body of one request.

    Several parts of the request path hold a body, some of them in reference cycles. So its owner
    releases the blocks themselves, when the request or the attempt has ended.

    :param released: called once, when the blocks are released.
    """

    __slots__ = ("_blocks", "_released", "is_released", "size_bytes")

    def __init__(self, released: Callable[[], None] | None = None) -> None:
        self._blocks: list[bytes | bytearray] = []
        self._released = released
        self.is_released = False
        self.size_bytes = 0

    def __len__(self) -> int:
        return self.size_bytes

    def __bytes__(self) -> bytes:
        return b"".join(self._blocks)

    @property
    def pieces(self) -> Sequence[bytes]:
        """The blocks, without a copy."""
        # A block that still grows is a bytearray, which every holder reads as bytes.
        return cast(Sequence[bytes], tuple(self._blocks))

    def append(self, data: bytes) -> None:
        """Append a piece.

        :param data: the piece.
        """
        if self.is_released or not data:
            return
        self.size_bytes += len(data)
        last = self._blocks[-1] if self._blocks else b""
        if isinstance(last, bytearray) and len(last) + len(data) <= BLOCK_BYTES:
            last += data
        elif len(data) >= LARGE_PIECE_BYTES:
            self._blocks.append(data)
        else:
            self._blocks.append(bytearray(data))

    def release(self) -> None:
        """Free the blocks."""
        if self.is_released:
            return
        self.is_released = True
        self._blocks.clear()
        released, self._released = self._released, None
        if released is not None:
            released()


RequestBody = bytes | Body


def body_pieces(body: RequestBody) -> Sequence[bytes]:
    """Return the pieces of a body.

    :param body: the body.
    """
    return body.pieces if isinstance(body, Body) else (body,)


def is_released(body: RequestBody) -> bool:
    """Tell whether a body is no longer held, so that its request must not be sent.

    :param body: the body.
    """
    return isinstance(body, Body) and body.is_released


@implementer(IBodyProducer)
class BodyProducer:
    """Writes a body block by block, as fast as the connection takes it.

    :param body: the body.
    """

    def __init__(self, body: RequestBody) -> None:
        self.length = len(body)
        self._pieces: deque[bytes] = deque(body_pieces(body))
        self._consumer: Any = None
        self._finished: Deferred[None] | None = None
        self._paused = False

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Begin to write.

        :param consumer: takes the blocks.
        """
        self._consumer = consumer
        finished: Deferred[None] = Deferred()
        self._finished = finished
        self._write()
        return finished

    def pauseProducing(self) -> None:  # noqa: N802
        """Wait until the connection takes more."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on."""
        self._paused = False
        self._write()

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more."""
        self._consumer = None
        self._pieces.clear()

    def _write(self) -> None:
        while self._pieces and not self._paused and self._consumer is not None:
            self._consumer.write(bytes(self._pieces.popleft()))
        if self._pieces or self._finished is None or self._consumer is None:
            return
        finished, self._finished = self._finished, None
        self._consumer = None
        finished.callback(None)
