"""Tests of classes with a target: order of service, expiry in the queue, and refusals."""

from __future__ import annotations

import unittest
from heapq import heappop, heappush
from random import Random

from bamboonotch_core.admission import make_admission_state, reduce_admission
from bamboonotch_core.configuration import parse_configuration
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import BackendServerAnnounced, Event, Tick
from bamboonotch_core.outcomes import make_attempt_id
from bamboonotch_core.request_effects import DispatchToBackend, RefuseWork
from bamboonotch_core.request_events import BackendFinished, BackendResult, WorkOffered
from tests.routing.builders import make_settings

SLOTS = 6
CLASSES = {
    "order": {"priority": 1, "queue_timeout_ms": 500, "target_ms": 500},
    "check": {"priority": 1, "queue_timeout_ms": 120, "target_ms": 120},
}
SERVICE_MS = {"order": 160.0, "check": 30.0}
SERVICES = {"orders": {"tenant": "t", "slots_per_backend_server": SLOTS, "ramp_ms": 0}}
DOCUMENT = {"classes": CLASSES, "services": SERVICES, "routes": {}}


class Owner:
    """One owner with six slots."""

    def __init__(self) -> None:
        self.configuration = parse_configuration(DOCUMENT)
        self.state = make_admission_state(make_settings("n0"), 0.0, 5)
        self.announce(0.0)
        self.classes: dict[str, str] = {}

    def announce(self, now_ms: float) -> None:
        """Announce a backend server that is ready."""
        self.send(BackendServerAnnounced(now_ms, "orders", "b:1", SLOTS, "ready"))

    def send(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event and return its effects."""
        step = reduce_admission(self.state, event, self.configuration)
        self.state = step.state
        return step.effects

    def offer(
        self, number: int, name: str, now_ms: float, returning: bool = False
    ) -> tuple[Effect, ...]:
        """Offer an attempt of a class with a deadline in 1.5 s."""
        attempt_id = make_attempt_id(f"r{number}", "tag", number, 5)
        self.classes[attempt_id] = name
        event = WorkOffered(
            now_ms, f"r{number}", attempt_id, "orders", name, now_ms + 1500.0, True, "", returning
        )
        return self.send(event)


class OrderTest(unittest.TestCase):
    """Order of service within one priority."""

    def test_shorter_target_goes_first(self) -> None:
        """Guards against short calls that miss their target while they wait behind orders.

        A request that runs on another backend server may be waiting for such a call.
        """
        owner = Owner()
        for number in range(SLOTS + 3):
            owner.offer(number, "order", 0.0)
        owner.offer(99, "check", 1.0)
        first = next(iter(owner.classes))
        effects = owner.send(BackendFinished(2.0, first, BackendResult.DONE, 2.0))
        started = [item.attempt_id for item in effects if isinstance(item, DispatchToBackend)]
        self.assertEqual([owner.classes[item] for item in started], ["check"])

    def test_returning_work_goes_last(self) -> None:
        """Guards against repeated requests that delay new ones past their target."""
        owner = Owner()
        for number in range(SLOTS):
            owner.offer(number, "order", 0.0)
        owner.offer(90, "order", 1.0, returning=True)
        owner.offer(91, "order", 2.0)
        running = list(owner.classes)[:2]
        started = []
        for number, attempt_id in enumerate(running):
            effects = owner.send(BackendFinished(3.0 + number, attempt_id, BackendResult.DONE, 3.0))
            started += [item.attempt_id for item in effects if isinstance(item, DispatchToBackend)]
        self.assertEqual(started, [list(owner.classes)[-1], list(owner.classes)[-2]])


class OverloadTest(unittest.TestCase):
    """Expiry in the queue under overload."""

    def test_most_of_what_is_served_meets_its_target(self) -> None:
        """Guards against waits so long that every dispatched attempt misses its target."""
        owner, random = Owner(), Random(3)
        arrived: dict[str, float] = {}
        running: list[tuple[float, str, float]] = []
        served = met_target = refused = 0
        now_ms = next_tick_ms = 0.0
        for number in range(4000):
            now_ms += random.expovariate(1 / 12.0)
            effects: list[tuple[float, Effect]] = []
            while running and running[0][0] <= now_ms:
                ended_ms, attempt_id, started_ms = heappop(running)
                service_ms = ended_ms - started_ms
                done = owner.send(
                    BackendFinished(ended_ms, attempt_id, BackendResult.DONE, service_ms)
                )
                effects += [(ended_ms, item) for item in done]
                if number > 500:
                    served += 1
                    target_ms = CLASSES[owner.classes[attempt_id]]["target_ms"]
                    met_target += ended_ms - arrived[attempt_id] <= target_ms
                effects = self._start(owner, effects, running, random)
            if now_ms >= next_tick_ms:
                owner.announce(now_ms)
                effects += [(now_ms, item) for item in owner.send(Tick(now_ms))]
                next_tick_ms = now_ms + 100.0
            name = "check" if random.random() < 0.4 else "order"
            effects += [(now_ms, item) for item in owner.offer(number, name, now_ms)]
            arrived[list(owner.classes)[-1]] = now_ms
            refused += sum(isinstance(item, RefuseWork) for _, item in effects)
            self._start(owner, effects, running, random)
        self.assertGreater(refused, 400)
        self.assertGreater(met_target / served, 0.9)

    def test_refusals_come_early(self) -> None:
        """Guards against a caller that waits for most of its target before it is refused."""
        owner = Owner()
        for number in range(SLOTS):
            owner.offer(number, "order", 0.0)
        owner.offer(90, "order", 0.0)
        owner.offer(91, "check", 0.0)
        refused = {}
        for now_ms in range(10, 500, 10):
            for effect in owner.send(Tick(float(now_ms))):
                if isinstance(effect, RefuseWork):
                    refused[owner.classes[effect.attempt_id]] = now_ms
        self.assertEqual(refused, {"check": 100, "order": 150})

    @staticmethod
    def _start(
        owner: Owner,
        effects: list[tuple[float, Effect]],
        running: list[tuple[float, str, float]],
        random: Random,
    ) -> list[tuple[float, Effect]]:
        """Schedule the end of dispatched attempts and return the other effects."""
        other_effects = []
        for at_ms, item in effects:
            if isinstance(item, DispatchToBackend):
                mean_ms = SERVICE_MS[owner.classes[item.attempt_id]]
                service_ms = mean_ms * random.uniform(0.6, 1.4)
                heappush(running, (at_ms + service_ms, item.attempt_id, at_ms))
            else:
                other_effects.append((at_ms, item))
        return other_effects


class RandomRefusalTest(unittest.TestCase):
    """A backend server that refuses a share of its requests at any load."""

    def test_keeps_its_slots(self) -> None:
        """Guards against cuts and pauses for refusals that lower concurrency does not prevent."""
        owner, random = Owner(), Random(5)
        running: list[tuple[float, str, bool]] = []
        done = 0
        now_ms = next_tick_ms = 0.0
        for number in range(1200):
            now_ms += random.expovariate(1 / 16.0)
            while running and running[0][0] <= now_ms:
                ended_ms, attempt_id, refused = heappop(running)
                result = BackendResult.NOT_RUN if refused else BackendResult.DONE
                done += not refused
                self._start(
                    owner.send(BackendFinished(ended_ms, attempt_id, result, 30.0)),
                    ended_ms,
                    running,
                    random,
                )
            if now_ms >= next_tick_ms:
                owner.announce(now_ms)
                self._start(owner.send(Tick(now_ms)), now_ms, running, random)
                next_tick_ms = now_ms + 100.0
            self._start(owner.offer(number, "check", now_ms), now_ms, running, random)
        self.assertGreater(done / 1200, 0.4)

    @staticmethod
    def _start(
        effects: tuple[Effect, ...],
        now_ms: float,
        running: list[tuple[float, str, bool]],
        random: Random,
    ) -> None:
        for item in effects:
            if isinstance(item, DispatchToBackend):
                refused = random.random() < 0.55
                service_ms = 1.0 if refused else random.uniform(20.0, 40.0)
                heappush(running, (now_ms + service_ms, item.attempt_id, refused))
