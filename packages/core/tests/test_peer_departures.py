"""Tests of departures that neighbours keep for the next process of a node.

Pattern: the store is away, so that nothing but the peers outlives the process that has acknowledged
a departure. A heartbeat from before the departure arrives late.
"""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace

from bamboonotch_core import _departures_part, effects, events
from bamboonotch_core.announcements import MAX_DEPARTURES
from bamboonotch_core.departure_messages import Departures
from bamboonotch_core.events import BackendServerAnnounced, BackendServerStated
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import own_record
from bamboonotch_core.messages import Message
from bamboonotch_core.reducer import reduce
from bamboonotch_core.state import NodeState, make_node_state
from tests.membership.fleet import make_peer, make_places, make_settings, messages_of
from tests.membership.whole_fleet import WholeFleet

READY = BackendServerAnnounced(
    0.0, "orders", "10.0.0.1:80", 3, "ready", "i-1", 900, 40, heard_unix_ms=950
)
GONE = BackendServerAnnounced(0.0, "", "", 0, "stopped", "i-1", heard_unix_ms=960)


class RestartTest(unittest.TestCase):
    """A node of a small fleet that is killed while the store is away."""

    def setUp(self) -> None:
        """Start a fleet with one ready backend server."""
        places = make_places({"east-1": ("east", 5)})
        self.fleet = WholeFleet(places)
        self.node = sorted(places)[0]
        self.fleet.start_all()
        self.fleet.run(6000.0)
        self.hear(READY)
        self.assertIs(self.state(), MemberState.READY)

    def hear(self, event: BackendServerAnnounced) -> None:
        """Let the node hear its backend server."""
        fields = [getattr(event, name) for name in event.__dataclass_fields__][1:]
        self.fleet._post(0.0, self.node, BackendServerAnnounced, *fields)
        self.fleet.run(300.0)

    def state(self) -> MemberState:
        """Return the state of the node's own record."""
        return own_record(self.fleet.state(self.node)).state

    def restart(self, silently: bool = False) -> None:
        """Kill the node while the store is away, and start it again."""
        self.fleet.store_up = False
        self.fleet.kill(self.node, silently)
        self.fleet.run(300.0)
        self.fleet.start(self.node)
        self.fleet.run(3000.0)

    def test_late_heartbeat(self) -> None:
        """Guards against an acknowledged departure that ends with the process."""
        for departure in (GONE, replace(READY, state="draining", sequence=41)):
            for silently in (False, True):
                with self.subTest(state=departure.state, silently=silently):
                    self.setUp()
                    self.fleet.store_up = False
                    self.hear(departure)
                    self.restart(silently)
                    self.hear(READY)
                    self.assertIsNot(self.state(), MemberState.READY)

    def test_late_heartbeat_at_once(self) -> None:
        """Guards against a heartbeat that is heard before the first link and believed for good."""
        self.fleet.store_up = False
        self.hear(GONE)
        self.fleet.kill(self.node)
        self.fleet.run(300.0)
        self.fleet.start(self.node)
        self.hear(READY)
        # Less than the silence after which a backend server is taken for stopped anyway.
        self.fleet.run(700.0)
        announcement = self.fleet._nodes[self.node].announcement
        self.assertEqual(announcement and announcement.state, "stopped")

    def test_two_restarts(self) -> None:
        """Guards against a departure that the second process does not tell its neighbours."""
        self.fleet.store_up = False
        self.hear(GONE)
        self.restart()
        self.restart()
        self.hear(READY)
        self.assertIsNot(self.state(), MemberState.READY)

    def test_next_process_of_the_backend_server(self) -> None:
        """Guards against a departure that outdates a process which started after it."""
        self.hear(GONE)
        self.restart()
        self.hear(replace(READY, instance_id="i-2", started_unix_ms=2000, sequence=1))
        self.assertIs(self.state(), MemberState.READY)

    def test_no_departure(self) -> None:
        """Guards against a restart after which a backend server that did not leave is not used."""
        self.restart()
        self.hear(READY)
        self.assertIs(self.state(), MemberState.READY)


