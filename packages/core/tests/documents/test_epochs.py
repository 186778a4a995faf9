"""Tests of a source that was restored from a copy, which gives its revisions out again."""

from __future__ import annotations

from bamboonotch_core.documents._reading import MIN_BACKOFF_MS
from bamboonotch_core.effects import Effect, Report, WatchDocument
from bamboonotch_core.events import (
    DocumentRead,
    DocumentUnchanged,
    Event,
    MessageReceived,
    Tick,
)
from bamboonotch_core.messages import Heartbeat
from tests.documents.test_readers import OTHER, READER, STALE_MS, ReaderCase
from tests.documents.test_reducer import make_document


class RestoreCase(ReaderCase):
    """Drives a node that holds version 7, confirmed as of revision 500 of epoch 1."""

    def setUp(self) -> None:
        """Let a reader read version 7."""
        super().setUp()
        self.view = READER
        self.step(DocumentRead(0.0, 7, make_document(7), 500, 1))

    def hear_epoch(
        self, now_ms: float, revision: int, age_ms: int | None, epoch: int
    ) -> list[Effect]:
        """Receive a heartbeat of a peer that holds version 7."""
        heartbeat = Heartbeat(7, 7, 0, True, revision, age_ms, epoch)
        return self.step(MessageReceived(now_ms, "link-1", heartbeat))

    def reads_after(self, event: Event) -> list[WatchDocument]:
        """Return the reads that begin with an event."""
        return [item for item in self.step(event) if isinstance(item, WatchDocument)]


class MixedVersionsTest(ReaderCase):
    """A node that has heard of confirmations from a node of the version before."""

    def test_confirmation_without_an_epoch_is_not_of_a_later_one(self) -> None:
        """Guards against a watch after a revision that no node has seen in this epoch."""
        self.step(DocumentRead(0.0, 7, make_document(7), 500, 0))
        self.step(MessageReceived(100.0, "link-1", Heartbeat(7, 7, 0, True, 900, 0, 0)))
        self.step(MessageReceived(200.0, "link-1", Heartbeat(7, 7, 0, True, 0, None, 2)))
        self.assertEqual(self.state.store_epoch, 2)
        self.assertNotEqual(self.state.confirmation.revision, 900)


