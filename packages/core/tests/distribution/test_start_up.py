"""Tests of start-up: no version runs before a version is proven by the store or by witnesses."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.effects import OpenLink, ReadNewest, Report, WatchEntry
from bamboonotch_core.events import (
    LinkClosed,
    StoreEntryRead,
    StoreNewestRead,
    StoreOperation,
    StoreReadFailed,
)
from bamboonotch_core.messages import (
    VersionPush,
    WitnessAck,
    WitnessQuery,
    WitnessRecord,
    WitnessReply,
    WitnessWrite,
)
from tests.distribution.support import Driver, entry_of, neighbour, newest_read


def record(sequence: int, version: int, *witnesses: str, incarnation: int = 5) -> WitnessRecord:
    """Return a record of an earlier process of the node."""
    return WitnessRecord("n", incarnation, sequence, version, witnesses)


class StoreStartTest(unittest.TestCase):
    """Start-up while the store answers."""

    def test_reads_and_serves_newest(self) -> None:
        """Guards against a node that needs peers to start although the store answers."""
        driver = Driver()
        driver.start(3)
        self.assertTrue(driver.state.serving)
        self.assertEqual(driver.state.running_version, 3)
        self.assertEqual(set(driver.state.running_configuration.services), {"s1", "s2", "s3"})

    def test_serves_version_0(self) -> None:
        """Guards against a fleet that never starts because no version was accepted yet."""
        driver = Driver()
        driver.start(0)
        self.assertTrue(driver.state.serving)

    def test_starts_from_snapshot(self) -> None:
        """Guards against entries after a snapshot that are applied to the empty document."""
        driver = Driver()
        driver.start()
        other = Driver()
        other.tick(0.0)
        while not other.of_type(ReadNewest):
            other.tick()
        other.feed(newest_read(other.now_ms, 5, snapshot_version=4))
        self.assertEqual(other.state.running_version, 5)

    def test_does_not_serve_before_the_answer(self) -> None:
        """Guards against serving a peer's version before any version is proven (P1)."""
        driver = Driver()
        driver.connect(neighbour("a"))
        driver.receive("a", VersionPush(1, entry_of(1)))
        driver.tick(0.0)
        self.assertEqual(driver.state.held_version, 1)
        self.assertFalse(driver.state.serving)
        self.assertEqual(driver.state.not_serving_reason, "starting")

    def test_version_of_a_peer_saves_the_whole_read(self) -> None:
        """Guards against reading the snapshot on every node when many restart together."""
        driver = Driver()
        driver.connect(neighbour("a"))
        driver.receive("a", VersionPush(1, entry_of(1)))
        while not driver.of_type(WatchEntry):
            driver.tick()
        self.assertEqual(driver.of_type(WatchEntry), [WatchEntry(2, 0)])
        driver.feed(StoreEntryRead(driver.now_ms, 2, None))
        driver.acknowledge()
        self.assertEqual(driver.state.running_version, 1)
        self.assertEqual(driver.state.proof, "store")

    def test_bad_snapshot_proves_nothing(self) -> None:
        """Guards against serving version 0 because the stored snapshot is damaged (P1)."""
        driver = Driver()
        driver.tick(0.0)
        while not driver.of_type(ReadNewest):
            driver.tick()
        valid = newest_read(driver.now_ms, 5, snapshot_version=4)
        driver.feed(replace(valid, snapshot=valid.snapshot[:-1]))
        self.assertIn("version-refused", driver.reports())
        self.assertFalse(driver.state.serving)
        while not driver.of_type(ReadNewest):
            driver.tick()
        driver.feed(replace(valid, now_ms=driver.now_ms))
        self.assertEqual(driver.state.running_version, 5)

    def test_bad_entry_leaves_the_version_before(self) -> None:
        """Guards against an invalid entry in the log that prevents every node from starting."""
        driver = Driver()
        driver.tick(0.0)
        while not driver.of_type(ReadNewest):
            driver.tick()
        entries = (entry_of(1), entry_of(2)[:-1], entry_of(3))
        driver.feed(StoreNewestRead(driver.now_ms, 0, "", b"", entries))
        self.assertEqual(driver.state.running_version, 1)
        self.assertEqual(driver.reports().count("version-refused"), 1)

    def test_first_reads_are_spread(self) -> None:
        """Guards against simultaneous store reads when many nodes restart together."""
        times = set()
        for incarnation in range(20):
            driver = Driver(incarnation=incarnation)
            driver.tick(0.0)
            while not driver.of_type(ReadNewest):
                driver.tick(10.0)
            times.add(driver.now_ms)
        self.assertGreater(len(times), 10)
        self.assertLessEqual(max(times), 510.0)

    def test_silent_read_counts_as_failed(self) -> None:
        """Guards against a node that waits without end for a lost answer."""
        driver = Driver()
        driver.tick(0.0)
        while not driver.of_type(ReadNewest):
            driver.tick()
        for _ in range(400):
            driver.tick()
        self.assertFalse(driver.state.store_reachable)

    def test_waits_for_the_first_link(self) -> None:
        """Guards against a first version without witnesses although members are known (P1)."""
        driver = Driver()
        driver.view = replace(driver.view, live_node_ids=frozenset({"a"}))
        driver.start(1)
        self.assertEqual(driver.state.not_serving_reason, "witness-wait")
        driver.connect(neighbour("a"))
        self.assertFalse(driver.state.serving)
        driver.acknowledge()
        self.assertTrue(driver.state.serving)

    def test_does_not_wait_for_the_first_link_for_long(self) -> None:
        """Guards against a node that never serves because no member can be reached."""
        driver = Driver()
        driver.view = replace(driver.view, live_node_ids=frozenset({"a"}))
        driver.start(1)
        driver.tick(2500.0)
        self.assertTrue(driver.state.serving)