class MessageTest(unittest.TestCase):
    """One node with a link to a peer."""

    def setUp(self) -> None:
        """Start the node and open the link."""
        self.state: NodeState = make_node_state(make_settings("a"), 1000, 7, 0.0)
        self.out: tuple[effects.Effect, ...] = ()
        self.link("b")

    def reduce(self, event: events.Event) -> tuple[effects.Effect, ...]:
        """Reduce an event and return its effects."""
        transition = reduce(self.state, event)
        self.state, self.out = transition.state, transition.effects
        return self.out

    def link(self, node_id: str, now_ms: float = 0.0) -> list[Message]:
        """Open a link to a peer and return the departures that it is told."""
        self.reduce(events.LinkOpened(now_ms, f"link-{node_id}", make_peer(node_id), True))
        return [message for _, message in messages_of(self.out, Departures)]

    def receive(self, message: Message, now_ms: float = 1.0) -> tuple[effects.Effect, ...]:
        """Receive a message of the peer."""
        return self.reduce(events.MessageReceived(now_ms, "link-b", message))

    def test_told_once(self) -> None:
        """Guards against a message for each heartbeat of a server that drains."""
        self.reduce(READY)
        told = []
        for sequence in (41, 42, 43):
            self.reduce(replace(READY, state="draining", sequence=sequence))
            told += messages_of(self.out, Departures)
        self.assertEqual([link_id for link_id, _ in told], ["link-b"])

    def test_departure_in_a_response(self) -> None:
        """Guards against a server that only says in a response that it leaves."""
        self.reduce(READY)
        self.reduce(BackendServerStated(1.0, "i-1", 900, None, True))
        ((_, message),) = messages_of(self.out, Departures)
        self.assertTrue(message.departures[0].leaving)

    def test_new_neighbour(self) -> None:
        """Guards against a neighbour that comes after the departure and does not know of it."""
        self.reduce(READY)
        self.reduce(replace(READY, state="draining", sequence=41))
        (message,) = self.link("c")
        self.assertEqual(message.node_id, "a")

    def test_returned_to_its_node(self) -> None:
        """Guards against departures that are not returned, or too late to mean anything."""
        self.receive(Departures("b", (GONE,)))
        self.assertEqual(self.link("b", 10_000.0), [Departures("b", (GONE,))])
        self.assertEqual(self.link("c", 10_000.0), [])
        late_ms = 2.0 + _departures_part.RETENTION_MS
        self.assertEqual(self.link("b", late_ms), [])

    def test_recalled_departure_is_kept(self) -> None:
        """Guards against a departure that the entry in the store lacks for good."""
        out = self.receive(Departures("a", (GONE,)))
        kept = [item.announcement for item in out if isinstance(item, effects.KeepDeparture)]
        self.assertEqual([item.instance_id for item in kept], ["i-1"])
        self.assertEqual([item.instance_id for item in self.state.departures], ["i-1"])
        self.assertEqual(self.receive(Departures("a", (GONE,))), ())

    def test_damaged_time_of_hearing(self) -> None:
        """Guards against a departure that outdates every later process of its id."""
        self.receive(Departures("a", (replace(GONE, heard_unix_ms=10**15),)))
        later = replace(READY, started_unix_ms=1001, heard_unix_ms=1002)
        self.reduce(later)
        self.assertEqual(self.state.announcement, later)

    def test_refused(self) -> None:
        """Guards against a faulty peer that takes backend servers out of use, or fills memory."""
        odd = (
            Departures("c", (GONE,)),
            Departures("a", (READY,)),
            Departures("a", (replace(GONE, instance_id=""),)),
            Departures("a", (replace(GONE, started_unix_ms=-1),)),
            Departures("a", (replace(READY, state="odd"),)),
            Departures("b", tuple(replace(GONE, instance_id=f"i-{n}") for n in range(9))),
        )
        for message in odd:
            with self.subTest(message=message):
                out = self.receive(message)
                names = [item.name for item in out if isinstance(item, effects.Report)]
                self.assertEqual(names, ["departure-refused"])
                self.assertEqual((self.state.departures, len(self.state.peer_departures)), ((), 0))

    def test_bounds(self) -> None:
        """Guards against neighbours that come and go and fill the memory."""
        kept = self.state.peer_departures
        for number in range(_departures_part.MAX_PEERS + 10):
            kept = _departures_part.keep_for_peer(kept, Departures(f"n{number}", (GONE,)), 0.0)
        self.assertEqual(len(kept), _departures_part.MAX_PEERS)
        for number in range(20):
            message = Departures("n1", (replace(GONE, instance_id=f"i-{number}"),))
            kept = _departures_part.keep_for_peer(kept, message, 1.0)
        self.assertEqual(len(kept["n1"].departures), MAX_DEPARTURES)
        kept = _departures_part.keep_for_peer(
            kept, Departures("late", (GONE,)), 2.0 + _departures_part.RETENTION_MS
        )
        self.assertEqual(list(kept), ["late"])

    def test_any_order(self) -> None:
        """Guards against an order of heartbeat, departure and recall that ends in its use."""
        arrivals = (
            READY,
            GONE,
            events.MessageReceived(1.0, "link-b", Departures("a", (GONE,))),
            events.DepartureRecalled(1.0, GONE),
        )
        for order in itertools.permutations(arrivals):
            self.setUp()
            for event in order:
                self.reduce(event)
            announcement = self.state.announcement
            self.assertNotEqual(announcement and announcement.state, "ready", order)


if __name__ == "__main__":
    unittest.main()
