"""gRPC server for the streams that other nodes open."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

import grpc

from bamboonotch_node.channels import CHANNEL_OPTIONS
from bamboonotch_node.control._links import ControlLinks
from bamboonotch_wire.bamboonotch_pb2_grpc import NodeServicer, add_NodeServicer_to_server

__all__ = ["PeerServer"]

STOP_GRACE_S = 0.2


class _Servicer(NodeServicer):
    """Hands each stream to the part that owns it."""

    def __init__(self, links: ControlLinks, forward: Callable[[Any, Any], Awaitable[None]]) -> None:
        self._links = links
        self._forward = forward

    async def Control(self, request_iterator: Any, context: Any) -> None:  # noqa: N802
        """Serve one control stream."""
        del request_iterator
        await self._links.accept(context)

    async def Forward(self, request_iterator: Any, context: Any) -> None:  # noqa: N802
        """Serve one forward stream."""
        await self._forward(request_iterator, context)


class PeerServer:
    """Listens on the peer port.

    :param address: ``ip:port`` to bind.
    :param links: takes control streams.
    :param forward: takes forward streams.
    """

    def __init__(
        self,
        address: str,
        links: ControlLinks,
        forward: Callable[[Any, Any], Awaitable[None]],
    ) -> None:
        self._address = address
        # A port shared between two processes would split a node's streams among them.
        options = (*CHANNEL_OPTIONS, ("grpc.so_reuseport", 0))
        self._server = grpc.aio.server(options=options)
        add_NodeServicer_to_server(_Servicer(links, forward), self._server)

    async def __aenter__(self) -> PeerServer:
        self._server.add_insecure_port(self._address)
        await self._server.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._server.stop(STOP_GRACE_S)
