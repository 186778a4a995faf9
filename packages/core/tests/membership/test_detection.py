"""Tests of suspicion, death and unreachable regions."""

from __future__ import annotations

import unittest

from bamboonotch_core import effects, events
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import (
    find_member,
    is_region_usable,
    members_of_service,
    ready_services,
    routing_generation,
)
from bamboonotch_core.messages import Heartbeat, MemberUpdate, Suspicion
from tests.membership.fleet import (
    Fleet,
    SingleNode,
    address_of,
    make_places,
    make_record,
    make_settings,
    messages_of,
    reports_of,
)

HEARTBEAT = Heartbeat(3, 3, 0, True)
TWO_REGIONS = make_places({"e1": ("east", 4), "e2": ("east", 3), "w1": ("west", 3)})


class ReporterTest(unittest.TestCase):
    """Number of reports that make a member suspect."""

    def setUp(self) -> None:
        """Start a node in a region of six."""
        self.node = SingleNode(make_settings("a"))
        # The link to the suspect works, so that this node is no reporter itself.
        self.links = [self.node.link(name) for name in ("b", "c", "x")]
        names = ("b", "c", "d", "e", "x")
        self.node.receive(self.links[0], MemberUpdate(tuple(make_record(name) for name in names)))
        self.node.advance(100)

    def state_of(self, node_id: str = "x") -> MemberState:
        """Return the state of a member's record."""
        record = find_member(self.node.state, node_id)
        assert record is not None
        return record.state

    def suspect(self, reporter: str, sequence: int = 1) -> tuple:
        """Receive a suspicion and return the effects."""
        return self.node.receive(self.links[0], Suspicion("x", 1, sequence, reporter))

    def test_one_reporter_is_not_enough(self) -> None:
        """Guards against one lossy path that makes a member suspect."""
        for _ in range(5):
            self.suspect("d")
            self.keep_links(500)
        self.assertIs(self.state_of(), MemberState.READY)

    def keep_links(self, duration_ms: float) -> list:
        """Advance the clock with heartbeats on all links; return the effects."""
        out: list = []
        for _ in range(int(duration_ms / 100)):
            out.extend(self.node.advance(100))
            for link_id in self.links:
                self.node.receive(link_id, HEARTBEAT)
        return out

    def test_two_reporters_and_time(self) -> None:
        """Guards against a dead member that stays in the routing tables."""
        self.suspect("d")
        self.suspect("e")
        self.assertIs(self.state_of(), MemberState.SUSPECT)
        self.keep_links(900)
        self.assertIs(self.state_of(), MemberState.SUSPECT)
        out = self.keep_links(200)
        self.assertIs(self.state_of(), MemberState.DEAD)
        self.assertEqual(len(reports_of(out, "member-dead")), 1)

    def test_refutation_clears(self) -> None:
        """Guards against a member that is declared dead although it refutes."""
        self.suspect("d")
        self.suspect("e")
        out = self.node.receive(self.links[0], MemberUpdate((make_record("x", sequence=2),)))
        self.assertIs(self.state_of(), MemberState.READY)
        sent = messages_of(out, MemberUpdate)
        self.assertEqual([item[0] for item in sent], self.links[1:])
        self.suspect("d")
        self.keep_links(1500)
        self.assertIs(self.state_of(), MemberState.READY)

    def test_old_reports_do_not_add_up(self) -> None:
        """Guards against old reports that are counted together with new ones."""
        self.suspect("d")
        self.keep_links(10_000)
        self.suspect("e")
        self.assertIs(self.state_of(), MemberState.READY)

    def test_spread_once(self) -> None:
        """Guards against suspicions that are forwarded endlessly."""
        out = self.suspect("d")
        self.assertEqual([item[0] for item in messages_of(out, Suspicion)], self.links[1:])
        self.assertEqual(messages_of(self.suspect("d"), Suspicion), [])

    def test_impossible_suspicions(self) -> None:
        """Guards against a peer that raises a counter of this node to its limit."""
        for message in (Suspicion("a", 1 << 63, 0, "d"), Suspicion("x", 1, 1, "x")):
            out = self.node.receive(self.links[0], message)
            self.assertEqual(len(reports_of(out, "suspicion-refused")), 1)

    def test_pause_gives_suspects_their_time(self) -> None:
        """Guards against suspects declared dead because this process was paused."""
        self.suspect("d")
        self.suspect("e")
        self.node.now_ms += 5000
        self.node.handle(events.Tick)
        self.assertIs(self.state_of(), MemberState.SUSPECT)

    def test_received_death_leaves_time_to_refute(self) -> None:
        """Guards against a partitioned part of a region that returns and declares the rest dead."""
        dead = make_record("x", state=MemberState.DEAD)
        self.node.receive(self.links[0], MemberUpdate((dead,)))
        self.assertIs(self.state_of(), MemberState.SUSPECT)

    def test_suspects_serve_when_nobody_else_does(self) -> None:
        """Guards against false suspicions of many members that leave a service without any."""
        names = {record.node_id for record in members_of_service(self.node.state, "menu")}
        self.assertEqual(names, {"b", "c", "d", "e", "x"})
        before = routing_generation(self.node.state)
        suspects = tuple(
            make_record(name, state=MemberState.SUSPECT) for name in ("b", "c", "d", "e")
        )
        self.node.receive(self.links[0], MemberUpdate(suspects))
        names = {record.node_id for record in members_of_service(self.node.state, "menu")}
        self.assertEqual(names, {"x"})
        self.assertGreater(routing_generation(self.node.state), before)
        last = make_record("x", state=MemberState.SUSPECT)
        self.node.receive(self.links[0], MemberUpdate((last,)))
        self.assertEqual(len(members_of_service(self.node.state, "menu")), 5)
        self.assertEqual(ready_services(self.node.state), ("menu",))


