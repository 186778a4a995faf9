"""Tests of the document reducer."""

from __future__ import annotations

import unittest
from typing import Any

from bamboonotch_core.configuration import digest_document, encode_snapshot
from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.documents import (
    WATCH_DOCUMENT,
    DocumentState,
    make_document_state,
    reduce_documents,
)
from bamboonotch_core.documents._reading import SETTLE_MS
from bamboonotch_core.effects import Effect, SendMessage, WatchDocument
from bamboonotch_core.events import (
    DocumentRead,
    DocumentRefused,
    DocumentUnchanged,
    Event,
    LinkClosed,
    MessageReceived,
    StoreOperation,
    StoreReadFailed,
    Tick,
)
from bamboonotch_core.messages import Heartbeat, SnapshotChunk, VersionRequest
from tests.routing.builders import make_settings

SERVICES = {"orders": {"tenant": "himal-thali", "slots_per_backend_server": 6}}
VIEW = MembershipView(
    neighbours=(Neighbour("link-1", "peer", 1, "bagmati", "ktm-a"),), is_store_reader=True
)


def make_document(timeout_ms: int) -> dict[str, Any]:
    """Return a valid document whose only route has the given timeout."""
    route = {
        "path_prefix": "/orders/",
        "service": "orders",
        "request_class": "order",
        "idempotent": False,
        "timeout_ms": timeout_ms,
    }
    return {"classes": {"order": {"priority": 1}}, "services": SERVICES, "routes": {"place": route}}


class DocumentCase(unittest.TestCase):
    """Drives the reducer of one node."""

    def setUp(self) -> None:
        """Make the state of a new process."""
        self.state: DocumentState = make_document_state(make_settings())
        self.effects: list[Effect] = []

    def step(self, event: Event) -> list[Effect]:
        """Reduce an event and return its effects."""
        transition = reduce_documents(self.state, event, VIEW)
        self.state = transition.state
        self.effects = list(transition.effects)
        return self.effects

    def watches(self) -> list[WatchDocument]:
        """Return the reads that the last event started."""
        return [effect for effect in self.effects if isinstance(effect, WatchDocument)]

    def requests(self) -> list[SendMessage]:
        """Return the requests to peers that the last event sent."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, SendMessage) and isinstance(effect.message, VersionRequest)
        ]

    def timeout_ms(self) -> int:
        """Return the timeout of the running document, by which the tests distinguish documents."""
        return self.state.running_configuration.routes["place"].timeout_ms


class StoreTest(DocumentCase):
    """Reads and watches."""

    def test_reads_once_then_waits_after_the_revision(self) -> None:
        """Guards against two reads at the same time, and against a missed change."""
        self.step(Tick(-SETTLE_MS))
        self.step(Tick(0.0))
        self.assertEqual(self.watches(), [WatchDocument(0, 0)])
        self.step(Tick(100.0))
        self.assertEqual(self.watches(), [])
        self.step(DocumentRead(110.0, 7, make_document(7), 530))
        self.assertEqual(self.watches()[0].revision, 530)
        self.assertEqual((self.state.running_version, self.timeout_ms()), (7, 7))
        self.assertTrue(self.state.serving)

    def test_never_goes_back(self) -> None:
        """Guards against a stale read that brings an older version back."""
        self.step(DocumentRead(0.0, 9, make_document(9), 10))
        self.step(DocumentRead(1.0, 7, make_document(7), 11))
        self.assertEqual((self.state.running_version, self.timeout_ms()), (9, 9))

    def test_burst_of_versions_is_read_in_steps(self) -> None:
        """Guards against reading every version of a burst, which saturates the store's link."""
        now_ms, reads, newest = 0.0, 0, 1
        self.step(DocumentRead(now_ms, newest, make_document(newest), newest))
        while now_ms < 5000.0:
            now_ms += 100.0
            newest += 1
            self.step(Tick(now_ms))
            if self.watches() or self.state.reading.pending:
                reads += 1
                self.step(DocumentRead(now_ms, newest, make_document(newest), newest))
            self.assertGreaterEqual(self.state.running_version, newest - 8)
        self.assertLessEqual(reads, 10)
        self.step(Tick(now_ms + 700.0))
        self.assertEqual(self.watches(), [WatchDocument(0, 0)])
        self.step(DocumentRead(now_ms + 710.0, newest, make_document(newest), newest))
        self.assertEqual(self.watches()[0].revision, newest)

    def test_single_changes_are_watched(self) -> None:
        """Guards against a pause when versions come one at a time."""
        for number in range(1, 6):
            self.step(DocumentRead(number * 1100.0, number, make_document(number), number))
            self.assertEqual(self.watches()[0].revision, number)

    def test_bad_version_changes_nothing(self) -> None:
        """Guards against an invalid version that is partly applied or ends the watch."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        invalid = make_document(8)
        invalid["routes"]["place"]["service"] = "absent"
        self.step(DocumentRead(1.0, 8, invalid, 11))
        self.assertEqual((self.state.running_version, self.timeout_ms()), (7, 7))
        self.assertEqual(self.watches()[0].revision, 11)
        self.step(DocumentRefused(2.0, "not JSON", 0))
        self.assertEqual(self.state.running_version, 7)
        self.step(DocumentRead(3.0, 9, make_document(9), 12))
        self.assertEqual(self.timeout_ms(), 9)

    def test_failures_back_off_and_read_anew(self) -> None:
        """Guards against frequent reads during an outage, and against a watch of lost history."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        failed = StoreOperation(WATCH_DOCUMENT)
        self.step(StoreReadFailed(100.0, failed, "refused"))
        self.assertEqual(self.watches(), [])
        self.step(Tick(150.0))
        self.assertEqual(self.watches(), [])
        self.step(Tick(200.0))
        self.assertEqual(self.watches(), [WatchDocument(0, 0)])
        reads = 0
        now_ms = 200.0
        for _ in range(100):
            self.step(StoreReadFailed(now_ms, failed, "refused"))
            now_ms += 100.0
            self.step(Tick(now_ms))
            reads += len(self.watches())
            while not self.watches():
                now_ms += 100.0
                self.step(Tick(now_ms))
        self.assertLessEqual(100 / (now_ms / 1000.0), 1.5)
        self.assertFalse(self.state.store_reachable)
        self.assertTrue(self.state.serving)
        self.step(DocumentUnchanged(now_ms, 44))
        self.assertTrue(self.state.store_reachable)

    def test_absent_document_is_not_polled_in_a_loop(self) -> None:
        """Guards against reads without a pause before the first configuration exists."""
        self.step(Tick(-SETTLE_MS))
        self.step(Tick(0.0))
        self.step(DocumentUnchanged(1.0, 0))
        self.assertEqual(self.watches(), [])
        self.step(Tick(150.0))
        self.assertEqual(len(self.watches()), 1)


