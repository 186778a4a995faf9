"""Memory that callers can make a node hold, under one bound."""

from __future__ import annotations

from collections.abc import Callable

from bamboonotch_core.settings import NodeSettings, RequestSettings

__all__ = ["CallerMemory", "caller_memory_limit_bytes", "head_memory_bytes"]

# What a process takes without callers: 79 MB after its start, and its records of other nodes.
PROCESS_BYTES = 95_000_000
# The allocator takes more than is asked for, so callers get only this share of the rest.
CALLER_SHARE = 0.7
# Beside the largest legal body: its head, and the connections of other callers.
BODY_HEADROOM_BYTES = 6 * 1024 * 1024
# What a field of a head takes beside its bytes, in the library's and the mesh's own form, and what
# is held of a request beside its head and body.
FIELD_BYTES = 512
REQUEST_BYTES = 4096


def caller_memory_limit_bytes(settings: NodeSettings, requests: RequestSettings) -> int:
    """Return the bound on what callers can make a node hold, in bytes.

    :param settings: settings of the node.
    :param requests: the settings in force for requests.
    """
    if requests.caller_memory_bytes:
        return requests.caller_memory_bytes
    share_bytes = int((settings.identity.memory_mb * 1_000_000 - PROCESS_BYTES) * CALLER_SHARE)
    return max(share_bytes, requests.max_body_bytes + BODY_HEADROOM_BYTES)


def head_memory_bytes(size_bytes: int, fields: int) -> int:
    """Return what the head of a request takes in memory, in bytes.

    :param size_bytes: size of its names and values, in bytes.
    :param fields: how many fields it has.
    """
    return size_bytes + FIELD_BYTES * fields + REQUEST_BYTES


class CallerMemory:
    """Counts heads, bodies, read-ahead and unsent responses at the ingress and at the owner.

    ``make_room`` is called before a refusal; it lets one connection give way, and tells whether one
    did.

    :param limit_bytes: returns the bound.
    """

    def __init__(self, limit_bytes: Callable[[], int]) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self.make_room: Callable[[], bool] = lambda: False
        self._is_making_room = False

    @property
    def is_exhausted(self) -> bool:
        """Whether more is held than the bound allows."""
        return self.held_bytes > self._limit_bytes()

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory before it is taken, or return ``False`` when there is none.

        :param size_bytes: how much.
        """
        if not self._has_room(size_bytes) and not self._find_room(size_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def add(self, size_bytes: int) -> None:
        """Count what is held already, such as a response that has arrived.

        :param size_bytes: how much; negative for what is held no longer.
        """
        self.held_bytes += size_bytes
        if size_bytes > 0 and self.is_exhausted:
            self._find_room(0)

    def release(self, size_bytes: int) -> None:
        """Return reserved memory.

        :param size_bytes: how much.
        """
        self.held_bytes -= size_bytes

    def _find_room(self, size_bytes: int) -> bool:
        if self._is_making_room:
            # A connection that gives way is answered, and the answer is counted too.
            return False
        self._is_making_room = True
        try:
            while not self._has_room(size_bytes):
                if not self.make_room():
                    return False
        finally:
            self._is_making_room = False
        return True

    def _has_room(self, size_bytes: int) -> bool:
        return self.held_bytes + size_bytes <= self._limit_bytes()
