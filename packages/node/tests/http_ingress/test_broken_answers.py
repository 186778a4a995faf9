"""Complete answers on a connection that ends within a later one, or with a refusal."""

from __future__ import annotations

import asyncio
import re
import socket
from typing import Any
from unittest import mock

from bamboonotch_core import request_events as events
from bamboonotch_node.backend._holding import MAX_BUFFERING_S
from bamboonotch_node.clock import now_ms
from bamboonotch_node.http_ingress import _ending
from bamboonotch_node.http_ingress._eviction import ConnectionState
from tests.forwarding.support import PathTest

TARGET = re.compile(rb"^GET /(\w+)/(\d+) ")
SENT_BYTES = 2000
LARGE_BYTES = 1_500_000


def request(kind: str, size_bytes: int, version: str = "1.1") -> bytes:
    """Return a request whose answer is ``whole``, or ``cut`` short of its length or chunks."""
    return f"GET /{kind}/{size_bytes} HTTP/{version}\r\nHost: a\r\n\r\n".encode()


class _Backend(asyncio.Protocol):
    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a request whole, or in part."""
        found = TARGET.match(data)
        assert found is not None
        kind, size_bytes = found[1], int(found[2])
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size_bytes
        if kind == b"whole":
            self.transport.write(head + b"x" * size_bytes)
            return
        if kind == b"chunked":
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            self.transport.write(head + b"%x\r\n" % SENT_BYTES + b"x" * SENT_BYTES + b"\r\n")
        else:
            self.transport.write(head + b"x" * SENT_BYTES)
        # By then the node passes on what it has buffered.
        asyncio.get_running_loop().call_later(MAX_BUFFERING_S + 0.1, self.transport.close)


class BrokenAnswerTest(PathTest):
    """One connection to a node that is its own owner and holds work until the test releases it."""

    async def begin(self, receive_bytes: int = 0) -> None:
        """Start a node and a backend server, and connect.

        :param receive_bytes: size of the caller's receive buffer; 0 for the usual one.
        """
        server = await asyncio.get_running_loop().create_server(_Backend, "127.0.0.1", 0)
        self.closers.append(server.close)
        port = server.sockets[0].getsockname()[1]
        self.node = await self.start_node("node", backend=f"127.0.0.1:{port}")
        self.node.hold_work = True
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.connect(("127.0.0.1", self.node.http_port))
        connection.setblocking(False)
        # A small limit keeps the reader from taking more from the socket than the test reads.
        self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=4096)
        self.closers.append(self.writer.close)

    async def offered(self, count: int) -> list[Any]:
        """Wait until requests have reached the owner, and return them in the order of arrival."""
        await self.node.wait_for(events.WorkOffered, count)
        return self.node.seen(events.WorkOffered)

    def release(self, *works: Any) -> None:
        """Let the backend server run requests."""
        for work in works:
            for effect in self.node.release_work(work.attempt_id):
                self.node.path.carry_out(effect)

    async def read_whole(self, size_bytes: int) -> None:
        """Read a response whose body has a size."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"Content-Length: %d\r\n" % size_bytes, head)
        self.assertEqual(len(await self.reader.readexactly(size_bytes)), size_bytes)

    async def break_off_behind(self, size_bytes: int, behind: bytes = b"") -> None:
        """Let the answer behind a complete one break off while the complete one is held back."""
        self.writer.write(request("whole", size_bytes) + request("cut", 90_000) + behind)
        first, second = (await self.offered(2))[:2]
        self.release(second)
        await self.node.wait_for(events.ResponseFinished, 1)
        self.release(first)

    def test_complete_answer_before_it(self) -> None:
        """Guards against an answer that is discarded when the one behind it breaks off."""

        async def main() -> None:
            await self.begin()
            await self.break_off_behind(500)
            await self.read_whole(500)
            rest = await self.reader.read()
            self.assertIn(b"Content-Length: 90000\r\n", rest)
            self.assertLess(len(rest), 90_000)

        self.run_async(main)

    def test_complete_answer_that_is_read_slowly(self) -> None:
        """Guards against an answer that is cut because its caller's socket is full."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            await self.break_off_behind(LARGE_BYTES)
            await asyncio.sleep(0.3)
            await self.read_whole(LARGE_BYTES)

        self.run_async(main)

    def test_input_behind_it(self) -> None:
        """Guards against an answer that is lost because the caller has sent more meanwhile."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            body = b"POST /whole/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"
            await self.break_off_behind(LARGE_BYTES, body + b"y" * 300_000)
            await asyncio.sleep(0.3)
            await self.read_whole(LARGE_BYTES)

        self.run_async(main)

    def test_requests_behind_it(self) -> None:
        """Guards against work that goes on for requests that can never be answered."""

        async def main() -> None:
            await self.begin()
            await self.break_off_behind(500, request("whole", 30))
            await self.node.wait_for(events.CallerGone, 1)
            await self.read_whole(500)

        self.run_async(main)

    def test_answer_without_length_or_chunks(self) -> None:
        """Guards against an orderly end that is taken for the end of the body."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request("chunked", 0, version="1.0"))
            self.release(*await self.offered(1))
            with self.assertRaises(ConnectionResetError):
                while await self.reader.read(1000):
                    pass

        self.run_async(main)

    def test_answer_in_chunks(self) -> None:
        """Guards against chunks that end as if the body was whole."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request("whole", 500) + request("chunked", 0))
            self.release(*await self.offered(2))
            await self.read_whole(500)
            received = await self.reader.read()
            self.assertIn(b"x" * SENT_BYTES, received)
            self.assertFalse(received.endswith(b"0\r\n\r\n"))

        self.run_async(main)

    def test_answer_alone(self) -> None:
        """Guards against a broken answer that a caller takes for whole who counts no bytes."""

        async def main() -> None:
            await self.begin()
            for kind in ("cut", "chunked"):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.node.http_port)
                self.closers.append(writer.close)
                before = len(self.node.seen(events.WorkOffered))
                writer.write(request(kind, 90_000))
                self.release((await self.offered(before + 1))[before])
                with self.assertRaises(ConnectionResetError):
                    while await reader.read(1000):
                        pass

        self.run_async(main)

    def test_request_behind_an_unread_answer(self) -> None:
        """Guards against a caller that sends ahead and whose earlier answer is done, not read."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            self.writer.write(request("whole", LARGE_BYTES))
            self.release(*await self.offered(1))
            await self.node.wait_for(events.ResponseFinished, 1)
            self.writer.write(request("cut", 90_000))
            self.release((await self.offered(2))[1])
            await self.node.wait_for(events.ResponseFinished, 2)
            await self.read_whole(LARGE_BYTES)
            self.assertIn(b"Content-Length: 90000\r\n", await self.reader.read())

        self.run_async(main)

    def test_refusal_behind_an_answer_that_is_read_slowly(self) -> None:
        """Guards against an answer that is cut some time after a refusal behind it."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            self.writer.write(request("whole", LARGE_BYTES) + b"no request\r\n\r\n")
            self.release(*await self.offered(1))
            head = await self.reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            received = 0
            while received < LARGE_BYTES:
                received += len(await self.reader.readexactly(min(50_000, LARGE_BYTES - received)))
                await asyncio.sleep(0.04)
            self.assertIn(b"400 ", await self.reader.readuntil(b"\r\n\r\n"))

        with mock.patch.object(_ending, "LINGER_S", 0.3):
            self.run_async(main)

    def test_caller_that_reads_nothing(self) -> None:
        """Guards against a connection that stays open for a caller that does not read."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            await self.break_off_behind(LARGE_BYTES)
            channels = self.node.path.ingress.factory.connections
            while channels:
                await asyncio.sleep(0.05)

        with mock.patch.object(_ending, "LINGER_S", 0.2):
            self.run_async(main)

    def test_answer_that_waits_does_not_give_way(self) -> None:
        """Guards against an answer that is discarded for a new connection."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            self.writer.write(request("whole", LARGE_BYTES) + b"no request\r\n\r\n")
            self.release(*await self.offered(1))
            (channel,) = self.node.path.ingress.factory.connections
            # The complete answer is longer than what the caller's system takes.
            while not channel.transport._writeDisconnecting:
                await asyncio.sleep(0.02)
            self.assertIsNot(channel.state(now_ms()), ConnectionState.REFUSED)

        self.run_async(main)

    def test_end_of_the_process(self) -> None:
        """Guards against an answer that is discarded because the next request is unanswered."""

        async def main() -> None:
            await self.begin(receive_bytes=8192)
            self.writer.write(request("whole", 100_000) + request("whole", 20))
            first, _ = await self.offered(2)
            self.release(first)
            await self.node.wait_for(events.ResponseFinished, 1)
            closing = asyncio.ensure_future(self.node.path.ingress.close())
            await self.read_whole(100_000)
            with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
                await self.reader.readexactly(1)
            await closing

        self.run_async(main)