class PeerTest(DocumentCase):
    """Versions that come from peers."""

    def _receive_heartbeat(self, version: int, now_ms: float) -> None:
        self.step(MessageReceived(now_ms, "link-1", Heartbeat(version, version, 0, True)))

    def _chunk(self, version: int, timeout_ms: int) -> SnapshotChunk:
        document = make_document(timeout_ms)
        return SnapshotChunk(version, digest_document(document), 0, 1, encode_snapshot(document))

    def test_asks_a_peer_that_is_ahead(self) -> None:
        """Guards against a node that stays behind because the store refuses its reads."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        self.step(StoreReadFailed(10.0, StoreOperation(WATCH_DOCUMENT), "refused"))
        self._receive_heartbeat(8, 20.0)
        self.assertEqual(len(self.requests()), 1)
        self._receive_heartbeat(8, 30.0)
        self.assertEqual(len(self.requests()), 0)
        self.step(MessageReceived(40.0, "link-1", self._chunk(8, 8)))
        self.assertEqual((self.state.running_version, self.timeout_ms()), (8, 8))

    def test_waits_for_the_store_first(self) -> None:
        """Guards against documents sent by peers although the store brings them."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        self._receive_heartbeat(8, 20.0)
        self.assertEqual(self.requests(), [])
        self.step(Tick(400.0))
        self.assertEqual(len(self.requests()), 1)

    def test_a_lost_link_is_not_asked(self) -> None:
        """Guards against requests over a closed link."""
        self.step(StoreReadFailed(10.0, StoreOperation(WATCH_DOCUMENT), "refused"))
        self._receive_heartbeat(8, 20.0)
        self.step(LinkClosed(30.0, "link-1", "reset"))
        self.step(Tick(1000.0))
        self.assertEqual(self.requests(), [])

    def test_answers_with_the_whole_document(self) -> None:
        """Guards against an answer with an older document or an incomplete one."""
        self.step(DocumentRead(0.0, 9, make_document(9), 10))
        self.step(MessageReceived(1.0, "link-1", VersionRequest(9)))
        self.assertFalse([item for item in self.effects if isinstance(item, SendMessage)])
        self.step(MessageReceived(2.0, "link-1", VersionRequest(8)))
        sent = [item for item in self.effects if isinstance(item, SendMessage)]
        self.assertEqual(sent, [SendMessage("link-1", self._chunk(9, 9))])

    def test_damaged_copies_change_nothing(self) -> None:
        """Guards against holding a document that was damaged in transfer."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        valid = self._chunk(8, 8)
        for chunk in (
            SnapshotChunk(8, valid.digest, 0, 1, valid.data[:-4]),
            SnapshotChunk(8, "0" * 64, 0, 1, valid.data),
            SnapshotChunk(8, valid.digest, 0, 2, valid.data),
        ):
            self.step(MessageReceived(1.0, "link-1", chunk))
            self.assertEqual(self.timeout_ms(), 7)
