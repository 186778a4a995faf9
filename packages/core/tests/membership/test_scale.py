"""Tests at the target size: 1,600 members in 7 regions and 15 data centres."""

from __future__ import annotations

import unittest

from bamboonotch_core import events
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership import (
    live_members,
    members_of_service,
    neighbours,
    overlay_neighbours,
)
from bamboonotch_core.messages import Heartbeat, MemberDigests, MemberRequest, MemberUpdate
from tests.membership.fleet import SingleNode, make_record, make_settings, messages_of

MEMBERS = 1600
CHUNK = 128
PLACES = [(f"r{number % 7}", f"r{number % 7}-{number // 7}") for number in range(15)]


def make_member(number: int, **changes: object) -> MemberRecord:
    """Return one member's record."""
    region, data_centre = PLACES[number % 15]
    fields = {
        "region": region,
        "data_centre": data_centre,
        "service": f"service-{number % 120}",
        "relay_slot": number // 15 if number < 45 else -1,
    }
    return make_record(f"node-{number:04}", **(fields | changes))


def make_full_node() -> SingleNode:
    """Return a node that has received the records of all others over one link."""
    node = SingleNode(make_settings("node-0000", *PLACES[0]))
    node.advance(100)
    node.handle(events.SlotObtained, 0)
    link_id = node.link("node-0015", "r0")
    records = [make_member(number) for number in range(1, MEMBERS)]
    for start in range(0, len(records), CHUNK):
        node.receive(link_id, MemberUpdate(tuple(records[start : start + CHUNK])))
    node.advance(100)
    return node


class ScaleTest(unittest.TestCase):
    """Bounds that must not grow with the fleet."""

    @classmethod
    def setUpClass(cls) -> None:
        """Create the full node once for all tests."""
        cls.full = make_full_node()

    def setUp(self) -> None:
        """Start from the state of the full node."""
        self.node = SingleNode(make_settings("node-0000", *PLACES[0]))
        self.node.state, self.node.now_ms = self.full.state, self.full.now_ms
        self.link_id = neighbours(self.node.state)[0].link_id

    def test_filled(self) -> None:
        """Guards against received records that are not stored."""
        self.assertEqual(len(live_members(self.node.state)), MEMBERS)
        self.assertEqual(len(members_of_service(self.node.state, "service-7")), 14)

    def test_ring_is_computed_once(self) -> None:
        """Guards against a ring that is recomputed for each of many changes."""
        self.assertEqual(self.node.state.overlay.ring_recomputations, 1)
        for number in range(1, 200):
            region, _ = PLACES[number % 15]
            if region != "r0":
                dead = make_member(number, sequence=2, state=MemberState.DEAD)
                suspect = make_member(number, sequence=2, state=MemberState.SUSPECT)
                self.node.receive(self.link_id, MemberUpdate((suspect, dead)))
        self.node.advance(300)
        self.assertEqual(self.node.state.overlay.ring_recomputations, 1)
        for number in range(15, 600, 15):
            states = (MemberState.SUSPECT, MemberState.DEAD)
            records = tuple(make_member(number, sequence=2, state=state) for state in states)
            self.node.receive(self.link_id, MemberUpdate(records))
        self.node.advance(300)
        self.assertEqual(self.node.state.overlay.ring_recomputations, 2)

    def test_degree(self) -> None:
        """Guards against a gateway with a link to every member."""
        self.assertLessEqual(len(overlay_neighbours(self.node.state)), 2 * 4 + 6)

    def test_heartbeat_exchange_is_small(self) -> None:
        """Guards against heartbeats whose size grows with the fleet."""
        digest = self.node.state.directory.digest
        out = self.node.receive(self.link_id, Heartbeat(3, 3, digest, True))
        self.assertEqual(out, ())
        self.node.receive(self.link_id, Heartbeat(3, 3, digest ^ 1, True))
        self.node.now_ms += 500
        out = self.node.receive(self.link_id, Heartbeat(3, 3, digest ^ 1, True))
        sent = messages_of(out, MemberDigests)
        self.assertEqual(len(out), 1)
        self.assertEqual(len(sent[0][1].digests), 15)

    def test_one_difference_names_one_data_centre(self) -> None:
        """Guards against an exchange that sends the whole directory."""
        digests = dict(self.node.state.directory.digests)
        digests["r3-0"] ^= 1
        out = self.node.receive(self.link_id, MemberDigests(tuple(digests.items())))
        request = messages_of(out, MemberRequest)[0][1]
        self.assertEqual(request.data_centres, ("r3-0",))
        self.assertEqual(len(request.known), MEMBERS // 15 + (MEMBERS % 15 > 3))
        known = tuple(item for item in request.known if item.node_id != "node-0003")
        out = self.node.receive(self.link_id, MemberRequest(("r3-0",), known))
        self.assertEqual(len(messages_of(out, MemberUpdate)[0][1].records), 1)

    def test_update_leaves_the_rest_untouched(self) -> None:
        """Guards against an update that copies state of other members."""
        before = self.node.state
        changed = make_member(100, sequence=2, state=MemberState.DRAINING)
        self.node.receive(self.link_id, MemberUpdate((changed,)))
        after = self.node.state
        self.assertIs(after.own, before.own)
        self.assertIs(after.settings, before.settings)
        self.assertIs(after.detection, before.detection)
        self.assertIs(after.directory.regions, before.directory.regions)
        self.assertIs(after.directory.data_centres, before.directory.data_centres)
        self.assertIs(after.overlay.ring, before.overlay.ring)
        self.assertIs(after.overlay.gateways, before.overlay.gateways)
        self.assertIs(after.overlay.dials, before.overlay.dials)
        self.assert_differs(before.directory.records, after.directory.records, 1)
        self.assert_differs(before.directory.services, after.directory.services, 1)
        self.assert_differs(before.directory.digests, after.directory.digests, 1)
        self.assert_differs(before.overlay.links, after.overlay.links, 1)

    def assert_differs(self, before, after, count: int) -> None:
        """Check that exactly ``count`` entries of a map are new objects."""
        keys = set(before) | set(after)
        changed = [key for key in keys if before.get(key) is not after.get(key)]
        self.assertEqual(len(changed), count, changed)

    def test_known_update_changes_only_the_link(self) -> None:
        """Guards against duplicate records that cost as much as new ones."""
        before = self.node.state
        self.node.receive(self.link_id, MemberUpdate((make_member(100),)))
        self.assertIs(self.node.state.directory, before.directory)
        self.assertIs(self.node.state.spreading, before.spreading)
