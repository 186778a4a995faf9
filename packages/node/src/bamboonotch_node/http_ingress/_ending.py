"""How a connection to a caller ends without losing answers that are still on their way.

A reset discards what the operating system has not delivered, and so does closing a connection on
which bytes of the caller are unread. So the connection is closed towards the caller first, and is
read until the caller closes it as well.
"""

from __future__ import annotations

import asyncio
from typing import Any

from bamboonotch_node.http_ingress._unread import PROGRESS_BYTES, UnreadAnswers

__all__ = ["ConnectionEnd"]

# How long a caller may go on sending, or make no progress in receiving, after the last answer.
LINGER_S = 2.0
# How often a connection that is to be reset looks whether its caller has received the answers.
RECEIVED_CHECK_S = 0.02


class ConnectionEnd:
    """Ends one connection; both ways may be called more than once.

    :param transport: the library's connection.
    :param answers: what the caller has not received yet.
    """

    def __init__(self, transport: Any, answers: UnreadAnswers) -> None:
        self._transport = transport
        self._answers = answers
        self._linger: asyncio.TimerHandle | None = None
        self._received_check: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Close in order, once everything that was written is sent."""
        # With a producer, the library may not close after the last byte.
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
        self._start_linger()

    def reset(self) -> None:
        """Reset, once the caller has received everything that was written."""
        if self._received_check is not None:
            return
        self._start_linger()
        self._reset_if_received()

    def stop(self) -> None:
        """Stop waiting, because the connection is lost."""
        for timer in (self._linger, self._received_check):
            if timer is not None:
                timer.cancel()

    def _reset_if_received(self) -> None:
        if not self._answers.waiting_bytes():
            self._transport.abortConnection()
            return
        loop = asyncio.get_running_loop()
        self._received_check = loop.call_later(RECEIVED_CHECK_S, self._reset_if_received)

    def _start_linger(self) -> None:
        if self._linger is None:
            self._linger_on(self._answers.waiting_bytes())

    def _linger_on(self, waiting_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        self._linger = loop.call_later(LINGER_S, self._check_linger, waiting_bytes)

    def _check_linger(self, before_bytes: int) -> None:
        """Reset the connection unless its caller goes on receiving."""
        waiting_bytes = self._answers.waiting_bytes()
        progress_bytes = before_bytes - waiting_bytes
        if waiting_bytes and progress_bytes >= min(PROGRESS_BYTES, before_bytes // 2):
            self._linger_on(waiting_bytes)
        else:
            self._transport.abortConnection()
