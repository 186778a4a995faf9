"""Tests of downloads that share the link of their owner: what is refused, and what is not."""

from __future__ import annotations

import unittest

from bamboonotch_core.admission import make_admission_state, reduce_admission
from bamboonotch_core.configuration import parse_configuration
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import BackendServerAnnounced, Event
from bamboonotch_core.outcomes import RefusalReason, make_attempt_id
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import DispatchToBackend, RefuseWork
from bamboonotch_core.request_events import BackendFinished, BackendResult, WorkOffered
from tests.routing.builders import make_settings

DOCUMENT = {
    "classes": {
        "download": {"priority": 2, "queue_timeout_ms": 500, "target_ms": 900},
        "check": {"priority": 1, "queue_timeout_ms": 120, "target_ms": 240},
    },
    "services": {"plans": {"tenant": "t", "slots_per_backend_server": 3, "ramp_ms": 0}},
    "routes": {},
}
SEND_MS = 170.0


class UplinkTest(unittest.TestCase):
    """An owner whose link sends a download in 170 ms."""

    def setUp(self) -> None:
        """Let one download and one short call end."""
        self.configuration = parse_configuration(DOCUMENT)
        self.state = make_admission_state(make_settings("n0"), 0.0, 5)
        self.number = 0
        self.send(BackendServerAnnounced(0.0, "plans", "b:1", 3, "ready"))
        for name, send_ms in (("download", SEND_MS), ("check", 0.0)):
            self.offer(name, 0.0)
            self.end_latest(send_ms)

    def send(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event and return its effects."""
        step = reduce_admission(self.state, event, self.configuration)
        self.state = step.state
        return step.effects

    def offer(self, name: str, uplink_ms: float | None, returning: bool = False) -> str:
        """Offer an attempt, and return why it is refused, or an empty text."""
        self.number += 1
        self.latest = make_attempt_id(f"r{self.number}", "tag", self.number, 5)
        request_id, deadline_ms = f"r{self.number}", 4000.0
        effects = self.send(
            WorkOffered(
                1.0,
                request_id,
                self.latest,
                "plans",
                name,
                deadline_ms,
                True,
                "",
                returning,
                uplink_ms=uplink_ms,
            )
        )
        for effect in effects:
            if isinstance(effect, RefuseWork) and effect.attempt_id == self.latest:
                return effect.reason
        return ""

    def end_latest(self, send_ms: float, latency_ms: float = 30.0) -> tuple[Effect, ...]:
        """End the latest attempt."""
        result = BackendResult.DONE
        return self.send(BackendFinished(1.0, self.latest, result, latency_ms, send_ms=send_ms))

    def test_download_behind_a_full_link_is_refused_at_once(self) -> None:
        """Guards against downloads that are run although the link cannot send them in time."""
        self.assertEqual(self.offer("download", 700.0), "")
        self.end_latest(SEND_MS)
        self.assertEqual(self.offer("download", 760.0), RefusalReason.UPLINK_FULL)

    def test_response_of_a_slow_server_is_late(self) -> None:
        """Guards against downloads that are in time for the link but not for their callers."""
        for _ in range(100):
            self.offer("download", 0.0)
            self.end_latest(SEND_MS, latency_ms=400.0)
        self.assertEqual(self.offer("download", 400.0), RefusalReason.UPLINK_FULL)
        for _ in range(100):
            self.offer("download", 0.0)
            self.end_latest(SEND_MS, latency_ms=2000.0)
        self.assertEqual(self.offer("download", 200.0), "")

    def test_returning_download_leaves_the_link_to_first_ones(self) -> None:
        """Guards against downloads that are all late, because repeated ones go first."""
        self.assertEqual(self.offer("download", 300.0, returning=True), RefusalReason.UPLINK_FULL)
        self.assertEqual(self.offer("download", 300.0), "")
        self.end_latest(SEND_MS)
        self.assertEqual(self.offer("download", 200.0, returning=True), "")

    def test_downloads_in_progress_count(self) -> None:
        """Guards against a burst of downloads that all find the link free when they arrive."""
        taken = [self.offer("download", 0.0) for _ in range(8)].count("")
        self.assertLessEqual(taken * SEND_MS, 900.0 + SEND_MS)
        self.assertGreaterEqual(taken, 3)

    def test_small_responses_are_taken(self) -> None:
        """Guards against short calls that are refused because of downloads, which they pass."""
        self.assertEqual(self.offer("check", 5000.0), "")

    def test_local_download_is_taken(self) -> None:
        """Guards against a refusal of work whose response does not use the link."""
        self.assertEqual(self.offer("download", None), "")

    def test_long_response_on_a_free_link_is_taken(self) -> None:
        """Guards against a class of long responses that nobody serves on a slow link."""
        for _ in range(200):
            self.offer("download", 0.0)
            self.end_latest(3000.0)
        self.assertEqual(self.offer("download", 0.0), "")

    def test_one_long_response_among_short_ones(self) -> None:
        """Guards against a class that is refused for long because its first response was long."""
        self.state = replace_fields(self.state, send_times=type(self.state.send_times)())
        for send_ms in (3000.0, *[0.0] * 15):
            self.offer("download", 0.0)
            self.end_latest(send_ms)
        self.offer("download", 0.0)
        self.assertEqual(self.offer("download", 0.0), "")

    def test_room_returns(self) -> None:
        """Guards against downloads that count for the link after they have ended."""
        for _ in range(3):
            self.offer("download", 0.0)
            effects = self.end_latest(SEND_MS)
            self.assertFalse([item for item in effects if isinstance(item, DispatchToBackend)])
        self.assertEqual(self.offer("download", 0.0), "")
