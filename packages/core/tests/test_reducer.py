"""Tests of the composed reducer."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from bamboonotch_core.admission import LiveAttempt, Stage, is_idle
from bamboonotch_core.effects import CompeteForSlot, Effect, ReadNewest, StopCompeting, StopProcess
from bamboonotch_core.events import (
    BackendServerAnnounced,
    Event,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
    ShutdownRequested,
    SlotObtained,
    StoreNewestRead,
    Tick,
)
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership import own_record
from bamboonotch_core.messages import MemberUpdate
from bamboonotch_core.reducer import reduce
from bamboonotch_core.request_effects import RespondToCaller
from bamboonotch_core.request_events import RequestArrived
from bamboonotch_core.settings import IdentitySettings, NodeSettings, RequestSettings, StoreSettings
from bamboonotch_core.state import make_node_state

TICK_MS = 100.0
PEER = PeerIdentity("b", 5, "bagmati", "bagmati-1", "10.0.0.2:7100")


def make_record(node_id: str, incarnation: int, relay_slot: int) -> MemberRecord:
    """Return the record of a ready member of the node's data centre."""
    return MemberRecord(
        node_id=node_id,
        incarnation=incarnation,
        sequence=1,
        region="bagmati",
        data_centre="bagmati-1",
        peer_address=f"10.0.1.{relay_slot + 3}:7100",
        http_address="10.0.0.2:7101",
        admin_address="10.0.0.2:7102",
        service="menu",
        slots=6,
        state=MemberState.READY,
        relay_slot=relay_slot,
    )


