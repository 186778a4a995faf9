"""Streams to many owners that are used seldom: what they cost, and how silence is still noticed.

The loop runs on simulated time, so the tests take none.
"""

from __future__ import annotations

import asyncio
import selectors
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from bamboonotch_node.forwarding._stream import (
    PING_INTERVAL_S,
    REST_LIMIT_S,
    FrameStream,
    StreamIdentity,
)
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb

SILENT_MS = 1500
SILENT_S = SILENT_MS / 1000
REFUSAL = pb.ForwardFrame(refusal=pb.Refusal(attempt_id="a", not_run=True))
CREDIT = pb.ForwardFrame(credit=pb.Credit(attempt_id="a", size_bytes=1))


class _SimulatedTime(selectors.SelectSelector):
    """Lets time jump to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Advance the time by the time-out."""
        self.now_s += timeout or 0.0
        return super().select(0)


def run_simulated(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine on simulated time."""
    clock = _SimulatedTime()
    loop = asyncio.SelectorEventLoop(clock)
    loop.time = lambda: clock.now_s  # type: ignore[method-assign]
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()


class _End:
    """One end of a stream whose other end the test plays.

    :param pings: whether this is the end that pings.
    """

    def __init__(self, pings: bool) -> None:
        self.sent: list[pb.ForwardFrame] = []
        self.answers = True
        self.work = False
        self._incoming: asyncio.Queue[pb.ForwardFrame] = asyncio.Queue()
        identity = StreamIdentity("node", 1, SILENT_MS, pings)
        self.frames = FrameStream(
            identity, self._incoming.get, self._write, lambda: self.work, Uplink()
        )
        self.receive(pb.ForwardFrame(hello=pb.ForwardHello(node_id="peer", incarnation=2)))
        self.run = asyncio.ensure_future(self.frames.run(lambda peer: None, lambda frame: None))

    def receive(self, frame: pb.ForwardFrame) -> None:
        """Let a frame of the other end arrive."""
        self._incoming.put_nowait(frame)

    def pings(self) -> int:
        """Return the number of pings sent."""
        return sum(frame.WhichOneof("body") == "ping" for frame in self.sent)

    async def _write(self, frame: pb.ForwardFrame) -> None:
        self.sent.append(frame)
        if self.answers and frame.WhichOneof("body") == "ping":
            self.receive(pb.ForwardFrame(pong=pb.Pong(number=frame.ping.number)))


class StreamAtRestTest(unittest.TestCase):
    """Streams that are used seldom."""

    def test_a_stream_at_rest_is_not_pinged(self) -> None:
        """Guards against a cost for each owner and second: 36 owners cost more than 8 requests."""

        async def main() -> None:
            end = _End(pings=True)
            await asyncio.sleep(30.0)
            self.assertLessEqual(end.pings(), 1)
            self.assertFalse(end.run.done())
            end.frames.close("test")
            await end.run

        run_simulated(main)

    def test_short_uses_are_not_pinged(self) -> None:
        """Guards against two more frames for each request where requests are seldom."""

        async def main() -> None:
            end = _End(pings=True)
            await asyncio.sleep(2.0)
            pings = end.pings()
            for _ in range(20):
                end.work = True
                end.frames.note_use()
                await asyncio.sleep(PING_INTERVAL_S / 2)
                end.receive(REFUSAL)
                end.work = False
                await asyncio.sleep(2.0)
            self.assertEqual(end.pings(), pings)
            end.frames.close("test")
            await end.run

        run_simulated(main)

    def test_frames_both_ways_spare_pings(self) -> None:
        """Guards against a third of all frames being pings where requests are frequent."""

        async def main() -> None:
            end = _End(pings=True)
            end.work = True
            for _ in range(100):
                end.receive(REFUSAL)
                end.frames.send(CREDIT)
                await asyncio.sleep(PING_INTERVAL_S / 5)
            self.assertEqual(end.pings(), 0)
            end.frames.close("test")
            await end.run

        run_simulated(main)

    def test_the_other_end_hears_something_of_a_stream_that_only_brings(self) -> None:
        """Guards against an owner that takes a caller for silent during a long response."""

        async def main() -> None:
            end = _End(pings=True)
            end.work = True
            for _ in range(100):
                end.receive(REFUSAL)
                await asyncio.sleep(PING_INTERVAL_S / 5)
            self.assertGreaterEqual(end.pings(), 100 / 5 / 2)
            end.frames.close("test")
            await end.run

        run_simulated(main)

    def test_silence_of_a_stream_in_use_is_noticed(self) -> None:
        """Guards against requests that wait for their deadline on a connection gone silent."""

        async def main() -> None:
            end = _End(pings=True)
            end.work = True
            await asyncio.sleep(10.0)
            self.assertGreaterEqual(end.pings(), 10.0 / PING_INTERVAL_S - 1)
            end.answers = False
            reason = await asyncio.wait_for(end.run, SILENT_S + 2 * PING_INTERVAL_S)
            self.assertEqual(reason, "silent")

        run_simulated(main)

    def test_a_stream_that_fell_silent_at_rest_is_noticed_at_its_next_use(self) -> None:
        """Guards against a stream that is trusted because it was not in use while it broke."""

        async def main() -> None:
            end = _End(pings=True)
            await asyncio.sleep(10.0)
            end.answers = False
            await asyncio.sleep(10.0)
            self.assertFalse(end.run.done())
            end.work = True
            end.frames.note_use()
            reason = await asyncio.wait_for(end.run, SILENT_S + 2 * PING_INTERVAL_S)
            self.assertEqual(reason, "silent")

        run_simulated(main)

    def test_time_at_rest_does_not_count_as_silence(self) -> None:
        """Guards against a good stream that is closed by the first request after a rest."""

        async def main() -> None:
            end = _End(pings=True)
            await asyncio.sleep(20.0)
            end.work = True
            end.frames.note_use()
            await asyncio.sleep(10.0)
            self.assertFalse(end.run.done())
            end.frames.close("test")
            await end.run

        run_simulated(main)

    def test_the_owner_keeps_a_stream_at_rest(self) -> None:
        """Guards against an owner that closes the streams of callers with little work."""

        async def main() -> None:
            end = _End(pings=False)
            await asyncio.sleep(20.0)
            end.receive(pb.ForwardFrame(ping=pb.Ping(number=1)))
            await asyncio.sleep(20.0)
            self.assertFalse(end.run.done())
            end.frames.close("test")
            await end.run

        run_simulated(main)

    def test_the_owner_drops_the_stream_of_a_peer_that_vanished(self) -> None:
        """Guards against streams of peers without power that are kept for ever."""

        async def main() -> None:
            end = _End(pings=False)
            limit_s = REST_LIMIT_S + SILENT_S + 2 * PING_INTERVAL_S
            self.assertEqual(await asyncio.wait_for(end.run, limit_s), "unused")

        run_simulated(main)


if __name__ == "__main__":
    unittest.main()
