"""Tests of the admission policy: one overloaded owner, with and without classes."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

from bamboonotch_core.admission import make_admission_state, reduce_admission
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.effects import Report
from bamboonotch_core.events import BackendServerAnnounced, Event, Tick
from bamboonotch_core.outcomes import make_attempt_id
from bamboonotch_core.request_effects import DispatchToBackend, RefuseWork
from bamboonotch_core.request_events import BackendFinished, BackendResult, WorkOffered
from bamboonotch_core.settings import AdmissionSettings
from tests.routing.builders import CLASSES, make_configuration, make_settings

SLOTS = 6
SERVICE_MS = 50.0
CAPACITY_PER_S = SLOTS * 1000.0 / SERVICE_MS
TIMEOUT_MS = 1000.0
DURATION_MS = 60_000.0
CLASS_SHARES = {
    "order-placement": 0.15,
    "stock-check": 0.15,
    "manifest": 0.15,
    "menu-read": 0.25,
    "plan-download": 0.30,
}
FIFO = "fifo"
FIFO_CLASSES = {FIFO: {"priority": 0, "queue_limit": 64, "queue_timeout_ms": 500}}


@dataclass
class RunCounts:
    """Counts of the requests of a run.

    :param offered: requests offered, by class.
    :param done: requests done before their deadline, by class.
    :param late: requests done after their deadline.
    """

    offered: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)
    late: int = 0

    def share(self, name: str) -> float:
        """Return the share of the requests of a class that were done before their deadline."""
        return self.done[name] / self.offered[name]


def _make_configuration(with_classes: bool, ramp_ms: int) -> Configuration:
    service = {"tenant": "t", "slots_per_backend_server": SLOTS, "ramp_ms": ramp_ms}
    services = {"orders": service}
    return make_configuration({}, services, CLASSES if with_classes else FIFO_CLASSES)


class Simulation:
    """Simulation of one owner, with arrivals and service times drawn from a fixed seed.

    :param with_classes: whether requests keep their classes or share one first-in, first-out queue.
    :param load: arrivals as a multiple of the capacity.
    :param slowdown: relative increase of service times for each running request above half of the
        slots.
    :param latency_factor: value of the setting ``latency_factor``.
    """

    def __init__(
        self, with_classes: bool, load: float, slowdown: float = 0.0, latency_factor: float = 3.0
    ) -> None:
        self.with_classes = with_classes
        self.configuration = _make_configuration(with_classes, ramp_ms=5000 if slowdown else 0)
        admission = AdmissionSettings(latency_factor=latency_factor)
        self.state = make_admission_state(make_settings("n0", admission=admission), 0.0, 1)
        self.cuts = 0
        self.generator = random.Random(20)
        self.slowdown = slowdown
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Event]] = []
        self.classes: dict[str, str] = {}
        self.deadlines: dict[str, float] = {}
        self.running = 0
        self.counts = RunCounts()
        self._schedule_arrivals(load)

    def _push(self, event: Event) -> None:
        heapq.heappush(self.events, (event.now_ms, next(self.event_numbers), event))

    def _schedule_arrivals(self, load: float) -> None:
        now_ms, number = 0.0, 0
        while now_ms < DURATION_MS:
            now_ms += self.generator.expovariate(load * CAPACITY_PER_S / 1000.0)
            number += 1
            name = self.generator.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
            attempt_id = make_attempt_id(f"r{number}", "tag", number, 1)
            self.classes[attempt_id] = name
            self.counts.offered[name] += 1
            self._push(self._offer(now_ms, attempt_id, name))
        for tick in range(int(DURATION_MS / 100.0)):
            self._push(BackendServerAnnounced(tick * 100.0, "orders", "b:1", SLOTS, "ready"))
            self._push(Tick(tick * 100.0))

    def _offer(self, now_ms: float, attempt_id: str, name: str) -> WorkOffered:
        deadline_ms = now_ms + TIMEOUT_MS
        self.deadlines[attempt_id] = deadline_ms
        request_class = name if self.with_classes else FIFO
        return WorkOffered(now_ms, "r", attempt_id, "orders", request_class, deadline_ms, True, "")

    def simulate(self) -> RunCounts:
        """Handle all events and return the counts."""
        while self.events:
            now_ms, _, event = heapq.heappop(self.events)
            if isinstance(event, BackendFinished):
                self._count_finished(event)
            step = reduce_admission(self.state, event, self.configuration)
            self.state = step.state
            for effect in step.effects:
                if isinstance(effect, DispatchToBackend):
                    self._serve(effect.attempt_id, now_ms)
                elif isinstance(effect, Report):
                    self.cuts += 1
                elif isinstance(effect, RefuseWork):
                    assert effect.result is BackendResult.NOT_RUN
        return self.counts

    def _serve(self, attempt_id: str, now_ms: float) -> None:
        self.running += 1
        assert self.running <= SLOTS
        factor = 1.0 + self.slowdown * max(0, self.running - SLOTS // 2)
        latency_ms = self.generator.expovariate(1.0 / SERVICE_MS) * factor
        self._push(BackendFinished(now_ms + latency_ms, attempt_id, BackendResult.DONE, latency_ms))

    def _count_finished(self, event: BackendFinished) -> None:
        self.running -= 1
        if event.now_ms <= self.deadlines[event.attempt_id]:
            self.counts.done[self.classes[event.attempt_id]] += 1
        else:
            self.counts.late += 1


class OverloadTest(unittest.TestCase):
    """Loads of up to twice the capacity."""

    def test_orders_pass_and_plans_are_shed_first(self) -> None:
        """Guards against orders that are refused or late because plan downloads take the slots."""
        classes = Simulation(with_classes=True, load=2.0).simulate()
        fifo = Simulation(with_classes=False, load=2.0).simulate()
        shares = {name: round(classes.share(name), 3) for name in CLASS_SHARES}
        fifo_shares = {name: round(fifo.share(name), 3) for name in CLASS_SHARES}
        report = f"with classes {shares}, one queue {fifo_shares}"
        self.assertGreaterEqual(classes.share("order-placement"), 0.99, report)
        self.assertLess(fifo.share("order-placement"), 0.65, report)
        shares_by_priority = [classes.share(name) for name in CLASS_SHARES]
        self.assertEqual(shares_by_priority, sorted(shares_by_priority, reverse=True), report)
        self.assertLess(classes.share("plan-download"), 0.1, report)
        total = sum(classes.done.values())
        self.assertGreater(total / (CAPACITY_PER_S * DURATION_MS / 1000.0), 0.95, report)

    def test_all_pass_within_capacity(self) -> None:
        """Guards against a limit or a wait estimate that refuses work below the capacity."""
        run = Simulation(with_classes=True, load=0.7).simulate()
        self.assertGreater(min(run.share(name) for name in CLASS_SHARES), 0.99)

    def test_limit_finds_the_useful_concurrency(self) -> None:
        """Guards against a limit that stays at slots which slow the backend server down.

        With n > 3 requests at once, it takes 1 + (n - 3) times as long for each.
        """
        adaptive = Simulation(with_classes=True, load=2.0, slowdown=1.0)
        adapted = sum(adaptive.simulate().done.values())
        fixed = Simulation(with_classes=True, load=2.0, slowdown=1.0, latency_factor=1e9)
        unadapted = sum(fixed.simulate().done.values())
        self.assertGreater(adapted, 1.25 * unadapted)
        self.assertEqual(fixed.cuts, 0)
        self.assertLess(adaptive.cuts, DURATION_MS / 1000.0)


if __name__ == "__main__":
    unittest.main()
