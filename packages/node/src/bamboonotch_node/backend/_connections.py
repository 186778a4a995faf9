"""Bounded pool of HTTP/1.1 connections to the local backend server."""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.web.client import HTTPConnectionPool

__all__ = ["BackendConnections"]

CONNECT_TIMEOUT_S = 1.0
# Below the idle timeouts usual in HTTP servers (5 s and up), so that a pooled connection is
# seldom closed by the server at the moment of its next use.
IDLE_TIMEOUT_S = 4.0
MAX_IDLE_CONNECTIONS = 256


def _is_open(connection: Any) -> bool:
    """Tell whether the peer has neither closed an idle connection nor sent bytes on it.

    The reactor may not have seen the end of the stream yet.

    :param connection: an ``HTTP11ClientProtocol`` that carries no request.
    """
    handle = connection.transport.getHandle()
    try:
        handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class BackendConnections:
    """Hands out connections, each for one request at a time.

    :param reactor: the reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = self._make_pool()
        self._endpoints: dict[str, Any] = {}

    def _make_pool(self) -> Any:
        pool = HTTPConnectionPool(self._reactor, persistent=True)
        # The library would send a request a second time when a pooled connection dies.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        return pool

    def _endpoint(self, address: str) -> Any:
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            host, _, port = address.rpartition(":")
            numeric = host.replace(".", "").isdigit()
            kind = TCP4ClientEndpoint if numeric else HostnameEndpoint
            endpoint = kind(self._reactor, host, int(port), timeout=CONNECT_TIMEOUT_S)
            # A backend server has one address at a time.
            self._endpoints = {address: endpoint}
        return endpoint

    def acquire(self, address: str) -> Any:
        """Return a ``Deferred`` of an open connection, from the pool or new.

        It fails when a new connection cannot be opened; nothing was written then.

        :param address: ``ip:port`` of the backend server.
        """
        result = self._pool.getConnection(address, self._endpoint(address))
        return result.addCallback(self._check_open, address)

    def _check_open(self, connection: Any, address: str) -> Any:
        if _is_open(connection):
            return connection
        connection.transport.abortConnection()
        return self.acquire(address)

    def drop_idle(self) -> None:
        """Close the idle connections, because one of them was found dead."""
        pool, self._pool = self._pool, self._make_pool()
        pool.closeCachedConnections()

    def close(self) -> None:
        """Close the idle connections and cancel their timers."""
        self._pool.closeCachedConnections()
