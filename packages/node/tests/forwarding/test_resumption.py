"""Responses whose stream is lost between their head and their end."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

from bamboonotch_core import request_events as events
from bamboonotch_node.forwarding import _client, _owner
from bamboonotch_testing.fault_proxy import Direction
from tests.forwarding.support import PathNode, PathTest, get
from tests.forwarding.test_forwarding import LARGE_BYTES, SlowReader

CHUNK = 16 * 1024
BODY = random.Random(26).randbytes(400_000)
READ_ALL = -1
SETTLE_S = 0.3


class PacedBackend(asyncio.Protocol):
    """A backend server that sends its one response as the test says."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.requests = 0
        self.asked: asyncio.Future[None] = loop.create_future()
        self.lost: asyncio.Future[None] = loop.create_future()
        self.chunked = False
        self._sent_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Count the request; it fits into one segment."""
        self.requests += 1
        self.asked.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.lost.set_result(None)

    def send_head(self, size_bytes: int | None) -> None:
        """Send the head.

        :param size_bytes: announced size of the body, or ``None`` for a body in chunks.
        """
        self.chunked = size_bytes is None
        framing = "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {size_bytes}"
        self.transport.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())

    def send(self, size_bytes: int) -> None:
        """Send the next bytes of ``BODY``."""
        data = BODY[self._sent_bytes : self._sent_bytes + size_bytes]
        self._sent_bytes += len(data)
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)

    def end(self) -> None:
        """End a body in chunks."""
        self.transport.write(b"0\r\n\r\n")


class Caller:
    """One request and its response, read as far as the test wants.

    :param node: the ingress.
    """

    def __init__(self, node: PathNode) -> None:
        self._node = node
        self.body = b""

    async def ask(self, headers: str = "") -> None:
        """Send the request."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._node.http_port, limit=len(BODY) * 2
        )
        self.send(f"GET /plans HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode())

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._writer.write(data)

    async def read_head(self) -> bytes:
        """Read the head of the response."""
        return await self._reader.readuntil(b"\r\n\r\n")

    async def read(self, size_bytes: int) -> None:
        """Read more of a body with a length."""
        self.body += await self._reader.readexactly(size_bytes)

    async def read_chunks(self, size_bytes: int = READ_ALL) -> None:
        """Read a body in chunks, up to a size or to its end."""
        while size_bytes == READ_ALL or len(self.body) < size_bytes:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            self.body += (await self._reader.readexactly(size + 2))[:-2]
            if size == 0:
                return

    def leave(self) -> None:
        """Break the connection."""
        self._writer.transport.abort()


class ResumptionTest(PathTest):
    """An ingress, a fault proxy, an owner and a backend server that the test paces."""

    async def start(self, **options: Any) -> None:
        """Start all parts and send the request up to the backend server."""
        self.backend = PacedBackend()
        server = await asyncio.get_running_loop().create_server(
            lambda: self.backend, "127.0.0.1", 0
        )
        self.closers.append(server.close)
        host, port = server.sockets[0].getsockname()
        self.owner = await self.start_node("owner", backend=f"{host}:{port}", **options)
        self.proxy = self.start_proxy(self.owner.peer_address)
        self.ingress = await self.start_node("ingress", **options)
        self.ingress.owner = ("owner", self.proxy.address)
        self.caller = Caller(self.ingress)
        await self.caller.ask()
        self.closers.append(self.caller.leave)
        await self.backend.asked

    async def wait_for_losses(self, count: int) -> None:
        """Wait until the ingress has noticed that streams were lost."""
        while True:
            names = [report.name for report in self.ingress.reports]
            if names.count("forward-stream-closed") >= count:
                return
            await asyncio.sleep(0.01)

    async def assert_complete(self) -> None:
        """Check that the response ended well everywhere, after one run."""
        finished = await self.ingress.wait_for(events.ResponseFinished)
        self.assertTrue(finished.complete)
        self.assertEqual(self.caller.body, BODY[: len(self.caller.body)])
        self.assertEqual(finished.size_bytes, len(self.caller.body))
        self.assertEqual(self.backend.requests, 1)
        self.assertEqual(len(self.owner.seen(events.WorkOffered)), 1)
        self.assertEqual(self.owner.seen(events.WorkCancelled), [])

    async def assert_broken(self) -> None:
        """Check that the caller sees a broken connection and no orderly end."""
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            if self.backend.chunked:
                await self.caller.read_chunks()
            else:
                await self.caller.read(len(BODY) - len(self.caller.body))
        finished = await self.ingress.wait_for(events.ResponseFinished)
        self.assertFalse(finished.complete)

    def for_both_faults(self, check: Any) -> None:
        """Run a check with a stream that is reset and with one that falls silent."""
        for fault in ("cut", "freeze"):
            with self.subTest(fault=fault):
                self.run_async(lambda fault=fault: check(lambda: getattr(self.proxy, fault)()))

    def test_lost_after_the_head(self) -> None:
        """Guards against an answer that is cut when its stream is lost right after the head."""

        async def check(fault: Any) -> None:
            await self.start()
            self.backend.send_head(len(BODY))
            await self.ingress.wait_for(events.OwnerResponded)
            fault()
            await self.wait_for_losses(1)
            self.backend.send(len(BODY))
            await self.caller.read_head()
            await self.caller.read(len(BODY))
            await self.assert_complete()

        self.for_both_faults(check)

    def test_lost_between_chunks(self) -> None:
        """Guards against an answer that is cut, or misses bytes, when its stream is lost."""

        async def check(fault: Any) -> None:
            await self.start()
            self.backend.send_head(len(BODY))
            self.backend.send(150_000)
            await self.caller.read_head()
            await self.caller.read(50_000)
            fault()
            self.backend.send(len(BODY))
            await self.caller.read(len(BODY) - 50_000)
            await self.assert_complete()

        self.for_both_faults(check)

    def test_lost_with_the_whole_answer_at_the_owner(self) -> None:
        """Guards against an answer of 90 KB that is cut though its backend server has ended."""

        async def check(fault: Any) -> None:
            await self.start()
            self.backend.send_head(90_000)
            self.backend.send(20_000)
            await self.caller.read_head()
            await self.caller.read(20_000)
            fault()
            self.backend.send(70_000)
            await self.owner.wait_for(events.BackendFinished)
            await self.caller.read(70_000)
            await self.assert_complete()

        self.for_both_faults(check)

    def test_lost_between_last_chunk_and_end(self) -> None:
        """Guards against an answer whose bytes have all arrived and that is cut all the same."""

        async def check(fault: Any) -> None:
            await self.start()
            self.backend.send_head(None)
            self.backend.send(100_000)
            await self.caller.read_head()
            await self.caller.read_chunks(100_000)
            fault()
            await self.wait_for_losses(1)
            self.backend.end()
            await self.caller.read_chunks()
            await self.assert_complete()
            self.assertEqual(len(self.caller.body), 100_000)

        self.for_both_faults(check)

    def test_lost_twice_with_a_slow_backend(self) -> None:
        """Guards against an answer that survives one lost stream but not the next."""

        async def check(fault: Any) -> None:
            await self.start()
            self.backend.send_head(len(BODY))
            await self.ingress.wait_for(events.OwnerResponded)
            for number in range(2):
                self.backend.send(CHUNK + number)
                if number == 0:
                    await self.caller.read_head()
                await self.caller.read(100)
                fault()
                await self.wait_for_losses(number + 1)
                await self.caller.read(CHUNK + number - 100)
            self.backend.send(len(BODY))
            await self.caller.read(len(BODY) - len(self.caller.body))
            await self.assert_complete()

        self.for_both_faults(check)

    def test_lost_again_before_the_answer_to_the_question(self) -> None:
        """Guards against an answer that is cut because the new stream is lost as well."""

        async def main() -> None:
            await self.start()
            self.backend.send_head(len(BODY))
            await self.ingress.wait_for(events.OwnerResponded)
            self.proxy.drop_after(Direction.TO_CLIENT, 20)
            self.proxy.cut()
            await self.wait_for_losses(3)
            self.proxy.clear()
            self.backend.send(len(BODY))
            await self.caller.read_head()
            await self.caller.read(len(BODY))
            await self.assert_complete()

        self.run_async(main)

    def test_large_answer_lost_before_its_head_arrived(self) -> None:
        """Guards against an answer over 16 KB that is lost because its head had left."""

        async def main() -> None:
            await self.start()
            self.proxy.freeze()
            self.backend.send_head(90_000)
            self.backend.send(90_000)
            await self.owner.wait_for(events.BackendFinished)
            await self.caller.read_head()
            await self.caller.read(90_000)
            await self.assert_complete()

        self.run_async(main)

    def test_lost_while_the_caller_does_not_read(self) -> None:
        """Guards against a window that is exceeded, and so broken off, after a resumption."""

        async def main() -> None:
            _, address = self.start_backend()
            owner = await self.start_node("owner", backend=address)
            proxy = self.start_proxy(owner.peer_address)
            ingress = await self.start_node("ingress")
            ingress.owner = ("owner", proxy.address)
            reader = SlowReader(f"/plans?size={LARGE_BYTES}")
            await asyncio.get_running_loop().create_connection(
                lambda: reader, "127.0.0.1", ingress.http_port
            )
            await reader.first
            before = None
            while before != proxy.bytes_passed[Direction.TO_CLIENT]:
                before = proxy.bytes_passed[Direction.TO_CLIENT]
                await asyncio.sleep(SETTLE_S)
            proxy.cut()
            while "response-resumed" not in [report.name for report in ingress.reports]:
                await asyncio.sleep(0.01)
            reader.transport.resume_reading()
            finished = await ingress.wait_for(events.ResponseFinished)
            self.assertEqual((finished.complete, finished.size_bytes), (True, LARGE_BYTES))
            self.assertEqual(proxy.connections, 2)
            reader.transport.abort()

        self.run_async(main)

    def test_many_answers_on_streams_that_break(self) -> None:
        """Guards against bytes that are missing, doubled or of another answer after a loss."""

        async def main() -> None:
            server, address = self.start_backend("uniform:0:20")
            owner = await self.start_node("owner", backend=address)
            proxy = self.start_proxy(owner.peer_address)
            ingress = await self.start_node("ingress")
            ingress.owner = ("owner", proxy.address)
            caller = self.start_caller(ingress.http_address)
            source = random.Random(2026)
            faults = {at: source.choice((proxy.cut, proxy.freeze)) for at in (10, 40, 70)}
            numbers = iter(range(90))
            records = []

            async def work() -> None:
                for number in numbers:
                    if number in faults:
                        faults[number]()
                    size = source.choice((500, 30_000, 90_000, 700_000))
                    records.append(await caller.send(get(f"resumed-{number}", f"/?size={size}")))

            await asyncio.gather(*(work() for _ in range(8)))
            self.assertEqual(len(records), 90)
            runs = Counter(run.request_id for run in server.state.runs)
            for record in records:
                if record.outcome == "not-run":
                    # The stream broke before anything of the request had left.
                    self.assertEqual(runs[record.call.request_id], 0, record)
                    continue
                self.assertEqual((record.status, record.error), (200, ""), record)
                self.assertTrue(record.complete and record.own_answer, record)
                self.assertEqual(runs[record.call.request_id], 1, record)

        self.run_async(main)

    def test_restarted_owner(self) -> None:
        """Guards against an answer that another process goes on with, or that looks complete."""
        for size_bytes in (len(BODY), None):
            with self.subTest(size_bytes=size_bytes):
                self.run_async(lambda size_bytes=size_bytes: self._check_restarted(size_bytes))

    async def _check_restarted(self, size_bytes: int | None) -> None:
        await self.start()
        self.backend.send_head(size_bytes)
        self.backend.send(100_000)
        await self.caller.read_head()
        port = self.owner.peer_port
        await self.owner.close()
        second = PathNode("owner", backend=self.owner.backend, incarnation=2)
        await second.start(port)
        self.closers.append(second.close)
        await self.assert_broken()
        self.assertEqual(second.seen(events.WorkOffered), [])

    def test_owner_that_is_gone(self) -> None:
        """Guards against a caller that waits for ever for the rest of an answer."""

        async def main() -> None:
            await self.start(fence_timeout_ms=300)
            self.backend.send_head(None)
            self.backend.send(100_000)
            await self.caller.read_head()
            await self.proxy.refuse()
            self.proxy.cut()
            await self.assert_broken()

        self.run_async(main)

    def test_caller_that_leaves_meanwhile(self) -> None:
        """Guards against work that goes on for a caller that left while its stream was lost."""

        async def main() -> None:
            await self.start()
            self.backend.send_head(len(BODY))
            await self.ingress.wait_for(events.OwnerResponded)
            await self.proxy.refuse()
            self.proxy.cut()
            await self.wait_for_losses(1)
            self.caller.leave()
            await self.ingress.wait_for(events.CallerGone)
            self.proxy.accept()
            await self.owner.wait_for(events.WorkCancelled)
            await self.backend.lost
            self.assertEqual(self.ingress.seen(events.ResponseFinished), [])

        self.run_async(main)

    def test_backend_that_breaks_off_meanwhile(self) -> None:
        """Guards against a body that looks complete though its backend server broke it off."""

        async def main() -> None:
            await self.start()
            self.backend.send_head(None)
            self.backend.send(100_000)
            await self.caller.read_head()
            self.proxy.freeze()
            self.backend.transport.abort()
            await self.assert_broken()

        self.run_async(main)

    def test_streams_that_are_lost_again_and_again(self) -> None:
        """Guards against an answer that is resumed without an end."""

        async def main() -> None:
            self.addCleanup(setattr, _client, "MAX_RESUMPTIONS", _client.MAX_RESUMPTIONS)
            _client.MAX_RESUMPTIONS = 1
            await self.start()
            self.backend.send_head(len(BODY))
            self.backend.send(50_000)
            await self.caller.read_head()
            await self.caller.read(10_000)
            self.proxy.cut()
            await self.wait_for_losses(1)
            self.backend.send(50_000)
            await self.caller.read(90_000)
            self.proxy.cut()
            await self.assert_broken()

        self.run_async(main)

    def test_kept_bytes_are_bounded(self) -> None:
        """Guards against kept responses that fill the memory, or a gap where they were dropped."""

        async def main() -> None:
            limit = _owner.MAX_KEPT_RESPONSE_BYTES
            self.addCleanup(setattr, _owner, "MAX_KEPT_RESPONSE_BYTES", limit)
            _owner.MAX_KEPT_RESPONSE_BYTES = CHUNK
            await self.start()
            self.backend.send_head(len(BODY))
            self.backend.send(100_000)
            await self.caller.read_head()
            self.proxy.freeze()
            self.backend.send(100_000)
            self.assertLessEqual(self.owner.path.owner.kept_bytes, CHUNK)
            await self.assert_broken()
            self.assertEqual(self.caller.body, BODY[: len(self.caller.body)])
            self.assertEqual(self.owner.path.owner.kept_bytes, 0)

        self.run_async(main)