class NodeCase(unittest.TestCase):
    """A node whose store has no version yet."""

    def setUp(self) -> None:
        """Start the node."""
        identity = IdentitySettings(
            "a", "t", "bagmati", "bagmati-1", "10.0.0.1:7100", "10.0.0.1:7101", "10.0.0.1:7102"
        )
        self.settings = NodeSettings(identity, StoreSettings("10.0.0.9:8500", "bagmati"))
        self.now_ms = 1000.0
        self.state = make_node_state(self.settings, 7, 1, self.now_ms)

    def send(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event and return its effects."""
        transition = reduce(self.state, event)
        self.state = transition.state
        return transition.effects

    def tick(self, count: int = 1) -> list[Effect]:
        """Let time pass and return all effects."""
        effects: list[Effect] = []
        for _ in range(count):
            self.now_ms += TICK_MS
            effects.extend(self.send(Tick(self.now_ms)))
        return effects

    def serve(self) -> None:
        """Let the node learn from the store that there is no version yet."""
        self.tick(10)
        self.send(StoreNewestRead(self.now_ms, 0, "", b"", ()))
        self.assertTrue(self.state.distribution.serving)


class StartTest(NodeCase):
    """The first events."""

    def test_refuses_until_it_knows_its_version(self) -> None:
        """Guards against a node that serves before it knows the newest version (P1)."""
        self.assertTrue(any(isinstance(effect, ReadNewest) for effect in self.tick(10)))
        arrival = RequestArrived(self.now_ms, "r", "GET", "/menu", None, "", 0, 0)
        (answer,) = self.send(arrival)
        assert isinstance(answer, RespondToCaller)
        self.assertEqual((answer.status, answer.reason), (503, "not-serving"))

    def test_view_follows_the_membership(self) -> None:
        """Guards against witnesses chosen from links that are gone or unknown (P1)."""
        self.serve()
        self.send(LinkOpened(self.now_ms, "b#1", PEER, False))
        self.send(MessageReceived(self.now_ms, "b#1", MemberUpdate((make_record("b", 5, 0),))))
        self.tick()
        self.assertEqual([link.node_id for link in self.state.view.neighbours], ["b"])
        self.assertIn("b", self.state.view.live_node_ids)
        self.assertEqual(self.state.view.own_incarnation, 7)


class SlotTest(NodeCase):
    """Competition for relay slots."""

    def _hear(self, *records: MemberRecord) -> list[Effect]:
        self.send(LinkOpened(self.now_ms, "b#1", PEER, False))
        self.send(MessageReceived(self.now_ms, "b#1", MemberUpdate(records)))
        return self.tick()

    def test_stops_while_all_slots_are_held(self) -> None:
        """Guards against store calls that grow with the fleet."""
        self.serve()
        holders = [make_record(f"h{slot}", 5, slot) for slot in range(3)]
        effects = self._hear(make_record("b", 5, -1), *holders)
        self.assertIn(StopCompeting(), effects)
        self.assertNotIn(StopCompeting(), self.tick(5))

    def test_competes_when_a_slot_is_free(self) -> None:
        """Guards against a data centre without readers because nobody competes."""
        self.serve()
        self._hear(make_record("b", 5, -1), *(make_record(f"h{i}", 5, i) for i in range(3)))
        update = MemberUpdate((make_record("h0", 6, -1), make_record("h1", 6, -1)))
        self.send(MessageReceived(self.now_ms, "b#1", update))
        self.assertIn(CompeteForSlot(), self.tick())

    def test_holder_goes_on(self) -> None:
        """Guards against a holder that gives its lease up."""
        self.serve()
        self.send(SlotObtained(self.now_ms, 0))
        effects = self._hear(*(make_record(f"h{i}", 5, i) for i in range(3)))
        self.assertNotIn(StopCompeting(), effects)


class ShutdownTest(NodeCase):
    """Graceful end of the process."""

    def test_idle_node_spreads_its_leaving_and_ends(self) -> None:
        """Guards against a process that ends before others know, or never (P7, P8)."""
        self.serve()
        self.send(BackendServerAnnounced(self.now_ms, "menu", "10.0.0.1:80", 6, "ready"))
        self.send(ShutdownRequested(self.now_ms))
        self.assertNotIn(StopProcess(), self.tick(10))
        self.assertFalse(self.state.outcomes.shutting_down)
        self.assertIn(StopProcess(), self.tick(15))
        self.assertTrue(self.state.outcomes.shutting_down)

    def test_busy_process_takes_nothing_that_may_outlast_it(self) -> None:
        """Guards against callers that are served until a process ends with their requests.

        Its backend server is at work, so the process goes on answering what that server calls.
        """
        requests = RequestSettings(shutdown_spread_ms=500, kill_after_ms=6000)
        self.state = make_node_state(replace(self.settings, requests=requests), 7, 1, self.now_ms)
        self.serve()
        self.send(ShutdownRequested(self.now_ms))
        ends_ms = self.now_ms + requests.longest_shutdown_ms
        self.assertEqual(self.state.outcomes.requests_end_ms, ends_ms)
        attempt = LiveAttempt("x", "menu-read", False, math.inf, math.inf, "", Stage.DISPATCHED)
        live = self.state.admission.live.set("x", attempt)
        self.state = replace(self.state, admission=replace(self.state.admission, live=live))
        self.assertFalse(is_idle(self.state.admission))
        while self.now_ms + TICK_MS < ends_ms:
            self.assertNotIn(StopProcess(), self.tick())
            self.assertFalse(self.state.outcomes.shutting_down)
        self.tick()
        self.assertTrue(self.state.outcomes.shutting_down)
        self.assertIn(StopProcess(), self.tick(4))

    def test_response_that_still_leaves_is_waited_for(self) -> None:
        """Guards against a download that is cut because its backend server has done its part."""
        requests = RequestSettings(shutdown_spread_ms=500, kill_after_ms=6000)
        self.state = make_node_state(replace(self.settings, requests=requests), 7, 1, self.now_ms)
        self.serve()
        self.send(ShutdownRequested(self.now_ms))
        for _ in range(30):
            self.now_ms += TICK_MS
            self.assertNotIn(StopProcess(), self.send(Tick(self.now_ms, owned_attempts=1)))
        self.assertTrue(is_idle(self.state.admission))
        self.assertIn(StopProcess(), self.tick(5))

    def test_ends_before_it_is_killed(self) -> None:
        """Guards against a process that is killed with answers on the way."""
        requests = RequestSettings(
            shutdown_spread_ms=2700, shutdown_serve_ms=1700, kill_after_ms=3000
        )
        self.assertEqual((requests.longest_shutdown_ms, requests.drain_after_ms), (2100, 1100))
        self.state = make_node_state(replace(self.settings, requests=requests), 7, 1, self.now_ms)
        self.serve()
        self.send(ShutdownRequested(self.now_ms))
        self.assertIn(StopProcess(), self.tick(24))
        self.assertEqual(RequestSettings(kill_after_ms=900).longest_shutdown_ms, 0)

    def test_backend_server_is_used_until_shortly_before_the_end(self) -> None:
        """Guards against rolling restarts that leave a service without any owner."""
        requests = replace(self.settings.requests, shutdown_spread_ms=2700, shutdown_serve_ms=1700)
        settings = replace(self.settings, requests=requests)
        self.state = make_node_state(settings, 7, 1, self.now_ms)
        self.serve()
        self.send(BackendServerAnnounced(self.now_ms, "menu", "10.0.0.1:80", 6, "ready"))
        self.send(ShutdownRequested(self.now_ms))
        self.tick(8)
        self.send(BackendServerAnnounced(self.now_ms, "menu", "10.0.0.1:80", 6, "ready"))
        self.tick(8)
        self.assertIs(own_record(self.state.membership).state, MemberState.READY)
        self.assertFalse(self.state.admission.shutting_down)
        self.send(BackendServerAnnounced(self.now_ms, "menu", "10.0.0.1:80", 6, "ready"))
        self.tick()
        self.assertIs(own_record(self.state.membership).state, MemberState.DRAINING)
        self.assertTrue(self.state.admission.shutting_down)
        self.assertNotIn(StopProcess(), self.tick(9))
        self.assertIn(StopProcess(), self.tick(4))
