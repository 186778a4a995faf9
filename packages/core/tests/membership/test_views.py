"""Tests of what other parts read."""

from __future__ import annotations

import unittest

from bamboonotch_core import events
from bamboonotch_core.membership import (
    LinkKind,
    is_lowest_slot,
    is_store_reader,
    link_kind,
    neighbours,
)
from bamboonotch_core.membership._hashing import hash_node_id
from bamboonotch_core.messages import MemberUpdate
from tests.membership.fleet import Single, make_record, make_settings


class LinkKindTest(unittest.TestCase):
    """How far a link reaches."""

    def test_kinds(self) -> None:
        """Guards against control bytes counted for the wrong link kind."""
        node = Single(make_settings("a"))
        places = {"b": ("east", "east-1"), "c": ("east", "east-2"), "d": ("west", "west-1")}
        for name, place in places.items():
            peer = events.PeerIdentity(name, 1, *place, f"{name}:80")
            node.give(events.LinkOpened, name, peer, True)
        kinds = [neighbour.kind for neighbour in neighbours(node.state)]
        self.assertEqual(kinds, [LinkKind.LOCAL, LinkKind.DATA_CENTRE, LinkKind.INTER_REGION])
        self.assertIs(link_kind(node.state, "c"), LinkKind.DATA_CENTRE)
        self.assertIsNone(link_kind(node.state, "none"))

    def test_raised_incarnation_is_seen(self) -> None:
        """Guards against a peer that is taken for an older process than it is."""
        node = Single(make_settings("a"))
        link_id = node.link("b")
        node.hear(link_id, MemberUpdate((make_record("b", incarnation=5),)))
        self.assertEqual(neighbours(node.state)[0].incarnation, 5)


class StoreReaderTest(unittest.TestCase):
    """Who reads the store; the store is in the region ``east``."""

    def fill(self, node: Single, **changes: object) -> None:
        """Let a node learn of ten members."""
        records = tuple(make_record(f"n{number}", **changes) for number in range(10))
        node.hear(node.link("n0"), MemberUpdate(records))
        node.ticks(100)

    def test_slot_holders_read(self) -> None:
        """Guards against a fleet that reads the store with every node."""
        node = Single(make_settings("a"))
        self.fill(node, relay_slot=1)
        self.assertFalse(is_store_reader(node.state))
        node.give(events.SlotObtained, 0)
        self.assertTrue(is_store_reader(node.state))
        self.assertTrue(is_lowest_slot(node.state))
        node.give(events.SlotObtained, 2)
        self.assertFalse(is_lowest_slot(node.state))

    def test_lowest_hashes_stand_in(self) -> None:
        """Guards against a region in which nobody reads the store."""
        names = sorted([*(f"n{number}" for number in range(10)), "a"], key=hash_node_id)
        node = Single(make_settings("a"))
        self.fill(node)
        self.assertEqual(is_store_reader(node.state), "a" in names[:2])
        alone = Single(make_settings("a"))
        self.assertTrue(is_store_reader(alone.state))

    def test_other_regions_do_not_read(self) -> None:
        """Guards against the log crossing the slow link for each slot holder."""
        node = Single(make_settings("a", "west", "west-1"))
        node.give(events.SlotObtained, 0)
        self.assertFalse(is_store_reader(node.state))
        self.assertFalse(is_lowest_slot(node.state))
