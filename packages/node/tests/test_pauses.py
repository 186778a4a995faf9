"""Requests that waited unread while a process was paused.

Pattern: a process is stopped or its machine is suspended for seconds; meanwhile frames and requests
come to its sockets, and the time that they grant runs out.
"""

from __future__ import annotations

import unittest
from unittest import mock

from bamboonotch_core import request_events as events
from bamboonotch_node.pauses import PauseGauge
from bamboonotch_store import clock
from tests.forwarding.support import get
from tests.forwarding.test_forwarding import MeshTest

TICK_MS = 100.0
PAUSE_MS = 5000.0


class PauseGaugeTest(unittest.TestCase):
    """The gauge on a simulated clock."""

    def setUp(self) -> None:
        """Let two ticks come in time."""
        self.now_ms = 50.0
        self.gauge = PauseGauge(lambda: self.now_ms)
        self.tick()
        self.tick()

    def tick(self, after_ms: float = TICK_MS) -> None:
        """Let a tick come after some time."""
        self.now_ms += after_ms
        self.gauge.note_tick()

    def test_without_a_pause(self) -> None:
        """Guards against time taken from requests of a process that runs."""
        self.assertEqual(self.gauge.unread_ms(), 0.0)
        self.tick(900.0)
        self.assertEqual(self.gauge.unread_ms(), 0.0)

    def test_before_the_late_tick(self) -> None:
        """Guards against input that is read before the loop reaches its timers."""
        self.now_ms += PAUSE_MS
        self.assertEqual(self.gauge.unread_ms(), PAUSE_MS)

    def test_until_the_next_tick(self) -> None:
        """Guards against a pause that is forgotten before its input is read, or never."""
        self.tick(PAUSE_MS)
        self.assertEqual(self.gauge.unread_ms(), PAUSE_MS)
        self.tick()
        self.assertEqual(self.gauge.unread_ms(), 0.0)


class ClockTest(unittest.TestCase):
    """The clock of leases and deadlines."""

    def test_goes_on_while_the_machine_is_suspended(self) -> None:
        """Guards against a lease or a deadline that is believed to hold after a suspension."""
        boot, monotonic = clock.time.CLOCK_BOOTTIME, clock.time.CLOCK_MONOTONIC
        suspended = {boot: 9.0, monotonic: 2.0}
        with mock.patch.object(clock.time, "clock_gettime", suspended.__getitem__):
            self.assertEqual(clock.now_ms(), 9000.0)


class UnreadInputTest(MeshTest):
    """Nodes that read late what was sent in time."""

    def test_owner_does_not_run_what_has_expired(self) -> None:
        """Guards against work that starts on a permission that ended during a pause."""

        async def main() -> None:
            await self.start_mesh("0")
            self.owner.path.server.unread_ms = lambda: PAUSE_MS
            await self.caller.send(get("a", timeout_ms=2000))
            offer = self.owner.seen(events.WorkOffered)[0]
            self.assertLess(offer.deadline_ms, offer.now_ms)

        self.run_async(main)

    def test_ingress_refuses_what_nobody_waits_for(self) -> None:
        """Guards against a request that is passed on after its caller gave up."""

        async def main() -> None:
            await self.start_mesh("0")
            self.ingress.path.ingress.unread_ms = lambda: PAUSE_MS
            record = await self.caller.send(get("a", timeout_ms=2000))
            self.assertEqual((record.status, record.outcome), (503, "not-run"))
            self.assertEqual(self.ingress.seen(events.RequestArrived), [])

        self.run_async(main)

    def test_ingress_passes_on_what_is_left(self) -> None:
        """Guards against a whole time limit that begins again after a pause."""

        async def main() -> None:
            await self.start_mesh("0")
            self.ingress.path.ingress.unread_ms = lambda: PAUSE_MS
            self.assert_done(await self.caller.send(get("a", timeout_ms=8000)))
            self.assertEqual(self.ingress.seen(events.RequestArrived)[0].timeout_ms, 3000.0)

        self.run_async(main)


if __name__ == "__main__":
    unittest.main()
