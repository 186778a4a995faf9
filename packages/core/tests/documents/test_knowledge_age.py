"""Search for a confirmation that is dated later than its version was the newest.

Pattern: versions are written while messages and answers of the store are held back, links are cut
and opened anew, and processes are paused, with the real reducers of five nodes. Whatever the
order, the moment that a node takes its version to be confirmed as of must not be later than the
write of the next version. Variants that date by arrival must be refuted by the same search.
"""

from __future__ import annotations

import copy
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from bamboonotch_core import effects, events
from bamboonotch_core.documents import DocumentState, _reading
from bamboonotch_core.documents._step import Step
from bamboonotch_core.messages import Heartbeat
from tests.membership.fleet import make_places
from tests.membership.whole_fleet import WholeFleet

REVOCATION_MS = 5000
START_MS = 8000.0
SIZE = 5
EXAMPLES = 100
# Rounding of times that are sums of parts, in milliseconds.
ROUNDING_MS = 1e-6
Action = tuple[str, int, int, int]
ACTIONS = (
    "write",
    "write",
    "write-invalid",
    "pause",
    "resume",
    "hold",
    "release",
    "lose",
    "restore",
    "reconnect",
    "delay-answers",
    "end-delay",
    "kill",
    "start",
    "downgrade",
)
PLAYS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, SIZE - 1),
        st.integers(0, SIZE - 1),
        st.sampled_from((1, 30, 150, 400, 800, 1500, 3000)),
    ),
    min_size=4,
    max_size=24,
)


class DatedTooLateError(Exception):
    """A node takes its version to have been the newest at a moment when it was not."""


class HoldingFleet(WholeFleet):
    """A fleet in which the messages of a path can be held back and arrive late, in order."""

    def __init__(self, revocation_ms: int) -> None:
        super().__init__(make_places({"east-1": ("east", SIZE)}), revocation_ms)
        self.holds: dict[tuple[str, str], list[tuple[type[events.Event], tuple[object, ...]]]] = {}
        # Nodes of a version whose heartbeats have no numbers. They confirm by arrival, so they are
        # of no use here without strict revocation.
        self.earlier: set[str] = set()
        self.on_step = self.check

    def check(self, node_id: str, documents: DocumentState) -> None:
        """Raise an error if the confirmation of a node is dated too late."""
        confirmed_ms = documents.held_confirmed_ms
        superseded_ms = self.written_ms.get(documents.held_version + 1)
        if confirmed_ms is None or superseded_ms is None:
            return
        if confirmed_ms > superseded_ms + ROUNDING_MS:
            raise DatedTooLateError(f"{node_id}: {confirmed_ms} > {superseded_ms}")

    def play(self, action: Action) -> None:
        """Carry out one action and let time pass."""
        name, first, second, duration_ms = action
        nodes = sorted(self.places)
        one, other = nodes[first], nodes[second]
        steps: dict[str, Callable[[], object]] = {
            "write": self.write,
            "write-invalid": lambda: self.write(valid=False),
            "pause": lambda: self.pause(one),
            "resume": lambda: self.resume(one),
            "hold": lambda: self.holds.setdefault((one, other), []),
            "release": lambda: self._release(one, other),
            "lose": lambda: self.cut(one, other, both=False),
            "restore": lambda: self.cuts.discard((one, other)),
            "reconnect": lambda: self._reconnect(one, other),
            "delay-answers": lambda: self.answer_delay_ms.update({one: float(duration_ms)}),
            "end-delay": lambda: self.answer_delay_ms.pop(one, None),
            "kill": lambda: self.kill(one),
            "start": lambda: self.start(one),
            "downgrade": lambda: self.earlier.add(one),
        }
        if name not in ("kill", "start") or (name == "kill") == (one in self.alive()):
            steps[name]()
        self.run(float(duration_ms))

    def _apply_effect(self, node_id: str, effect: effects.Effect) -> None:
        message = effect.message if isinstance(effect, effects.SendMessage) else None
        if node_id in self.earlier and self.revocation_ms and isinstance(message, Heartbeat):
            message = replace(message, number=0, echo=0)
            effect = replace(effect, message=message)  # type: ignore[type-var]
        super()._apply_effect(node_id, effect)

    def _release(self, source: str, target: str) -> None:
        for event_type, fields in self.holds.pop((source, target), []):
            super()._deliver(source, target, event_type, *fields)

    def _reconnect(self, one: str, other: str) -> None:
        for link_id, ends in list(self._links.items()):
            if set(ends) == {one, other}:
                self._close(one, link_id, "reset")

    def _deliver(
        self, source: str, target: str, event_type: type[events.Event], *fields: object
    ) -> bool:
        if (source, target) in self.holds:
            self.holds[source, target].append((event_type, fields))
            return True
        return super()._deliver(source, target, event_type, *fields)


