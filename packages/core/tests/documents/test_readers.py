"""Tests of who reads the store: the readers of a region, and the others when they must."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.documents import (
    WATCH_DOCUMENT,
    DocumentState,
    make_document_state,
    reduce_documents,
)
from bamboonotch_core.documents._reading import READER_MISSED_MS, late_after_ms
from bamboonotch_core.effects import Effect, Report, SendMessage, WatchDocument
from bamboonotch_core.events import (
    DocumentRead,
    DocumentUnchanged,
    Event,
    LinkClosed,
    MessageReceived,
    StoreOperation,
    StoreReadFailed,
    Tick,
)
from bamboonotch_core.messages import Heartbeat, VersionAnnounce, VersionRequest
from bamboonotch_core.settings import AccessSettings
from tests.documents.test_reducer import make_document
from tests.routing.builders import make_settings

LINKS = tuple(
    Neighbour(f"link-{number}", f"peer-{number}", 1, "bagmati", "ktm-a") for number in (1, 2)
)
READER = MembershipView(neighbours=LINKS, is_store_reader=True)
OTHER = MembershipView(neighbours=LINKS)
MISSING = MembershipView(neighbours=LINKS, misses_store_reader=True)
ALONE = MembershipView(is_store_reader=True)
# Longer than a confirmation may take: one watch, and a heartbeat for each hop through the region.
STALE_MS = 6000.0


# The first of three readers.
FIRST_READER = MembershipView(neighbours=LINKS, is_store_reader=True, reader_share=1 / 3)


class ReaderCase(unittest.TestCase):
    """Drives the reducer of one node, which is no reader unless a test says so."""

    def setUp(self) -> None:
        """Make the state of a new process."""
        self.state: DocumentState = make_document_state(make_settings())
        self.view = OTHER

    def step(self, event: Event) -> list[Effect]:
        """Reduce an event and return its effects."""
        transition = reduce_documents(self.state, event, self.view)
        self.state = transition.state
        return list(transition.effects)

    def hear(
        self, now_ms: float, version: int, revision: int, age_ms: int | None, link: int = 1
    ) -> list[Effect]:
        """Receive a heartbeat."""
        heartbeat = Heartbeat(version, version, 0, True, revision, age_ms)
        return self.step(MessageReceived(now_ms, f"link-{link}", heartbeat))

    def run_until(self, start_ms: float, end_ms: float) -> list[tuple[float, WatchDocument]]:
        """Let time pass and return the reads that began, with their times."""
        reads = []
        now_ms = start_ms
        while now_ms < end_ms:
            reads += [
                (now_ms, effect)
                for effect in self.step(Tick(now_ms))
                if isinstance(effect, WatchDocument)
            ]
            now_ms += 100.0
        return reads


class LateAnswerTest(ReaderCase):
    """A reader whose watch gets no answer, and its neighbours."""

    def setUp(self) -> None:
        """Let the node hold version 7."""
        super().setUp()
        self.step(DocumentRead(0.0, 7, make_document(7), 10))

    def hear_reader(self, now_ms: float, lost_store: bool, link: int = 1) -> list[Effect]:
        """Receive a heartbeat that confirms nothing."""
        heartbeat = Heartbeat(7, 7, 0, True, lost_store=lost_store)
        return self.step(MessageReceived(now_ms, f"link-{link}", heartbeat))

    def test_first_watch_after_a_change_is_shorter(self) -> None:
        """Guards against readers whose watches all end at the same time."""
        self.view = FIRST_READER
        watches = self.step(DocumentRead(100.0, 8, make_document(8), 20))
        self.assertEqual(watches[-1], WatchDocument(20, 833))
        for now_ms in (933.0, 3433.0):
            watches = self.step(DocumentUnchanged(now_ms, 20))
            self.assertEqual(watches[-1], WatchDocument(20, 2500))
        watches = self.step(DocumentUnchanged(4000.0, 21))
        self.assertEqual(watches[-1], WatchDocument(21, 833))

    def test_reader_states_that_it_has_lost_the_store(self) -> None:
        """Guards against a reader that waits in silence while others rely on it."""
        self.view = FIRST_READER
        self.step(DocumentRead(100.0, 8, make_document(8), 20))
        late_ms = 100.0 + 833.0 + late_after_ms(self.state.settings)
        self.step(Tick(late_ms - 1.0))
        self.assertFalse(self.state.lost_store)
        effects = self.step(Tick(late_ms))
        self.assertTrue(self.state.lost_store)
        names = [item.name for item in effects if isinstance(item, Report)]
        self.assertEqual(names, ["store-answer-late"])
        self.assertEqual(self.step(Tick(late_ms + 100.0)), [])
        self.step(DocumentUnchanged(late_ms + 200.0, 20))
        self.assertFalse(self.state.lost_store)

    def test_reader_whose_reads_fail(self) -> None:
        """Guards against a reader whose retries put off the moment at which others step in."""
        self.view = FIRST_READER
        operation = StoreOperation(WATCH_DOCUMENT)
        now_ms = 0.0
        while not self.state.lost_store:
            now_ms += 100.0
            self.step(Tick(now_ms))
            if self.state.reading.pending:
                self.step(StoreReadFailed(now_ms, operation, "503"))
        self.assertLessEqual(now_ms, late_after_ms(self.state.settings) + 200.0)

    def test_neighbour_reads_in_place_of_a_reader(self) -> None:
        """Guards against neighbours that wait until their own confirmation is old."""
        self.hear_reader(2500.0, True)
        reads = self.run_until(2500.0, 2800.0)
        self.assertEqual([read for _, read in reads], [WatchDocument(10, 2500)])

    def test_neighbour_with_a_fresh_confirmation(self) -> None:
        """Guards against reads of all neighbours when one of three readers loses the store."""
        now_ms = 2400.0
        while now_ms < 10_000.0:
            self.hear(now_ms, 7, 44, 500)
            self.hear_reader(now_ms, True)
            self.assertEqual(self.run_until(now_ms, now_ms + 500.0), [])
            now_ms += 500.0

    def test_statement_is_taken_back_or_lost(self) -> None:
        """Guards against neighbours that go on reading."""
        for event in (
            MessageReceived(2500.0, "link-1", Heartbeat(7, 7, 0, True)),
            LinkClosed(2500.0, "link-1", "reset"),
        ):
            self.setUp()
            self.hear_reader(2500.0, True)
            self.step(event)
            self.assertEqual(self.state.lost_readers, frozenset())
            self.assertEqual(self.run_until(2500.0, 2900.0), [])

    def test_reader_of_another_region(self) -> None:
        """Guards against nodes that read the store for another region."""
        far = replace(LINKS[0], region="gandaki")
        self.view = MembershipView(neighbours=(far,))
        self.hear_reader(2500.0, True)
        self.assertEqual(self.state.lost_readers, frozenset())

    def test_time_that_cannot_be_met(self) -> None:
        """Guards against a bound that is missed without a word."""
        for freshness_ms, expected in ((3000, []), (1500, ["apply-time-short"])):
            access = AccessSettings(freshness_ms=freshness_ms)
            settings = replace(make_settings(), access=access)
            self.state = make_document_state(settings)
            names = [e.name for e in self.step(Tick(0.0)) if isinstance(e, Report)]
            self.assertEqual(names, expected)


class OthersTest(ReaderCase):
    """A node that is no reader."""

    def setUp(self) -> None:
        """Let the node hold version 7, which a reader has confirmed."""
        super().setUp()
        self.step(DocumentRead(0.0, 7, make_document(7), 10))

    def test_does_not_read_while_the_version_is_confirmed(self) -> None:
        """Guards against calls of the store that grow with the fleet."""
        reads = []
        for now_ms in range(100, 20_000, 500):
            self.hear(float(now_ms), 7, 10 + now_ms, 900)
            reads += self.run_until(float(now_ms), now_ms + 500.0)
        self.assertEqual(reads, [])

    def test_reads_when_no_confirmation_comes(self) -> None:
        """Guards against readers that all fall silent, which would hold every node back."""
        self.hear(100.0, 7, 44, 0)
        reads = self.run_until(200.0, 200.0 + STALE_MS)
        self.assertEqual([read for _, read in reads], [WatchDocument(44, 2500)])

    def test_reads_when_it_misses_a_reader(self) -> None:
        """Guards against readers that lose power together, whose loss only neighbours notice."""
        self.hear(100.0, 7, 44, 0)
        self.view = MISSING
        reads = self.run_until(200.0, 1000.0)
        self.assertEqual(reads, [(200.0 + READER_MISSED_MS, WatchDocument(44, 2500))])

    def test_does_not_read_when_links_follow_the_ring(self) -> None:
        """Guards against reads of every neighbour whenever a member joins or leaves."""
        now_ms, reads = 100.0, []
        while now_ms < 10_000.0:
            self.hear(now_ms, 7, 44, 900)
            self.view = MISSING
            reads += self.run_until(now_ms, now_ms + READER_MISSED_MS)
            self.view = OTHER
            reads += self.run_until(now_ms + READER_MISSED_MS, now_ms + 500.0)
            now_ms += 500.0
        self.assertEqual(reads, [])

    def test_a_peer_that_is_behind_confirms_nothing_newer(self) -> None:
        """Guards against an old confirmation that is taken for a new one as it travels."""
        self.hear(3000.0, 7, 5, 3500)
        self.assertEqual(self.state.confirmation.confirmed_ms, 0.0)
        self.assertEqual(self.state.confirmation.revision, 10)

    def test_a_confirmation_of_a_newer_version_is_not_taken(self) -> None:
        """Guards against an old version that counts as the newest."""
        self.hear(3000.0, 8, 60, 0)
        self.assertEqual(self.state.confirmation.confirmed_ms, 0.0)

    def test_a_numbered_heartbeat_is_dated_by_its_echo(self) -> None:
        """Guards against a confirmation that waited in a socket and is taken for a fresh one."""
        event = MessageReceived(3000.0, "link-1", Heartbeat(7, 7, 0, True, 44, 100, number=5))
        for echo_sent_ms, confirmed_ms in ((None, 0.0), (2000.0, 1900.0)):
            transition = reduce_documents(self.state, event, self.view, echo_sent_ms)
            self.assertEqual(transition.state.confirmation.confirmed_ms, confirmed_ms)

    def test_a_peer_without_numbers_confirms_unless_revocation_is_strict(self) -> None:
        """Guards against a mixed fleet that reads the store, and against late keys with a limit."""
        for revocation_ms, confirmed_ms in ((0, 2900.0), (5000, 0.0)):
            access = AccessSettings(revocation_ms=revocation_ms)
            self.state = replace(self.state, settings=replace(self.state.settings, access=access))
            self.step(DocumentRead(0.0, 7, make_document(7), 10))
            before = self.state
            self.hear(3000.0, 7, 44, 100)
            self.assertEqual(self.state.confirmation.confirmed_ms, confirmed_ms)
            self.state = before

    def test_a_late_answer_keeps_a_fresher_confirmation(self) -> None:
        """Guards against knowledge that gets older by an answer that was held back."""
        self.hear(3000.0, 7, 44, 100)
        self.step(DocumentUnchanged(3100.0, 45, age_ms=2000.0))
        self.assertEqual(self.state.confirmation.confirmed_ms, 2900.0)
        self.assertEqual(self.state.confirmation.revision, 45)

    def test_statement_about_a_newer_version_counts_once_it_is_held(self) -> None:
        """Guards against knowledge that grows old while versions follow each other quickly."""
        self.hear(3000.0, 8, 60, 100)
        before_ms = self.state.confirmation.confirmed_ms
        self.assertNotEqual(before_ms, 2900.0)
        self.step(DocumentRead(3100.0, 8, make_document(8), 61, age_ms=3100.0))
        self.assertEqual(self.state.confirmation.confirmed_ms, 2900.0)
        self.assertFalse(self.state.peer_statements)

    def test_statement_of_a_lost_link_does_not_count(self) -> None:
        """Guards against memory that grows with links, and statements of a former link."""
        self.hear(3000.0, 8, 60, 100)
        self.step(LinkClosed(3050.0, LINKS[0].link_id, "lost"))
        self.assertFalse(self.state.peer_statements)

    def test_reads_after_failures_bring_no_whole_document(self) -> None:
        """Guards against nodes whose repeated whole reads keep the link to the store full."""
        access = AccessSettings(revocation_ms=5000)
        self.state = replace(self.state, settings=replace(self.state.settings, access=access))
        whole = 0
        now_ms = 4000.0
        for _ in range(8):
            reads = [read for _, read in self.run_until(now_ms, now_ms + 4000.0)]
            self.assertEqual(len(reads), 1)
            whole += reads[0].revision == 0
            now_ms += 4000.0
            self.step(StoreReadFailed(now_ms, StoreOperation(WATCH_DOCUMENT), "no answer"))
        self.assertEqual(whole, 1)

    def test_strict_revocation_reads_earlier_and_does_not_wait(self) -> None:
        """Guards against knowledge that reaches its limit before the store is asked."""
        access = AccessSettings(revocation_ms=5000)
        self.state = replace(self.state, settings=replace(self.state.settings, access=access))
        # With this many links a confirmation could be on its way for 3.5 s.
        many = tuple(replace(LINKS[0], link_id=f"link-{number}") for number in range(8))
        self.view = MembershipView(neighbours=many)
        reads = self.run_until(100.0, 3600.0)
        self.assertEqual([read for _, read in reads], [WatchDocument(10, 0)])
        self.assertGreaterEqual(reads[0][0], 3000.0)
        self.view = READER
        reads = [item for item in self.step(DocumentUnchanged(3700.0, 50)) if item]
        self.assertEqual(reads, [WatchDocument(50, 1000)])

    def test_requests_a_newer_version_at_once(self) -> None:
        """Guards against a delay at each node that a version passes."""
        effects = self.step(MessageReceived(100.0, "link-1", VersionAnnounce(8)))
        self.assertIn(SendMessage("link-1", VersionRequest(7)), effects)

    def test_requests_from_another_peer_when_the_first_is_silent(self) -> None:
        """Guards against waiting for a peer whose connection went silent."""
        self.step(MessageReceived(100.0, "link-1", VersionAnnounce(8)))
        self.step(MessageReceived(110.0, "link-2", VersionAnnounce(8)))
        effects = self.step(Tick(500.0))
        self.assertIn(SendMessage("link-2", VersionRequest(7)), effects)

    def test_an_outage_is_not_answered_by_frequent_reads_of_all(self) -> None:
        """Guards against a fleet that calls a store without an answer all the time."""
        reads = 0
        now_ms = STALE_MS
        while now_ms < STALE_MS + 60_000.0:
            if any(isinstance(item, WatchDocument) for item in self.step(Tick(now_ms))):
                reads += 1
                failed = StoreOperation(WATCH_DOCUMENT)
                self.step(StoreReadFailed(now_ms + 1.0, failed, "refused"))
            now_ms += 100.0
        self.assertLess(reads, 30)
        self.assertGreater(reads, 10)


class ReadersTest(ReaderCase):
    """A reader of the region."""

    def test_announces_what_the_store_brings(self) -> None:
        """Guards against versions that spread only with the next heartbeat."""
        self.view = READER
        self.hear(0.0, 9, 0, None, link=2)
        effects = self.step(DocumentRead(10.0, 9, make_document(9), 10))
        sent = [effect for effect in effects if isinstance(effect, SendMessage)]
        self.assertEqual(sent, [SendMessage("link-1", VersionAnnounce(9))])

    def test_a_node_that_becomes_a_reader_reads_no_whole_document(self) -> None:
        """Guards against documents that cross the link to the store at each change of readers."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        self.hear(500.0, 7, 44, 0)
        self.view = READER
        reads = [item for item in self.step(Tick(600.0)) if isinstance(item, WatchDocument)]
        self.assertEqual(reads, [WatchDocument(44, 2500)])

    def test_an_unreadable_history_is_followed_by_a_whole_read(self) -> None:
        """Guards against a watch that fails for ever because the store dropped its history."""
        self.view = READER
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        self.step(DocumentUnchanged(100.0, 0))
        reads = self.run_until(200.0, 300.0)
        self.assertEqual([read for _, read in reads], [WatchDocument(0, 0)])