class ReaderTest(RestoreCase):
    """A reader of the source."""

    def test_a_watch_of_the_former_epoch_is_replaced(self) -> None:
        """Guards against a watch after a revision that the new history gives out again."""
        self.assertTrue(self.state.reading.pending)
        reads = self.hear_epoch(100.0, 420, 0, 2)
        self.assertIn(WatchDocument(420, 2500, 2), reads)
        self.assertEqual(self.state.confirmation.revision, 420)

    def test_a_peer_without_a_confirmation_brings_the_epoch(self) -> None:
        """Guards against a watch that goes on because the peer knows the new epoch only."""
        self.assertIn(WatchDocument(0, 0, 2), self.hear_epoch(100.0, 0, None, 2))
        self.assertIsNone(self.state.confirmation.confirmed_ms)

    def test_a_confirmation_of_a_former_epoch_is_not_taken(self) -> None:
        """Guards against waiting after a revision that the source does not have any more.

        The watch would get no answer about the changes before that revision, or 410.
        """
        self.step(DocumentRead(100.0, 7, make_document(7), 400, 2))
        self.hear_epoch(200.0, 900, 0, 1)
        self.assertEqual(self.state.confirmation.revision, 400)
        self.assertEqual(self.state.confirmation.confirmed_ms, 100.0)
        reads = self.reads_after(DocumentUnchanged(300.0, 410, 2))
        self.assertEqual(reads, [WatchDocument(410, 2500, 2)])

    def test_a_late_answer_of_a_former_epoch_confirms_nothing(self) -> None:
        """Guards against an old connection that is believed over the restored source."""
        self.hear_epoch(100.0, 420, 0, 2)
        for event in (
            DocumentUnchanged(200.0, 900, 1),
            DocumentRead(201.0, 6, make_document(6), 901, 1),
        ):
            self.step(event)
            self.assertEqual(self.state.confirmation.revision, 420)
            self.assertEqual(self.state.running_version, 7)
        reads = self.reads_after(Tick(201.0 + 2 * MIN_BACKOFF_MS))
        self.assertEqual(reads, [WatchDocument(0, 0, 2)])

    def test_a_newer_version_of_a_former_epoch_is_taken(self) -> None:
        """Guards against a version that the operators' write had made valid and that is ignored."""
        self.hear_epoch(100.0, 420, 0, 2)
        self.step(DocumentRead(200.0, 9, make_document(9), 900, 1))
        self.assertEqual(self.state.running_version, 9)
        self.assertEqual(self.state.confirmation.revision, 420)

    def test_an_older_document_written_again_is_not_taken(self) -> None:
        """Guards against a held version that goes back with the source."""
        self.step(DocumentRead(100.0, 5, make_document(5), 400, 2))
        self.assertEqual((self.state.running_version, self.timeout_ms()), (7, 7))
        self.step(DocumentRead(200.0, 8, make_document(8), 410, 2))
        self.assertEqual((self.state.running_version, self.timeout_ms()), (8, 8))

    def test_unknown_history_is_read_once(self) -> None:
        """Guards against a loop of reads after a revision that the source does not have."""
        self.step(DocumentUnchanged(100.0, 0, 2))
        reads = [read for _, read in self.run_until(200.0, 300.0)]
        self.assertEqual(reads, [WatchDocument(0, 0, 2)])
        reads = self.reads_after(DocumentRead(310.0, 5, make_document(5), 400, 2))
        self.assertEqual(reads, [WatchDocument(400, 2500, 2)])

    def test_a_restore_is_reported_once(self) -> None:
        """Guards against a log line for each heartbeat after a restore."""
        effects = self.hear_epoch(100.0, 420, 0, 2)
        effects += self.hear_epoch(200.0, 430, 0, 2)
        effects += self.step(DocumentUnchanged(300.0, 440, 2))
        reports = [item for item in effects if isinstance(item, Report)]
        self.assertEqual([item.name for item in reports], ["store-restored"])
        self.assertEqual(
            reports[0].fields,
            (
                ("epoch_before", 1),
                ("epoch", 2),
                ("revision_before", 500),
                ("revision", 420),
                ("held_version", 7),
                ("peer", "peer-1"),
            ),
        )

    def test_a_source_without_epochs(self) -> None:
        """Guards against reads from the start at a source that states no epoch."""
        self.state = type(self.state)(self.state.settings)
        self.step(DocumentRead(0.0, 7, make_document(7), 500))
        self.hear(100.0, 7, 510, 0)
        self.assertEqual(self.state.confirmation.revision, 510)
        reads = self.reads_after(DocumentUnchanged(200.0, 520))
        self.assertEqual(reads, [WatchDocument(520, 2500)])

    def timeout_ms(self) -> int:
        """Return the timeout of the running document."""
        return self.state.running_configuration.routes["place"].timeout_ms


class OthersTest(RestoreCase):
    """A node that is no reader."""

    def setUp(self) -> None:
        """Let the watch of the node end."""
        super().setUp()
        self.view = OTHER
        self.step(DocumentUnchanged(50.0, 500, 1))

    def test_waits_for_the_readers(self) -> None:
        """Guards against a fleet that reads the whole document at once after a restore."""
        self.hear_epoch(100.0, 0, None, 2)
        self.assertEqual(self.run_until(200.0, 2000.0), [])
        self.hear_epoch(2000.0, 420, 100, 2)
        self.assertEqual(self.run_until(2100.0, 4000.0), [])

    def test_reads_when_no_reader_confirms(self) -> None:
        """Guards against a node that waits for ever for a confirmation of the new epoch."""
        self.hear_epoch(100.0, 0, None, 2)
        reads = [read for _, read in self.run_until(200.0, 200.0 + STALE_MS)]
        self.assertEqual(reads, [WatchDocument(0, 0, 2)])
