"""Properties of a dozen nodes under random faults."""

from __future__ import annotations

import math
import unittest
from collections.abc import Callable
from typing import TypeAlias

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboonotch_core.membership import neighbours, overlay_neighbours
from bamboonotch_core.settings import MembershipSettings
from tests.membership.fleet import LEASE_MS, Fleet, make_places

PLACES = make_places({"e1": ("east", 4), "e2": ("east", 3), "w1": ("west", 3), "w2": ("west", 2)})
NAMES = sorted(PLACES)
DEFAULTS = MembershipSettings()
START_MS = 3_000
SPREADING_MS = 1_000
# Covers the detected silence, a failed dial, the suspicion time and the spreading of the death.
DEATH_MS = 2 * DEFAULTS.silent_after_ms + DEFAULTS.suspicion_ms + SPREADING_MS
HEALING_MS = 15_000

EXAMPLES = settings(derandomize=True, max_examples=25, deadline=None)
NODES = st.sampled_from(NAMES)
SEEDS = st.integers(0, 1_000_000)

Fault: TypeAlias = Callable[[Fleet], None]


def make_fleet(seed: int) -> Fleet:
    """Return a started fleet with complete directories and links."""
    fleet = Fleet(PLACES, seed)
    fleet.start_all()
    fleet.run(START_MS)
    return fleet


def kill(nodes: set[str], silently: bool) -> Fault:
    """Return a fault that ends some processes."""

    def apply(fleet: Fleet) -> None:
        for node_id in sorted(nodes.intersection(fleet.alive())):
            fleet.kill(node_id, silently)

    return apply


def restart(fleet: Fleet) -> None:
    """Start all dead processes again."""
    for node_id in NAMES:
        if node_id not in fleet.alive():
            fleet.start(node_id)


def resume(fleet: Fleet) -> None:
    """Resume all paused processes."""
    for node_id in fleet.alive():
        if fleet.processes[node_id].paused:
            fleet.resume(node_id)


def isolate(nodes: set[str]) -> Fault:
    """Return a fault that separates some nodes from the rest."""
    rest = [node_id for node_id in NAMES if node_id not in nodes]
    return lambda fleet: fleet.cut_groups(sorted(nodes), rest)


def make_lossy(node_id: str, share: float) -> Fault:
    """Return a fault that loses a share of the messages from and to one node."""

    def apply(fleet: Fleet) -> None:
        for other in NAMES:
            fleet.losses[node_id, other] = fleet.losses[other, node_id] = share

    return apply


FAULTS: st.SearchStrategy[Fault] = st.one_of(
    st.builds(kill, st.sets(NODES, min_size=1, max_size=6), st.booleans()),
    st.just(restart),
    st.builds(lambda node_id: lambda fleet: fleet.pause(node_id), NODES),
    st.just(resume),
    st.builds(
        lambda one, other, both: lambda fleet: fleet.cut(one, other, both),
        NODES,
        NODES,
        st.booleans(),
    ),
    st.builds(isolate, st.sets(NODES, min_size=1, max_size=6)),
    st.just(isolate({node_id for node_id in NAMES if node_id.startswith("e")})),
    st.builds(make_lossy, NODES, st.floats(0.1, 0.6)),
    st.builds(lambda ms: lambda fleet: setattr(fleet, "jitter_ms", ms), st.floats(5.0, 100.0)),
    st.builds(lambda up: lambda fleet: setattr(fleet, "store_up", up), st.booleans()),
)


class PropertyTest(unittest.TestCase):
    """Properties that must hold under all faults."""

    @EXAMPLES
    @given(SEEDS, NODES, st.integers(0, 5), st.booleans(), st.sampled_from([0.3, 0.6, 0.9, 1.0]))
    def test_one_lossy_path_kills_nobody(
        self, seed: int, node_id: str, index: int, both: bool, share: float
    ) -> None:
        """Guards against one broken path that takes a live member out of service."""
        fleet = make_fleet(seed)
        linked = overlay_neighbours(fleet.state(node_id))
        other = linked[index % len(linked)]
        fleet.losses[node_id, other] = share
        if both:
            fleet.losses[other, node_id] = share
        fleet.run(30_000)
        self.assertEqual(fleet.reported("member-dead"), [])
        self.assertEqual(fleet.reported("member-state", START_MS, state="suspect"), [])
        self.assertTrue(fleet.is_connected())

    @EXAMPLES
    @given(SEEDS, st.sets(NODES, min_size=1, max_size=2), st.booleans())
    def test_killed_members_are_dead_in_time(
        self, seed: int, nodes: set[str], silently: bool
    ) -> None:
        """Guards against work sent for long to members that no longer exist."""
        fleet = make_fleet(seed)
        kill(nodes, silently)(fleet)
        fleet.run(DEATH_MS)
        self.assertTrue(fleet.maps_equal())
        fleet.run(3_000)
        self.assertTrue(fleet.is_connected())

    @EXAMPLES
    @given(SEEDS, st.lists(st.tuples(FAULTS, st.floats(50, 8_000)), min_size=1, max_size=10))
    def test_maps_become_equal(self, seed: int, faults: list[tuple[Fault, float]]) -> None:
        """Guards against nodes that never agree again after faults, and against a split graph."""
        fleet = make_fleet(seed)
        for fault, duration_ms in faults:
            fault(fleet)
            fleet.run(duration_ms)
        fleet.heal()
        fleet.store_up = True
        resume(fleet)
        restart(fleet)
        fleet.run(HEALING_MS)
        self.assertTrue(fleet.maps_equal())
        self.assertTrue(fleet.is_connected())
        # Relay slots change hands when the leases of killed holders end, and gateways with them.
        fleet.run(LEASE_MS + HEALING_MS)
        for node_id in fleet.alive():
            self.check_degree(fleet, node_id)

    @EXAMPLES
    @given(SEEDS, st.sets(NODES, min_size=3, max_size=9), st.booleans(), st.booleans())
    def test_herd_returns(self, seed: int, nodes: set[str], silently: bool, store_up: bool) -> None:
        """Guards against groups without links to each other after a restart of many nodes."""
        fleet = make_fleet(seed)
        kill(nodes, silently)(fleet)
        fleet.run(7_000)
        fleet.store_up = store_up
        restart(fleet)
        fleet.run(HEALING_MS)
        self.assertTrue(fleet.maps_equal())
        self.assertTrue(fleet.is_connected())

    def check_degree(self, fleet: Fleet, node_id: str) -> None:
        """Check that a node has not many more links than the overlay wants."""
        state = fleet.state(node_id)
        members = len(state.overlay.ring)
        bound = 2 * math.ceil(math.log(max(members, 2), 4)) + len(state.overlay.gateways) - 1
        self.assertLessEqual(len(neighbours(state)), bound)
