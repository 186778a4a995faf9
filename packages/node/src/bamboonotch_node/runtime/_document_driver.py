"""Carries out the effects that concern a store of whole documents and leased entries."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from bamboonotch_core.documents import WATCH_DOCUMENT, answer_age_ms
from bamboonotch_core.effects import (
    CompeteForSlot,
    KeepDeparture,
    ReadSlots,
    RegisterAgain,
    Report,
    WatchDocument,
)
from bamboonotch_core.errors import BamboonotchError, StoreError, StoreValueError
from bamboonotch_core.events import (
    BackendServerAnnounced,
    DepartureRecalled,
    DocumentRead,
    DocumentRefused,
    DocumentUnchanged,
    Event,
    SlotsRead,
    StoreEpochSeen,
    StoreOperation,
    StoreReadFailed,
)
from bamboonotch_core.quota_events import CompeteForShards, ShardHeld, ShardLost
from bamboonotch_core.rollouts import (
    ReadRollout,
    RolloutFailed,
    RolloutOrdersRead,
    RolloutRead,
    RolloutWritten,
    WriteRollout,
)
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.clock import now_ms, unix_ms
from bamboonotch_node.forwarding import EffectHandlers
from bamboonotch_node.runtime._store_tasks import StoreTasks
from bamboonotch_store.quota_shards import ShardKeeper
from bamboonotch_store.registration import Registration, read_registered
from bamboonotch_store.shared import SharedStore

__all__ = ["DocumentDriver"]

# Longest wait for the store to end this node's lease.
FAREWELL_TIMEOUT_S = 0.3


class DocumentDriver:
    """Owns the store client, the watch on the document and the entry that announces this node.

    :param store: client of the store.
    :param settings: settings of the node.
    :param reactor: Twisted reactor.
    :param random: source of jitter.
    :param dispatch: takes each event.
    :param report: takes reports.
    """

    def __init__(
        self,
        store: SharedStore,
        settings: NodeSettings,
        reactor: Any,
        random: Random,
        dispatch: Callable[[Event], None],
        report: Callable[[Report], None],
    ) -> None:
        self._store = store
        self._dispatch = dispatch
        self._report = report
        self._registration = Registration(
            store,
            settings.identity,
            settings.store.lease_ms,
            reactor,
            random,
            report,
            self._recall_departure,
            self._see_epoch,
        )
        self._shards = ShardKeeper(
            store,
            settings.identity.node_id,
            settings.quotas.lease_ms,
            reactor,
            now_ms,
            random,
            report,
            lambda shard, until_ms: dispatch(ShardHeld(now_ms(), shard, until_ms)),
            lambda shard, cause: dispatch(ShardLost(now_ms(), shard, cause)),
            self._see_epoch,
        )
        self._tasks = StoreTasks(report)
        self._watching: asyncio.Future[None] | None = None

    async def __aenter__(self) -> DocumentDriver:
        return self

    async def __aexit__(self, *error: Any) -> None:
        self._tasks.cancel()
        loop = asyncio.get_running_loop()
        # A store that is away must not hold the end of the process; the lease ends by itself.
        with contextlib.suppress(BamboonotchError, TimeoutError):
            both = DeferredList(
                [
                    Deferred.fromCoroutine(self._shards.stop()),
                    Deferred.fromCoroutine(self._registration.stop()),
                ],
                consumeErrors=True,
            )
            await asyncio.wait_for(both.asFuture(loop), FAREWELL_TIMEOUT_S)
        await self._store.close().asFuture(loop)

    def departures_kept(self) -> Deferred[bool]:
        """Return whether the store has the departures heard so far, after a bounded time."""
        return self._registration.departures_kept()

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect that concerns the store, by its type."""
        return {
            WatchDocument: self._watch_document,
            ReadSlots: self._read_slots,
            CompeteForSlot: self._register,
            KeepDeparture: self._keep_departure,
            RegisterAgain: self._register_again,
            CompeteForShards: self._compete_for_shards,
            ReadRollout: self._read_rollout,
            WriteRollout: self._write_rollout,
        }

    def _watch_document(self, effect: WatchDocument) -> None:
        if self._watching is not None:
            self._watching.cancel()
        answer = self._answer(StoreOperation(WATCH_DOCUMENT), self._watch(effect))
        self._watching = self._tasks.start(answer)

    def _read_slots(self, effect: ReadSlots) -> None:
        del effect
        self._tasks.start(self._answer(StoreOperation("read-slots"), self._read_members()))

    def _register(self, effect: CompeteForSlot) -> None:
        del effect
        self._registration.start()

    def _keep_departure(self, effect: KeepDeparture) -> None:
        self._registration.keep_departure(effect.announcement)

    def _recall_departure(self, announcement: BackendServerAnnounced) -> None:
        # A damaged time of hearing must not outdate later processes.
        heard_unix_ms = min(announcement.heard_unix_ms or unix_ms(), unix_ms())
        recalled = replace(announcement, heard_unix_ms=heard_unix_ms)
        self._dispatch(DepartureRecalled(now_ms(), recalled))

    def _register_again(self, effect: RegisterAgain) -> None:
        self._registration.note_epoch(effect.epoch)
        self._shards.note_epoch(effect.epoch)

    def _see_epoch(self, epoch: int) -> None:
        """Tell the other parts that an answer of the store has stated a newer epoch."""
        self._registration.note_epoch(epoch)
        self._shards.note_epoch(epoch)
        self._dispatch(StoreEpochSeen(now_ms(), epoch))

    def _compete_for_shards(self, effect: CompeteForShards) -> None:
        self._shards.compete(effect.shards)

    def _read_rollout(self, effect: ReadRollout) -> None:
        call = self._answer_rollout(effect.service, self._find_rollout(effect.service))
        self._tasks.start(call)

    def _write_rollout(self, effect: WriteRollout) -> None:
        service = effect.plan.order.service
        self._tasks.start(self._answer_rollout(service, self._store_rollout(effect)))

    async def _find_rollout(self, service: str) -> Event:
        entry = await self._store.read_rollout(service)
        return RolloutRead(now_ms(), service, entry.value, entry.revision)

    async def _store_rollout(self, effect: WriteRollout) -> Event:
        plan = effect.plan
        status = plan.state if effect.with_status else ""
        written = await self._store.write_rollout(plan.order, effect.data, plan.number, status)
        return RolloutWritten(now_ms(), plan.order.service, written.revision)

    async def _answer_rollout(
        self, service: str, work: Coroutine[Deferred[Any], Any, Event]
    ) -> None:
        try:
            event = await work
        except StoreError as error:
            event = RolloutFailed(now_ms(), service, str(error))
        self._dispatch(event)

    async def _answer(
        self, operation: StoreOperation, work: Coroutine[Deferred[Any], Any, Event]
    ) -> None:
        try:
            event = await work
        except StoreError as error:
            event = StoreReadFailed(now_ms(), operation, str(error))
        self._dispatch(event)

    async def _watch(self, effect: WatchDocument) -> Event:
        started_ms = now_ms()
        try:
            found = await self._store.watch_document(effect.revision, effect.wait_ms)
        except StoreValueError as error:
            # A later write replaces the faulty value, so the watch goes on from the start.
            answered_ms = now_ms()
            age_ms = answer_age_ms(started_ms, answered_ms)
            return DocumentRefused(answered_ms, str(error), 0, age_ms=age_ms)
        # A watch from one epoch into the next says nothing of the changes in between.
        revision = 0 if effect.revision and found.epoch != effect.epoch else found.revision
        answered_ms = now_ms()
        age_ms = answer_age_ms(started_ms, answered_ms, effect.wait_ms, found.waited)
        if found.orders or found.orders_whole:
            # Before the document, so that no request is sent without knowledge of the orders.
            self._dispatch(
                RolloutOrdersRead(
                    answered_ms, found.epoch, found.revision, found.orders, found.orders_whole
                )
            )
        if found.fault:
            return DocumentRefused(
                answered_ms, found.fault, revision, found.epoch, age_ms, found.version
            )
        if found.document is not None:
            return DocumentRead(
                answered_ms, found.version, found.document, revision, found.epoch, age_ms
            )
        return DocumentUnchanged(answered_ms, revision, found.epoch, age_ms)

    async def _read_members(self) -> Event:
        listing = await read_registered(self._store)
        for key in listing.malformed_keys:
            self._report(Report("malformed-store-value", (("key", key),)))
        return SlotsRead(now_ms(), listing.holders)
