"""Tests of versions and snapshots in the store."""

from __future__ import annotations

import json
import os

from twisted.internet.defer import Deferred

from bamboonotch_core.configuration import (
    EMPTY_DOCUMENT,
    Document,
    LogEntry,
    encode_entry,
    encode_snapshot,
    make_entry,
    parse_patch,
)
from bamboonotch_core.errors import StoreUnavailableError, StoreValueError
from bamboonotch_store.errors import VersionAbsentError
from bamboonotch_store.log import PIECE_BYTES, VersionLog, _find_superseded, entry_key
from tests.support import StoreTestCase

SERVICE = {"tenant": "himal-thali", "slots_per_backend_server": 6}


def make_entries(count: int) -> list[tuple[LogEntry, Document]]:
    """Return entries that each add one service, with their documents."""
    entries: list[tuple[LogEntry, Document]] = []
    document = EMPTY_DOCUMENT
    for base in range(count):
        operation = {"op": "add", "path": f"/services/s{base}", "value": SERVICE}
        patch = parse_patch(json.dumps([operation]))
        entry, document = make_entry(
            base, document, patch, patch_id=f"p{base}", author="a", comment="", now_unix_ms=1
        )
        entries.append((entry, document))
    return entries


class LogTestCase(StoreTestCase):
    """Has a log."""

    def setUp(self) -> None:
        """Open the log."""
        super().setUp()
        self.log = VersionLog(self.client)

    def accept(self, count: int) -> list[tuple[LogEntry, Document]]:
        """Put versions into the store."""
        entries = make_entries(count)
        for entry, _ in entries:
            self.put(entry_key(entry.version), encode_entry(entry))
        return entries


class LogTest(LogTestCase):
    """Reading versions."""

    async def test_empty_store_is_version_0(self) -> None:
        """Guards against a new installation that cannot start."""
        newest = await self.log.read_newest()
        self.assertEqual((newest.version, newest.snapshot, newest.entries), (0, b"", ()))
        self.assertEqual((await self.log.load_newest()).document, EMPTY_DOCUMENT)
        self.assertEqual(await self.log.list_versions(5), ())

    async def test_newest_starts_at_snapshot(self) -> None:
        """Guards against reading the whole log, or an entry that the snapshot contains."""
        entries = self.accept(5)
        entry, document = entries[2]
        snapshot = encode_snapshot(document)
        self.assertTrue(await self.log.write_snapshot(3, entry.result_digest, snapshot))
        newest = await self.log.read_newest()
        self.assertEqual((newest.snapshot_version, newest.snapshot), (3, snapshot))
        self.assertEqual(newest.snapshot_digest, entry.result_digest)
        self.assertEqual(newest.entries, tuple(encode_entry(e) for e, _ in entries[3:]))
        self.assertEqual((await self.log.load_newest()).document, entries[4][1])

    async def test_every_version_loads(self) -> None:
        """Guards against an old version rebuilt from the wrong snapshot."""
        entries = self.accept(6)
        for version in (2, 4):
            state = await self.log.load_version(version)
            await self.log.write_state_snapshot(state, entries[version - 1][0].result_digest)
        for entry, document in entries:
            loaded = await self.log.load_version(entry.version)
            self.assertEqual(loaded.document, document)
        with self.assertRaises(VersionAbsentError):
            await self.log.load_version(7)

    async def test_watch_returns_entry_or_nothing(self) -> None:
        """Guards against a relay that misses a version accepted while it waits."""
        self.assertIsNone(await self.log.watch_entry(1, 0))
        self.assertIsNone(await self.log.watch_entry(1, 30))
        watch = Deferred.fromCoroutine(self.log.watch_entry(1, 5000))
        await self.wait_for(lambda: self.server.watches)
        entries = self.accept(1)
        self.assertEqual(await watch, encode_entry(entries[0][0]))

    async def test_list_is_newest_first(self) -> None:
        """Guards against a listing in the wrong order or beyond its limit."""
        self.accept(5)
        listed = await self.log.list_versions(3)
        self.assertEqual([entry.version for entry in listed], [5, 4, 3])

    async def test_malformed_entries_are_typed_errors(self) -> None:
        """Guards against a malformed store value raising anything but its typed error."""
        entry, _ = make_entries(2)[1]
        for data in (b"", b"garbage", encode_entry(entry)):
            self.put(entry_key(1), data)
            for read in (self.log.read_entry(1), self.log.load_newest(), self.log.list_versions(1)):
                with self.assertRaises(StoreValueError):
                    await read

    async def test_outage_is_unavailable(self) -> None:
        """Guards against an outage in concurrent reads raising an untyped error."""
        self.accept(3)
        self.server.change_faults(refuse="error")
        for read in (self.log.load_newest(), self.log._read_entries(range(1, 4))):
            with self.assertRaises(StoreUnavailableError):
                await read


