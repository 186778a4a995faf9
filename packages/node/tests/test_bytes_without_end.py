"""Bodies that a backend server or a caller sends without end.

Pattern: bytes that are no answer, or belong to no length, come until the other side closes. What a
node holds of them must stay within the windows of the attempt and the buffers of the connections.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from bamboonotch_core import request_events as events
from tests.forwarding.support import PathNode, PathTest
from tests.forwarding.test_forwarding import SlowReader

PIECE = b"x" * 16_384
# Buffers of the connections from the backend server to the caller, and the windows between nodes.
MAX_HELD_BYTES = 32 * 1024 * 1024
SETTLE_S = 0.3
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


class EndlessBackend(asyncio.Protocol):
    """Answers each request with a body without end.

    :param head: head of the response.
    :param piece: what is sent again and again.
    """

    def __init__(self, head: bytes, piece: bytes) -> None:
        self._head = head
        self._piece = piece
        self.sent_bytes = 0
        self.max_bytes: int | None = None
        self.lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._may_write = False

    def connection_made(self, transport: Any) -> None:
        """Keep the connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Begin the body."""
        if not self._may_write:
            self.transport.write(self._head)
            self._may_write = True
            self._send()

    def pause_writing(self) -> None:
        """Wait for the reader."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Go on."""
        self._may_write = True
        self._send()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self._may_write = False
        self.lost.set_result(None)

    def _send(self) -> None:
        if self._may_write and (self.max_bytes is None or self.sent_bytes < self.max_bytes):
            self.sent_bytes += len(self._piece)
            self.transport.write(self._piece)
            asyncio.get_running_loop().call_soon(self._send)


class EndlessBodyTest(PathTest):
    """An ingress node, an owner and a backend server whose body has no end."""

    async def start(self, head: bytes, piece: bytes) -> tuple[EndlessBackend, PathNode]:
        """Start the parts and return the backend server and the ingress node."""
        backend = EndlessBackend(head, piece)
        server = await asyncio.get_running_loop().create_server(lambda: backend, "127.0.0.1", 0)
        self.closers.append(server.close)
        host, port = server.sockets[0].getsockname()
        owner = await self.start_node("owner", backend=f"{host}:{port}")
        ingress = await self.start_node("ingress")
        ingress.owner = ("owner", owner.peer_address)
        return backend, ingress

    async def check(self, head: bytes, piece: bytes) -> None:
        """Check that a caller that does not read bounds the body, and that its end ends it."""
        backend, ingress = await self.start(head, piece)
        caller = SlowReader("/a")
        await asyncio.get_running_loop().create_connection(
            lambda: caller, "127.0.0.1", ingress.http_port
        )
        await caller.first
        before = -1
        while backend.sent_bytes != before:
            before = backend.sent_bytes
            await asyncio.sleep(SETTLE_S)
        self.assertLess(backend.sent_bytes, MAX_HELD_BYTES)
        caller.transport.abort()
        await ingress.wait_for(events.CallerGone)
        await backend.lost

    def test_chunks_without_end(self) -> None:
        """Guards against memory that grows with a chunked body until the deadline."""
        piece = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
        self.run_async(lambda: self.check(CHUNKED, piece))

    def test_body_without_length_or_end(self) -> None:
        """Guards against memory that grows with a body that only the connection would end."""
        self.run_async(lambda: self.check(UNFRAMED, PIECE))

    def test_length_that_nobody_can_hold(self) -> None:
        """Guards against memory that is kept for a length without a bound."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % 10**15
        self.run_async(lambda: self.check(head, PIECE))


class EndlessCallerTest(PathTest):
    """A caller whose request has no end."""

    def test_body_without_end(self) -> None:
        """Guards against memory that grows with the body of one request."""

        async def main() -> None:
            _, address = self.start_backend("0")
            node = await self.start_node("owner", backend=address, max_body_bytes=100_000)
            reader, writer = await asyncio.open_connection("127.0.0.1", node.http_port)
            writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
            sent_bytes = 0
            try:
                while sent_bytes < MAX_HELD_BYTES:
                    writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
                    sent_bytes += len(PIECE)
                    await asyncio.wait_for(writer.drain(), 5.0)
                    await asyncio.sleep(0)
                    if node.reports:
                        break
            except ConnectionError:
                pass
            self.assertIn(b" 413 ", await reader.readline())
            self.assertEqual(node.seen(events.RequestArrived), [])
            writer.close()

        self.run_async(main)


if __name__ == "__main__":
    unittest.main()
