"""The leased entry by which other nodes find this one.

The entry gives no authority: it is an address to dial, and a stale one costs a failed dial. It also
keeps what leaving backend servers have said, for the next process of this node.

Each write names the revision of the entry that it replaces. So the first write of a process cannot
replace what an earlier one has kept without having seen it, and a write that the store carries out
late cannot replace a newer one.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, DeferredLock, succeed

from bamboonotch_core.announcements import LEAVING_STATES, MAX_DEPARTURES, with_departure
from bamboonotch_core.effects import Report
from bamboonotch_core.errors import StoreError
from bamboonotch_core.events import BackendServerAnnounced, SlotHolder
from bamboonotch_core.settings import IdentitySettings
from bamboonotch_store.errors import EntryChangedError, LeaseEndedError, StoreRestoredError
from bamboonotch_store.shared import Lease, SharedEntry, SharedStore, WrittenEntry

__all__ = ["MEMBER_PREFIX", "MemberListing", "Registration", "read_registered"]

MEMBER_PREFIX = "bamboonotch/member/"
# Fields of an announcement that an entry keeps, and their types in JSON.
DEPARTURE_FIELDS: dict[str, tuple[type, ...]] = {
    "service": (str,),
    "address": (str,),
    "slots": (int,),
    "state": (str,),
    "instance_id": (str,),
    "started_unix_ms": (int,),
    "sequence": (int, type(None)),
}
MAX_TEXT_CHARACTERS = 128
RENEWALS_PER_LEASE = 3
# Waits after a failed call, doubled with each failure; half of each is random, because a herd
# would otherwise return to the store at once.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.0
# The same for a departure, which ends with the process until the store has it.
MAX_DEPARTURE_RETRY_S = 0.5
# Time over which the nodes of a fleet register again when the store was restored from a copy.
REGISTER_AGAIN_S = 1.0
# A backend server waits for an acknowledgement for a second; the rest is the way back.
KEEP_LIMIT_S = 0.8


@dataclass(frozen=True)
class MemberListing:
    """The registered nodes.

    :param holders: the nodes.
    :param malformed_keys: keys whose value is malformed.
    """

    holders: tuple[SlotHolder, ...]
    malformed_keys: tuple[str, ...]


def _parse_member(entry: SharedEntry) -> SlotHolder | None:
    try:
        value = json.loads(entry.value)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    data_centre, address = value.get("data_centre"), value.get("peer_address")
    if not isinstance(data_centre, str) or not isinstance(address, str):
        return None
    if max(len(data_centre), len(address)) > MAX_TEXT_CHARACTERS:
        return None
    return SlotHolder(data_centre, 0, address)


def _encode_departure(announcement: BackendServerAnnounced) -> dict[str, Any]:
    fields = {name: getattr(announcement, name) for name in DEPARTURE_FIELDS}
    return {
        **fields,
        "leaving": announcement.leaving,
        "heard_unix_ms": announcement.heard_unix_ms,
    }


def _parse_departures(data: bytes) -> tuple[BackendServerAnnounced, ...]:
    """Return the well-formed departures in an entry, the latest one last."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return ()
    if not isinstance(value, dict):
        return ()
    listed = value.get("departures")
    # Entries of earlier versions hold one departure.
    raw = listed if isinstance(listed, list) else [value.get("departure")]
    parsed = (_parse_departure(item) for item in raw[-MAX_DEPARTURES:])
    return tuple(item for item in parsed if item is not None)


def _parse_departure(raw: Any) -> BackendServerAnnounced | None:
    """Return a departure, or ``None`` if it is malformed."""
    if not isinstance(raw, dict):
        return None
    for name, kinds in DEPARTURE_FIELDS.items():
        if type(raw.get(name)) not in kinds:
            return None
    if raw["state"] not in LEAVING_STATES:
        return None
    fields = {name: raw[name] for name in DEPARTURE_FIELDS}
    # Entries of earlier versions have neither of these fields.
    heard_unix_ms = raw.get("heard_unix_ms")
    return BackendServerAnnounced(
        now_ms=0.0,
        leaving=raw.get("leaving") is True,
        heard_unix_ms=heard_unix_ms if type(heard_unix_ms) is int else 0,
        **fields,
    )


async def read_registered(store: SharedStore) -> MemberListing:
    """Read the registered nodes.

    :param store: the store.
    :raises StoreError: when the store does not answer.
    """
    holders = []
    malformed = []
    for entry in await store.read_entries(MEMBER_PREFIX):
        holder = _parse_member(entry)
        if holder is None:
            malformed.append(entry.key)
        else:
            holders.append(holder)
    return MemberListing(tuple(holders), tuple(malformed))


