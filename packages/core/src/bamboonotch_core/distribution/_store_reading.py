"""Reads the store: at start-up, to prove a version, and in a watch on store readers."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.distribution._snapshots import note_stored_snapshot
from bamboonotch_core.distribution._spreading import disseminate
from bamboonotch_core.distribution._state import Source, StoreReading
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.distribution._versions import accept_entry, accept_newest_read
from bamboonotch_core.effects import ReadNewest, WatchEntry
from bamboonotch_core.events import (
    StoreEntryRead,
    StoreNewestRead,
    StoreOperation,
    StoreReadFailed,
)

__all__ = [
    "advance_store",
    "is_store_slow",
    "receive_entry",
    "receive_newest_read",
    "receive_read_failure",
]

FIRST_READ_SPREAD_MS = 500.0
"""Each node starts its first read at a random time within this interval. When many nodes restart
together, most of them then hold the version from a peer and read one entry instead of a snapshot.
"""

MIN_WATCH_MS = 100.0
"""A watch that ends sooner without an entry did not wait; the next one is delayed by at least this
time."""

READ_NEWEST_TIMEOUTS = 30
"""A read of the newest version makes at most this many calls, each within the store timeout; after
that time it counts as failed."""

SLOW_READ_TIMEOUTS = 2
"""A read that takes longer than this many store timeouts counts as slow; a read or watch of one
entry fails this long after its requested wait."""

INVALID_CONTENT_BACKOFF_MAX_MS = 60_000.0
"""Upper bound of the delay after an answer that was invalid or lacked a needed version."""

IDLE_BACKOFF_MAX_MS = 60_000.0
"""Upper bound of the delay after a failed read on a node that serves and is no store reader; it
reads only to learn whether the store is reachable."""

_ENTRY_OPERATIONS = ("read-entry", "watch-entry")


def _needs_store(step: Step) -> bool:
    """Return whether this node lacks a proven version or the proven version itself."""
    state = step.state
    return state.proven_version is None or state.held_version < state.proven_version


def _choose_operation(step: Step) -> tuple[StoreOperation, int] | None:
    """Return the read to start now with its longest wait in milliseconds, or ``None``."""
    state = step.state
    following = state.held_version + 1
    needed = _needs_store(step)
    is_reader = step.view.is_store_reader
    from_snapshot = state.store.reread_from_snapshot or (needed and state.held_version == 0)
    if from_snapshot and (needed or is_reader):
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
        limit_ms = wait_ms + timeout_ms * SLOW_READ_TIMEOUTS
    store = replace(
        step.state.store,
        pending=operation,
        pending_since_ms=step.now_ms,
        pending_wait_ms=float(limit_ms),
    )
    step.update(store=store)


def advance_store(step: Step) -> None:
    """Start the next read when one is due, and fail a read that was not answered in time."""
    store = step.state.store
    if store.pending is not None:
        if step.now_ms - store.pending_since_ms > store.pending_wait_ms:
            _note_read_failure(
                step, store.pending, f"no answer within {store.pending_wait_ms:.0f} ms"
            )
        return
    if step.now_ms < store.not_before_ms:
        return
    wanted = _choose_operation(step)
    if wanted is not None:
        _start_read(step, *wanted)


def schedule_first_read(step: Step) -> None:
    """Set the time of the first read of this process."""
    not_before_ms = step.now_ms + step.random() * FIRST_READ_SPREAD_MS
    step.update(store=StoreReading(not_before_ms=not_before_ms))


def is_store_slow(step: Step) -> bool:
    """Return whether the last store read failed or the present one is slow."""
    store = step.state.store
    if store.failures:
        return True
    limit_ms = step.state.settings.store.timeout_ms * SLOW_READ_TIMEOUTS
    return store.pending is not None and step.now_ms - store.pending_since_ms > limit_ms


def _back_off(step: Step, max_ms: float) -> None:
    """Delay the next read by a random time below a bound that doubles with each failure.

    :param max_ms: upper limit of that bound, in milliseconds.
    """
    store = step.state.store
    minimum_ms = step.state.settings.membership.backoff_min_ms
    bound_ms = min(max_ms, minimum_ms * 2.0 ** min(store.failures, 20))
    not_before_ms = step.now_ms + step.random() * bound_ms
    store = replace(store, pending=None, failures=store.failures + 1, not_before_ms=not_before_ms)
    step.update(store=store)


def _note_read_failure(step: Step, operation: StoreOperation, reason: str) -> None:
    state = step.state
    needed = _needs_store(step) or step.view.is_store_reader
    max_ms = state.settings.membership.backoff_max_ms if needed else IDLE_BACKOFF_MAX_MS
    _back_off(step, float(max_ms))
    if state.store_reachable:
        step.update(store_reachable=False)
        step.report("store-unreachable", operation=operation.name, reason=reason)


def _note_store_answer(step: Step) -> None:
    if not step.state.store_reachable:
        step.update(store_reachable=True)
        step.report("store-reachable")


def _finish_read(step: Step) -> None:
    step.update(store=StoreReading(not_before_ms=step.now_ms))


def _set_proven_version(step: Step, version: int) -> None:
    if step.state.proven_version is not None:
        return
    step.update(proven_version=version, proof="store")
    step.report("version-proven", version=version, proof="store")


def receive_read_failure(step: Step, event: StoreReadFailed) -> None:
    """Note that the read in progress failed."""
    pending = step.state.store.pending
    if pending is None or pending.version != event.operation.version:
        return
    is_entry = pending.name in _ENTRY_OPERATIONS
    if is_entry != (event.operation.name in _ENTRY_OPERATIONS):
        return
    if not is_entry and event.operation.name != pending.name:
        return
    _note_read_failure(step, event.operation, event.reason)


def receive_newest_read(step: Step, event: StoreNewestRead) -> None:
    """Apply the answer to a read of the newest version."""
    pending = step.state.store.pending
    if pending is None or pending.name != "read-newest":
        return
    before = step.state.held_version
    _note_store_answer(step)
    result = accept_newest_read(step, event)
    if not result.snapshot_valid:
        # The snapshot is overwritten in place, so an earlier process of this node may have read a
        # valid one and run a newer version: an invalid one proves nothing.
        _back_off(step, INVALID_CONTENT_BACKOFF_MAX_MS)
        return
    note_stored_snapshot(step, event.snapshot_version)
    # A log entry never changes, so an earlier process of this node refused an invalid one too.
    _set_proven_version(step, result.version)
    if result.complete:
        _finish_read(step)
    else:
        _back_off(step, INVALID_CONTENT_BACKOFF_MAX_MS)
    disseminate(step, before)


def receive_entry(step: Step, event: StoreEntryRead) -> None:
    """Apply the answer to a read or watch of one log entry, which may not exist yet."""
    store = step.state.store
    pending = store.pending
    if pending is None or pending.name not in _ENTRY_OPERATIONS:
        return
    if pending.version != event.version:
        return
    _note_store_answer(step)
    if event.data is None:
        _entry_absent(step, pending)
        return
    if event.version != step.state.held_version + 1:
        _finish_read(step)
        return
    before = step.state.held_version
    if accept_entry(step, event.data, Source("store")):
        _finish_read(step)
        disseminate(step, before)
        return
    _back_off(step, INVALID_CONTENT_BACKOFF_MAX_MS)
    step.update(store=replace(step.state.store, reread_from_snapshot=True))


def _entry_absent(step: Step, operation: StoreOperation) -> None:
    _set_proven_version(step, operation.version - 1)
    if _needs_store(step):
        # Witnesses hold a record of a version that the store lacks; only peers can supply it.
        _back_off(step, INVALID_CONTENT_BACKOFF_MAX_MS)
        return
    since_ms = step.state.store.pending_since_ms
    _finish_read(step)
    waited_ms = step.now_ms - since_ms
    if operation.name == "watch-entry" and waited_ms < MIN_WATCH_MS:
        not_before_ms = step.now_ms + MIN_WATCH_MS * (1.0 + step.random())
        step.update(store=StoreReading(not_before_ms=not_before_ms))
