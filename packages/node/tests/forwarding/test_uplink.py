"""Tests of bodies that share the link of a VM, on a simulated link and clock."""

from __future__ import annotations

import heapq
import itertools
import unittest
from collections.abc import Callable
from typing import Any

from bamboonotch_node.forwarding._outbox import Outbox, OutgoingBody
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb

LINK_MBPS = 4.55
LINK_BYTES_PER_S = LINK_MBPS * 125_000
DOWNLOAD_BYTES = 90_000
ONE_WAY_S = 0.012


class Timer:
    """A scheduled call."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the call."""
        self.cancelled = True


class SimulatedLoop:
    """A clock and timers that move only when the test runs them."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._timers: list[tuple[float, int, Timer, Callable[..., Any], tuple[Any, ...]]] = []

    def time(self) -> float:
        """Return the clock, in seconds."""
        return self._now_s

    def call_later(self, delay_s: float, action: Callable[..., Any], *arguments: Any) -> Timer:
        """Schedule a call."""
        timer = Timer()
        due_s = self._now_s + max(0.0, delay_s)
        heapq.heappush(self._timers, (due_s, next(self._numbers), timer, action, arguments))
        return timer

    def run_until(self, end_s: float) -> None:
        """Run every call that is due until a time."""
        while self._timers and self._timers[0][0] <= end_s:
            self._now_s, _, timer, action, arguments = heapq.heappop(self._timers)
            if not timer.cancelled:
                action(*arguments)
        self._now_s = end_s


class SimulatedOwner:
    """Streams of one owner over one link, which sends bytes in the order in which it gets them."""

    def __init__(self, link_mbps: float) -> None:
        self.loop = SimulatedLoop()
        self.uplink = Uplink(link_mbps, loop=self.loop)  # type: ignore[arg-type]
        self.ended_s: dict[str, float] = {}
        self.sent_bytes = 0
        self._free_s = 0.0
        self.bodies: dict[str, OutgoingBody] = {}
        self._outboxes: list[Outbox] = []
        self.frozen: set[Outbox] = set()
        self._pass_on()

    def respond(self, name: str, size_bytes: int) -> Outbox:
        """Queue a whole response on a stream of its own."""
        outbox = Outbox(self.uplink)
        outbox.open()
        self._outboxes.append(outbox)

        def build_head(data: bytes, last: bool) -> pb.ForwardFrame:
            head = pb.ResponseHead(attempt_id=name, body=data, last=last)
            return pb.ForwardFrame(response_head=head)

        body = self.bodies[name] = OutgoingBody(name, outbox, build_head)
        body.write(b"x" * size_bytes)
        body.finish(True)
        return outbox

    def send_other(self, size_bytes: int) -> None:
        """Write to the link what no stream of this owner carries."""
        self.uplink.note_sent(size_bytes)
        self._occupy(size_bytes)

    def queue_s(self) -> float:
        """Return how long what was written last waits in the link, in seconds."""
        return max(0.0, self._free_s - self.loop.time())

    def _occupy(self, size_bytes: int) -> None:
        self._free_s = max(self._free_s, self.loop.time()) + size_bytes / LINK_BYTES_PER_S

    def _pass_on(self) -> None:
        """Write each frame to the link at once, as a library does whose windows have room."""
        for outbox in self._outboxes:
            while outbox not in self.frozen and (frame := outbox.next_frame()) is not None:
                self._carry(frame)
        self.loop.call_later(0.001, self._pass_on)

    def _carry(self, frame: pb.ForwardFrame) -> None:
        is_head = frame.WhichOneof("body") == "response_head"
        part = frame.response_head if is_head else frame.body_chunk
        size_bytes = frame.ByteSize()
        self.sent_bytes += size_bytes
        self._occupy(size_bytes)
        data_bytes = len(part.body if is_head else part.data)
        arrival_s = self._free_s + ONE_WAY_S - self.loop.time()
        self.loop.call_later(arrival_s, self._arrive, part.attempt_id, data_bytes, part.last)

    def _arrive(self, name: str, size_bytes: int, last: bool) -> None:
        if last:
            self.ended_s[name] = self.loop.time()
        else:
            self.loop.call_later(ONE_WAY_S, self.bodies[name].add_credit, size_bytes)


class FullLinkTest(unittest.TestCase):
    """Downloads for more ingress nodes than the link of their owner can serve at once."""

    def test_small_response_passes_downloads(self) -> None:
        """Guards against nested calls that fail because their responses wait behind downloads."""
        owner = SimulatedOwner(LINK_MBPS)
        for number in range(12):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(0.4)
        owner.respond("nested", 400)
        owner.loop.run_until(0.5)
        self.assertIn("nested", owner.ended_s)

    def test_link_stays_in_use(self) -> None:
        """Guards against pacing that leaves a part of the link idle while downloads wait."""
        owner = SimulatedOwner(LINK_MBPS)
        for number in range(12):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(1.5)
        self.assertGreater(owner.sent_bytes, 0.85 * 1.5 * LINK_BYTES_PER_S)
        owner.loop.run_until(12 * DOWNLOAD_BYTES / (0.85 * LINK_BYTES_PER_S))
        self.assertEqual(len(owner.ended_s), 12)

    def test_oldest_download_ends_first(self) -> None:
        """Guards against downloads that all end late because they share the link evenly."""
        owner = SimulatedOwner(LINK_MBPS)
        names = [f"download-{number}" for number in range(6)]
        for name in names:
            owner.respond(name, DOWNLOAD_BYTES)
        owner.loop.run_until(3.0)
        self.assertEqual(list(owner.ended_s), names)
        self.assertLess(owner.ended_s[names[0]], 0.5)

    def test_reader_that_stops_holds_nobody_up(self) -> None:
        """Guards against a peer that does not read, or is gone, and keeps the link for itself."""
        owner = SimulatedOwner(LINK_MBPS)
        owner.frozen.add(owner.respond("frozen", DOWNLOAD_BYTES))
        owner.respond("gone", DOWNLOAD_BYTES).close()
        for number in range(4):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(1.0)
        self.assertEqual(len(owner.ended_s), 4)

    def test_small_responses_do_not_stop_downloads(self) -> None:
        """Guards against downloads that never end because small responses fill the link."""
        owner = SimulatedOwner(LINK_MBPS)
        owner.respond("download", DOWNLOAD_BYTES)
        small_bytes = 15_000
        for number in range(200):
            owner.respond(f"small-{number}", small_bytes)
            owner.loop.run_until((number + 1) * small_bytes / LINK_BYTES_PER_S)
            if "download" in owner.ended_s:
                break
        self.assertIn("download", owner.ended_s)

    def test_bursts_of_other_traffic(self) -> None:
        """Guards against nested calls that wait in a link which responses to callers fill too.

        Each burst left a rest in the link that was never paid off, until calls missed their
        deadlines.
        """
        owner = SimulatedOwner(LINK_MBPS)
        for number in range(60):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        for burst in range(8):
            owner.loop.run_until(0.8 * (burst + 1))
            self.assertLess(owner.queue_s(), 0.1, f"before burst {burst}")
            owner.send_other(2 * DOWNLOAD_BYTES)

    def test_burst_after_a_rest(self) -> None:
        """Guards against a burst that counts as paid by the time before it."""
        owner = SimulatedOwner(LINK_MBPS)
        owner.loop.run_until(10.0)
        owner.send_other(2 * DOWNLOAD_BYTES)
        for number in range(12):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(10.6)
        self.assertLess(owner.queue_s(), 0.1)

    def test_backlog(self) -> None:
        """Guards against an owner that takes more downloads than its link can send in time."""
        owner = SimulatedOwner(LINK_MBPS)
        self.assertEqual(owner.uplink.backlog_ms(), 0.0)
        for number in range(12):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(0.05)
        self.assertGreater(owner.uplink.backlog_ms(), 1000.0)
        owner.loop.run_until(4.0)
        self.assertEqual(owner.uplink.backlog_ms(), 0.0)

    def test_backlog_without_discarded_bodies(self) -> None:
        """Guards against refusals because of downloads whose callers have left."""
        owner = SimulatedOwner(LINK_MBPS)
        bodies = [owner.respond(f"download-{number}", DOWNLOAD_BYTES) for number in range(12)]
        owner.loop.run_until(0.05)
        for number in range(len(bodies)):
            owner.bodies[f"download-{number}"].discard()
        self.assertEqual(owner.uplink.backlog_ms(), 0.0)

    def test_short_download_beside_a_long_one(self) -> None:
        """Guards against a long response that keeps every later one off the link until it ends."""
        owner = SimulatedOwner(LINK_MBPS)
        owner.respond("long", 6_000_000)
        owner.loop.run_until(0.2)
        owner.respond("short", 20_000)
        # Twice what a fair half of the link needs, and a second.
        owner.loop.run_until(0.2 + 2 * 2 * 20_000 / LINK_BYTES_PER_S + 1.0)
        self.assertIn("short", owner.ended_s)

    def test_no_backlog_without_bodies(self) -> None:
        """Guards against a link that counts as occupied although no body waits."""
        owner = SimulatedOwner(LINK_MBPS)
        owner.respond("small", 15_000)
        owner.loop.run_until(0.001)
        self.assertEqual(owner.uplink.backlog_ms(), 0.0)

    def test_no_timer_after_close(self) -> None:
        """Guards against a timer that goes on after the uplink was closed."""
        owner = SimulatedOwner(LINK_MBPS)
        for number in range(3):
            owner.respond(f"download-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(0.05)
        owner.uplink.close()
        for number in range(3):
            owner.respond(f"late-{number}", DOWNLOAD_BYTES)
        owner.loop.run_until(0.1)
        self.assertIsNone(owner.uplink._timer)

    def test_unknown_link(self) -> None:
        """Guards against an installation without the setting whose bodies would not leave."""
        owner = SimulatedOwner(0.0)
        owner.respond("download", DOWNLOAD_BYTES)
        owner.loop.run_until(0.5)
        self.assertIn("download", owner.ended_s)
        self.assertEqual(owner.uplink.backlog_ms(), 0.0)
