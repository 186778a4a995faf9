"""The leased entries that make this node the lender of quota shards.

Unlike the entry of a member, an entry of a shard gives authority: its holder lends tokens until its
lease ends by its own clock, also while the store is away. So each rule here errs on the side of
not lending:

* An entry is created on condition that there is none, and replaced only by another process of the
  same node. A write whose answer is lost, or that is carried out late, then either made this node
  the holder, which the next try finds out, or nothing.
* The lease counts from the sending of the last call that was answered.
* A store that was restored from a copy has forgotten leases. In a new epoch a node lends one
  lifetime after it first heard of the epoch at the earliest; until then a lender of before lends on
  its old lease.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import StoreError
from bamboonotch_core.quotas import (
    ShardEntry,
    lease_end_ms,
    lend_from_ms,
    may_take_over,
    parse_entry,
)
from bamboonotch_store.errors import EntryChangedError, LeaseEndedError, StoreRestoredError
from bamboonotch_store.shared import Lease, SharedStore, WrittenEntry

__all__ = ["QUOTA_PREFIX", "ShardKeeper"]

QUOTA_PREFIX = "bamboonotch/quota/"
# Early renewals keep most of the lease for an outage of the store that begins at any time: with a
# lease of 4 s, a lender lends for 3.4 s at least after its store has gone.
RENEWALS_PER_LEASE = 8
# How often a competitor tries to create an entry; a shard is without a lender for as long.
TRY_INTERVAL_MS = 250.0
# Waits after a failed call, doubled with each failure; half of each is random.
FIRST_RETRY_MS = 100.0
MAX_RETRY_MS = 500.0
IDLE_MS = 60_000.0


@dataclass
class _Shard:
    """What this process knows of one shard.

    :param revision: revision of this node's entry; 0 while it holds none.
    :param lend_from_ms: from when it may lend, in milliseconds.
    :param is_settled: whether the entry in the store says that the wait of a new epoch is over.
    :param told_until_ms: end of the lease that was told last.
    :param is_unsure: whether a write may have been carried out whose answer was lost.
    :param next_try_ms: when the entry is tried again, in milliseconds.
    :param other: node id in the entry that was found last, to report each only once.
    """

    revision: int = 0
    lend_from_ms: float = math.inf
    is_settled: bool = False
    told_until_ms: float = -math.inf
    is_unsure: bool = False
    next_try_ms: float = -math.inf
    other: str = ""


class ShardKeeper:
    """Holds the entries of wanted shards, through outages and restores of the store.

    :param store: the store.
    :param node_id: this node.
    :param lease_ms: lifetime of the lease without renewal, in milliseconds.
    :param reactor: Twisted reactor.
    :param clock: clock that goes on during pauses, in milliseconds.
    :param random: source of jitter.
    :param report: takes reports.
    :param held: takes a shard and the end of its lease, when it is held and after each renewal.
    :param lost: takes a shard that is no longer held and the cause.
    :param epoch_seen: takes the epoch of the store when an answer states a newer one.
    """

    def __init__(
        self,
        store: SharedStore,
        node_id: str,
        lease_ms: int,
        reactor: Any,
        clock: Callable[[], float],
        random: Random,
        report: Callable[[Report], None],
        held: Callable[[int, float], None],
        lost: Callable[[int, str], None],
        epoch_seen: Callable[[int], None] = lambda epoch: None,
    ) -> None:
        self._store = store
        self._node_id = node_id
        self._lease_ms = lease_ms
        self._reactor = reactor
        self._clock = clock
        self._random = random
        self._report = report
        self._held = held
        self._lost = lost
        self._epoch_seen = epoch_seen
        self._wanted: tuple[int, ...] = ()
        self._shards: dict[int, _Shard] = {}
        self._lease: Lease | None = None
        self._until_ms = -math.inf
        self._renew_ms = -math.inf
        self._epoch = 0
        self._epoch_since_ms = -math.inf
        self._failures = 0
        self._loop: Deferred[None] | None = None
        self._timer: Any = None

    def compete(self, shards: Collection[int]) -> None:
        """Hold these shards or try to; with none, give up all that are held.

        A single shard is not given up, because the lease of all of them keeps its entry.

        :param shards: the shards.
        """
        self._wanted = tuple(sorted(shards))
        for shard in self._wanted:
            self._shards.setdefault(shard, _Shard())
        if self._loop is None and self._wanted:
            self._loop = Deferred.fromCoroutine(self._keep())
            self._loop.addErrback(self._stopped)
        else:
            self._wake()

    def note_epoch(self, epoch: int) -> None:
        """Take note of an epoch of the store, as early as anything tells of it.

        :param epoch: the epoch.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._epoch_since_ms = self._clock()

    async def stop(self) -> None:
        """Give up every shard, and end the lease."""
        if self._loop is not None:
            self._loop.cancel()
            self._loop = None
        self._wanted = ()
        await self._give_up()

    def _stopped(self, failure: Any) -> None:
        self._loop = None
        if failure.check(CancelledError) is None:
            self._report(Report("quota-keeper-failed", (("fault", str(failure.value)),)))

    async def _keep(self) -> None:
        while True:
            try:
                wait_ms = await self._take_turn()
                self._failures = 0
            except StoreRestoredError:
                # What was told holds until the lease would have ended, see ``lend_from_ms``.
                self._forget_lease()
                wait_ms = self._note_failure("restored")
            except LeaseEndedError:
                self._lose_all("lease-ended-at-store")
                self._forget_lease()
                wait_ms = self._note_failure("lease-ended")
            except StoreError as error:
                wait_ms = self._note_failure(str(error))
            await self._sleep(wait_ms)

    async def _take_turn(self) -> float:
        """Do what is due, and return the wait until more is, in milliseconds.

        :raises StoreRestoredError: when the store was restored since the lease was created.
        """
        if not self._wanted:
            await self._give_up()
            return IDLE_MS
        lease = await self._keep_lease()
        for shard, known in list(self._shards.items()):
            if known.revision:
                await self._keep_entry(shard, known, lease)
            elif self._is_tried(shard, known) and self._clock() >= known.next_try_ms:
                await self._try_entry(shard, known, lease)
        return self._next_wait_ms()

    def _is_tried(self, shard: int, known: _Shard) -> bool:
        return shard in self._wanted or known.is_unsure

    async def _keep_lease(self) -> Lease:
        """Create the lease, or renew it when it is time."""
        sent_ms = self._clock()
        lease = self._lease
        if lease is not None:
            self._check_epoch(lease, lease.epoch)
        if lease is None:
            lease = await self._store.create_lease(self._lease_ms)
            self._take_epoch(lease.epoch)
            self._check_epoch(lease, lease.epoch)
            self._lease = lease
        elif sent_ms < self._renew_ms:
            return lease
        else:
            self._check_epoch(lease, await self._store.renew_lease(lease))
        self._until_ms = lease_end_ms(sent_ms, self._clock(), lease.lifetime_ms)
        self._renew_ms = sent_ms + lease.lifetime_ms / RENEWALS_PER_LEASE
        return lease

    async def _keep_entry(self, shard: int, known: _Shard, lease: Lease) -> None:
        """Tell of the renewed lease, and write down the end of the wait of a new epoch."""
        if self._clock() < known.lend_from_ms:
            return
        self._tell(shard, known)
        if known.is_settled:
            return
        entry = ShardEntry(self._node_id, lease.epoch, True)
        try:
            known.revision = await self._write(shard, entry, lease, known.revision)
            known.is_settled = True
        except EntryChangedError as error:
            self._check_epoch(lease, error.epoch)
            known.revision = error.revision
            if not may_take_over(parse_entry(error.value), self._node_id):
                known.revision = 0
                self._lose(shard, known, "entry-changed")

    async def _try_entry(self, shard: int, known: _Shard, lease: Lease) -> None:
        jitter = 0.5 + 0.5 * self._random.random()
        known.next_try_ms = self._clock() + TRY_INTERVAL_MS * jitter
        found: ShardEntry | None = None
        revision = 0
        known.is_unsure = True
        try:
            written = await self._write(shard, self._make_entry(None, known), lease, 0)
        except EntryChangedError as error:
            self._check_epoch(lease, error.epoch)
            found, revision = parse_entry(error.value), error.revision
            if not may_take_over(found, self._node_id):
                known.is_unsure = False
                self._note_other(shard, known, found)
                return
            try:
                written = await self._write(shard, self._make_entry(found, known), lease, revision)
            except EntryChangedError:
                # An earlier write of this node was carried out late; the next try finds it.
                return
        known.is_unsure = False
        known.revision = written
        entry = self._make_entry(found, known)
        known.is_settled = entry.settled
        known.lend_from_ms = self._lend_from_ms(found)
        await self._keep_entry(shard, known, lease)

    def _lend_from_ms(self, found: ShardEntry | None) -> float:
        lifetime_ms = max(
            float(self._lease_ms), 0.0 if not self._lease else self._lease.lifetime_ms
        )
        return lend_from_ms(found, self._epoch, self._epoch_since_ms, lifetime_ms)

    def _make_entry(self, found: ShardEntry | None, known: _Shard) -> ShardEntry:
        settled = self._clock() >= self._lend_from_ms(found)
        return ShardEntry(self._node_id, self._epoch, settled)

    async def _write(self, shard: int, entry: ShardEntry, lease: Lease, revision: int) -> int:
        key = f"{QUOTA_PREFIX}{shard}"
        written: WrittenEntry = await self._store.write_entry(key, entry.encode(), lease, revision)
        self._check_epoch(lease, written.epoch)
        return written.revision

    def _tell(self, shard: int, known: _Shard) -> None:
        if known.told_until_ms < self._until_ms:
            known.told_until_ms = self._until_ms
            known.other = ""
            self._held(shard, self._until_ms)

    def _note_other(self, shard: int, known: _Shard, found: ShardEntry | None) -> None:
        name = "malformed" if found is None else found.node_id
        if known.other != name:
            known.other = name
            self._report(Report("quota-shard-taken", (("shard", shard), ("holder", name))))

    def _take_epoch(self, epoch: int) -> None:
        if epoch > self._epoch:
            self.note_epoch(epoch)
            self._epoch_seen(epoch)

    def _check_epoch(self, lease: Lease, epoch: int) -> None:
        """Raise ``StoreRestoredError`` unless a call of an epoch has reached the lease's own."""
        self._take_epoch(epoch)
        if epoch != lease.epoch or lease.epoch < self._epoch:
            raise StoreRestoredError(f"lease of epoch {lease.epoch}, answer of epoch {epoch}")

    async def _give_up(self) -> None:
        """Stop lending, and then end the lease, so that others need not wait for its end."""
        self._lose_all("given-up")
        lease, self._lease = self._lease, None
        self._shards.clear()
        # The id of a lease of an earlier epoch may belong to another lender now, so the lease is
        # left alone unless the store has answered lately.
        is_current = lease is not None and lease.epoch >= self._epoch
        if lease is not None and is_current and self._clock() < self._until_ms:
            await self._store.end_lease(lease)

    def _lose_all(self, cause: str) -> None:
        for shard, known in self._shards.items():
            self._lose(shard, known, cause)

    def _lose(self, shard: int, known: _Shard, cause: str) -> None:
        if known.told_until_ms > -math.inf:
            known.told_until_ms = -math.inf
            self._lost(shard, cause)

    def _forget_lease(self) -> None:
        """Begin anew; what was told of shards holds until the old lease ends."""
        self._lease = None
        for known in self._shards.values():
            known.revision = 0
            known.lend_from_ms = math.inf
            known.is_settled = False
            known.next_try_ms = -math.inf

    def _note_failure(self, reason: str) -> float:
        if not self._failures:
            self._report(Report("quota-shards-delayed", (("reason", reason),)))
        wait_ms: float = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        return wait_ms * (0.5 + 0.5 * self._random.random())

    def _next_wait_ms(self) -> float:
        due_ms = [self._renew_ms]
        for shard, known in self._shards.items():
            if known.revision:
                if not known.is_settled:
                    due_ms.append(known.lend_from_ms)
            elif self._is_tried(shard, known):
                due_ms.append(known.next_try_ms)
        return max(0.0, min(due_ms) - self._clock())

    def _wake(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(0)

    def _sleep(self, wait_ms: float) -> Deferred[None]:
        timer: Any = None

        def cancel(_: Deferred[None]) -> None:
            if timer is not None and timer.active():
                timer.cancel()

        done: Deferred[None] = Deferred(cancel)
        self._timer = timer = self._reactor.callLater(wait_ms / 1000, done.callback, None)
        return done
