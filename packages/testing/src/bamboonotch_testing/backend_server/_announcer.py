"""Announces the stand-in backend server to the node beside it."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from twisted.internet.defer import succeed
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from bamboonotch_testing.backend_server._endpoints import AddressEndpoints
from bamboonotch_testing.backend_server._server import BackendServer

__all__ = ["Announcer", "MemoryBody"]

INTERVAL_S = 0.5


@implementer(IBodyProducer)
class MemoryBody:
    """A request body that is in memory.

    :param body: the body.
    """

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        """Write the body.

        :param consumer: the connection.
        """
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, because everything was written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because everything was written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, because everything was written."""


class Announcer:
    """Puts the announcement every 500 ms.

    :param reactor: the reactor.
    :param server: the server to announce.
    :param service: its service.
    :param address: ``ip:port`` where it takes requests.
    :param node_address: ``ip:port`` of the node's admin port.
    """

    def __init__(
        self, reactor: Any, server: BackendServer, service: str, address: str, node_address: str
    ) -> None:
        self._server = server
        self._service = service
        self._address = address
        self._url = f"http://{node_address}/v1/backend-server".encode("ascii")
        self._pool = HTTPConnectionPool(reactor)
        endpoints = AddressEndpoints(reactor, INTERVAL_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)
        self._timer: asyncio.TimerHandle | None = None
        self.last_status = 0

    def start(self) -> None:
        """Announce now and from now on."""
        self._timer = asyncio.get_running_loop().call_later(INTERVAL_S, self.start)
        document = {
            "service": self._service,
            "address": self._address,
            "slots": self._server.slots,
            "state": self._server.announced_state,
        }
        headers = Headers({b"Content-Type": [b"application/json"]})
        body = MemoryBody(json.dumps(document).encode("utf-8"))
        result = self._agent.request(b"PUT", self._url, headers, body)
        result.addCallbacks(self._answered, self._failed)

    def stop(self) -> None:
        """Announce no more."""
        if self._timer is not None:
            self._timer.cancel()
        self._pool.closeCachedConnections()

    def _answered(self, response: Any) -> None:
        self.last_status = response.code
        readBody(response).addBoth(lambda result: None)

    def _failed(self, failure: Any) -> None:
        self.last_status = 0
