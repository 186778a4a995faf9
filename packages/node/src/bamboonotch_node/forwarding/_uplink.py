"""Share of the VM's link for the bodies that leave on all forward streams of a node.

A link sends bytes in the order in which they were written. If every body filled the window of its
stream, a response of a few hundred bytes, a heartbeat or a readiness check would wait behind all of
these windows. So bodies are written no faster than the link sends them, the oldest first, and what
is small is written at once.

Everything else that this process writes to the link is charged to it in full: frames without a
grant, messages of control streams and responses to callers on other hosts. What is not charged
adds up to a queue in the link, which no body waits for and every small response does.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Protocol

__all__ = ["PacedBody", "Uplink"]

BYTES_PER_MEGABIT = 125_000
# The rest is for calls of the store, acknowledgements and the headers of packets.
PACED_SHARE = 0.9
# Credit that builds up while no body waits; it makes up for timers that fire late.
MAX_CREDIT_S = 0.02
MIN_WAIT_S = 0.001
# Headers of gRPC, HTTP/2, TCP and IP, which a small message has to itself.
MESSAGE_HEADER_BYTES = 5 + 9 + 32 + 20
# Other traffic is never held back. It is paid off over time, so that bodies keep a share of a link
# that other traffic fills.
MIN_BODY_SHARE = 0.15
# Bounds how long a burst of other traffic holds bodies back.
MAX_DEBT_S = 2.0


class PacedBody(Protocol):
    """A body whose chunks leave one grant at a time.

    :param number: place in the order of the bodies, from :meth:`Uplink.next_number`.
    """

    number: int

    def waiting_bytes(self) -> int:
        """Return the size of what has not left yet."""

    def grant(self) -> int:
        """Let one chunk leave and return its size in bytes; 0 when nothing is left to send."""


class Uplink:
    """Grants chunks to the bodies of all forward streams at the rate of the link.

    :param link_mbps: rate of the VM's link, in megabits per second; 0 when it is not known, then
        every chunk is granted at once.
    :param waited: takes the time that each chunk waited, in milliseconds.
    :param loop: its clock and timers are used; the running loop if not given.
    """

    def __init__(
        self,
        link_mbps: float = 0.0,
        waited: Callable[[float], None] = lambda waited_ms: None,
        loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        self._bytes_per_s = link_mbps * BYTES_PER_MEGABIT * PACED_SHARE
        self._waited = waited
        self._loop = loop
        self._credit_bytes = 0.0
        self._debt_bytes = 0.0
        self._credited_s = 0.0
        self._waiting: list[tuple[int, float, PacedBody]] = []
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    @property
    def is_paced(self) -> bool:
        """Whether chunks may have to wait."""
        return bool(self._bytes_per_s)

    def next_number(self) -> int:
        """Return the place of a new body in the order of the bodies."""
        self._last_number += 1
        return self._last_number

    def request(self, body: PacedBody) -> None:
        """Grant a chunk to a body when it is its turn.

        :param body: the body, which does not wait for a grant already.
        """
        if not self.is_paced:
            body.grant()
            return
        if self._is_closed:
            return
        heapq.heappush(self._waiting, (body.number, self._get_loop().time(), body))
        if self._timer is None:
            self._grant_due()

    def note_sent(self, size_bytes: int) -> None:
        """Take note of what left over the link without a grant.

        :param size_bytes: its size.
        """
        if self.is_paced:
            # What was earned before must not pay for what leaves only now.
            self._refill()
            limit_bytes = MAX_DEBT_S * self._bytes_per_s
            self._debt_bytes = min(limit_bytes, self._debt_bytes + size_bytes)

    def note_message(self, size_bytes: int) -> None:
        """Take note of a message that left without a grant on a stream between nodes.

        :param size_bytes: its size without headers.
        """
        self.note_sent(size_bytes + MESSAGE_HEADER_BYTES)

    def backlog_ms(self) -> float:
        """Return how long the bodies that wait for a grant occupy the link, in milliseconds."""
        if not self.is_paced:
            return 0.0
        waiting_bytes = sum(body.waiting_bytes() for _, _, body in self._waiting)
        if not waiting_bytes:
            return 0.0
        self._refill()
        ahead_bytes = waiting_bytes + self._debt_bytes - self._credit_bytes
        return max(0.0, ahead_bytes / self._bytes_per_s * 1000)

    def send_ms(self, size_bytes: int) -> float:
        """Return how long a body occupies the link, in milliseconds.

        :param size_bytes: its size.
        """
        return size_bytes / self._bytes_per_s * 1000 if self.is_paced else 0.0

    def close(self) -> None:
        """Grant nothing any more."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._waiting.clear()

    def _get_loop(self) -> asyncio.AbstractEventLoop:
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        return self._loop

    def _refill(self) -> None:
        now_s = self._get_loop().time()
        earned_bytes = (now_s - self._credited_s) * self._bytes_per_s
        paid_bytes = min(self._debt_bytes, (1.0 - MIN_BODY_SHARE) * earned_bytes)
        self._debt_bytes -= paid_bytes
        limit_bytes = MAX_CREDIT_S * self._bytes_per_s
        self._credit_bytes = min(limit_bytes, self._credit_bytes + earned_bytes - paid_bytes)
        self._credited_s = now_s

    def _grant_due(self) -> None:
        self._timer = None
        self._refill()
        while self._waiting and self._credit_bytes > 0:
            _, since_s, body = heapq.heappop(self._waiting)
            size_bytes = body.grant()
            self._credit_bytes -= size_bytes
            if size_bytes:
                self._waited((self._credited_s - since_s) * 1000)
        if self._waiting:
            self._timer = self._get_loop().call_later(self._wait_s(), self._grant_due)

    def _wait_s(self) -> float:
        """Return the time until bodies have credit again, while other traffic is paid off."""
        missing_bytes = -self._credit_bytes
        beside_debt_s = missing_bytes / (MIN_BODY_SHARE * self._bytes_per_s)
        after_debt_s = (missing_bytes + self._debt_bytes) / self._bytes_per_s
        return max(MIN_WAIT_S, min(beside_debt_s, after_debt_s))