class StartTest(ReaderCase):
    """A process that has just started."""

    def test_a_node_without_peers_waits_for_its_time(self) -> None:
        """Guards against a region that reads the document once for each node that starts."""
        self.view = ALONE
        reads = self.run_until(0.0, 4600.0)
        self.assertEqual([read for _, read in reads], [WatchDocument(0, 0)])

    def test_times_of_nodes_differ(self) -> None:
        """Guards against all nodes of a region that start to read at the same time."""
        times_ms = []
        for number in range(50):
            settings = make_settings(node_id=f"node-{number}")
            self.state = make_document_state(settings)
            self.view = ALONE
            times_ms.append(self.run_until(0.0, 4600.0)[0][0])
        busiest = max(times_ms.count(time_ms) for time_ms in times_ms)
        self.assertLessEqual(busiest, 10)

    def test_a_node_with_its_first_peer_is_no_reader_yet(self) -> None:
        """Guards against nodes that are all readers of the few members that they know so far."""
        self.view = READER
        self.assertEqual(self.run_until(0.0, 600.0), [])
        self.view = OTHER
        self.assertEqual(self.run_until(600.0, 1400.0), [])

    def test_a_reader_that_knows_its_peers_reads_soon(self) -> None:
        """Guards against a fleet that starts late because everybody waits for everybody."""
        self.view = READER
        self.assertTrue(self.run_until(0.0, 1000.0))

    def test_a_peer_that_holds_a_version_is_asked_first(self) -> None:
        """Guards against a restarted node that reads the store although its peers are current."""
        self.hear(0.0, 9, 50, 100)
        reads = self.run_until(10.0, 900.0)
        self.assertEqual(reads, [])

    def test_the_store_is_read_when_the_peers_do_not_answer(self) -> None:
        """Guards against a node that waits for peers for ever."""
        self.hear(0.0, 9, 50, 100)
        self.assertTrue(self.run_until(10.0, 19_000.0))

    def test_no_document_yet_is_watched_by_readers_only(self) -> None:
        """Guards against a whole fleet that takes the first document from the store."""
        self.hear(0.0, 0, 50, 100)
        reads = self.run_until(10.0, 2000.0)
        self.assertEqual(reads, [])

    def test_a_node_that_lost_all_peers_goes_on_reading(self) -> None:
        """Guards against a cut-off node that waits for confirmations nobody can send."""
        self.step(DocumentRead(0.0, 7, make_document(7), 10))
        for link in LINKS:
            self.step(LinkClosed(10.0, link.link_id, "silent"))
        self.view = ALONE
        self.assertTrue(self.run_until(20.0, 200.0))


if __name__ == "__main__":
    unittest.main()
