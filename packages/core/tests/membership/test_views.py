"""Tests of the queries on the membership state."""

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
from tests.membership.fleet import SingleNode, make_record, make_settings


class LinkKindTest(unittest.TestCase):
    """Kinds of links."""

    def test_kinds(self) -> None:
        """Guards against control bytes counted for the wrong link kind."""
        node = SingleNode(make_settings("a"))
        places = {"b": ("east", "east-1"), "c": ("east", "east-2"), "d": ("west", "west-1")}
        for name, place in places.items():
            peer = events.PeerIdentity(name, 1, *place, f"{name}:80")
            node.handle(events.LinkOpened, name, peer, True)
        kinds = [neighbour.kind for neighbour in neighbours(node.state)]
        self.assertEqual(kinds, [LinkKind.LOCAL, LinkKind.DATA_CENTRE, LinkKind.INTER_REGION])
        self.assertIs(link_kind(node.state, "c"), LinkKind.DATA_CENTRE)
        self.assertIsNone(link_kind(node.state, "none"))

    def test_raised_incarnation_is_seen(self) -> None:
        """Guards against an outdated incarnation of a peer that raised it on an open link."""
        node = SingleNode(make_settings("a"))
        link_id = node.link("b")
        node.receive(link_id, MemberUpdate((make_record("b", incarnation=5),)))
        self.assertEqual(neighbours(node.state)[0].incarnation, 5)


class StoreReaderTest(unittest.TestCase):
    """Choice of the store readers; the store is in the region ``east``."""

    def fill(self, node: SingleNode, **changes: object) -> None:
        """Send a node the records of ten members."""
        records = tuple(make_record(f"n{number}", **changes) for number in range(10))
        node.receive(node.link("n0"), MemberUpdate(records))
        node.advance(100)

    def test_slot_holders_read(self) -> None:
        """Guards against a fleet in which every node reads the store."""
        node = SingleNode(make_settings("a"))
        self.fill(node, relay_slot=1)
        self.assertFalse(is_store_reader(node.state))
        node.handle(events.SlotObtained, 0)
        self.assertTrue(is_store_reader(node.state))
        self.assertTrue(is_lowest_slot(node.state))
        node.handle(events.SlotObtained, 2)
        self.assertFalse(is_lowest_slot(node.state))

    def test_lowest_hashes_read_without_holders(self) -> None:
        """Guards against a region in which nobody reads the store."""
        names = sorted([*(f"n{number}" for number in range(10)), "a"], key=hash_node_id)
        node = SingleNode(make_settings("a"))
        self.fill(node)
        self.assertEqual(is_store_reader(node.state), "a" in names[:3])
        alone = SingleNode(make_settings("a"))
        self.assertTrue(is_store_reader(alone.state))

    def test_other_regions_do_not_read(self) -> None:
        """Guards against a log that crosses the slow link for each slot holder."""
        node = SingleNode(make_settings("a", "west", "west-1"))
        node.handle(events.SlotObtained, 0)
        self.assertFalse(is_store_reader(node.state))
        self.assertFalse(is_lowest_slot(node.state))
