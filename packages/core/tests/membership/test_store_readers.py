"""Who reads the store when its readers are lost.

Pattern: the readers of a region are killed, or lose power with their VMs, right before a version is
written. A version takes about 0.7 s through a region, and must be in force after 3 s.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.documents._reading import READER_MISSED_MS
from bamboonotch_core.membership import is_store_reader, misses_store_reader
from bamboonotch_core.settings import NodeSettings
from tests.membership.fleet import Fleet, make_places

SPREADING_MS = 700.0
IN_FORCE_MS = 3000.0


class SlotlessFleet(Fleet):
    """A fleet without relay slots, whose nodes find each other by registered addresses."""

    def _compete_for_slot(self, node_id: str) -> None:
        self._slots[node_id, 0] = node_id


class FastLinkFleet(SlotlessFleet):
    """A fleet in which few VMs have fast links."""

    FAST = ("east-1-3", "east-1-9", "east-2-4", "east-2-7")

    def make_settings(self, node_id: str) -> NodeSettings:
        """Return the settings of a node with its link."""
        settings = super().make_settings(node_id)
        link_mbps = 70.0 if node_id in self.FAST else 4.55
        return replace(settings, identity=replace(settings.identity, link_mbps=link_mbps))


class FastLinkTest(unittest.TestCase):
    """Readers of one region in which four of 20 VMs have fast links."""

    def setUp(self) -> None:
        """Start the fleet and wait until it is at rest."""
        places = make_places({"east-1": ("east", 10), "east-2": ("east", 10)})
        self.fleet = FastLinkFleet(places)
        self.fleet.start_all()
        self.fleet.run(20_000)

    def readers(self) -> set[str]:
        """Return the nodes that read the store."""
        alive = self.fleet.alive()
        return {name for name in alive if is_store_reader(self.fleet.state(name))}

    def test_fast_links_carry_documents(self) -> None:
        """Guards against calls that fail because whole documents take the link of a small VM."""
        self.assertEqual(len(self.readers()), 3)
        self.assertLess(self.readers(), set(FastLinkFleet.FAST))

    def test_slow_links_when_no_fast_one_is_left(self) -> None:
        """Guards against a region whose versions stop when its fast VMs are lost."""
        for name in FastLinkFleet.FAST:
            self.fleet.kill(name)
        self.fleet.run(20_000)
        self.assertEqual(len(self.readers()), 3)


class ReadersTest(unittest.TestCase):
    """Readers of one region with 40 nodes."""

    def setUp(self) -> None:
        """Start the fleet and wait until it is at rest."""
        self.fleet = SlotlessFleet(make_places({"east-1": ("east", 20), "east-2": ("east", 20)}))
        self.fleet.start_all()
        self.fleet.run(20_000)

    def readers(self) -> list[str]:
        """Return the nodes that read the store."""
        alive = self.fleet.alive()
        return [name for name in alive if is_store_reader(self.fleet.state(name))]

    def neighbours_that_read(self) -> list[str]:
        """Return the nodes that read because they miss a reader."""
        alive = self.fleet.alive()
        return [name for name in alive if misses_store_reader(self.fleet.state(name))]

    def test_at_rest(self) -> None:
        """Guards against readers that grow with the fleet."""
        self.assertEqual(len(self.readers()), 3)
        self.assertEqual(self.neighbours_that_read(), [])

    def test_killed_readers(self) -> None:
        """Guards against a version that waits until the death of killed readers is known."""
        for name in self.readers():
            self.fleet.kill(name)
        self.fleet.run(IN_FORCE_MS - SPREADING_MS)
        self.assertGreater(len(self.readers()), 0)
        self.fleet.run(20_000)
        self.assertEqual(len(self.readers()), 3)

    def test_readers_without_power(self) -> None:
        """Guards against a version that waits until the death of silent readers is known."""
        lost = self.readers()
        others = [name for name in self.fleet.alive() if name not in lost]
        self.fleet.cut_groups(lost, others)
        for name in lost:
            self.fleet.kill(name, silently=True)
        self.fleet.run(IN_FORCE_MS - SPREADING_MS - READER_MISSED_MS)
        self.assertGreater(len(self.neighbours_that_read()), 0)
        self.fleet.run(READER_MISSED_MS)
        self.assertGreater(len(self.neighbours_that_read()), 0)
        self.fleet.run(20_000)
        self.assertEqual(len(self.readers()), 3)
        self.assertEqual(self.neighbours_that_read(), [])


if __name__ == "__main__":
    unittest.main()