class LastNeighbourTest(unittest.TestCase):
    """Members with few neighbours."""

    def test_only_neighbour_decides(self) -> None:
        """Guards against a pair of nodes in which the death of one is never detected."""
        node = SingleNode(make_settings("a"))
        link_id = node.link("b")
        node.receive(link_id, MemberUpdate((make_record("b"),)))
        node.advance(100)
        node.handle(events.LinkClosed, link_id, "reset")
        while effects.OpenLink(address_of("b")) not in node.advance(100):
            self.assertIs(find_member(node.state, "b").state, MemberState.READY)
        node.handle(events.LinkFailed, address_of("b"), "refused")
        node.advance(1200)
        self.assertIs(find_member(node.state, "b").state, MemberState.DEAD)

    def test_isolated_node_declares_nobody_dead(self) -> None:
        """Guards against an isolated node that declares the fleet dead."""
        fleet = Fleet(make_places({"e1": ("east", 6)}), 3)
        fleet.start_all()
        fleet.run(3000)
        others = [name for name in fleet.places if name != "e1-0"]
        fleet.cut_groups(["e1-0"], others)
        fleet.run(30_000)
        self.assertEqual(len(fleet.seen("e1-0")), 6)
        self.assertNotIn("e1-0", fleet.seen("e1-1"))
        fleet.heal()
        fleet.run(10_000)
        self.assertTrue(fleet.maps_equal())

    def test_last_of_region_is_helped_by_another_region(self) -> None:
        """Guards against dead members that stay because their region has one reporter left."""
        fleet = Fleet(TWO_REGIONS, 4)
        fleet.start_all()
        fleet.run(3000)
        for name in fleet.places:
            if name.startswith("e") and name != "e1-0":
                fleet.kill(name, silently=True)
        fleet.run(20_000)
        self.assertTrue(fleet.maps_equal())


