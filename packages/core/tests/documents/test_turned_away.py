"""A store that turns the readers of both regions away while it serves the other nodes.

Pattern: the readers' watches get no answer, and a version is written right after. The other nodes
are in touch with the store and with each other, and must run the version within 2 s.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.settings import AccessSettings, NodeSettings
from tests.membership.fleet import make_places
from tests.membership.whole_fleet import WholeFleet

START_MS = 22_000
APPLY_MS = 2000.0
STEP_MS = 20.0
WATCH_MS = 2000.0
TURNED_AWAY_MS = 3600.0


class TwoRegions(WholeFleet):
    """A fleet in two regions, each with readers of its own.

    :param size: number of nodes.
    :param apply_ms: time within which a version must take effect, in milliseconds.
    """

    def __init__(self, size: int, apply_ms: float = APPLY_MS, seed: int = 1) -> None:
        self.apply_ms = apply_ms
        east = size // 2
        places = make_places({"east-1": ("east", east), "west-1": ("west", size - east)})
        super().__init__(places, seed=seed)

    def make_settings(self, node_id: str) -> NodeSettings:
        """Return the settings of a node, which follow the template of the platform."""
        settings = super().make_settings(node_id)
        store = replace(settings.store, region=settings.identity.region, timeout_ms=700)
        access = AccessSettings(freshness_ms=int(self.apply_ms))
        return replace(settings, store=store, access=access)

    def turn_away(self, node_ids: list[str]) -> None:
        """Let the store answer nothing to some nodes."""
        self.cut_from_store.update(node_ids)

    def others(self) -> list[str]:
        """Return the nodes that the store serves."""
        return [node_id for node_id in self.alive() if node_id not in self.cut_from_store]

    def time_until_held(self, limit_ms: float) -> float:
        """Let time pass until the nodes that are in touch hold the newest version.

        :returns: the time in milliseconds, or infinity if it takes longer than ``limit_ms``.
        """
        began_ms = self.now_ms
        while self.now_ms < began_ms + limit_ms:
            self.run(STEP_MS)
            held = {self.documents(node_id).held_version for node_id in self.others()}
            if held == {self.version}:
                return self.now_ms - began_ms
        return float("inf")


def play_changes(fleet: TwoRegions, times: int, calm_ms: float) -> list[float]:
    """Turn the readers away several times, write a version, and return the times that it took."""
    took = []
    for turn in range(times):
        # The phase of the readers' watches at that moment differs each time.
        fleet.run(calm_ms + turn * WATCH_MS / times)
        fleet.turn_away(fleet.readers())
        fleet.run(100.0)
        fleet.write()
        took.append(fleet.time_until_held(TURNED_AWAY_MS))
        fleet.run(TURNED_AWAY_MS)
        fleet.cut_from_store.clear()
    return took


class TurnedAwayTest(unittest.TestCase):
    """Versions that are written while the readers have lost the store."""

    def start(self, size: int, apply_ms: float = APPLY_MS) -> TwoRegions:
        """Start a fleet and wait until it is at rest."""
        fleet = TwoRegions(size, apply_ms)
        fleet.start_all()
        fleet.run(START_MS)
        return fleet

    def test_version_is_in_force_in_time(self) -> None:
        """Guards against nodes in touch that run an old version, as they wait for the readers."""
        for size, apply_ms in ((13, 2000.0), (20, 2000.0), (20, 3000.0)):
            with self.subTest(size=size, apply_ms=apply_ms):
                took = play_changes(self.start(size, apply_ms), 4, 6000)
                self.assertLessEqual(max(took), apply_ms, took)

    def test_readers_are_answered_in_turn(self) -> None:
        """Guards against watches that end together, so that a region hears nothing for a watch."""
        fleet = self.start(20)
        fleet.write()
        fleet.run(2 * WATCH_MS)
        readers = [node_id for node_id in fleet.readers() if node_id.startswith("east")]
        begun = sorted(
            [at_ms for at_ms, reader in fleet.calls if reader == node_id][-1] % WATCH_MS
            for node_id in readers
        )
        gaps = [after - before for before, after in zip(begun, begun[1:], strict=False)]
        gaps.append(begun[0] + WATCH_MS - begun[-1])
        self.assertLess(max(gaps), WATCH_MS / 3 + 200.0, begun)

    def test_calls_at_rest(self) -> None:
        """Guards against more calls of the store than three watches for each region."""
        fleet = self.start(20)
        before = len(fleet.calls)
        fleet.run(20_000)
        self.assertLessEqual(len(fleet.calls) - before, 6 * (20_000 / WATCH_MS + 1))
        self.assertLessEqual({node_id for _, node_id in fleet.calls[before:]}, set(fleet.readers()))

    def test_store_that_answers_nobody(self) -> None:
        """Guards against an outage in which every node goes on asking at once."""
        fleet = self.start(40)
        fleet.store_up = False
        fleet.turn_away(fleet.alive())
        before = len(fleet.calls)
        fleet.run(12_000)
        calls = [at_ms for at_ms, _ in fleet.calls[before:]]
        # A call lasts for a second here. Those that are no readers then wait for up to 3 s.
        self.assertLess(len(calls), 6 * 12 + 34 * 6)
        busiest = max(sum(at_ms <= other < at_ms + 100.0 for other in calls) for at_ms in calls)
        self.assertLess(busiest, len(fleet.alive()) / 2)


if __name__ == "__main__":
    unittest.main()
