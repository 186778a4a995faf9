"""Carries out the effects that concern the store."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from random import Random
from types import TracebackType
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bamboonotch_core.effects import (
    CompeteForSlot,
    ReadNewest,
    ReadSlots,
    Report,
    StopCompeting,
    WatchEntry,
    WriteSnapshot,
)
from bamboonotch_core.errors import BamboonotchError, StoreError
from bamboonotch_core.events import (
    Event,
    SlotLost,
    SlotObtained,
    SlotsRead,
    StoreEntryRead,
    StoreNewestRead,
    StoreOperation,
    StoreReadFailed,
)
from bamboonotch_core.outcomes import supersedes_attempt
from bamboonotch_core.request_effects import ClaimKey, RefuseWork
from bamboonotch_core.request_events import BackendResult, ClaimAnswered, ClaimResult
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.clock import now_ms, unix_ms
from bamboonotch_node.forwarding import EffectHandlers
from bamboonotch_node.runtime._store_tasks import StoreTasks
from bamboonotch_store.claims import Claims
from bamboonotch_store.client import OnCall, StoreClient
from bamboonotch_store.log import VersionLog
from bamboonotch_store.slots import SlotKeeper, list_slot_holders

__all__ = ["StoreDriver"]

CLAIM_CLEANUP_S = 60.0
MAX_CREATED_CLAIMS = 10_000


class StoreDriver:
    """Owns the store client and everything that uses it.

    :param settings: settings of the node.
    :param reactor: Twisted reactor.
    :param random: source of jitter.
    :param dispatch: takes each event.
    :param report: takes reports.
    :param on_call: told of each call, for metrics.
    """

    def __init__(
        self,
        settings: NodeSettings,
        reactor: Any,
        random: Random,
        dispatch: Callable[[Event], None],
        report: Callable[[Report], None],
        on_call: OnCall,
    ) -> None:
        self._dispatch = dispatch
        self._report = report
        self._client = StoreClient(settings.store, settings.identity.tenant, reactor, on_call)
        self._log = VersionLog(self._client)
        self._claims = Claims(self._client, unix_ms)
        self._slots = SlotKeeper(
            self._client,
            settings.identity.data_centre,
            settings.identity.peer_address,
            reactor,
            self._slot_obtained,
            self._slot_lost,
            random,
        )
        self._slot = -1
        self._created_claims: OrderedDict[str, str] = OrderedDict()
        self._tasks = StoreTasks(report)
        self._cleanup: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> StoreDriver:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._cleanup is not None:
            self._cleanup.cancel()
        self._tasks.cancel()
        with contextlib.suppress(BamboonotchError):
            await Deferred.fromCoroutine(self._slots.stop()).asFuture(asyncio.get_running_loop())
        await self._client.close().asFuture(asyncio.get_running_loop())

    def departures_kept(self) -> Deferred[bool]:
        """Return at once, because this store keeps no departures."""
        return succeed(True)

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect that concerns the store, by its type."""
        return {
            ReadNewest: self._start_newest_read,
            WatchEntry: self._start_watch,
            ReadSlots: self._start_slots_read,
            CompeteForSlot: self._compete,
            StopCompeting: self._stop_competing,
            WriteSnapshot: self._start_snapshot,
            ClaimKey: self._start_claim,
            RefuseWork: self._release_unused_claim,
        }

    def _start_newest_read(self, effect: ReadNewest) -> None:
        del effect
        self._read(StoreOperation("read-newest"), self._read_newest())

    def _start_watch(self, effect: WatchEntry) -> None:
        name = "watch-entry" if effect.wait_ms else "read-entry"
        self._read(StoreOperation(name, effect.version), self._watch(effect))

    def _start_slots_read(self, effect: ReadSlots) -> None:
        del effect
        self._read(StoreOperation("read-slots"), self._read_slots())

    def _compete(self, effect: CompeteForSlot) -> None:
        del effect
        self._slots.start()

    def _stop_competing(self, effect: StopCompeting) -> None:
        del effect
        self._tasks.start(self._slots.stop())

    def _start_snapshot(self, effect: WriteSnapshot) -> None:
        self._tasks.start(self._write_snapshot(effect))

    def _start_claim(self, effect: ClaimKey) -> None:
        self._tasks.start(self._claim(effect))

    def _release_unused_claim(self, effect: RefuseWork) -> None:
        key = self._created_claims.pop(effect.attempt_id, None)
        if key is not None and effect.result is BackendResult.NOT_RUN:
            self._tasks.start(self._release_claim(key, effect.attempt_id))

    def _read(self, operation: StoreOperation, work: Awaitable[Event]) -> None:
        self._tasks.start(self._dispatch_answer(operation, work))

    async def _dispatch_answer(self, operation: StoreOperation, work: Awaitable[Event]) -> None:
        try:
            event = await work
        except StoreError as error:
            event = StoreReadFailed(now_ms(), operation, str(error))
        self._dispatch(event)

    async def _read_newest(self) -> Event:
        newest = await self._log.read_newest()
        return StoreNewestRead(
            now_ms(),
            newest.snapshot_version,
            newest.snapshot_digest,
            newest.snapshot,
            newest.entries,
        )

    async def _watch(self, effect: WatchEntry) -> Event:
        if effect.wait_ms:
            data = await self._log.watch_entry(effect.version, effect.wait_ms)
        else:
            data = await self._log.read_entry_data(effect.version)
        return StoreEntryRead(now_ms(), effect.version, data)

    async def _read_slots(self) -> Event:
        listing = await list_slot_holders(self._client)
        for key in listing.malformed_keys:
            self._report(Report("malformed-store-value", (("key", key),)))
        return SlotsRead(now_ms(), listing.holders)

    async def _write_snapshot(self, effect: WriteSnapshot) -> None:
        fields: tuple[tuple[str, str | int], ...] = (("version", effect.version),)
        try:
            await self._log.write_snapshot(effect.version, effect.digest, effect.data)
        except StoreError as error:
            self._report(Report("snapshot-failed", (*fields, ("fault", str(error)))))
        else:
            self._report(Report("snapshot-written", fields))

    async def _claim(self, effect: ClaimKey) -> None:
        try:
            result = await self._claims.create(
                effect.idempotency_key, effect.attempt_id, supersedes_attempt
            )
        except BamboonotchError:
            result = ClaimResult.UNAVAILABLE
        if result is ClaimResult.CREATED:
            self._note_created(effect)
        self._dispatch(ClaimAnswered(now_ms(), effect.attempt_id, result))

    def _note_created(self, effect: ClaimKey) -> None:
        """Remember a claim until its attempt ends, so that it can be released."""
        self._created_claims[effect.attempt_id] = effect.idempotency_key
        if len(self._created_claims) > MAX_CREATED_CLAIMS:
            self._created_claims.popitem(last=False)

    async def _release_claim(self, key: str, attempt_id: str) -> None:
        with contextlib.suppress(BamboonotchError):
            await self._claims.release(key, attempt_id)

    def _slot_obtained(self, slot: int) -> None:
        self._slot = slot
        self._dispatch(SlotObtained(now_ms(), slot))
        if slot == 0:
            self._schedule_cleanup()

    def _slot_lost(self) -> None:
        self._slot = -1
        self._dispatch(SlotLost(now_ms()))

    def _schedule_cleanup(self) -> None:
        """Delete old claims while this node holds the first slot of its data centre."""
        if self._slot != 0:
            return
        if self._cleanup is not None:
            self._cleanup.cancel()
        loop = asyncio.get_running_loop()
        self._cleanup = loop.call_later(CLAIM_CLEANUP_S, self._clean_up)

    def _clean_up(self) -> None:
        self._tasks.start(self._delete_old_claims())
        self._schedule_cleanup()

    async def _delete_old_claims(self) -> None:
        with contextlib.suppress(StoreError):
            await self._claims.delete_old()
