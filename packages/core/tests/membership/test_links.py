"""Tests of links, dials and rendezvous."""

from __future__ import annotations

import unittest

from bamboonotch_core import effects, events
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import neighbours, overlay_neighbours
from bamboonotch_core.membership._dialling import MAX_PENDING_DIALS
from bamboonotch_core.membership._overlay import LINK_GRACE_MS
from bamboonotch_core.messages import Heartbeat, MemberUpdate
from tests.membership.fleet import (
    SingleNode,
    address_of,
    make_peer,
    make_record,
    make_settings,
    messages_of,
    reports_of,
)

HEARTBEAT = Heartbeat(3, 3, 0, True)


def opened(out: tuple | list) -> list[str]:
    """Return the addresses dialled."""
    return [effect.address for effect in out if isinstance(effect, effects.OpenLink)]


def closed(out: tuple | list) -> list[str]:
    """Return the links closed."""
    return [effect.link_id for effect in out if isinstance(effect, effects.CloseLink)]


class DuplicateTest(unittest.TestCase):
    """Two links to one peer."""

    def open(self, own_id: str, *links: tuple[str, bool, float, int]) -> list[str]:
        """Open links to the peer ``m``: id, direction, time and incarnation; return those left."""
        node = SingleNode(make_settings(own_id))
        for link_id, outbound, now_ms, incarnation in links:
            node.now_ms = now_ms
            node.handle(
                events.LinkOpened, link_id, make_peer("m", incarnation=incarnation), outbound
            )
        return [neighbour.link_id for neighbour in neighbours(node.state)]

    def test_smaller_id_dialled(self) -> None:
        """Guards against two ends that each close the link kept by the other."""
        for links in (
            (("x", True, 1, 1), ("y", False, 2, 1)),
            (("y", False, 1, 1), ("x", True, 2, 1)),
        ):
            self.assertEqual(self.open("a", *links), ["x"])
            self.assertEqual(self.open("z", *links), ["y"])

    def test_old_link_is_replaced(self) -> None:
        """Guards against a silent link that is kept because the smaller node dialled it."""
        self.assertEqual(self.open("a", ("x", True, 1, 1), ("y", False, 5000, 1)), ["y"])

    def test_newer_incarnation_wins(self) -> None:
        """Guards against a link to a process that no longer exists."""
        self.assertEqual(self.open("a", ("x", True, 1, 1), ("y", False, 2, 2)), ["y"])

    def test_refused_peers(self) -> None:
        """Guards against a link to the node itself or to a peer with invalid fields."""
        for peer in (make_peer("a"), make_peer("b", incarnation=0), make_peer("bad id")):
            node = SingleNode(make_settings("a"))
            out = node.handle(events.LinkOpened, "x", peer, True)
            self.assertEqual(closed(out), ["x"])
            self.assertEqual(neighbours(node.state), ())


class OverlayTest(unittest.TestCase):
    """Links that follow from the ring."""

    def setUp(self) -> None:
        """Start a node in a region of three, with a link to one of the others."""
        self.node = SingleNode(make_settings("a"))
        self.first = self.node.link("b")
        records = tuple(make_record(name) for name in ("b", "c"))
        self.node.receive(self.first, MemberUpdate(records))

    def test_ring_is_dialled(self) -> None:
        """Guards against members that nobody links to."""
        out = self.node.advance(1700)
        self.assertIn(address_of("c"), opened(out))
        self.assertEqual(overlay_neighbours(self.node.state), ("b", "c"))

    def test_unneeded_link_stays_until_replaced(self) -> None:
        """Guards against an overlay that is split by links closed too early."""
        dead = make_record("b", state=MemberState.DEAD)
        for state in (make_record("b", state=MemberState.SUSPECT), dead):
            self.node.receive(self.first, MemberUpdate((state,)))
        for _ in range(10):
            self.assertEqual(closed(self.node.advance(100)), [])
            self.node.receive(self.first, HEARTBEAT)
        second = self.node.link("c")
        opened_ms = self.node.now_ms
        while not closed(self.node.advance(100)):
            self.node.receive(self.first, HEARTBEAT)
            self.node.receive(second, HEARTBEAT)
        self.assertEqual(closed(self.node.out), [self.first])
        self.assertGreaterEqual(self.node.now_ms - opened_ms, LINK_GRACE_MS)
        self.assertLess(self.node.now_ms - opened_ms, LINK_GRACE_MS + 300)

    def test_backoff_is_bounded_and_jittered(self) -> None:
        """Guards against reconnects of many nodes at the same time, and against dials that stop."""
        times = []
        for _ in range(600):
            out = self.node.advance(100)
            if address_of("c") in opened(out):
                times.append(self.node.now_ms)
                self.node.handle(events.LinkFailed, address_of("c"), "refused")
            self.node.receive(self.first, HEARTBEAT)
        waits = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertLessEqual(max(waits), 5200)
        self.assertGreater(len(waits), 10)
        self.assertGreater(len(set(waits[5:])), 3)

    def test_dead_neighbour_is_dialled_for_a_minute(self) -> None:
        """Guards against a restarted node that its neighbours do not find."""
        self.node.advance(200)
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            self.node.receive(self.first, MemberUpdate((make_record("c", state=state),)))
        last_ms = 0.0
        for _ in range(800):
            if address_of("c") in opened(self.node.advance(100)):
                last_ms = self.node.now_ms
                self.node.handle(events.LinkFailed, address_of("c"), "refused")
            self.node.receive(self.first, HEARTBEAT)
        self.assertGreater(last_ms, 50_000)
        self.assertLess(last_ms, 61_000)
        self.assertEqual(dict(self.node.state.overlay.dials), {})

    def test_silent_link_is_replaced(self) -> None:
        """Guards against a broken connection that is never replaced."""
        self.node.receive(self.first, HEARTBEAT)
        out = self.node.advance(1600)
        self.assertEqual(closed(out), [self.first])
        self.assertIn(address_of("b"), opened(out))
        self.assertEqual(reports_of(out, "member-suspected"), [])

    def test_pause_does_not_close_links(self) -> None:
        """Guards against a process that suspects all members after a pause."""
        self.node.advance(100)
        self.node.now_ms += 60_000
        out = self.node.handle(events.Tick)
        self.assertEqual(closed(out), [])
        self.assertEqual(reports_of(out, "member-suspected"), [])

    def test_pending_dials_are_bounded(self) -> None:
        """Guards against hundreds of connections opened at once."""
        records = tuple(
            make_record(f"w{number}", region=f"r{number}", data_centre=f"r{number}-1")
            for number in range(40)
        )
        self.node.receive(self.first, MemberUpdate(records))
        self.node.handle(events.SlotObtained, 0)
        self.assertEqual(len(opened(self.node.advance(200))), MAX_PENDING_DIALS)


