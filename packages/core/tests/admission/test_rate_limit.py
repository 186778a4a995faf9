"""Tests of an owner whose backend server names a rate of requests, under a load above that rate."""

from __future__ import annotations

import unittest
from collections import Counter

from bamboonotch_core.admission import make_admission_state, reduce_admission
from bamboonotch_core.configuration import parse_configuration
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import (
    BackendServerAnnounced,
    BackendServerStated,
    Event,
    Tick,
)
from bamboonotch_core.outcomes import RefusalReason, make_attempt_id
from bamboonotch_core.request_effects import DispatchToBackend, RefuseWork
from bamboonotch_core.request_events import BackendFinished, BackendResult, WorkOffered
from tests.routing.builders import make_settings

DOCUMENT = {
    "classes": {
        "read": {"priority": 2, "queue_timeout_ms": 600, "target_ms": 600, "queue_limit": 256},
        "order": {"priority": 1, "queue_timeout_ms": 600, "target_ms": 600, "queue_limit": 256},
    },
    "services": {"menu": {"tenant": "t", "slots_per_backend_server": 6, "ramp_ms": 0}},
    "routes": {},
}
WORK_MS = 100.0
ARRIVAL_INTERVAL_MS = 20.0
TICK_MS = 100.0
WINDOW_MS = 4000.0


class RateLimitTest(unittest.TestCase):
    """An owner that is offered 50 requests a second, which its slots could carry."""

    def setUp(self) -> None:
        """Announce the backend server."""
        self.configuration = parse_configuration(DOCUMENT)
        self.state = make_admission_state(make_settings("n0"), 0.0, 5)
        self.now_ms = 0.0
        self.number = 0
        self.started_ms: list[float] = []
        self.started: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.refused_after_ms: list[float] = []
        self.offered: dict[str, tuple[str, float]] = {}
        self.running: list[tuple[float, str]] = []
        self.announce("i-1")

    def announce(self, instance_id: str, address: str = "b:1") -> None:
        """Let a process of the backend server announce itself."""
        self.send(
            BackendServerAnnounced(self.now_ms, "menu", address, 6, "ready", instance_id, 1000)
        )

    def state_rate(self, per_s: float | None) -> None:
        """Let a response name a rate, or none."""
        self.send(BackendServerStated(self.now_ms, "i-1", 1000, per_s))

    def send(self, event: Event) -> None:
        """Reduce one event and carry out its effects."""
        step = reduce_admission(self.state, event, self.configuration)
        self.state = step.state
        for effect in step.effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, DispatchToBackend):
            self.started_ms.append(self.now_ms)
            self.started[self.offered[effect.attempt_id][0]] += 1
            self.running.append((self.now_ms + WORK_MS, effect.attempt_id))
        elif isinstance(effect, RefuseWork):
            self.refused[effect.reason] += 1
            self.refused_after_ms.append(self.now_ms - self.offered[effect.attempt_id][1])

    def offer(self, name: str) -> None:
        """Offer one attempt."""
        self.number += 1
        request_id = f"r{self.number}"
        attempt_id = make_attempt_id(request_id, "tag", self.number, 5)
        self.offered[attempt_id] = (name, self.now_ms)
        deadline_ms = self.now_ms + 3000.0
        self.send(
            WorkOffered(
                self.now_ms, request_id, attempt_id, "menu", name, deadline_ms, True, "", False
            )
        )

    def run_load(self, seconds: float, names: tuple[str, ...] = ("read",)) -> None:
        """Offer attempts at an even pace, and end those whose work is done."""
        end_ms = self.now_ms + seconds * 1000.0
        while self.now_ms < end_ms:
            self.now_ms += ARRIVAL_INTERVAL_MS
            for due_ms, attempt_id in [item for item in self.running if item[0] <= self.now_ms]:
                self.running.remove((due_ms, attempt_id))
                done = BackendResult.DONE
                self.send(BackendFinished(self.now_ms, attempt_id, done, WORK_MS))
            if self.now_ms % TICK_MS == 0:
                self.announce("i-1")
                self.send(Tick(self.now_ms))
            self.offer(names[self.number % len(names)])

    def most_in_window(self, after_ms: float = 0.0) -> int:
        """Return the largest number of attempts that started in 4 s."""
        times = [item for item in self.started_ms if item >= after_ms]
        return max(
            (sum(1 for item in times if begin <= item < begin + WINDOW_MS) for begin in times),
            default=0,
        )

    def test_rate_is_kept(self) -> None:
        """Guards against a backend server that gets many times the requests that it asked for."""
        self.run_load(1.0)
        self.state_rate(10.0)
        named_ms = self.now_ms
        self.run_load(12.0)
        started = sum(1 for item in self.started_ms if item > named_ms)
        self.assertLessEqual(self.most_in_window(named_ms + 1.0), 10.0 * 4 + 3)
        self.assertGreater(started, 0.9 * 10.0 * 12)
        self.assertTrue(self.refused[RefusalReason.RATE_LIMITED])

    def test_refused_at_once(self) -> None:
        """Guards against callers that wait for a rate which cannot serve them in time."""
        self.run_load(1.0)
        self.state_rate(10.0)
        self.run_load(8.0)
        late = [item for item in self.refused_after_ms if item > 0.0]
        self.assertLess(len(late), 0.05 * len(self.refused_after_ms))

    def test_urgent_work_first(self) -> None:
        """Guards against a scarce rate that is used for the less urgent of two classes."""
        self.state_rate(20.0)
        self.run_load(1.0, ("read", "order"))
        self.started.clear()
        self.run_load(10.0, ("read", "order"))
        self.assertGreater(self.started["order"], 2 * self.started["read"])

    def test_rate_of_zero_ends(self) -> None:
        """Guards against a backend server that names 0 and is never asked again."""
        self.run_load(1.0)
        self.state_rate(0.0)
        named_ms = self.now_ms
        self.run_load(10.0)
        trials = sum(1 for item in self.started_ms if item > named_ms)
        self.assertGreaterEqual(trials, 3)
        self.assertLessEqual(self.most_in_window(named_ms + 1.0), 3)
        self.state_rate(None)
        self.started_ms.clear()
        self.run_load(2.0)
        self.assertGreater(len(self.started_ms), 50)

    def test_no_burst_after_a_pause(self) -> None:
        """Guards against the rate of a pause that is made up for at once."""
        self.state_rate(10.0)
        self.run_load(2.0)
        self.now_ms += 10_000.0
        self.started_ms.clear()
        self.run_load(0.1)
        self.assertLessEqual(len(self.started_ms), 4)

    def test_another_process_starts_without_a_rate(self) -> None:
        """Guards against a rate that outlives the process that named it."""
        self.state_rate(1.0)
        self.announce("i-1")
        self.assertIsNotNone(self.state.rate_limit)
        self.announce("i-2")
        self.assertIsNone(self.state.rate_limit)
