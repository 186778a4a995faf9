"""The order of responses on a connection that carries several requests at once.

A caller may send further requests before the first is answered. They are worked on at the same
time, and what is written for one of them is held until all requests before it are answered.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer

__all__ = ["ResponseTurn"]

# A response that waits for its turn is paused when this much of it is held.
MAX_HELD_BYTES = 64 * 1024
# What a held write takes beside its bytes.
WRITE_OVERHEAD_BYTES = 256


class ResponseTurn:
    """Stands for the connection towards one request; everything else is the connection's.

    :param channel: the connection.
    :param is_first: whether no request before this one waits for its answer.
    """

    def __init__(self, channel: Any, is_first: bool) -> None:
        self._channel = channel
        self._held: list[Callable[[], None]] | None = None if is_first else []
        self._held_bytes = 0
        self._producer: IPushProducer | None = None
        self._producer_paused = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._channel, name)

    @property
    def is_waiting(self) -> bool:
        """Whether requests before this one still wait for their answers."""
        return self._held is not None

    def take(self) -> None:
        """Write what was held, and pass everything on from now on."""
        held, self._held = self._held or [], None
        self._channel.note_waiting(-self._held_bytes)
        self._held_bytes = 0
        for write in held:
            write()
        if self._producer_paused and self._producer is not None:
            self._producer.resumeProducing()
        self._producer = None

    def writeHeaders(self, *head: Any) -> None:  # noqa: N802
        """Write the head of a response."""
        self._write(lambda: self._channel.writeHeaders(*head), 0)

    def write(self, data: bytes) -> None:
        """Write a piece of a body."""
        self._write(lambda: self._channel.write(data), len(data))

    def writeSequence(self, pieces: Any) -> None:  # noqa: N802
        """Write pieces of a body."""
        self._write(lambda: self._channel.writeSequence(pieces), sum(map(len, pieces)))

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Register the source of a body, which is paused when too much of it is held."""
        if self._held is None:
            self._channel.registerProducer(producer, streaming)
            return
        self._producer = producer
        self._held.append(lambda: self._channel.registerProducer(producer, streaming))

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget the source of a body."""
        self._producer = None
        self._write(lambda: self._channel.unregisterProducer(), 0)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """End a response."""
        self._write(lambda: self._channel.requestDone(request), 0)

    def break_off(self, in_order: bool) -> None:
        """End the connection within this response, after the responses before it.

        :param in_order: whether to close it in order instead of resetting it.
        """
        self._write(lambda: self._channel.break_off(in_order), 0)

    def _write(self, write: Callable[[], None], size_bytes: int) -> None:
        if self._held is None:
            write()
            return
        self._held.append(write)
        self._held_bytes += size_bytes + WRITE_OVERHEAD_BYTES
        self._channel.note_waiting(size_bytes + WRITE_OVERHEAD_BYTES)
        must_pause = self._held_bytes > MAX_HELD_BYTES and not self._producer_paused
        if must_pause and self._producer is not None:
            self._producer_paused = True
            self._producer.pauseProducing()
