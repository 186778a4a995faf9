"""Reads of the store: the proof at start-up and the watch of the readers."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.distribution._snapshots import note_stored_snapshot
from bamboonotch_core.distribution._spreading import spread
from bamboonotch_core.distribution._state import Source, StoreReading
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.distribution._versions import accept_entry, accept_whole_read
from bamboonotch_core.effects import ReadNewest, WatchEntry
from bamboonotch_core.events import (
    StoreEntryRead,
    StoreNewestRead,
    StoreOperation,
    StoreReadFailed,
)

__all__ = ["advance_store", "entry_read", "newest_read", "read_failed", "store_is_slow"]

START_SPREAD_MS = 500.0
"""Nodes that restart in a herd start their first read at random within this time, so that most
of them hold the version from a peer by then and need one read instead of a snapshot."""

SHORTEST_WATCH_MS = 100.0
"""A watch that ends sooner without an entry did not wait; the next one is delayed by as much."""

READ_NEWEST_TIMEOUTS = 30
"""Calls that a read of the newest version makes at most before it counts as failed."""

SLOW_TIMEOUTS = 2
BAD_CONTENT_BACKOFF_MAX_MS = 60_000.0
IDLE_RETRY_MAX_MS = 60_000.0
"""Longest wait of a node that needs nothing from the store but whether it is reachable."""

_ENTRY_OPERATIONS = ("read-entry", "watch-entry")


def _is_needed(step: Step) -> bool:
    """Tell whether this node cannot serve without the store's answer."""
    state = step.state
    return state.proven_version is None or state.held_version < state.proven_version


def _operation(step: Step) -> tuple[StoreOperation, int] | None:
    """Return the read that is wanted now, with its longest wait in milliseconds."""
    state = step.state
    following = state.held_version + 1
    needed = _is_needed(step)
    is_reader = step.view.is_store_reader
    whole = state.store.read_whole or (needed and state.held_version == 0)
    if whole and (needed or is_reader):
        return StoreOperation("read-newest"), 0
    if is_reader and not needed:
        return StoreOperation("watch-entry", following), state.settings.store.watch_ms
    if needed or not state.store_reachable:
        return StoreOperation("read-entry", following), 0
    return None


def _start_read(step: Step, operation: StoreOperation, wait_ms: int) -> None:
    timeout_ms = step.state.settings.store.timeout_ms
    if operation.name == "read-newest":
        step.emit(ReadNewest())
        limit_ms = timeout_ms * READ_NEWEST_TIMEOUTS
    else:
        step.emit(WatchEntry(operation.version, wait_ms))
        limit_ms = wait_ms + timeout_ms * SLOW_TIMEOUTS
    store = replace(
        step.state.store,
        pending=operation,
        pending_since_ms=step.now_ms,
        pending_wait_ms=float(limit_ms),
    )
    step.update(store=store)


def advance_store(step: Step) -> None:
    """Start the next read when one is due, and give up one that is not answered.

    :param step: the step.
    """
    store = step.state.store
    if store.pending is not None:
        if step.now_ms - store.pending_since_ms > store.pending_wait_ms:
            _fail(step, store.pending, "no answer")
        return
    if step.now_ms < store.not_before_ms:
        return
    wanted = _operation(step)
    if wanted is not None:
        _start_read(step, *wanted)


def schedule_first_read(step: Step) -> None:
    """Set the time of the first read of this process.

    :param step: the step.
    """
    not_before_ms = step.now_ms + step.random() * START_SPREAD_MS
    step.update(store=StoreReading(not_before_ms=not_before_ms))


def store_is_slow(step: Step) -> bool:
    """Tell whether the store failed or lets its answer wait for long.

    :param step: the step.
    """
    store = step.state.store
    if store.failures:
        return True
    limit_ms = step.state.settings.store.timeout_ms * SLOW_TIMEOUTS
    return store.pending is not None and step.now_ms - store.pending_since_ms > limit_ms


