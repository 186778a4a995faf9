"""Tests of log entries and snapshots."""

from __future__ import annotations

import dataclasses
import unittest
import zlib

from bamboonotch_core.configuration import (
    EMPTY_DOCUMENT,
    LogEntry,
    apply_entry,
    decode_entry,
    decode_snapshot,
    digest_document,
    encode_entry,
    encode_snapshot,
    make_entry,
    parse_patch,
)
from bamboonotch_core.errors import ConfigurationError, LogEntryError, PatchError

PATCH = parse_patch(
    b'[{"op": "add", "path": "/services/menu",'
    b' "value": {"tenant": "himal-thali", "slots_per_backend_server": 6}}]'
)


def make_menu_entry() -> LogEntry:
    """Return a valid entry for version 1."""
    entry, _ = make_entry(
        0, EMPTY_DOCUMENT, PATCH, patch_id="p", author="a", comment="c", now_unix_ms=5
    )
    return entry


class EntryTest(unittest.TestCase):
    """Encoding of log entries."""

    def test_round_trip(self) -> None:
        """Guards against a field that the stored entry lacks."""
        entry = make_menu_entry()
        self.assertEqual(decode_entry(encode_entry(entry)), entry)

    def test_apply_does_not_change_base(self) -> None:
        """Guards against a patch that changes the running document in place."""
        document, configuration = apply_entry(EMPTY_DOCUMENT, make_menu_entry())
        self.assertEqual(EMPTY_DOCUMENT["services"], {})
        self.assertIn("menu", document["services"])
        self.assertEqual(configuration.services["menu"].slots_per_backend_server, 6)

    def test_wrong_digest_is_refused(self) -> None:
        """Guards against running a version whose document differs between nodes (P3)."""
        entry = dataclasses.replace(make_menu_entry(), result_digest="0" * 64)
        with self.assertRaises(LogEntryError):
            apply_entry(EMPTY_DOCUMENT, entry)

    def test_malformed_entries_are_refused(self) -> None:
        """Guards against an exception other than LogEntryError for malformed stored data."""
        good = encode_entry(make_menu_entry())
        bad = (
            b"",
            b"junk",
            good[:-3],
            good + b"x",
            zlib.compress(b"[]"),
            zlib.compress(b"{}"),
            zlib.compress(b'{"version": true}'),
            zlib.compress(b"0" * (2 * 1024 * 1024)),
        )
        for data in bad:
            with self.subTest(data=data[:20]), self.assertRaises(LogEntryError):
                decode_entry(data)

    def test_invalid_result_is_refused_with_every_fault(self) -> None:
        """Guards against accepting an invalid version, and against unreported faults (P3)."""
        patch = parse_patch(b'[{"op": "add", "path": "/routes/r", "value": {"path_prefix": "x"}}]')
        with self.assertRaises(ConfigurationError) as caught:
            make_entry(
                0, EMPTY_DOCUMENT, patch, patch_id="p", author="a", comment="c", now_unix_ms=5
            )
        pointers = {fault.pointer for fault in caught.exception.faults}
        self.assertIn("/routes/r/path_prefix", pointers)
        self.assertIn("/routes/r/service", pointers)
        self.assertIn("/routes/r/timeout_ms", pointers)

    def test_patch_that_does_not_apply(self) -> None:
        """Guards against an exception of the patch library instead of PatchError."""
        for operation in (
            b'{"op": "remove", "path": "/services/none"}',
            b'{"op": "add", "path": "no-slash", "value": 1}',
            b'{"op": "replace", "path": "/a/b/c", "value": 1}',
            b'{"op": "test", "path": "/services", "value": 1}',
            b'{"op": "add", "path": "/services"}',
            b'{"op": "move", "path": "/services"}',
            b'{"op": "replace", "path": "", "value": []}',
        ):
            with self.subTest(operation=operation), self.assertRaises(PatchError):
                patch = parse_patch(b"[" + operation + b"]")
                make_entry(
                    0, EMPTY_DOCUMENT, patch, patch_id="p", author="a", comment="", now_unix_ms=5
                )

    def test_deep_nesting_is_refused_by_a_typed_error(self) -> None:
        """Guards against nodes whose stack sizes decide whether they accept a version (P3)."""
        value: object = 1
        for _ in range(400):
            value = {"a": value}
        patch = ({"op": "add", "path": "/services/menu", "value": value},)
        with self.assertRaises(PatchError):
            make_entry(
                0, EMPTY_DOCUMENT, patch, patch_id="p", author="a", comment="", now_unix_ms=5
            )
        text = b'{"a":' * 400 + b"1" + b"}" * 400
        with self.assertRaises(LogEntryError):
            decode_snapshot(zlib.compress(text), "0" * 64)


class SnapshotTest(unittest.TestCase):
    """Encoding of snapshots."""

    def test_round_trip(self) -> None:
        """Guards against a snapshot that differs from the document it was made from."""
        document, configuration = apply_entry(EMPTY_DOCUMENT, make_menu_entry())
        data = encode_snapshot(document)
        self.assertEqual(
            decode_snapshot(data, digest_document(document)), (document, configuration)
        )

    def test_wrong_digest_is_refused(self) -> None:
        """Guards against accepting a snapshot joined from pieces of two."""
        with self.assertRaises(LogEntryError):
            decode_snapshot(encode_snapshot(EMPTY_DOCUMENT), "0" * 64)
