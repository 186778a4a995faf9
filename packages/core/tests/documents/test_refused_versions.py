"""Tests of what a node knows while a version newer than its own was refused."""

from __future__ import annotations

import unittest

from bamboonotch_core.configuration import digest_document, encode_snapshot
from bamboonotch_core.distribution import MembershipView
from bamboonotch_core.documents import make_document_state, reduce_documents
from bamboonotch_core.documents._reading import SETTLE_MS
from bamboonotch_core.effects import Report
from bamboonotch_core.events import (
    DocumentRead,
    DocumentRefused,
    DocumentUnchanged,
    MessageReceived,
    StoreEpochSeen,
    Tick,
)
from bamboonotch_core.messages import Heartbeat, SnapshotChunk, VersionAnnounce
from tests.documents.test_reducer import VIEW, DocumentCase, make_document
from tests.membership.fleet import make_places
from tests.membership.whole_fleet import WholeFleet
from tests.routing.builders import make_settings

REVOCATION_MS = 5000


def make_invalid_document() -> dict[str, object]:
    """Return a document without the services that its route names."""
    return {**make_document(4), "services": {}}


class RefusedVersionTest(DocumentCase):
    """A node that holds version 3 when version 4 is refused."""

    def setUp(self) -> None:
        """Hold a version that was the newest at 1,000 ms."""
        super().setUp()
        self.step(Tick(0.0))
        self.step(Tick(SETTLE_MS))
        self.step(DocumentRead(1000.0, 3, make_document(3), 530, 1))

    def refuse(self, now_ms: float = 2000.0) -> None:
        """Let the store answer with a version that is refused."""
        self.step(DocumentRead(now_ms, 4, make_invalid_document(), 531, 1))

    def heartbeat(self, now_ms: float, message: Heartbeat) -> None:
        """Receive a heartbeat of a release without numbers, which is dated by its arrival."""
        self.step(MessageReceived(now_ms, "link-1", message))

    def test_answer_that_brings_it(self) -> None:
        """Guards against an answer that confirms the version before the one it brings."""
        self.refuse()
        self.assertEqual((self.state.held_version, self.state.held_confirmed_ms), (3, 1000.0))

    def test_watch_that_reports_no_change(self) -> None:
        """Guards against a watch after the refusal that confirms the version before it."""
        self.refuse()
        self.assertEqual(self.watches()[0].revision, 531)
        self.step(DocumentUnchanged(4000.0, 531, 1))
        self.assertEqual(self.state.held_confirmed_ms, 1000.0)
        self.assertEqual(self.state.confirmation.confirmed_ms, 4000.0)

    def test_peer_of_an_earlier_release(self) -> None:
        """Guards against a peer that refused the same version and confirms the one before it."""
        self.refuse()
        self.heartbeat(3000.0, Heartbeat(3, 3, 0, True, 531, 0, 1))
        self.assertEqual(self.state.held_confirmed_ms, 1000.0)

    def test_peer_that_refused_it(self) -> None:
        """Guards against a node that has not seen the version and takes its own for the newest."""
        self.heartbeat(3000.0, Heartbeat(3, 3, 0, True, 531, 200, 1, confirmed_version=4))
        self.assertEqual(self.state.held_confirmed_ms, 1000.0)
        self.assertEqual(self.state.confirmation.confirmed_ms, 2800.0)
        # It has not seen the version, so a read of its own must bring it.
        self.assertEqual(self.state.confirmation.revision, 530)

    def test_unreadable_document(self) -> None:
        """Guards against a document that cannot be read and confirms the version before it."""
        self.step(DocumentRefused(2000.0, "two rules", 531, 1, 0.0, 4))
        self.step(DocumentUnchanged(4000.0, 531, 1))
        self.assertEqual(self.state.held_confirmed_ms, 1000.0)
        self.step(DocumentRefused(5000.0, "not JSON", 0, 1))
        self.assertEqual(self.state.held_confirmed_ms, 1000.0)

    def test_next_valid_version(self) -> None:
        """Guards against a refusal that outlives the version that replaces it."""
        self.refuse()
        self.step(DocumentRead(6000.0, 5, make_document(5), 532, 1))
        self.assertEqual((self.state.held_version, self.state.held_confirmed_ms), (5, 6000.0))
        self.assertFalse(self.state.is_superseded)

    def test_older_version_from_a_peer(self) -> None:
        """Guards against a version below the refused one that is taken for the newest."""
        self.step(DocumentRead(2000.0, 7, make_invalid_document(), 531, 1))
        data, digest = encode_snapshot(make_document(5)), digest_document(make_document(5))
        self.step(MessageReceived(2100.0, "link-1", SnapshotChunk(5, digest, 0, 1, data)))
        self.heartbeat(3000.0, Heartbeat(5, 5, 0, True, 531, 0, 1))
        self.assertEqual((self.state.held_version, self.state.held_confirmed_ms), (5, 1000.0))

    def test_restore(self) -> None:
        """Guards against a store that has lost the refused version and confirms the one before."""
        self.refuse()
        self.step(StoreEpochSeen(3000.0, 2))
        self.step(DocumentRead(3500.0, 3, make_document(3), 520, 2))
        self.step(DocumentUnchanged(4500.0, 520, 2))
        self.assertIsNone(self.state.held_confirmed_ms)

    def test_peer_that_holds_it(self) -> None:
        """Guards against asking a peer again and again for a version that was refused."""
        document = make_invalid_document()
        digest = digest_document(document)
        chunk = SnapshotChunk(4, digest, 0, 1, encode_snapshot(document))
        self.step(MessageReceived(2000.0, "link-1", VersionAnnounce(4, 1)))
        self.step(MessageReceived(2100.0, "link-1", chunk))
        requests = 0
        for tick in range(50):
            self.step(Tick(2200.0 + 100.0 * tick))
            requests += len(self.requests())
        self.assertEqual(requests, 0)
        self.assertTrue(self.state.is_superseded)

    def test_damaged_chunk(self) -> None:
        """Guards against damaged bytes that are taken for an invalid version."""
        chunk = SnapshotChunk(4, "0" * 64, 0, 1, encode_snapshot(make_document(4)))
        self.step(MessageReceived(2000.0, "link-1", chunk))
        names = [effect.name for effect in self.effects if isinstance(effect, Report)]
        self.assertEqual((names, self.state.newest_version), (["message-refused"], 3))

    def test_process_that_starts(self) -> None:
        """Guards against a new process that takes the version of its peers for the newest."""
        state = make_document_state(make_settings())
        document = make_document(3)
        chunk = SnapshotChunk(3, digest_document(document), 0, 1, encode_snapshot(document))
        heartbeat = Heartbeat(3, 3, 0, True, 531, 200, 1, confirmed_version=4)
        view = MembershipView(neighbours=VIEW.neighbours)
        for event in (
            MessageReceived(100.0, "link-1", heartbeat),
            MessageReceived(200.0, "link-1", chunk),
            MessageReceived(300.0, "link-1", heartbeat),
        ):
            state = reduce_documents(state, event, view).state
        self.assertEqual((state.held_version, state.serving), (3, True))
        self.assertIsNone(state.held_confirmed_ms)