class SnapshotTest(LogTestCase):
    """Writing snapshots."""

    async def test_large_snapshot_in_pieces(self) -> None:
        """Guards against a piece above the store's value limit or joined in a wrong order."""
        data = os.urandom(2 * PIECE_BYTES + 100)
        self.assertTrue(await self.log.write_snapshot(16, "a" * 64, data))
        self.assertEqual((await self.log.read_newest()).snapshot, data)
        self.assertEqual(len([key for key in self.keys() if key.startswith("snapshot/0")]), 3)

    async def test_latest_never_goes_back(self) -> None:
        """Guards against a late writer that moves readers to an older snapshot (P1)."""
        await self.log.write_snapshot(32, "a" * 64, b"new")
        self.assertFalse(await self.log.write_snapshot(16, "b" * 64, b"old"))
        self.assertEqual((await self.log.read_newest()).snapshot_version, 32)

    async def test_racing_writers_leave_one_whole_snapshot(self) -> None:
        """Guards against a snapshot mixed from the pieces of two writers (P3)."""
        first = os.urandom(3 * PIECE_BYTES)
        second = os.urandom(3 * PIECE_BYTES)
        self.put("snapshot/000000000016/1", second[PIECE_BYTES : 2 * PIECE_BYTES])
        with self.assertRaises(StoreValueError):
            await self.log.write_snapshot(16, "a" * 64, first)
        self.assertNotIn("snapshot/latest", self.keys())

    async def test_lost_answer_can_be_repeated(self) -> None:
        """Guards against a writer that cannot finish after a lost answer."""
        self.drop_answers(1)
        with self.assertRaises(StoreUnavailableError):
            await self.log.write_snapshot(16, "a" * 64, b"data")
        self.assertTrue(await self.log.write_snapshot(16, "a" * 64, b"data"))

    async def test_incomplete_snapshot_is_passed_over(self) -> None:
        """Guards against an old version that cannot be shown after a writer died."""
        entries = self.accept(4)
        self.put("snapshot/000000000002/0", b"half")
        self.assertEqual((await self.log.load_version(3)).document, entries[2][1])

    async def test_malformed_latest_is_typed_error(self) -> None:
        """Guards against a malformed pointer that is followed or raises an untyped error."""
        digest = "a" * 64
        values = (
            b"\xff",
            b"[]",
            b'{"version": 1, "pieces": 1}',
            b'{"version": true, "pieces": 1, "digest": "%s"}' % digest.encode(),
            b'{"version": 1, "pieces": 1000000, "digest": "%s"}' % digest.encode(),
            b'{"version": 1, "pieces": 1, "digest": "%s"}' % digest.encode(),
        )
        for value in values:
            self.put("snapshot/latest", value)
            with self.assertRaises(StoreValueError):
                await self.log.read_newest()

    def test_old_snapshots_are_thinned_out(self) -> None:
        """Guards against snapshots that pile up, or none left to rebuild an old version from."""
        versions = tuple(range(16, 2200, 16))
        kept = sorted(set(versions) - set(_find_superseded(versions)))
        self.assertEqual(kept, [16, 1024, 2048, 2144, 2160, 2176, 2192])
