"""Responses that the backend server breaks off: at every byte of a head, and within bodies.

The caller sees the response through the whole request path of a node that is its own owner.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from typing import Any

from bamboonotch_node.backend._holding import MAX_BUFFERED_BYTES
from bamboonotch_node.dialect import HttpDialect
from tests.forwarding.support import PathTest

# Trusts a body that ends with its connection, so that a cut is hard to tell from the end.
TRUSTING_DIALECT = HttpDialect(
    request_id=b"attempt-id",
    not_run=b"not-executed",
    not_run_values=frozenset(),
    not_run_status=0,
    misdirected_status=421,
    proof=b"response-signature",
    echoes_request_id=True,
    trusts_close=True,
)
CLOSE, RESET = "close", "reset"
BODY = b"0123456789ab" + b"x" * 1222
# Stands for the id of the request in an answer; ids have its length.
ID_PLACE = b"@@@@@@"
PROOF = b"Attempt-Id: " + ID_PLACE + b"\r\nResponse-Signature: 3e1b.07\r\n"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\n" + PROOF + b"Content-Length: 1234\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n" + PROOF + b"\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n" + PROOF + b"Transfer-Encoding: chunked\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n" + PROOF + b"Connection: close\r\n\r\n",
    "folded": b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + PROOF + b"Content-Length: 1234\r\n\r\n",
    "line feeds": (b"HTTP/1.1 200 OK\n" + PROOF + b"Content-Length: 1234\n\n").replace(
        b"\r\n", b"\n"
    ),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
CHUNKS = b"5\r\n01234\r\n7;a=b\r\n56789ab\r\n4c6\r\n" + b"x" * 1222 + b"\r\n0\r\nT: u\r\n\r\n"
RESET_DELAY_S = 0.003
MAX_TRIES = 50


class _CuttingConnection(asyncio.Protocol):
    def __init__(self, server: CuttingServer) -> None:
        self.server = server
        self.requests = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer whole, or write the cut answer and end the connection."""
        self.requests += 1
        request_id = re.search(rb"attempt-id: (\S+)", data, re.IGNORECASE)
        assert request_id is not None
        server = self.server
        if server.on_reuse and (not server.cutting or self.requests == 1):
            self.transport.write(HEADS["length"].replace(ID_PLACE, request_id[1]) + BODY)
            return
        if server.on_reuse:
            server.reused_connections += 1
        self.transport.write(server.answer.replace(ID_PLACE, request_id[1])[: server.cut])
        if server.ending == CLOSE:
            self.transport.close()
        else:
            asyncio.get_running_loop().call_later(RESET_DELAY_S, self._reset)

    def _reset(self) -> None:
        handle = self.transport.get_extra_info("socket")
        if handle is not None and handle.fileno() >= 0:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class CuttingServer:
    """Breaks off answers, if wanted only those on connections that have carried a whole one."""

    def __init__(self) -> None:
        self.answer = b""
        self.cut = 0
        self.ending = CLOSE
        self.on_reuse = False
        self.cutting = False
        self.reused_connections = 0

    async def start(self, case: PathTest) -> str:
        """Start listening and return ``ip:port``."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _CuttingConnection(self), "127.0.0.1", 0)
        case.closers.append(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def is_whole(received: bytes, was_reset: bool) -> bool:
    """Tell whether a caller takes what it received for a complete response.

    :param was_reset: whether its connection was reset behind that.
    """
    head, blank, body = received.partition(b"\r\n\r\n")
    if not blank:
        return False
    length = re.search(rb"\r\ncontent-length: (\d+)", head, re.IGNORECASE)
    if length is not None:
        return len(body) >= int(length[1])
    if re.search(rb"\r\ntransfer-encoding: chunked", head, re.IGNORECASE):
        return body.endswith(b"0\r\n\r\n")
    return not was_reset


class CutResponseTest(PathTest):
    """A caller never takes a response that was broken off for a whole one."""

    async def begin(self) -> None:
        """Start the backend server and the node."""
        self.server = CuttingServer()
        address = await self.server.start(self)
        self.node = await self.start_node("node", backend=address, dialect=TRUSTING_DIALECT)
        self.sent = 0

    async def call(self, version: bytes = b"1.1") -> bytes:
        """Send a request on a connection of its own and return everything received."""
        self.sent += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.http_port)
        writer.write(
            b"POST / HTTP/%b\r\nHost: a\r\nAttempt-Id: r%05d\r\nContent-Length: 0\r\n"
            b"Connection: close\r\n\r\n" % (version, self.sent)
        )
        received = b""
        self.was_reset = False
        try:
            while data := await reader.read(65536):
                received += data
        except ConnectionResetError:
            self.was_reset = True
        writer.close()
        return received

    async def cut(self, answer: bytes, cut: int, ending: str) -> bytes:
        """Break an answer off and return what the caller received."""
        server = self.server
        server.answer, server.cut, server.ending = answer, cut, ending
        if not server.on_reuse:
            return await self.call()
        # The node opens a new connection when a kept one has rested for long.
        for _ in range(MAX_TRIES):
            server.cutting = False
            self.assertIn(b"HTTP/1.1 200", await self.call())
            server.cutting, reused = True, server.reused_connections
            received = await self.call()
            if server.reused_connections > reused:
                return received
        raise AssertionError("no connection was used again")

    def assert_unknown(self, received: bytes) -> None:
        """Check the node's own answer: it may have run."""
        head = received.partition(b"\r\n\r\n")[0]
        self.assertTrue(head.startswith(b"HTTP/1.1 502 "), received[:300])
        self.assertIn(b"Bamboonotch-Outcome: unknown", head)
        self.assertNotIn(b"Response-Signature", head)

    async def cut_everywhere(self, answer: bytes, until: int, endings: tuple[str, ...]) -> None:
        """Break an answer off before each of its first bytes."""
        for ending in endings:
            for cut in range(until):
                with self.subTest(ending=ending, sent=answer[:cut][-40:]):
                    self.assert_unknown(await self.cut(answer, cut, ending))

    def test_heads(self) -> None:
        """Guards against a head without its end that is passed on as a complete response."""

        async def main() -> None:
            await self.begin()
            for head in HEADS.values():
                await self.cut_everywhere(head, len(head), (CLOSE,))

        self.run_async(main)

    def test_heads_before_a_reset(self) -> None:
        """Guards against a head that is taken for complete because its connection was reset."""

        async def main() -> None:
            await self.begin()
            for name in ("length", "chunked", "no length"):
                await self.cut_everywhere(HEADS[name], len(HEADS[name]), (RESET,))

        self.run_async(main)

    def test_heads_after_an_interim_response(self) -> None:
        """Guards against the end of an interim response that is taken for that of the head."""

        async def main() -> None:
            await self.begin()
            for name in ("length", "no length"):
                answer = INTERIM + HEADS[name]
                await self.cut_everywhere(answer, len(answer), (CLOSE,))
            await self.cut_everywhere(INTERIM + INTERIM, len(INTERIM + INTERIM), (CLOSE, RESET))

        self.run_async(main)

    def test_heads_on_a_connection_in_use_again(self) -> None:
        """Guards against a cut head that is completed with what an earlier answer had left."""

        async def main() -> None:
            await self.begin()
            self.server.on_reuse = True
            for name in ("length", "no length"):
                await self.cut_everywhere(HEADS[name], len(HEADS[name]), (CLOSE, RESET))
            self.assertGreater(self.server.reused_connections, 100)

        self.run_async(main)

    def test_short_bodies(self) -> None:
        """Guards against a body that is cut at the end of a chunk, or short of its length."""

        async def main() -> None:
            await self.begin()
            head = len(HEADS["length"])
            for ending in (CLOSE, RESET):
                for cut in (0, 1, 12, 123, 1233):
                    with self.subTest(ending=ending, cut=cut):
                        answer = HEADS["length"] + BODY
                        self.assert_unknown(await self.cut(answer, head + cut, ending))
                chunked = HEADS["chunked"]
                for cut in range(len(CHUNKS)):
                    if 40 < cut < len(CHUNKS) - 20:
                        continue
                    with self.subTest(ending=ending, chunks=CHUNKS[:cut][-20:]):
                        answer = chunked + CHUNKS
                        self.assert_unknown(await self.cut(answer, len(chunked) + cut, ending))

        self.run_async(main)

    def test_body_without_a_length(self) -> None:
        """Guards against a reset that counts as the end of a body without a length."""

        async def main() -> None:
            await self.begin()
            answer = HEADS["no length"] + BODY
            for cut in (len(HEADS["no length"]), len(answer) - 1, len(answer)):
                self.assert_unknown(await self.cut(answer, cut, RESET))
            received = await self.cut(answer, len(answer), CLOSE)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 ") and received.endswith(BODY))

        self.run_async(main)

    def test_long_bodies(self) -> None:
        """Guards against a long body that is cut when its start has left, and looks complete."""

        async def main() -> None:
            await self.begin()
            size_bytes = 2 * MAX_BUFFERED_BYTES
            body = b"y" * size_bytes
            heads = {
                "length": HEADS["length"].replace(b"1234", b"%d" % size_bytes),
                "chunked": HEADS["chunked"] + b"%x\r\n" % size_bytes,
                "no length": HEADS["no length"],
            }
            for name, head in heads.items():
                for version in (b"1.1", b"1.0"):
                    for ending in (CLOSE, RESET) if name != "no length" else (RESET,):
                        for cut in (MAX_BUFFERED_BYTES + 9, size_bytes - 1, size_bytes):
                            if name == "length" and cut == size_bytes:
                                continue
                            self.server.answer, self.server.ending = head + body, ending
                            self.server.cut = len(self.server.answer) - size_bytes + cut
                            with self.subTest(name=name, version=version, ending=ending, cut=cut):
                                received = await self.call(version)
                                self.assertFalse(
                                    received.startswith(b"HTTP/1.1 200")
                                    and is_whole(received, self.was_reset),
                                    (received[:200], received[-40:]),
                                )

        self.run_async(main)