class WitnessStartTest(unittest.TestCase):
    """Start-up while the store does not answer."""

    def setUp(self) -> None:
        """Start a node whose first read fails."""
        self.driver = Driver()
        self.driver.connect(*(neighbour(name) for name in "abc"))
        self.driver.tick(0.0)
        while not self.driver.of_type(ReadNewest):
            self.driver.tick()
        failure = StoreReadFailed(self.driver.now_ms, StoreOperation("read-newest"), "down")
        self.driver.feed(failure)

    def reply(self, node_id: str, answer: WitnessRecord | None, held_version: int = 0) -> None:
        """Reply to the query for the node's record."""
        self.driver.receive(node_id, WitnessReply("n", answer, held_version))

    def test_asks_all_neighbours_again_and_again(self) -> None:
        """Guards against a lost query that is never repeated."""
        self.assertEqual([name for name, _ in self.driver.sent(WitnessQuery)], ["a", "b", "c"])
        self.assertFalse(self.driver.state.store_reachable)
        self.reply("a", None)
        self.driver.tick(1000.0)
        self.assertEqual([name for name, _ in self.driver.sent(WitnessQuery)], ["b", "c"])

    def test_majority_of_the_newest_record(self) -> None:
        """Guards against trusting fewer than a majority of the record's witnesses (P1)."""
        self.reply("a", record(2, 1, "a", "b", "c"))
        self.assertIsNone(self.driver.state.proven_version)
        self.reply("c", None)
        self.assertIsNone(self.driver.state.proven_version)
        self.reply("b", record(1, 0, "a", "b", "c"))
        self.assertEqual(self.driver.state.proven_version, 1)
        self.assertEqual(self.driver.state.proof, "witnesses")

    def test_others_than_the_witnesses_do_not_count(self) -> None:
        """Guards against counting replies of nodes that are not in the newest witness set."""
        self.reply("a", record(2, 1, "a", "x", "y"))
        self.reply("b", record(1, 1, "b", "c", "x"))
        self.reply("c", record(1, 1, "b", "c", "x"))
        self.assertIsNone(self.driver.state.proven_version)

    def test_serves_only_at_the_witnessed_version(self) -> None:
        """Guards against serving a lower version than an earlier process of the node ran (P1)."""
        self.reply("a", record(1, 2, "a", "b", "c"))
        self.reply("b", record(1, 2, "a", "b", "c"))
        self.driver.receive("a", VersionPush(1, entry_of(1)))
        self.assertEqual(self.driver.state.not_serving_reason, "behind")
        self.driver.receive("a", VersionPush(2, entry_of(2)))
        self.assertEqual(self.driver.state.not_serving_reason, "witness-wait")
        writes = self.driver.sent(WitnessWrite)
        self.assertEqual({write.record.incarnation for _, write in writes}, {10})
        self.driver.acknowledge()
        self.assertEqual(self.driver.state.running_version, 2)

    def test_witness_of_a_higher_version_stops_the_start(self) -> None:
        """Guards against ignoring a witness's record of a newer version of an earlier process."""
        self.reply("a", record(1, 1, "a", "b"))
        self.reply("b", record(1, 1, "a", "b"))
        self.driver.receive("a", VersionPush(1, entry_of(1)))
        answer = record(9, 2, "c", incarnation=7)
        self.driver.receive("c", WitnessAck(answer))
        self.assertEqual(self.driver.state.not_serving_reason, "behind")
        self.driver.receive("c", VersionPush(2, entry_of(2)))
        self.driver.acknowledge()
        self.assertEqual(self.driver.state.running_version, 2)

    def test_later_record_than_own_is_overtaken(self) -> None:
        """Guards against writes that witnesses always refuse after the clock was set back."""
        self.reply("a", record(7, 0, "a", "b", incarnation=20))
        self.reply("b", record(7, 0, "a", "b", incarnation=20))
        writes = {write.record for _, write in self.driver.sent(WitnessWrite)}
        self.assertTrue(writes)
        self.assertTrue(all((w.incarnation, w.sequence) > (20, 7) for w in writes))

    def test_store_that_returns_is_enough(self) -> None:
        """Guards against a node that still waits for witnesses once the store answers."""
        while not self.driver.of_type(ReadNewest):
            self.driver.tick()
        self.driver.feed(newest_read(self.driver.now_ms, 1))
        self.assertIn("store-reachable", self.driver.reports())
        self.driver.acknowledge()
        self.assertTrue(self.driver.state.serving)

    def test_unlinked_witness_is_dialled(self) -> None:
        """Guards against a record whose other witnesses are live but not neighbours."""
        self.driver.view = replace(
            self.driver.view,
            live_node_ids=self.driver.view.live_node_ids | {"x"},
            peer_addresses={"x": "x:1"},
        )
        self.reply("a", record(1, 1, "a", "x"))
        self.assertEqual(self.driver.of_type(OpenLink), [OpenLink("x:1")])

    def test_hostile_answers_change_nothing(self) -> None:
        """Guards against malformed replies that raise an error or are trusted."""
        invalid = (
            WitnessReply("other", None, 0),
            WitnessReply("n", replace(record(1, 1, "a"), node_id="other"), 0),
            WitnessReply("n", record(1, 1), 0),
            WitnessReply("n", record(1, 1, "a", "a"), 0),
            WitnessReply("n", record(1, -1, "a"), 0),
        )
        for message in invalid:
            before = self.driver.state
            self.driver.receive("a", message)
            self.assertEqual(self.driver.state, before)
            self.assertEqual(self.driver.reports(), ["message-refused"])

    def test_reports_why_it_does_not_serve(self) -> None:
        """Guards against a node that does not report why it does not serve."""
        self.driver.feed(LinkClosed(self.driver.now_ms, "link-a", ""))
        self.assertEqual(self.driver.state.not_serving_reason, "store-down-and-no-witness-majority")
        self.assertTrue(all(isinstance(item.name, str) for item in self.driver.of_type(Report)))
