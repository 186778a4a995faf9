"""Order of the frames that leave on one stream.

Small control frames go first, then heads, then body chunks that the uplink has granted. So a large
body does not delay what is small, on this stream or on another one.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from bamboonotch_core.errors import MessageError
from bamboonotch_node.backend import FlowControl
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["CHUNK_BYTES", "WINDOW_BYTES", "HeadBuilder", "Outbox", "OutgoingBody", "append_piece"]

CHUNK_BYTES = 16 * 1024
WINDOW_BYTES = 64 * 1024
# A peer that sends but never reads fills the outbox; beyond this the stream is closed.
MAX_CONTROL_FRAMES = 20_000
# A body that has sent this much goes behind those that wait, so that none keeps the link for long.
MAX_TURN_BYTES = 256 * 1024
# A source is held up while this much of its body waits in the outbox.
HIGH_WATER_BYTES = 64 * 1024

# Pieces below this size are joined, because each one takes some memory beside its bytes.
SMALL_PIECE_BYTES = 1024

HeadBuilder = Callable[[bytes, bool], "pb.ForwardFrame"]


def append_piece(pieces: deque[bytes], data: bytes) -> None:
    """Append bytes to a body that is held in pieces.

    :param pieces: the pieces.
    :param data: the bytes.
    """
    if pieces and len(pieces[-1]) + len(data) <= SMALL_PIECE_BYTES:
        pieces[-1] += data
    else:
        pieces.append(data)


def _build_no_head(data: bytes, last: bool) -> pb.ForwardFrame:
    raise AssertionError("the head has left already")


class OutgoingBody:
    """One message with a body: a head frame, then chunks under credit.

    :param attempt_id: the attempt.
    :param outbox: where the frames leave.
    :param build_head: makes the head frame from the first bytes and whether they are the last.
    """

    def __init__(self, attempt_id: str, outbox: Outbox, build_head: HeadBuilder) -> None:
        self.attempt_id = attempt_id
        self.head_sent = False
        self.source: FlowControl | None = None
        self.on_sent: Callable[[], None] | None = None
        self.queued = False
        self.number = outbox.uplink.next_number()
        self._granted_bytes = 0
        self._turn_bytes = 0
        self._outbox = outbox
        self._build_head = build_head
        self._pieces: deque[bytes] = deque()
        self._size_bytes = 0
        self._credit_bytes = WINDOW_BYTES
        self._ended = False
        self._aborted = False
        self._closed = False
        self._source_paused = False

    def skip_head(self, credit_bytes: int) -> None:
        """Continue a message whose head and first bytes have left on another stream.

        :param credit_bytes: how many bytes may leave before any credit.
        """
        self.head_sent = True
        self._credit_bytes = credit_bytes

    def write(self, data: bytes) -> None:
        """Append to the body.

        :param data: the bytes.
        """
        if self._ended or not data:
            return
        append_piece(self._pieces, data)
        self._size_bytes += len(data)
        if self._size_bytes > HIGH_WATER_BYTES and self.source and not self._source_paused:
            self._source_paused = True
            self.source.pause()
        self._outbox.enqueue(self)

    def finish(self, complete: bool) -> None:
        """End the body.

        :param complete: whether all of it was written; if not, what waits is dropped.
        """
        if self._ended:
            return
        self._ended = True
        if not complete:
            self._aborted = True
            self._pieces.clear()
            self._size_bytes = 0
        self._outbox.enqueue(self)

    def discard(self) -> None:
        """Send nothing more of this message, and hold its source up no longer."""
        self._closed = self._ended = True
        # These lead back to the attempt, which holds this message.
        self.on_sent, self._build_head = None, _build_no_head
        self._pieces.clear()
        self._size_bytes = 0
        if self._source_paused and self.source:
            self._source_paused = False
            self.source.resume()

    def add_credit(self, size_bytes: int) -> None:
        """Allow more bytes.

        :param size_bytes: how many.
        :raises MessageError: when the credit exceeds the window.
        """
        self._credit_bytes += size_bytes
        if self._credit_bytes > WINDOW_BYTES:
            raise MessageError("credit exceeds the window of an attempt")
        self._outbox.enqueue(self)

    def is_ready(self) -> bool:
        """Tell whether a frame can leave now."""
        if self._closed:
            return False
        if not self.head_sent or self._aborted:
            return True
        if self._pieces:
            return self._credit_bytes > 0
        return self._ended

    def needs_grant(self) -> bool:
        """Tell whether the next frame has to wait for the uplink."""
        return self.head_sent and bool(self._pieces) and not self._aborted

    def waiting_bytes(self) -> int:
        """Return the size of what waits here, in bytes."""
        return self._size_bytes

    def grant(self) -> int:
        """Let one chunk leave and return its size in bytes; 0 when nothing can leave any more."""
        if self._closed or not self._outbox.enqueue_granted(self):
            return 0
        self._granted_bytes = min(CHUNK_BYTES, self._credit_bytes, self._size_bytes)
        self._turn_bytes += self._granted_bytes
        if self._turn_bytes >= MAX_TURN_BYTES:
            self._turn_bytes = 0
            self.number = self._outbox.uplink.next_number()
        return self._granted_bytes

    def next_frame(self) -> pb.ForwardFrame:
        """Make the next frame; only when ready."""
        if self._aborted and self.head_sent:
            chunk = pb.BodyChunk(attempt_id=self.attempt_id, last=True, aborted=True)
            self._close()
            return pb.ForwardFrame(body_chunk=chunk)
        limit_bytes = self._granted_bytes if self.head_sent else self._head_limit_bytes()
        data = self._take(min(limit_bytes, self._credit_bytes))
        self._granted_bytes = 0
        last = self._ended and not self._pieces and not self._aborted
        if last:
            self._close()
        if not self.head_sent:
            self.head_sent = True
            head = self._build_head(data, last)
            self._build_head = _build_no_head
            self._outbox.uplink.note_message(head.ByteSize())
            return head
        return pb.ForwardFrame(
            body_chunk=pb.BodyChunk(attempt_id=self.attempt_id, data=data, last=last)
        )

    def _head_limit_bytes(self) -> int:
        """Return how much of the body may leave with the head, without a grant."""
        is_small = self._ended and self._size_bytes <= CHUNK_BYTES
        return CHUNK_BYTES if is_small or not self._outbox.uplink.is_paced else 0

    def _close(self) -> None:
        self._closed = True
        on_sent, self.on_sent = self.on_sent, None
        if on_sent is not None:
            on_sent()

    def _take(self, limit_bytes: int) -> bytes:
        taken: list[bytes] = []
        size_bytes = 0
        while self._pieces and size_bytes < limit_bytes:
            piece = self._pieces.popleft()
            room = limit_bytes - size_bytes
            if len(piece) > room:
                self._pieces.appendleft(piece[room:])
                piece = piece[:room]
            taken.append(piece)
            size_bytes += len(piece)
        self._credit_bytes -= size_bytes
        self._size_bytes -= size_bytes
        if self._source_paused and self._size_bytes <= HIGH_WATER_BYTES // 2:
            self._source_paused = False
            if self.source:
                self.source.resume()
        return bytes(taken[0]) if len(taken) == 1 else b"".join(taken)


class Outbox:
    """The frames that wait on one stream.

    Nothing leaves before :meth:`open`, so that a head is never sent to a peer that has not named
    itself.

    :param uplink: grants the chunks of bodies.
    """

    def __init__(self, uplink: Uplink) -> None:
        self.uplink = uplink
        self._control: deque[pb.ForwardFrame] = deque()
        self._heads: deque[OutgoingBody] = deque()
        self._bodies: deque[OutgoingBody] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._is_open = False
        self._is_closed = False

    def open(self) -> None:
        """Let frames leave."""
        self._is_open = True
        self._wake()

    def close(self) -> None:
        """Take no more grants, because the stream has ended."""
        self._is_closed = True

    def push(self, frame: pb.ForwardFrame) -> None:
        """Append a control frame.

        :param frame: the frame.
        :raises MessageError: when the peer does not read.
        """
        if len(self._control) >= MAX_CONTROL_FRAMES:
            raise MessageError("peer does not read its frames")
        self._control.append(frame)
        self._wake()

    def enqueue(self, body: OutgoingBody) -> None:
        """Queue a message that may have become ready.

        :param body: the message.
        """
        if body.queued or not body.is_ready():
            return
        body.queued = True
        if body.needs_grant():
            self.uplink.request(body)
            return
        (self._bodies if body.head_sent else self._heads).append(body)
        self._wake()

    def enqueue_granted(self, body: OutgoingBody) -> bool:
        """Queue a message for which the uplink has granted a chunk.

        :param body: the message.
        :returns: whether the stream still carries frames.
        """
        if self._is_closed:
            return False
        self._bodies.append(body)
        self._wake()
        return True

    def next_frame(self) -> pb.ForwardFrame | None:
        """Take the next frame, or ``None`` when none is ready."""
        if not self._is_open:
            return None
        if self._control:
            control = self._control.popleft()
            self.uplink.note_message(control.ByteSize())
            return control
        for queue in (self._heads, self._bodies):
            while queue:
                body = queue.popleft()
                body.queued = False
                if not body.is_ready():
                    continue
                frame = body.next_frame()
                self.enqueue(body)
                return frame
        return None

    async def wait(self) -> None:
        """Wait until a frame may be ready."""
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
