"""Bytes that come in very many small pieces.

Pattern: each chunk or header is a few bytes long, and an object of its own in memory, so that
limits on bytes alone allow many times the memory that they name.
"""

from __future__ import annotations

import asyncio
import itertools
import tracemalloc
import unittest
from typing import Any

from bamboonotch_core import request_events as events
from bamboonotch_store.response_heads import MAX_HEAD_BYTES
from tests.forwarding.support import PathNode, PathTest
from tests.test_bytes_without_end import EndlessBackend

SMALL_CHUNKS = b"2\r\nxx\r\n" * 1024
BODY_BYTES = 64 * 1024
SETTLE_S = 0.3
# Buffers of the connections, and what the library reads at once.
MAX_REQUEST_MEMORY_BYTES = 12 * BODY_BYTES
MAX_MEMORY_BYTES = 2 * 1024 * 1024


class SmallPiecesTest(PathTest):
    """Memory of one process, of which the nodes are the largest part."""

    def setUp(self) -> None:
        """Trace what is allocated from now on."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def start(self, backend: EndlessBackend) -> PathNode:
        """Start a node before a backend server."""
        server = await asyncio.get_running_loop().create_server(lambda: backend, "127.0.0.1", 0)
        self.closers.append(server.close)
        host, port = server.sockets[0].getsockname()
        return await self.start_node("owner", backend=f"{host}:{port}")

    def begin(self) -> None:
        """Measure the peak from now on."""
        tracemalloc.reset_peak()
        self._before_bytes = tracemalloc.get_traced_memory()[0]

    def peak_bytes(self) -> int:
        """Return how much more was held at most, in bytes."""
        return tracemalloc.get_traced_memory()[1] - self._before_bytes

    def test_small_chunks_of_a_request(self) -> None:
        """Guards against a request whose small chunks take many times its size in memory."""

        async def main() -> None:
            node = await self.start_node("owner", backend="127.0.0.1:1")
            _, writer = await asyncio.open_connection("127.0.0.1", node.http_port)
            self.begin()
            writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(BODY_BYTES // 2048):
                writer.write(SMALL_CHUNKS)
                await writer.drain()
            while node.path.ingress._body_bytes < BODY_BYTES:
                await asyncio.sleep(0.01)
            self.assertLess(self.peak_bytes(), MAX_REQUEST_MEMORY_BYTES)
            writer.close()

        self.run_async(main)

    def test_small_chunks_of_a_response_that_waits(self) -> None:
        """Guards against a response whose small chunks take many times its size in memory.

        It waits for its turn behind a response to an earlier request of its connection.
        """

        async def main() -> None:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            backend = EndlessBackend(head, SMALL_CHUNKS)
            backend.max_bytes = 1024 * 1024
            node = await self.start(backend)
            node.path.backend.prepare = _hold_first(node.path.backend.prepare)
            _, writer = await asyncio.open_connection("127.0.0.1", node.http_port)
            self.begin()
            writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
            await node.wait_for(events.OwnerResponded)
            before = -1
            while backend.sent_bytes != before:
                before = backend.sent_bytes
                await asyncio.sleep(SETTLE_S)
            self.assertLess(self.peak_bytes(), MAX_MEMORY_BYTES)
            writer.close()

        self.run_async(main)

    def test_many_headers_of_a_response(self) -> None:
        """Guards against a head within its bytes whose many headers take much more memory."""

        async def main() -> None:
            lines = b"".join(b"%x:\r\n" % number for number in range(MAX_HEAD_BYTES // 8))
            backend = EndlessBackend(b"HTTP/1.1 200 OK\r\n" + lines, b"a:\r\n" * 1024)
            node = await self.start(backend)
            _, writer = await asyncio.open_connection("127.0.0.1", node.http_port)
            self.begin()
            writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            await backend.lost
            self.assertLess(self.peak_bytes(), MAX_MEMORY_BYTES)
            writer.close()

        self.run_async(main)


def _hold_first(prepare: Any) -> Any:
    """Return a function that prepares exchanges of which the first one is never started."""
    numbers = itertools.count()

    def prepare_or_hold(*args: Any, **options: Any) -> Any:
        exchange = prepare(*args, **options)
        if next(numbers) == 0:
            exchange.start = lambda: None
        return exchange

    return prepare_or_hold


if __name__ == "__main__":
    unittest.main()
