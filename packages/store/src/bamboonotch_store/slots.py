"""Relay slots: a few leases in each data centre that bound the readers of the store.

A slot saves load and gives no authority, so two holders or a paused holder do no harm.
"""

from __future__ import annotations

import contextlib
import re
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from bamboonotch_core.errors import StoreError
from bamboonotch_core.events import SlotHolder
from bamboonotch_store.client import StoreClient, StoredEntry
from bamboonotch_store.clock import now_ms

__all__ = ["SlotKeeper", "SlotListing", "list_slot_holders"]

# Part of the lease after which its holder counts it as lost, so that clocks which differ by less
# than a tenth in rate cannot make the holder believe in it longer than the store does.
LEASE_USED = 0.9
RENEWALS_PER_LEASE = 3
RETRIES_PER_LEASE = 20
STARTS_PER_LEASE = 5
# Longest wait between two looks for a free slot, in leases. With 300 nodes in a data centre that
# is about five calls a second.
MAX_BACKOFF_LEASES = 6
SLOT_KEY_PATTERN = re.compile(r"slot/([^/]+)/(\d{1,3})\Z")
ADDRESS_PATTERN = re.compile(r"[0-9A-Fa-f.:\[\]]{3,64}:\d{1,5}\Z")


@dataclass(frozen=True)
class SlotListing:
    """The relay slots as the store lists them.

    :param holders: the held slots.
    :param malformed_keys: keys of entries that are malformed and left out.
    """

    holders: tuple[SlotHolder, ...]
    malformed_keys: tuple[str, ...]


@dataclass(frozen=True)
class _Lease:
    session: str
    slot: int
    expires_ms: float


def _parse_holder(entry: StoredEntry) -> SlotHolder | None:
    match = SLOT_KEY_PATTERN.match(entry.key)
    address = entry.value.decode("ascii", "replace")
    if match is None or not ADDRESS_PATTERN.match(address):
        return None
    return SlotHolder(match[1], int(match[2]), address)


async def list_slot_holders(client: StoreClient, data_centre: str = "") -> SlotListing:
    """List the held relay slots.

    :param client: the store client.
    :param data_centre: only of this data centre; all when empty.
    :raises StoreUnavailableError: when the store does not answer.
    """
    prefix = f"slot/{data_centre}/" if data_centre else "slot/"
    holders, malformed = [], []
    for entry in await client.read_prefix(prefix):
        if not entry.session:
            continue
        holder = _parse_holder(entry)
        if holder is None:
            malformed.append(entry.key)
        else:
            holders.append(holder)
    return SlotListing(tuple(holders), tuple(malformed))


