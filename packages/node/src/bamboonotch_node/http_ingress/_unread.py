"""What a caller has not read yet of the answers on its connection."""

from __future__ import annotations

import fcntl
import struct
import termios
from collections import deque
from typing import Any

__all__ = ["UnreadAnswers", "unsent_bytes"]

# A caller that reads a byte now and then makes no progress; one on a slow link does.
PROGRESS_BYTES = 16 * 1024


def unsent_bytes(transport: Any) -> int:
    """Return the size of what a connection holds and the operating system does not take.

    :param transport: the library's connection.
    """
    held: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    return max(0, held)


def _unacknowledged_bytes(transport: Any) -> int:
    """Return the size of what the operating system has taken and the caller's has not."""
    try:
        answer = fcntl.ioctl(transport.getHandle().fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (AttributeError, OSError):
        return 0
    return int(struct.unpack("i", answer)[0])


class UnreadAnswers:
    """Follows the answers of one connection until the caller has received them.

    :param transport: the library's connection.
    :param now_ms: monotonic clock, in milliseconds.
    """

    def __init__(self, transport: Any, now_ms: float) -> None:
        self._transport = transport
        self._written_bytes = 0
        self._ends: deque[int] = deque()
        self._drained_bytes = 0
        self.drained_ms = now_ms

    def note_written(self, size_bytes: int) -> None:
        """Note that a part of an answer was written.

        :param size_bytes: its size.
        """
        self._written_bytes += size_bytes

    def note_end(self) -> None:
        """Note that an answer is complete."""
        self._ends.append(self._written_bytes)

    def waiting_bytes(self) -> int:
        """Return the size of what was written and the caller's system has not received."""
        return unsent_bytes(self._transport) + _unacknowledged_bytes(self._transport)

    def reaches(self, count: int) -> bool:
        """Tell whether this many answers are not received yet.

        :param count: the number.
        """
        if len(self._ends) < count:
            return False
        received_bytes = self._written_bytes - self.waiting_bytes()
        while self._ends and self._ends[0] <= received_bytes:
            self._ends.popleft()
        return len(self._ends) >= count

    def note_drain(self, now_ms: float) -> None:
        """Note whether the caller goes on reading.

        :param now_ms: monotonic clock, in milliseconds.
        """
        held_bytes = unsent_bytes(self._transport)
        drained_bytes = self._written_bytes - held_bytes
        if not held_bytes or drained_bytes - self._drained_bytes >= PROGRESS_BYTES:
            self._drained_bytes = drained_bytes
            self.drained_ms = now_ms
