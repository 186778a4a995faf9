"""Tests of HTTP exchanges over a slow link and with servers in trouble."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.trial import unittest as trial

from bamboonotch_store.http import (
    MAX_BODY_BYTES,
    ExchangeFailedError,
    HttpAnswer,
    HttpExchange,
    HttpTransport,
)

DEADLINE_MS = 200.0
PIECES = 20


class _SlowServer(Protocol):
    """Sends a body of known length in pieces with a pause between them.

    :param pause_s: pause before each piece, in seconds.
    :param pieces: pieces sent before the server falls silent.
    """

    def __init__(self, pause_s: float, pieces: int) -> None:
        self._pause_s = pause_s
        self._pieces = pieces
        self._timer: Any = None

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Send nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * 1000)
        self.transport.write(head)
        self._send(self._pieces)

    def _send(self, left: int) -> None:
        if left and self.connected:
            self.transport.write(b"x" * 1000)
            self._timer = reactor.callLater(self._pause_s, self._send, left - 1)


class _EndlessHeadServer(Protocol):
    """Sends lines of a head, or interim responses, without end.

    :param start: what is sent first.
    :param piece: what is sent again and again.
    """

    def __init__(self, start: bytes, piece: bytes) -> None:
        self._start = start
        self._piece = piece

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request."""
        self.transport.write(self._start)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send a piece."""
        self.transport.write(self._piece)

    def stopProducing(self) -> None:  # noqa: N802
        """Send nothing more."""


class _EndlessServer(Protocol):
    """Sends a body without a length and without end."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request."""
        self.transport.write(b"HTTP/1.1 200 OK\r\n\r\n")
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write more."""
        self.transport.write(b"x" * 65_536)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as the connection ends."""


class ProgressTest(trial.TestCase):
    """Exchanges whose answers take longer than the deadline."""

    def start(self, make: Any) -> str:
        """Start a server and return ``ip:port``."""
        port = reactor.listenTCP(0, Factory.forProtocol(make), interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    def exchange(
        self, address: str, progress_ms: float | None, deadline_ms: float = DEADLINE_MS
    ) -> Deferred[HttpAnswer]:
        """Start an exchange."""
        transport = HttpTransport(reactor)
        # Lets the server note the end of its connection, and end its timer.
        self.addCleanup(deferLater, reactor, 0.1)
        self.addCleanup(transport.close)
        exchange = HttpExchange(address, "GET", "/", (), b"", deadline_ms, progress_ms=progress_ms)
        return Deferred.fromCoroutine(transport.exchange(exchange))

    async def test_a_transfer_that_moves_is_not_ended(self) -> None:
        """Guards against a document that is larger than the link carries in one deadline.

        Each node of a region then starts it again, and the link stays full of unfinished transfers.
        """
        address = self.start(lambda: _SlowServer(0.03, PIECES))
        answer = await self.exchange(address, DEADLINE_MS)
        self.assertEqual(len(answer.body), PIECES * 1000)

    async def test_a_transfer_that_stops_is_ended(self) -> None:
        """Guards against a connection gone silent in the middle of a body."""
        address = self.start(lambda: _SlowServer(0.03, PIECES // 2))
        await self.assertFailure(self.exchange(address, DEADLINE_MS), ExchangeFailedError)

    async def test_without_progress_the_deadline_holds(self) -> None:
        """Guards against calls that take longer than their caller allows."""
        address = self.start(lambda: _SlowServer(0.03, PIECES))
        await self.assertFailure(self.exchange(address, None), ExchangeFailedError)

    async def test_a_body_without_end_is_given_up(self) -> None:
        """Guards against memory that grows with bytes that never end."""
        address = self.start(_EndlessServer)
        error = await self.assertFailure(self.exchange(address, 5000.0), ExchangeFailedError)
        self.assertIn(str(MAX_BODY_BYTES), str(error))

    async def test_a_head_without_end_is_given_up(self) -> None:
        """Guards against memory that grows with headers or interim responses that never end."""
        lines = b"".join(b"a%d: b\r\n" % number for number in range(1000))
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        for start, piece in ((b"HTTP/1.1 200 OK\r\n", lines), (b"", interim * 100)):
            address = self.start(lambda start=start, piece=piece: _EndlessHeadServer(start, piece))
            error = await self.assertFailure(
                self.exchange(address, None, deadline_ms=3000.0), ExchangeFailedError
            )
            self.assertNotIn("no answer within", str(error))


if __name__ == "__main__":
    unittest.main()