class RefusingFleetTest(unittest.TestCase):
    """A fleet that refuses the newest version."""

    def play(self, revocation_ms: int) -> WholeFleet:
        """Let a fleet of 12 refuse a version and rest for 15 s."""
        fleet = WholeFleet(make_places({"east-1": ("east", 12)}), revocation_ms)
        fleet.start_all()
        fleet.run(15_000.0)
        fleet.write(valid=False)
        fleet.calls.clear()
        fleet.run(15_000.0)
        return fleet

    def test_reads_of_the_store(self) -> None:
        """Guards against nodes that all read the store for as long as a refused version stands."""
        for revocation_ms in (0, REVOCATION_MS):
            with self.subTest(revocation_ms=revocation_ms):
                fleet = self.play(revocation_ms)
                readers = set(fleet.readers())
                others = [node_id for _, node_id in fleet.calls if node_id not in readers]
                self.assertEqual(others, [])

    def test_every_node_knows(self) -> None:
        """Guards against a node that goes on taking the version before it for the newest."""
        fleet = self.play(REVOCATION_MS)
        written_ms = fleet.written_ms[fleet.version]
        for node_id in fleet.alive():
            documents = fleet.documents(node_id)
            self.assertEqual(documents.refused_version, fleet.version)
            self.assertLessEqual(documents.held_confirmed_ms, written_ms)
            self.assertLess(fleet.age_ms(node_id), REVOCATION_MS)
        fleet.write()
        fleet.run(2000.0)
        for node_id in fleet.alive():
            documents = fleet.documents(node_id)
            self.assertEqual(documents.held_version, fleet.version)
            self.assertGreaterEqual(documents.held_confirmed_ms, fleet.written_ms[fleet.version])


if __name__ == "__main__":
    unittest.main()