class KnowledgeAgeTest(unittest.TestCase):
    """Plays of the search, and the variants that it must refute."""

    def setUp(self) -> None:
        """Start the fleets that every play begins with."""
        self.earlier: set[str] = set()
        self.started = {}
        for revocation_ms in (0, REVOCATION_MS):
            fleet = HoldingFleet(revocation_ms)
            fleet.start_all()
            fleet.run(START_MS)
            self.started[revocation_ms] = fleet

    def play(self, actions: list[Action], revocation_ms: int = REVOCATION_MS) -> None:
        """Play actions from the start, and let the fleet recover."""
        fleet = copy.deepcopy(self.started[revocation_ms])
        fleet.earlier.update(self.earlier)
        for action in actions:
            fleet.play(action)
        fleet.run(1000.0)

    def fails(self, actions: list[Action]) -> bool:
        """Return whether a play dates a confirmation too late."""
        try:
            self.play(actions)
        except DatedTooLateError:
            return True
        return False

    def test_no_confirmation_is_dated_too_late(self) -> None:
        """Guards against a removed key that works on a node whose messages were held back."""

        @settings(
            max_examples=EXAMPLES,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(PLAYS, st.sampled_from((0, REVOCATION_MS)))
        def search(actions: list[Action], revocation_ms: int) -> None:
            self.play(actions, revocation_ms)

        search()

    def test_heartbeats_dated_by_arrival_are_refuted(self) -> None:
        """Guards against a search that would not find late heartbeats."""
        by_arrival = mock.patch.object(_reading, "_stated_ms", lambda step, heartbeat: step.now_ms)
        with by_arrival:
            self.assert_refuted()

    def test_heartbeats_without_numbers_are_refuted(self) -> None:
        """Guards against a search that would not find late heartbeats of an earlier version."""

        def stated_ms(step: Step, heartbeat: Heartbeat) -> float | None:
            return step.echo_sent_ms if heartbeat.number else step.now_ms

        self.earlier.update(self.started[REVOCATION_MS].places)
        with mock.patch.object(_reading, "_stated_ms", stated_ms):
            self.assert_refuted()

    def test_answers_dated_by_arrival_are_refuted(self) -> None:
        """Guards against a search that would not find late answers of the store."""
        with self.dating(lambda started_ms, answered_ms, wait_ms, waited: 0.0):
            self.assert_refuted()

    def test_waits_that_were_cut_short_are_refuted(self) -> None:
        """Guards against a search that would not find an answer counted from the end of its wait.

        A watch that a change ends early may bring a version that the next one replaces at once.
        """
        with self.dating(
            lambda started_ms, answered_ms, wait_ms, waited: answered_ms - started_ms - wait_ms
        ):
            self.assert_refuted()

    def dating(self, rule: Callable[[float, float, float, bool], float]) -> object:
        """Replace the dating of answers of the store."""
        return mock.patch("bamboonotch_core.documents.answer_age_ms", rule)

    def assert_refuted(self) -> None:
        """Check that the search finds a play that fails."""
        budget = settings(
            max_examples=20 * EXAMPLES,
            derandomize=True,
            deadline=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        try:
            find(PLAYS, self.fails, settings=budget)
        except NoSuchExample:
            self.fail("the search refutes nothing")


if __name__ == "__main__":
    unittest.main()