def _back_off(step: Step, max_ms: float) -> None:
    """Delay the next read by full jitter below a bound that doubles with each failure."""
    store = step.state.store
    minimum_ms = step.state.settings.membership.backoff_min_ms
    bound_ms = min(max_ms, minimum_ms * 2.0 ** min(store.failures, 20))
    not_before_ms = step.now_ms + step.random() * bound_ms
    store = replace(store, pending=None, failures=store.failures + 1, not_before_ms=not_before_ms)
    step.update(store=store)


def _fail(step: Step, operation: StoreOperation, reason: str) -> None:
    state = step.state
    needed = _is_needed(step) or step.view.is_store_reader
    max_ms = state.settings.membership.backoff_max_ms if needed else IDLE_RETRY_MAX_MS
    _back_off(step, float(max_ms))
    if state.store_reachable:
        step.update(store_reachable=False)
        step.report("store-unreachable", operation=operation.name, reason=reason)


def _answered(step: Step) -> None:
    if not step.state.store_reachable:
        step.update(store_reachable=True)
        step.report("store-reachable")


def _succeed(step: Step) -> None:
    step.update(store=StoreReading(not_before_ms=step.now_ms))


def _prove(step: Step, version: int) -> None:
    if step.state.proven_version is not None:
        return
    step.update(proven_version=version, proof="store")
    step.report("version-proven", version=version, proof="store")


def read_failed(step: Step, event: StoreReadFailed) -> None:
    """Take note that a read got no answer.

    :param step: the step.
    :param event: the event.
    """
    pending = step.state.store.pending
    if pending is None or pending.version != event.operation.version:
        return
    is_entry = pending.name in _ENTRY_OPERATIONS
    if is_entry != (event.operation.name in _ENTRY_OPERATIONS):
        return
    if not is_entry and event.operation.name != pending.name:
        return
    _fail(step, event.operation, event.reason)


def newest_read(step: Step, event: StoreNewestRead) -> None:
    """Take in the newest version.

    :param step: the step.
    :param event: the event.
    """
    pending = step.state.store.pending
    if pending is None or pending.name != "read-newest":
        return
    before = step.state.held_version
    _answered(step)
    result = accept_whole_read(step, event)
    if not result.snapshot_good:
        # The snapshot is overwritten in place, so a bad one says nothing of what an earlier life
        # of this node read.
        _back_off(step, BAD_CONTENT_BACKOFF_MAX_MS)
        return
    note_stored_snapshot(step, event.snapshot_version)
    # A log entry never changes, so an earlier life refused a bad one as well.
    _prove(step, result.version)
    if result.complete:
        _succeed(step)
    else:
        _back_off(step, BAD_CONTENT_BACKOFF_MAX_MS)
    spread(step, before)


def entry_read(step: Step, event: StoreEntryRead) -> None:
    """Take in one log entry, or that it does not exist.

    :param step: the step.
    :param event: the event.
    """
    store = step.state.store
    pending = store.pending
    if pending is None or pending.name not in _ENTRY_OPERATIONS:
        return
    if pending.version != event.version:
        return
    _answered(step)
    if event.data is None:
        _entry_absent(step, pending)
        return
    if event.version != step.state.held_version + 1:
        _succeed(step)
        return
    before = step.state.held_version
    if accept_entry(step, event.data, Source("store")):
        _succeed(step)
        spread(step, before)
        return
    _back_off(step, BAD_CONTENT_BACKOFF_MAX_MS)
    step.update(store=replace(step.state.store, read_whole=True))


def _entry_absent(step: Step, operation: StoreOperation) -> None:
    _prove(step, operation.version - 1)
    if _is_needed(step):
        # Witnesses remember a version that the store lacks; only peers can supply it.
        _back_off(step, BAD_CONTENT_BACKOFF_MAX_MS)
        return
    since_ms = step.state.store.pending_since_ms
    _succeed(step)
    waited_ms = step.now_ms - since_ms
    if operation.name == "watch-entry" and waited_ms < SHORTEST_WATCH_MS:
        not_before_ms = step.now_ms + SHORTEST_WATCH_MS * (1.0 + step.random())
        step.update(store=StoreReading(not_before_ms=not_before_ms))