class Registration:
    """Keeps this node's entry alive, through outages and restores of the store and lost leases.

    :param store: the store.
    :param identity: section ``[node]`` of the settings.
    :param lease_ms: lifetime of the entry without renewal, in milliseconds.
    :param reactor: Twisted reactor.
    :param random: source of jitter.
    :param report: takes reports.
    :param recalled: takes each departure that an earlier process of this node had kept.
    :param epoch_seen: takes the epoch of the store when an answer states a newer one.
    """

    def __init__(
        self,
        store: SharedStore,
        identity: IdentitySettings,
        lease_ms: int,
        reactor: Any,
        random: Random,
        report: Callable[[Report], None],
        recalled: Callable[[BackendServerAnnounced], None],
        epoch_seen: Callable[[int], None] = lambda epoch: None,
    ) -> None:
        self._store = store
        self._identity = identity
        self._lease_ms = lease_ms
        self._reactor = reactor
        self._random = random
        self._report = report
        self._lease: Lease | None = None
        self._loop: Deferred[None] | None = None
        self._failures = 0
        self._restores = 0
        self._recalled = recalled
        self._epoch_seen = epoch_seen
        self._epoch = 0
        self._timer: Any = None
        self._writer: Deferred[None] | None = None
        # Of the entry as this process knows it: 0 while it knows of none.
        self._revision = 0
        self._writing = DeferredLock()
        self._departures: tuple[BackendServerAnnounced, ...] = ()
        self._is_entry_current = False
        self._waiting: list[tuple[Any, Deferred[bool]]] = []

    def start(self) -> None:
        """Register, and stay registered until stopped."""
        if self._loop is None:
            self._loop = Deferred.fromCoroutine(self._keep())
            self._loop.addErrback(self._stopped)

    def keep_departure(self, announcement: BackendServerAnnounced) -> None:
        """Keep what a leaving backend server has said in the entry.

        :param announcement: what it said.
        """
        self._departures = with_departure(self._departures, announcement)
        self._is_entry_current = False
        self._write_soon()

    def departures_kept(self) -> Deferred[bool]:
        """Wait until the store has the departures heard so far.

        :returns: whether the store has them, after ``KEEP_LIMIT_S`` at most.
        """
        if self._is_entry_current or not self._departures:
            return succeed(True)
        kept: Deferred[bool] = Deferred()
        timer = self._reactor.callLater(KEEP_LIMIT_S, kept.callback, False)
        self._waiting.append((timer, kept))
        return kept

    def _note_kept(self) -> None:
        """Let those go on who wait for the departures."""
        waiting, self._waiting = self._waiting, []
        for timer, kept in waiting:
            if timer.active():
                timer.cancel()
                kept.callback(True)

    def note_epoch(self, epoch: int) -> None:
        """Register again if the store was restored since the lease was created.

        :param epoch: newest epoch of the store that is known.
        """
        self._epoch = max(self._epoch, epoch)
        if self._lease is not None and not self._is_current(self._lease):
            self._is_entry_current = False
            self._wake()

    async def stop(self) -> None:
        """Give the entry up, unless the next process needs it; it then ends with its lease."""
        for task in (self._loop, self._writer):
            if task is not None:
                task.cancel()
        self._loop = self._writer = None
        lease, self._lease = self._lease, None
        # The id of a lease of an earlier epoch may belong to another node now.
        if lease is not None and not self._departures and self._is_current(lease):
            await self._store.end_lease(lease)

    def _stopped(self, failure: Any) -> None:
        if failure.check(CancelledError) is None:
            self._report(Report("registration-failed", (("fault", str(failure.value)),)))

    async def _keep(self) -> None:
        while True:
            try:
                wait_s = await self._renew()
                self._failures = self._restores = 0
            except StoreRestoredError:
                self._forget_lease()
                wait_s = self._note_restore()
            except LeaseEndedError:
                self._report(Report("registration-lapsed"))
                self._forget_lease()
                continue
            except StoreError as error:
                wait_s = self._note_failure(error)
            await self._sleep(wait_s, may_wake=True)

    def _forget_lease(self) -> None:
        """Take the lease for ended, and the entry with the departures in it for gone."""
        self._lease = None
        self._revision = 0
        self._is_entry_current = False

    async def _renew(self) -> float:
        """Register or renew, and return the wait until the next renewal, in seconds.

        :raises StoreRestoredError: when the store was restored since the lease was created.
        """
        if self._lease is None:
            lease = await self._store.create_lease(self._lease_ms)
            self._take_epoch(lease.epoch)
            await self._write_entry(lease)
            self._lease = lease
            # A departure that came during the write found no lease.
            self._write_soon()
            fields = (("lifetime_ms", lease.lifetime_ms), ("epoch", lease.epoch))
            self._report(Report("registered", fields))
        else:
            self._check_epoch(self._lease, self._lease.epoch)
            self._check_epoch(self._lease, await self._store.renew_lease(self._lease))
            self._write_soon()
        return self._lease.lifetime_ms / 1000 / RENEWALS_PER_LEASE

    def _take_epoch(self, epoch: int) -> None:
        """Take note of the epoch that an answer states."""
        if epoch > self._epoch:
            self.note_epoch(epoch)
            self._epoch_seen(epoch)

    def _check_epoch(self, lease: Lease, epoch: int) -> None:
        """Raise ``StoreRestoredError`` unless a call of an epoch has reached the lease's own."""
        self._take_epoch(epoch)
        if epoch != lease.epoch or not self._is_current(lease):
            raise StoreRestoredError(f"lease of epoch {lease.epoch}, answer of epoch {epoch}")

    def _is_current(self, lease: Lease) -> bool:
        return lease.epoch >= self._epoch

    def _recall(self, departures: tuple[BackendServerAnnounced, ...]) -> None:
        """Take over departures, as older ones than those that this process has kept."""
        kept, self._departures = self._departures, ()
        for departure in (*departures, *kept):
            self._departures = with_departure(self._departures, departure)
        for departure in departures:
            self._recalled(departure)

    async def _write_entry(self, lease: Lease) -> None:
        """Write the entry, after what an earlier process has kept in it was taken over.

        :raises EntryChangedError: when it goes on changing.
        """
        await self._writing.acquire()
        try:
            try:
                await self._replace_entry(lease)
            except EntryChangedError as error:
                self._check_epoch(lease, error.epoch)
                self._revision = error.revision
                self._recall(_parse_departures(error.value))
                await self._replace_entry(lease)
        finally:
            self._writing.release()

    async def _replace_entry(self, lease: Lease) -> None:
        departures = self._departures
        written: WrittenEntry = await self._store.write_entry(
            self._key(), self._value(), lease, self._revision
        )
        self._check_epoch(lease, written.epoch)
        self._revision = written.revision
        self._is_entry_current = departures is self._departures
        if self._is_entry_current:
            self._note_kept()

    def _write_soon(self) -> None:
        """Write the entry until the store has it, unless that is under way."""
        if self._writer is None and not self._is_entry_current and self._current_lease():
            writer = self._writer = Deferred.fromCoroutine(self._write_until_kept())
            writer.addErrback(self._stopped)
            if writer.called:
                self._writer = None

    def _current_lease(self) -> Lease | None:
        lease = self._lease
        return lease if lease is not None and self._is_current(lease) else None

    async def _write_until_kept(self) -> None:
        failures = 0
        try:
            while not self._is_entry_current and (lease := self._current_lease()) is not None:
                try:
                    await self._write_entry(lease)
                    failures = 0
                except (LeaseEndedError, StoreRestoredError):
                    # The node has to register again first, which writes the entry.
                    self._wake()
                    return
                except StoreError as error:
                    if not failures:
                        fields = (("reason", str(error)),)
                        self._report(Report("departure-not-kept", fields))
                    await self._sleep(self._retry_wait_s(failures, MAX_DEPARTURE_RETRY_S))
                    failures += 1
        finally:
            self._writer = None

    def _note_restore(self) -> float:
        """Return the wait before the node registers again, in seconds.

        It grows while the store goes on to state an earlier epoch than is known.
        """
        longest_s = self._lease_ms / 1000 / RENEWALS_PER_LEASE
        wait_s: float = min(longest_s, REGISTER_AGAIN_S * 2**self._restores)
        self._restores = min(self._restores + 1, 8)
        return self._random.random() * wait_s

    def _note_failure(self, error: StoreError) -> float:
        if not self._failures:
            self._report(Report("registration-delayed", (("reason", str(error)),)))
        wait_s = self._retry_wait_s(self._failures, MAX_RETRY_S)
        self._failures += 1
        return wait_s

    def _retry_wait_s(self, failures: int, longest_s: float) -> float:
        half_s: float = min(longest_s, FIRST_RETRY_S * 2 ** min(failures, 8)) / 2
        return half_s + self._random.random() * half_s

    def _key(self) -> str:
        return MEMBER_PREFIX + self._identity.node_id

    def _value(self) -> bytes:
        identity = self._identity
        value: dict[str, Any] = {
            "data_centre": identity.data_centre,
            "peer_address": identity.peer_address,
        }
        if self._departures:
            value["departures"] = [_encode_departure(item) for item in self._departures]
        return json.dumps(value).encode()

    def _wake(self) -> None:
        """End the wait until the next renewal."""
        if self._timer is not None and self._timer.active():
            self._timer.reset(0)

    def _sleep(self, wait_s: float, may_wake: bool = False) -> Deferred[None]:
        timer: Any = None

        def cancel(_: Deferred[None]) -> None:
            if timer is not None and timer.active():
                timer.cancel()

        done: Deferred[None] = Deferred(cancel)
        timer = self._reactor.callLater(wait_s, done.callback, None)
        if may_wake:
            self._timer = timer
        return done
