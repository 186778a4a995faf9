"""A faulty backend server that writes bytes nobody asked for: copies, leftovers, endless data."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from bamboonotch_core.effects import Report
from bamboonotch_core.request_events import BackendResult
from bamboonotch_node.backend import BackendClient, CallerRequest, OfferedWork
from bamboonotch_node.clock import now_ms
from bamboonotch_node.dialect import OWN_DIALECT, HttpDialect
from bamboonotch_store.response_heads import MAX_HEAD_BYTES
from tests.backend.test_exchange import Receiver
from tests.forwarding.support import PathTest

ECHOING_DIALECT = HttpDialect(
    request_id=b"attempt-id",
    not_run=b"not-executed",
    not_run_values=frozenset(),
    not_run_status=0,
    misdirected_status=421,
    echoes_request_id=True,
)

Script = Callable[[int, int, bytes], "bytes | None"]
"""Returns what to write for a request, by the number of its connection and its number on it."""


def refusal(request_id: str, status: int = 503) -> bytes:
    """Return a refusal that names a request; without an id it names none."""
    name = f"Attempt-Id: {request_id}\r\n" if request_id else ""
    text = f"HTTP/1.1 {status} Refused\r\nNot-Executed: full\r\n{name}Content-Length: 0\r\n\r\n"
    return text.encode()


def answer(request_id: str) -> bytes:
    """Return a good answer."""
    text = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nContent-Length: 2\r\n\r\nok"
    return text.encode()


class _Server:
    """Answers each request by a script and counts what it wrote.

    :param script: what to write.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections: list[_ServerConnection] = []
        self.start_bytes = b""
        self.endless = b""
        self.written_bytes = 0

    async def start(self, case: PathTest) -> str:
        """Start listening and return ``ip:port``."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _ServerConnection(self), "127.0.0.1", 0)
        case.closers.append(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class _ServerConnection(asyncio.Protocol):
    def __init__(self, server: _Server) -> None:
        self.server = server
        self.number = len(server.connections)
        self.requests = 0
        self.closed = asyncio.get_running_loop().create_future()
        self._writable = asyncio.Event()
        self._writable.set()
        server.connections.append(self)

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.closed.set_result(None)
        self._writable.set()

    def pause_writing(self) -> None:
        """Stop the endless writer."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the endless writer go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Write what the script says; each request of these tests comes in one piece."""
        self.requests += 1
        written = self.server.script(self.number, self.requests, data)
        if written is None:
            self._task = asyncio.ensure_future(self._write_without_end())
        else:
            self.transport.write(written)

    async def _write_without_end(self) -> None:
        self.transport.write(self.server.start_bytes)
        while not self.closed.done():
            await self._writable.wait()
            self.transport.write(self.server.endless)
            self.server.written_bytes += len(self.server.endless)
            await asyncio.sleep(0)


class UnaskedBytesCase(PathTest):
    """Sends requests to a scripted backend server."""

    async def begin(self, script: Script, dialect: HttpDialect = ECHOING_DIALECT) -> _Server:
        """Start the server and the client."""
        from twisted.internet import reactor

        server = _Server(script)
        self.reports: list[Report] = []
        self.client = BackendClient(reactor, now_ms, lambda: 0, self.reports.append, dialect)
        self.client.address = await server.start(self)
        self.closers.append(self.client.close)
        return server

    async def send(self, request_id: str, idempotent: bool = False) -> tuple[Any, Receiver]:
        """Send a request and return its result and receiver."""
        receiver = Receiver()
        work = OfferedWork(
            attempt_id=f"{request_id}/1",
            service="orders",
            request_class="c",
            deadline_ms=now_ms() + 5000.0,
            idempotent=idempotent,
            idempotency_key="",
            attempt=0,
            request=CallerRequest(
                request_id=request_id,
                method="GET",
                path="/",
                headers=(("Host", "shop"), ("Attempt-Id", request_id)),
                body=b"",
            ),
        )
        exchange = self.client.prepare(work, receiver, lambda *end: receiver.on_result(*end), 0.0)
        exchange.start()
        return await receiver.result, receiver

    def check_results(
        self,
        script: Script,
        sends: Sequence[tuple[str, BackendResult]],
        connections: int,
        dialect: HttpDialect = ECHOING_DIALECT,
    ) -> None:
        """Send requests one after another and compare their results."""

        async def main() -> None:
            server = await self.begin(script, dialect)
            for request_id, expected in sends:
                result, _ = await self.send(request_id)
                self.assertIs(result, expected, request_id)
                # Lets what the server wrote behind a response arrive.
                await asyncio.sleep(0.02)
            self.assertEqual(len(server.connections), connections)

        self.run_async(main)