class SlotKeeper:
    """Keeps trying to hold one of the relay slots of a data centre.

    The callbacks come on the reactor's thread, in turn, beginning with ``on_obtained``.

    :param client: the store client, which stays open while this is used; its settings give the
        lease and the number of slots.
    :param data_centre: data centre of this node.
    :param peer_address: ``ip:port`` written into the slot.
    :param reactor: Twisted reactor.
    :param on_obtained: called with the number of the slot.
    :param on_lost: called when the lease ended or could not be renewed in time.
    :param random: source of the jitter.
    :param clock_ms: reads a clock that goes on while the process is paused, in milliseconds.
    """

    def __init__(
        self,
        client: StoreClient,
        data_centre: str,
        peer_address: str,
        reactor: Any,
        on_obtained: Callable[[int], None],
        on_lost: Callable[[], None],
        random: Random,
        clock_ms: Callable[[], float] = now_ms,
    ) -> None:
        self._client = client
        self._data_centre = data_centre
        self._address = peer_address
        self._reactor = reactor
        self._on_obtained = on_obtained
        self._on_lost = on_lost
        self._random = random
        self._clock_ms = clock_ms
        self._lease_ms = client.settings.lease_ms
        self._failures = 0
        self._lease: _Lease | None = None
        self._wait: Deferred[None] | None = None
        self._running: Deferred[None] | None = None

    @property
    def held_slot(self) -> int | None:
        """The slot held by this node's own clock, or ``None``."""
        lease = self._lease
        if lease is None or self._clock_ms() >= lease.expires_ms:
            return None
        return lease.slot

    def start(self) -> None:
        """Begin to compete; does nothing when already begun."""
        if self._running is None:
            self._running = Deferred.fromCoroutine(self._run())
            self._running.addErrback(lambda failure: failure.trap(CancelledError) and None)

    def try_soon(self) -> None:
        """Look for a free slot soon, for example because a holder was reported dead."""
        if self._wait is not None:
            self._failures = 0
            self._wait.callback(None)

    async def stop(self) -> None:
        """Stop competing and free the slot held; ``on_lost`` is not called."""
        running, self._running = self._running, None
        lease, self._lease = self._lease, None
        if running is not None:
            running.cancel()
        if lease is not None:
            await self._end_session(lease.session)

    async def _run(self) -> None:
        await self._sleep(self._random.uniform(0, self._lease_ms / STARTS_PER_LEASE))
        while True:
            lease = await self._compete()
            if lease is None:
                await self._back_off()
                continue
            self._failures = 0
            await self._hold(lease)
            await self._end_session(lease.session)

    async def _compete(self) -> _Lease | None:
        try:
            free = await self._list_free()
            if not free:
                return None
            sent_ms = self._clock_ms()
            session = await self._client.create_session(self._lease_ms)
        except StoreError:
            return None
        slot = await self._acquire_any(free, session)
        expires_ms = sent_ms + self._lease_ms * LEASE_USED
        if slot is None or self._clock_ms() >= expires_ms:
            await self._end_session(session)
            return None
        return _Lease(session, slot, expires_ms)

    async def _list_free(self) -> list[int]:
        entries = await self._client.read_prefix(f"slot/{self._data_centre}/")
        held = {entry.key for entry in entries if entry.session}
        numbers = range(self._client.settings.slots_per_data_centre)
        free = [number for number in numbers if self._key(number) not in held]
        self._random.shuffle(free)
        return free

    async def _acquire_any(self, free: list[int], session: str) -> int | None:
        for number in free:
            try:
                if await self._client.acquire_slot(
                    self._key(number), self._address.encode(), session
                ):
                    return number
            except StoreError:
                return None
        return None

    async def _hold(self, lease: _Lease) -> None:
        """Renew a lease until it is lost."""
        self._lease = lease
        self._on_obtained(lease.slot)
        while self._lease is not None:
            current = self._lease
            renewal = Deferred.fromCoroutine(self._renew(current))
            left_ms = max(current.expires_ms - self._clock_ms(), 0)
            timer = self._reactor.callLater(left_ms / 1000, renewal.cancel)
            try:
                expires_ms = await renewal
            except CancelledError:
                # Only the timer cancels the renewal by itself; all else comes from ``stop``.
                if timer.active():
                    raise
                expires_ms = None
            finally:
                if timer.active():
                    timer.cancel()
            if expires_ms is None or self._clock_ms() >= expires_ms:
                self._lease = None
            else:
                self._lease = _Lease(current.session, current.slot, expires_ms)
        self._on_lost()

    async def _renew(self, lease: _Lease) -> float | None:
        """Wait until a renewal is due and renew; returns the new expiry, ``None`` when lost."""
        await self._sleep(self._jitter(self._lease_ms / RENEWALS_PER_LEASE))
        while self._clock_ms() < lease.expires_ms:
            sent_ms = self._clock_ms()
            try:
                if not await self._client.renew_session(lease.session):
                    return None
                # A process paused while it waited for the answer held no lease meanwhile.
                return sent_ms + self._lease_ms * LEASE_USED
            except StoreError:
                await self._sleep(self._jitter(self._lease_ms / RETRIES_PER_LEASE))
        return None

    async def _end_session(self, session: str) -> None:
        """Free what a session holds; without an answer, its lease runs out."""
        with contextlib.suppress(StoreError):
            await self._client.destroy_session(session)

    async def _back_off(self) -> None:
        limit_ms = self._lease_ms * min(2**self._failures / 2, MAX_BACKOFF_LEASES)
        self._failures = min(self._failures + 1, MAX_BACKOFF_LEASES)
        await self._sleep(self._random.uniform(limit_ms / 2, limit_ms), interruptible=True)
        if self._failures == 0:
            await self._sleep(self._random.uniform(0, self._lease_ms / STARTS_PER_LEASE))

    async def _sleep(self, duration_ms: float, *, interruptible: bool = False) -> None:
        done: Deferred[None] = Deferred()
        timer = self._reactor.callLater(duration_ms / 1000, done.callback, None)
        if interruptible:
            self._wait = done
        try:
            await done
        finally:
            if interruptible:
                self._wait = None
            if timer.active():
                timer.cancel()

    def _jitter(self, duration_ms: float) -> float:
        return duration_ms * self._random.uniform(0.8, 1.2)

    def _key(self, number: int) -> str:
        return f"slot/{self._data_centre}/{number}"
