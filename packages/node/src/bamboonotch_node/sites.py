"""Sites of small JSON calls, whose request bodies are bounded and stay in memory.

The library writes a body that is large or has no length to a temporary file, without a bound.
"""

from __future__ import annotations

import io

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

__all__ = ["make_site"]

# Several times the largest call.
MAX_BODY_BYTES = 64 * 1024
REFUSAL = b"HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class _BoundedRequest(Request):  # type: ignore[misc]
    """A request whose connection is closed when its body exceeds the bound."""

    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to take the body.

        :param length: its announced length in bytes, or ``None``.
        """
        self.content = io.BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body.

        :param data: the piece.
        """
        if self._refused:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._refuse()
            return
        self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hand the whole request on, unless it was refused.

        :param command: the method.
        :param path: the request target.
        :param version: the version of HTTP.
        """
        if not self._refused:
            super().requestReceived(command, path, version)

    def _refuse(self) -> None:
        self._refused = True
        self.content = io.BytesIO()
        self.channel.transport.write(REFUSAL)
        self.channel.loseConnection()


def make_site(root: Resource, idle_timeout_s: float) -> Site:
    """Build a site that logs no accesses.

    :param root: the resource at ``/``.
    :param idle_timeout_s: how long a connection is kept without a request, in seconds.
    """
    site = Site(root, requestFactory=_BoundedRequest, timeout=idle_timeout_s)
    site.noisy = False
    # Access log lines are not key=value pairs and cost time on every request.
    site.log = lambda request: None
    return site