class RegionTest(unittest.TestCase):
    """Regions that cannot reach each other."""

    def setUp(self) -> None:
        """Start two regions."""
        self.fleet = Fleet(TWO_REGIONS, 5)
        self.fleet.start_all()
        self.fleet.run(3000)
        self.east = [name for name in TWO_REGIONS if name.startswith("e")]
        self.west = [name for name in TWO_REGIONS if name.startswith("w")]

    def usable(self, names: list[str], region: str) -> set[bool]:
        """Return whether a region is usable, as a set of the answers of some nodes."""
        return {is_region_usable(self.fleet.state(name), region) for name in names}

    def test_cut_and_healed(self) -> None:
        """Guards against deaths by a partition, and against a slow recovery after it."""
        self.fleet.cut_groups(self.east, self.west)
        self.fleet.run(6000)
        self.assertEqual(self.usable(self.east, "west"), {False})
        self.assertEqual(self.usable(self.west, "east"), {False})
        self.fleet.run(60_000)
        self.assertEqual(self.usable(self.east, "west"), {False})
        self.assertEqual(self.fleet.reported("member-dead"), [])
        refutations = len(self.fleet.reported("refuted"))
        self.fleet.heal()
        self.fleet.run(3000)
        self.assertEqual(self.usable(self.east, "west") | self.usable(self.west, "east"), {True})
        self.assertTrue(self.fleet.maps_equal())
        self.assertLessEqual(len(self.fleet.reported("refuted")) - refutations, 4)

    def test_death_during_cut_is_learned(self) -> None:
        """Guards against members that died during a partition and stay live in the other region."""
        self.fleet.cut_groups(self.east, self.west)
        self.fleet.run(6000)
        self.fleet.kill("w1-0")
        self.fleet.kill("e2-0", silently=True)
        self.fleet.run(10_000)
        self.assertIn("w1-0", self.fleet.seen("e1-0"))
        self.fleet.heal()
        self.fleet.run(6000)
        self.assertTrue(self.fleet.maps_equal())

    def test_dead_gateway_is_no_cut(self) -> None:
        """Guards against a region marked unreachable because its gateway died."""
        gateway = self.fleet.state("e1-0").overlay.gateways["west"]
        self.fleet.kill(gateway)
        self.fleet.run(6000)
        self.assertEqual(self.fleet.reported("region-unreachable"), [])
        self.assertTrue(self.fleet.maps_equal())
        self.assertTrue(self.fleet.is_connected())

    def test_cut_hides_members(self) -> None:
        """Guards against requests for members that cannot be reached."""
        node = SingleNode(make_settings("a"))
        link_id = node.link("b")
        west = make_record("w", region="west", data_centre="west-1")
        node.receive(link_id, MemberUpdate((make_record("b", relay_slot=0), west)))
        before = routing_generation(node.state)
        node.receive(link_id, Suspicion("w", 1, 1, "b"))
        names = [record.node_id for record in members_of_service(node.state, "menu")]
        self.assertEqual(names, ["b"])
        self.assertGreater(routing_generation(node.state), before)
        for _ in range(60):
            node.advance(100)
            node.receive(link_id, HEARTBEAT)
        self.assertEqual(len(members_of_service(node.state, "menu")), 2)


class BrokenPathTest(unittest.TestCase):
    """Paths that fail while the members are alive."""

    def test_repeated_refutations_become_rare(self) -> None:
        """Guards against a broken path that costs the fleet a refutation at each dial."""
        fleet = Fleet(make_places({"e1": ("east", 6)}), 6)
        fleet.start_all()
        fleet.run(3000)
        first = "e1-0"
        second = fleet.state(first).overlay.successors[0]
        fleet.cut(first, second)
        fleet.run(60_000)
        early = len(fleet.reported("refuted"))
        fleet.run(120_000)
        late = len(fleet.reported("refuted")) - early
        self.assertEqual(fleet.reported("member-dead"), [])
        self.assertGreater(early, 0)
        self.assertLessEqual(late, 2 * 3)
