"""Property test of several reducers with a faulty network and a store that has outages."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bamboonotch_core.settings import PushMode
from tests.distribution.fleet import Fleet

REGIONS = {"a": "east", "b": "east", "c": "east", "d": "east", "e": "west"}
NAMES = tuple(REGIONS)

ACTIONS = st.one_of(
    st.tuples(st.just("deliver"), st.integers(1, 12)),
    st.tuples(st.just("tick"), st.sampled_from([100, 300, 1000])),
    st.tuples(st.just("settle"), st.integers(1, 12)),
    st.tuples(st.just("read"), st.sampled_from(NAMES)),
    st.tuples(st.just("read"), st.just("all")),
    st.tuples(st.just("fail-read"), st.sampled_from(NAMES)),
    st.tuples(st.just("accept"), st.integers(1, 3)),
    st.tuples(st.sampled_from(["lose", "repeat", "reorder"]), st.integers(1, 3)),
    st.tuples(st.sampled_from(["kill", "start", "restart"]), st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from(["store-up", "store-down", "detect", "restart-all", "close-link"]),
        st.just(0),
    ),
)


def act(fleet: Fleet, action: str, value: int | str) -> None:
    """Carry out one action of a schedule."""
    if action in ("deliver", "lose", "repeat", "reorder"):
        for _ in range(int(value)):
            fleet.deliver(
                lose=action == "lose", repeat=action == "repeat", reorder=action == "reorder"
            )
    elif action == "settle":
        fleet.settle(int(value))
    elif action == "tick":
        fleet.tick(float(value))
    elif action in ("read", "fail-read"):
        for name in NAMES if value == "all" else (str(value),):
            fleet.answer_read(fleet.processes[name], fail=action == "fail-read")
    elif action == "accept":
        for _ in range(int(value)):
            fleet.accept()
    elif action in ("store-up", "store-down"):
        fleet.store_up = action == "store-up"
    elif action == "close-link" and fleet.links:
        fleet.close(fleet.random.choice(list(fleet.links.values())))
    elif action == "detect":
        fleet.detect_deaths()
    else:
        act_on_process(fleet, action, str(value))


def act_on_process(fleet: Fleet, action: str, name: str) -> None:
    """Carry out one action that kills or starts processes."""
    names = NAMES if action == "restart-all" else (name,)
    for item in names:
        running = fleet.processes.get(item)
        if running is None:
            continue
        if action != "start" and running.state is not None:
            fleet.kill(item)
        if action in ("start", "restart", "restart-all") and running.state is None:
            fleet.start(item)
    fleet.connect_all()


class FleetTest(unittest.TestCase):
    """Properties of a fleet of nodes."""

    @settings(
        derandomize=True,
        max_examples=150,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.integers(0, 1 << 32),
        st.sampled_from(PushMode),
        st.lists(ACTIONS, min_size=20, max_size=100),
    )
    def test_random_schedules(
        self, seed: int, push: PushMode, schedule: list[tuple[str, int | str]]
    ) -> None:
        """Guards against running an older or partial version (P1, P3) and against a fleet that
        does not converge once everything heals (P9).
        """
        fleet = Fleet(REGIONS, push, seed)
        for action, value in schedule:
            act(fleet, action, value)
            self.assertEqual(fleet.violations, [])
        fleet.heal()
        self.assertEqual(fleet.violations, [])
        self.assertTrue(fleet.has_converged())


if __name__ == "__main__":
    unittest.main()
