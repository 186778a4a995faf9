"""Endpoints for addresses that need no name resolution."""

from __future__ import annotations

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

__all__ = ["AddressEndpoints"]


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Connects an ``Agent`` to IP addresses.

    The library's own endpoints resolve even IP addresses in threads, which keep a process from
    ending.

    :param reactor: the reactor.
    :param timeout_s: longest wait for a connection, in seconds.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the endpoint of a URI.

        :param uri: the URI, with an IP address as its host.
        """
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)
