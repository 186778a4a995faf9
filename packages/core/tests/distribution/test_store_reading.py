"""Tests of the store watch and of snapshot writing."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.configuration import decode_snapshot
from bamboonotch_core.effects import ReadNewest, WatchEntry, WriteSnapshot
from bamboonotch_core.events import StoreEntryRead, StoreOperation, StoreReadFailed
from bamboonotch_core.settings import DistributionSettings
from tests.distribution.support import Driver, entry_of, make_settings, make_version, newest_read


def make_reader(version: int = 0, *, lowest_slot: bool = False, region: str = "east") -> Driver:
    """Return a store reader that serves a version and has a watch open."""
    distribution = DistributionSettings(snapshot_interval_versions=2)
    driver = Driver(make_settings(region=region, distribution=distribution))
    driver.view = replace(driver.view, is_store_reader=True, is_lowest_slot=lowest_slot)
    driver.start(version)
    driver.tick()
    return driver


class WatchTest(unittest.TestCase):
    """The watch of a store reader."""

    def test_watches_the_following_version(self) -> None:
        """Guards against a store reader that misses versions between two watches."""
        driver = make_reader(1)
        self.assertEqual(driver.state.store.pending, StoreOperation("watch-entry", 2))
        driver.feed(StoreEntryRead(driver.now_ms, 2, entry_of(2)))
        self.assertEqual(driver.of_type(WatchEntry), [WatchEntry(3, 30_000)])
        self.assertEqual(driver.state.running_version, 2)

    def test_watches_again_after_an_empty_answer(self) -> None:
        """Guards against a watch that is not repeated after it ends without a version."""
        driver = make_reader()
        driver.now_ms += 30_000
        driver.feed(StoreEntryRead(driver.now_ms, 1, None))
        self.assertEqual(driver.of_type(WatchEntry), [WatchEntry(1, 30_000)])

    def test_instant_empty_answers_are_slowed_down(self) -> None:
        """Guards against a loop of reads when the store does not wait."""
        driver = make_reader()
        driver.feed(StoreEntryRead(driver.state.store.pending_since_ms, 1, None))
        self.assertEqual(driver.of_type(WatchEntry), [])
        driver.tick(200.0)
        self.assertEqual(driver.of_type(WatchEntry), [WatchEntry(1, 30_000)])

    def test_failures_back_off_with_jitter(self) -> None:
        """Guards against store readers that overload a store that has failed."""
        driver = make_reader()
        waits = []
        for _ in range(12):
            failure = StoreReadFailed(driver.now_ms, StoreOperation("watch-entry", 1), "down")
            driver.feed(failure)
            failed_ms = driver.now_ms
            while not driver.of_type(WatchEntry):
                driver.tick(10.0)
            waits.append(driver.now_ms - failed_ms)
        self.assertLessEqual(max(waits), 5010.0)
        self.assertGreater(max(waits), 1000.0)
        self.assertGreater(len(set(waits)), 6)

    def test_answers_to_other_reads_are_ignored(self) -> None:
        """Guards against a late answer that is taken for the answer to the present read."""
        driver = make_reader()
        before = driver.state
        driver.feed(StoreEntryRead(driver.now_ms, 7, None))
        driver.feed(StoreReadFailed(driver.now_ms, StoreOperation("read-slots"), "down"))
        driver.feed(newest_read(driver.now_ms, 3))
        self.assertEqual(driver.state, before)

    def test_bad_entry_is_read_again_whole(self) -> None:
        """Guards against a store reader that reads an invalid entry in a loop or stops there."""
        driver = make_reader(1)
        driver.feed(StoreEntryRead(driver.now_ms, 2, b"bad"))
        self.assertEqual(driver.reports(), ["version-refused"])
        self.assertEqual(driver.effects[1:], ())
        while not driver.of_type(ReadNewest):
            driver.tick()
        driver.feed(newest_read(driver.now_ms, 3, snapshot_version=2))
        self.assertEqual(driver.state.running_version, 3)

    def test_others_do_not_read(self) -> None:
        """Guards against store calls that grow with the fleet."""
        driver = Driver()
        driver.start(1)
        for _ in range(100):
            self.assertEqual(driver.tick(1000.0), ())

    def test_reader_that_loses_its_role_stops(self) -> None:
        """Guards against watches that stay open after a relay slot has moved."""
        driver = make_reader()
        driver.view = replace(driver.view, is_store_reader=False)
        driver.feed(StoreEntryRead(driver.now_ms + 30_000, 1, None))
        self.assertEqual(driver.effects, ())


class SnapshotWritingTest(unittest.TestCase):
    """Snapshots in the store."""

    def test_written_at_a_multiple(self) -> None:
        """Guards against a log that a new node has to read from its start."""
        driver = make_reader(1, lowest_slot=True)
        driver.feed(StoreEntryRead(driver.now_ms, 2, entry_of(2)))
        (write,) = driver.of_type(WriteSnapshot)
        self.assertEqual(write.version, 2)
        self.assertEqual(decode_snapshot(write.data, write.digest)[0], make_version(2)[1])
        driver.feed(StoreEntryRead(driver.now_ms, 3, entry_of(3)))
        self.assertEqual(driver.of_type(WriteSnapshot), [])

    def test_missing_one_is_written_at_the_start(self) -> None:
        """Guards against a snapshot that is never written because its writer ended."""
        driver = make_reader(3, lowest_slot=True)
        self.assertEqual(driver.state.stored_snapshot_version, 3)

    def test_written_by_the_lowest_slot_in_the_region_only(self) -> None:
        """Guards against snapshots written by every store reader or from another region."""
        for driver in (make_reader(2), make_reader(2, lowest_slot=True, region="west")):
            self.assertEqual(driver.state.stored_snapshot_version, 0)