class RepeatedRefusalTest(UnaskedBytesCase):
    """An earlier refusal that is written once more (REFUSED, TWICE)."""

    def test_repeated_for_the_same_request(self) -> None:
        """Guards against "not run" for a request that runs, by the refusal of its first send."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return refusal("a") if connection == 0 else answer("a")

        self.check_results(
            script, [("a", BackendResult.NOT_RUN), ("a", BackendResult.DONE)], connections=2
        )

    def test_repeated_for_the_next_request(self) -> None:
        """Guards against "not run" by the refusal of another request."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return refusal("a") if connection == 0 else answer("c")

        self.check_results(
            script,
            [
                ("a", BackendResult.NOT_RUN),
                ("b", BackendResult.UNKNOWN),
                ("c", BackendResult.DONE),
            ],
            connections=2,
        )

    def test_without_an_id_on_a_used_connection(self) -> None:
        """Guards against a refusal as proof that may be that of any earlier request."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return answer("a") if number == 1 else refusal("")

        self.check_results(
            script, [("a", BackendResult.DONE), ("b", BackendResult.UNKNOWN)], connections=1
        )

    def test_without_an_id_on_a_new_connection(self) -> None:
        """Guards against "unknown" for a refusal that can only be of this request."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return refusal("")

        self.check_results(script, [("a", BackendResult.NOT_RUN)], connections=1)

    def test_misdirected_status_of_another_request(self) -> None:
        """Guards against a repeated 421, which also says "not run"."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return refusal("a", 421)

        self.check_results(
            script, [("a", BackendResult.NOT_RUN), ("b", BackendResult.UNKNOWN)], connections=1
        )

    def test_dialect_without_ids(self) -> None:
        """Guards against a repeated refusal where responses do not name their request."""
        refused = (
            b"HTTP/1.1 503 Refused\r\nBamboonotch-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
        )

        def script(connection: int, number: int, data: bytes) -> bytes:
            return refused if connection == 0 else answer("b")

        self.check_results(
            script,
            [("a", BackendResult.NOT_RUN), ("b", BackendResult.DONE)],
            connections=2,
            dialect=OWN_DIALECT,
        )


class LeftoverTest(UnaskedBytesCase):
    """Bytes behind a complete response."""

    def test_in_the_same_segment(self) -> None:
        """Guards against the reuse of a connection on which a second response came at once."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return answer("a") + answer("a") if connection == 0 else answer("b")

        self.check_results(
            script, [("a", BackendResult.DONE), ("b", BackendResult.DONE)], connections=2
        )

    def test_half_a_response_in_the_same_segment(self) -> None:
        """Guards against a leftover that joins the start of the next response."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return answer("a") + answer("a")[:20] if connection == 0 else answer("b")

        self.check_results(
            script, [("a", BackendResult.DONE), ("b", BackendResult.DONE)], connections=2
        )

    def test_later_while_the_connection_is_idle(self) -> None:
        """Guards against the late copy of an answer, which the next caller would get."""

        async def main() -> None:
            server = await self.begin(lambda connection, number, data: answer("a"))
            await self.send("a")
            server.connections[0].transport.write(answer("a"))
            await server.connections[0].closed
            self.assertIn("backend-sent-unasked-bytes", [item.name for item in self.reports])

        self.run_async(main)

    def test_late_copy_in_place_of_the_next_response(self) -> None:
        """Guards against the answer of one caller that another caller gets."""

        def script(connection: int, number: int, data: bytes) -> bytes:
            return answer("a") if connection == 0 else answer("c")

        self.check_results(
            script,
            [("a", BackendResult.DONE), ("b", BackendResult.UNKNOWN), ("c", BackendResult.DONE)],
            connections=2,
        )


class EndlessTest(UnaskedBytesCase):
    """Bytes without end, until this node closes the connection."""

    def check_endless(self, start: bytes, endless: bytes) -> None:
        """Check that the connection is closed after a bounded number of bytes."""

        async def main() -> None:
            server = await self.begin(lambda connection, number, data: None)
            server.start_bytes, server.endless = start, endless
            result, receiver = await self.send("a")
            self.assertIs(result, BackendResult.UNKNOWN)
            self.assertIsNone(receiver.head)
            await server.connections[0].closed
            # What the buffers of both sockets hold comes on top of what was read.
            self.assertLess(server.written_bytes, MAX_HEAD_BYTES + 8 * 1024 * 1024)

        self.run_async(main)

    def test_head_with_fields_without_end(self) -> None:
        """Guards against memory that grows with the fields of a head until the deadline."""
        self.check_endless(b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 1000)

    def test_interim_responses_without_end(self) -> None:
        """Guards against responses with status 100 that keep a slot until the deadline."""
        self.check_endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)

    def test_line_without_end(self) -> None:
        """Guards against a line that is kept until its end."""
        self.check_endless(b"", b"x" * 16_384)
