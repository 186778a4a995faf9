"""HTTP client connections whose response heads are bounded.

The library bounds one line of a head, but neither their number nor interim responses.
"""

from __future__ import annotations

import re
from typing import Any

from twisted.web._newclient import HTTP11ClientProtocol

__all__ = ["MAX_HEAD_BYTES", "MAX_HEAD_LINES", "BoundedHeadProtocol"]

# Bytes and lines read until the head of a response is complete, interim responses included. A line
# takes far more memory than its bytes.
MAX_HEAD_BYTES = 256 * 1024
MAX_HEAD_LINES = 2000
HEAD_END = re.compile(rb"\n\r?\n")


class BoundedHeadProtocol(HTTP11ClientProtocol):  # type: ignore[misc]
    """A connection that is closed when the head of a response exceeds a bound.

    :param released: called with the connection when it may be used again.
    """

    def __init__(self, released: Any = lambda connection: None) -> None:
        super().__init__(released)
        self._is_in_head = False
        self._head_bytes = 0
        self._head_lines = 0
        self._head_tail = b""

    def request(self, request: Any) -> Any:
        """Send a request.

        :param request: Twisted's request.
        :returns: a ``Deferred`` of the response, called when its head is complete.
        """
        self._is_in_head = True
        self._head_bytes = self._head_lines = 0
        self._head_tail = b""
        return super().request(request).addCallback(self._end_head)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read, unless the head has no end.

        :param data: bytes of a response.
        """
        if self._is_in_head:
            self._head_bytes += len(data)
            self._head_lines += self._count_head_lines(data)
            if self._head_bytes > MAX_HEAD_BYTES or self._head_lines > MAX_HEAD_LINES:
                self.transport.abortConnection()
                return
        super().dataReceived(data)

    def _end_head(self, response: Any) -> Any:
        self._is_in_head = False
        return response

    def _count_head_lines(self, data: bytes) -> int:
        """Return how many lines of the present head end in the bytes just read."""
        # The end of the head may be divided between two reads.
        kept_bytes = len(self._head_tail)
        searched = self._head_tail + data
        self._head_tail = searched[-2:]
        end = HEAD_END.search(searched)
        return searched.count(b"\n", kept_bytes, len(searched) if end is None else end.end())
