"""What one connection of a caller makes the node hold."""

from __future__ import annotations

from collections.abc import Callable

from bamboonotch_node.caller_memory import CallerMemory

__all__ = ["ConnectionAccount"]

# The objects of a connection, and what the library keeps of a request's chunks and trailers.
CONNECTION_BYTES = 12 * 1024


class ConnectionAccount:
    """Counts the memory of one connection, which is returned when the connection is lost.

    :param memory: counts the memory of all connections.
    :param max_bytes: returns the bound of one connection on heads and bodies.
    """

    def __init__(self, memory: CallerMemory, max_bytes: Callable[[], int]) -> None:
        self._memory = memory
        self._max_bytes = max_bytes
        self._reserved_bytes = 0
        self._buffered_bytes = 0
        self._is_closed = False
        memory.add(CONNECTION_BYTES)

    @property
    def held_bytes(self) -> int:
        """Heads, bodies and buffers, without the connection itself."""
        return self._reserved_bytes + self._buffered_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory of a head or body, or return ``False`` when there is none.

        :param size_bytes: how much.
        """
        if self._is_closed or self._reserved_bytes + size_bytes > self._max_bytes():
            return False
        if not self._memory.reserve(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Return reserved memory.

        :param size_bytes: how much.
        """
        if not self._is_closed:
            self._reserved_bytes -= size_bytes
            self._memory.release(size_bytes)

    def note_buffered(self, size_bytes: int) -> None:
        """Note the size of what was read ahead and of what is not sent yet.

        :param size_bytes: the size.
        """
        if not self._is_closed and size_bytes != self._buffered_bytes:
            change_bytes = size_bytes - self._buffered_bytes
            self._buffered_bytes = size_bytes
            self._memory.add(change_bytes)

    def close(self) -> None:
        """Return everything."""
        if not self._is_closed:
            self._is_closed = True
            self._memory.release(self.held_bytes + CONNECTION_BYTES)
