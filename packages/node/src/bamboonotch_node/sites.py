"""Sites of small JSON calls, with bounds on bodies, unread responses and connections.

The library writes a body that is large or has no length to a temporary file, without a bound. It
bounds neither connections nor what is written for a caller that sends requests without reading.
"""

from __future__ import annotations

import io
import resource
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from bamboonotch_core.effects import Report

__all__ = ["SiteBounds", "make_site"]

# Several times the largest call.
MAX_BODY_BYTES = 64 * 1024
# A caller that leaves this much of the responses before unread is not answered again.
MAX_UNSENT_BYTES = 64 * 1024
# Of the descriptors that the process may open, one site takes at most this part.
DESCRIPTOR_SHARE = 16
REFUSAL = b"HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass(frozen=True)
class SiteBounds:
    """Bounds of one site.

    :param name: name of the site in log lines.
    :param max_connections: connections at most.
    :param report: takes reports of connections that were closed or refused.
    """

    name: str = "site"
    max_connections: int = 32
    report: Callable[[Report], None] = lambda report: None

    @property
    def connection_limit(self) -> int:
        """Connections at most, with the descriptors that the process may open."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            return self.max_connections
        return max(1, min(self.max_connections, descriptors // DESCRIPTOR_SHARE))


class _BoundedChannel(HTTPChannel):  # type: ignore[misc]
    """A connection of a site, which may be closed for a new one."""

    site: _BoundedSite
    is_closing = False

    @property
    def unsent_bytes(self) -> int:
        """What was written and not taken by the operating system."""
        transport = self.transport
        held: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        return held

    @property
    def may_give_way(self) -> bool:
        """Whether no request waits for its response."""
        return not self.is_closing and not self._handlingRequest

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection."""
        super().connectionMade()
        self.site.connections[self] = None

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget the connection.

        :param reason: why.
        """
        self.site.connections.pop(self, None)
        super().connectionLost(reason)

    def allContentReceived(self) -> None:  # noqa: N802
        """Answer the request, unless the caller does not read."""
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self.site.report("site-connection-evicted", "unread")
            self.close_at_once()
            return
        # The connections are ordered by their last whole request.
        self.site.connections.pop(self, None)
        self.site.connections[self] = None
        super().allContentReceived()

    def close_at_once(self) -> None:
        """Close the connection without a response."""
        self.is_closing = True
        self.clearLineBuffer()
        self.transport.abortConnection()


class _BoundedSite(Site):  # type: ignore[misc]
    """A site whose connections are bounded; the least recently used gives way to a new one.

    :param root: the resource at ``/``.
    :param idle_timeout_s: how long a connection is kept without a request, in seconds.
    :param bounds: the bounds.
    """

    protocol = _BoundedChannel

    def __init__(self, root: Resource, idle_timeout_s: float, bounds: SiteBounds) -> None:
        super().__init__(root, requestFactory=_BoundedRequest, timeout=idle_timeout_s)
        self.connections: dict[_BoundedChannel, None] = {}
        self._bounds = bounds

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make a connection, in place of another one beyond the bound, or refuse it.

        :param addr: address of the caller.
        """
        limit = self._bounds.connection_limit
        if len(self.connections) >= limit and not self._replace_one(limit):
            self.report("site-connection-refused", "connections")
            return None
        return super().buildProtocol(addr)

    def _replace_one(self, limit: int) -> bool:
        # A closed connection keeps its descriptor until the reactor has run once more.
        if len(self.connections) >= limit + max(1, limit // 8):
            return False
        victim = next((item for item in self.connections if item.may_give_way), None)
        if victim is None:
            return False
        self.report("site-connection-evicted", "connections")
        victim.close_at_once()
        return True

    def report(self, name: str, reason: str) -> None:
        """Report that a connection was closed or refused.

        :param name: name of the report.
        :param reason: what is bounded.
        """
        fields = (("site", self._bounds.name), ("reason", reason))
        self._bounds.report(Report(name, (*fields, ("connections", len(self.connections)))))


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


def make_site(root: Resource, idle_timeout_s: float, bounds: SiteBounds | None = None) -> Site:
    """Build a site that logs no accesses.

    :param root: the resource at ``/``.
    :param idle_timeout_s: how long a connection is kept without a request, in seconds.
    :param bounds: the bounds on its connections.
    """
    site = _BoundedSite(root, idle_timeout_s, bounds or SiteBounds())
    site.noisy = False
    # Access log lines are not key=value pairs and cost time on every request.
    site.log = lambda request: None
    return site
