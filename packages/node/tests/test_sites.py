"""Callers of the small HTTP sites that send without end."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from twisted.web import http
from twisted.web.resource import Resource

from bamboonotch_node.sites import MAX_BODY_BYTES, make_site
from tests.forwarding.support import PathTest

PIECE = b"x" * 16_384
MAX_SENT_BYTES = 64 * 1024 * 1024


class _Body(Resource):
    """Answers with the size of the body."""

    isLeaf = True  # noqa: N815

    def render_PUT(self, request: Any) -> bytes:  # noqa: N802
        """Answer a call."""
        return b"%d" % len(request.content.read())


class BodyTest(PathTest):
    """Bodies of calls."""

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Start a site and connect to it."""
        from twisted.internet import reactor

        listener = reactor.listenTCP(0, make_site(_Body(), 30), interface="127.0.0.1")
        self.closers.append(listener.stopListening)
        return await asyncio.open_connection("127.0.0.1", listener.getHost().port)

    async def check_endless(self, head: bytes, piece: bytes) -> None:
        """Check that a body without end is refused and its connection closed."""
        with patch.object(
            http.tempfile, "TemporaryFile", wraps=http.tempfile.TemporaryFile
        ) as file:
            reader, writer = await self.connect()
            writer.write(b"PUT /a HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n")
            sent_bytes = 0
            try:
                while not reader.at_eof():
                    self.assertLess(sent_bytes, MAX_SENT_BYTES)
                    writer.write(piece)
                    sent_bytes += len(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                pass
            writer.close()
            file.assert_not_called()

    def test_chunks_without_end(self) -> None:
        """Guards against a chunked body that fills the temporary files of the machine."""
        piece = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
        self.run_async(lambda: self.check_endless(b"Transfer-Encoding: chunked\r\n", piece))

    def test_large_length(self) -> None:
        """Guards against the same with a length."""
        self.run_async(lambda: self.check_endless(b"Content-Length: %d\r\n" % 10**12, PIECE))

    def test_largest_body(self) -> None:
        """Guards against a body within the bound that is refused or cut."""

        async def main() -> None:
            reader, writer = await self.connect()
            body = b"x" * MAX_BODY_BYTES
            writer.write(b"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body)
            answer = await reader.readuntil(b"%d" % len(body))
            self.assertIn(b" 200 ", answer)
            writer.close()

        self.run_async(main)


if __name__ == "__main__":
    unittest.main()