class RendezvousTest(unittest.TestCase):
    """Rendezvous with the fleet."""

    def test_start_reads_and_competes(self) -> None:
        """Guards against a new node that finds no other node."""
        node = SingleNode(make_settings("a"))
        out = node.advance(100)
        self.assertIn(effects.ReadSlots(), out)
        self.assertIn(effects.CompeteForSlot(), out)
        self.assertEqual(len(reports_of(out, "alone")), 1)
        node.handle(
            events.SlotsRead,
            (
                events.SlotHolder("east-1", 0, "b:80"),
                events.SlotHolder("east-1", 1, "a:80"),
                events.SlotHolder("east-1", 2, "not an address"),
            ),
        )
        out = node.advance(100)
        self.assertEqual(opened(out), ["b:80"])
        self.assertNotIn(effects.CompeteForSlot(), out)

    def test_odd_addresses_are_not_dialled(self) -> None:
        """Guards against an entry of another writer that has other targets than nodes dialled."""
        odd = (
            *("unix:/tmp/x:80", "xds:///a:80", "google-c2p:///a:80", "dns://b/a:80"),
            *("a/b:80", "a%b:80", "a,b:80", "[::1:80", "a b:80", "\u00fc:80", ":80", "80", ""),
            *("a:0", "a:65536", "a:99999999999", "a:-1", "a:+1", "a:\u0668", "a:" + "9" * 5000),
            "x" * 100_000 + ":80",
        )
        node = SingleNode(make_settings("a"))
        node.advance(100)
        for address in odd:
            with self.subTest(address=address[:40]):
                out = node.handle(events.SlotsRead, (events.SlotHolder("east-1", 0, address),))
                self.assertEqual(len(reports_of(out, "slot-refused")), 1)
        valid = ("host-1.example_2:80", "10.0.0.1:65535", "[::1]:1")
        holders = tuple(events.SlotHolder("east-1", 1, address) for address in odd + valid)
        node.handle(events.SlotsRead, holders)
        self.assertEqual(set(opened(node.advance(100))), set(valid))

    def test_seeds_when_store_is_down(self) -> None:
        """Guards against a restart that fails because the store is down."""
        node = SingleNode(make_settings("a", seeds=("b:80", "c:80")))
        node.advance(100)
        node.handle(events.StoreReadFailed, events.StoreOperation("read-slots"), "down")
        self.assertEqual(set(opened(node.advance(100))), {"b:80", "c:80"})

    def test_known_members_when_alone(self) -> None:
        """Guards against a node that stays alone although it knows live addresses."""
        node = SingleNode(make_settings("a"))
        link_id = node.link("b")
        names = [f"n{number}" for number in range(40)]
        node.receive(link_id, MemberUpdate(tuple(make_record(name) for name in names)))
        node.advance(100)
        node.handle(events.LinkClosed, link_id, "reset")
        tried = set()
        for _ in range(300):
            out = node.advance(100)
            for address in opened(out):
                tried.add(address)
                node.handle(events.LinkFailed, address, "refused")
            if effects.ReadSlots() in out:
                node.handle(events.StoreReadFailed, events.StoreOperation("read-slots"), "down")
        self.assertGreater(len(tried), len(overlay_neighbours(node.state)) + 5)

    def test_heartbeats_are_regular(self) -> None:
        """Guards against links that look silent, and against needless traffic."""
        node = SingleNode(make_settings("a"))
        link_id = node.link("b")
        count = 0
        for _ in range(100):
            out = node.advance(100)
            count += len(messages_of(out, Heartbeat))
            node.receive(link_id, HEARTBEAT)
        self.assertIn(count, (19, 20, 21))
