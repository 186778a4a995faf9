"""Tests of the entry of a node, over simulated time."""

from __future__ import annotations

import unittest
from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from bamboonotch_core.effects import Report
from bamboonotch_core.settings import IdentitySettings
from bamboonotch_store.registration import REGISTER_AGAIN_S, Registration
from bamboonotch_store.shared import Lease, SharedEntry, SharedStore, WrittenEntry

LEASE_MS = 30_000
RENEWAL_S = 10.0


class _Store(SharedStore):
    """Answers at once, in the epoch that a test sets, and counts the writes."""

    def __init__(self) -> None:
        self.epoch = 1
        self.writes = 0

    def read_entries(self, prefix: str) -> Deferred[tuple[SharedEntry, ...]]:
        return succeed(())

    def create_lease(self, lifetime_ms: int) -> Deferred[Lease]:
        return succeed(Lease(1, float(lifetime_ms), self.epoch))

    def renew_lease(self, lease: Lease) -> Deferred[int]:
        return succeed(self.epoch)

    def write_entry(
        self, key: str, value: bytes, lease: Lease, revision: int
    ) -> Deferred[WrittenEntry]:
        self.writes += 1
        return succeed(WrittenEntry(self.writes, self.epoch))


class RestoreTest(unittest.TestCase):
    """A store that was restored from a copy."""

    def setUp(self) -> None:
        """Register a node."""
        self.store = _Store()
        self.clock = Clock()
        self.reports: list[Report] = []
        identity = IdentitySettings("n1", "mesh", "bagmati", "ktm-a", "a:1", "a:2", "a:3")
        self.registration = Registration(
            self.store,
            identity,
            LEASE_MS,
            self.clock,
            Random(1),
            self.reports.append,
            lambda announcement: None,
        )
        self.registration.start()

    def pass_time(self, span_s: float) -> None:
        """Let time pass."""
        self.clock.pump([0.1] * round(span_s / 0.1))

    def test_every_restore_is_followed_by_one_write(self) -> None:
        """Guards against an entry that is missing, or written twice, after one of two restores."""
        for epoch in (2, 3):
            self.store.epoch = epoch
            self.registration.note_epoch(epoch)
            self.pass_time(REGISTER_AGAIN_S + 0.2)
            self.assertEqual(self.store.writes, epoch)
        self.pass_time(3 * RENEWAL_S)
        self.assertEqual(self.store.writes, 3)

    def test_a_store_whose_epoch_goes_back(self) -> None:
        """Guards against a fleet that writes all the time at a store that states lower epochs."""
        self.registration.note_epoch(5)
        self.pass_time(100.0)
        self.assertGreater(self.store.writes, 5)
        self.assertLess(self.store.writes, 40)
        self.store.epoch = 5
        self.pass_time(RENEWAL_S)
        writes = self.store.writes
        self.pass_time(3 * RENEWAL_S)
        self.assertEqual(self.store.writes, writes)


if __name__ == "__main__":
    unittest.main()
