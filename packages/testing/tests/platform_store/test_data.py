"""Tests of the data of the stand-in of the platform's store."""

from __future__ import annotations

import unittest

from bamboonotch_testing.platform_store import PlatformData
from bamboonotch_testing.platform_store._data import HistoryGoneError, NoLeaseError


class RestoreTest(unittest.TestCase):
    """A store that comes back from a copy."""

    def setUp(self) -> None:
        """Make a store with a copy, and write to it after the copy."""
        self.now_s = 0.0
        self.data = PlatformData(lambda: self.now_s)
        self.data.put("op/config", b"old")
        self.early_lease = self.data.create_lease(10.0)
        self.copy = self.data.copy()
        self.late_lease = self.data.create_lease(10.0)
        self.data.put("bamboonotch/member/a", b"a", self.late_lease)
        self.last = self.data.put("op/config", b"new")

    def test_loses_what_was_written_since(self) -> None:
        """Guards against a stand-in that keeps entries or leases that were lost."""
        lost = self.data.restore(self.copy)
        self.assertEqual(lost, {"op/config": b"new"})
        self.assertEqual(set(self.data.items), {"op/config"})
        self.assertEqual(self.data.items["op/config"].value, b"old")
        self.data.renew_lease(self.early_lease)
        with self.assertRaises(NoLeaseError):
            self.data.renew_lease(self.late_lease)

    def test_gives_numbers_out_again(self) -> None:
        """Guards against a stand-in whose revisions and lease ids go on after a restore."""
        lost = self.data.restore(self.copy)
        self.assertEqual((self.data.era, self.data.revision), (2, self.copy.revision))
        self.assertEqual(self.data.create_lease(10.0), self.late_lease)
        self.data.put("bamboonotch/member/b", b"b")
        self.data.write_again(lost)
        self.assertEqual(self.data.revision, self.last)

    def test_does_not_know_later_revisions(self) -> None:
        """Guards against a stand-in that waits after a revision that it does not have."""
        self.data.restore(self.copy)
        with self.assertRaises(HistoryGoneError):
            self.data.changes_after("op/", self.last)
        self.assertEqual(self.data.changes_after("op/", self.copy.revision), [])


if __name__ == "__main__":
    unittest.main()
