"""Queued attempts: their queues, the order in which queues are served, and whom to evict."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import groupby

from immutables import Map

from bamboonotch_core.admission._fair_share import (
    RankShare,
    add_waiting,
    charge_start,
    group_tag_ms,
    remove_waiting,
    settle,
    start_tag_ms,
)
from bamboonotch_core.admission._limit import service_ms
from bamboonotch_core.admission._queue import ClassQueue, newest_id, oldest_id, push, remove
from bamboonotch_core.admission._state import (
    AdmissionState,
    LiveAttempt,
    ServiceOrder,
    Stage,
    is_returning,
)
from bamboonotch_core.configuration import Rank
from bamboonotch_core.replace import replace_fields

__all__ = [
    "charge_attempt",
    "dequeue",
    "enqueue",
    "evicted_id",
    "in_service_order",
    "next_queued",
    "settle_attempt",
    "waiting_in_class",
]

_NO_CLASSES: Map[str, int] = Map()


def _entries(state: AdmissionState, rank: Rank, workspace: str) -> list[ServiceOrder]:
    """Return the places of a workspace's queues of one rank in the order of service."""
    share = state.shares.get(rank)
    tag_ms = 0.0 if share is None else start_tag_ms(share, workspace)
    entries = []
    for name in state.backlog.get(rank, _NO_CLASSES):
        key = (rank, workspace, name)
        queue = state.queues.get(key)
        if queue is not None:
            number = state.live[oldest_id(queue)].arrival_number
            entries.append((rank, bool(workspace), tag_ms, number, key))
    return entries


def _insert(order: tuple[ServiceOrder, ...], entry: ServiceOrder) -> tuple[ServiceOrder, ...]:
    index = bisect_left(order, entry)
    return (*order[:index], entry, *order[index:])


def _delete(order: tuple[ServiceOrder, ...], entry: ServiceOrder) -> tuple[ServiceOrder, ...]:
    index = bisect_left(order, entry)
    return order[:index] + order[index + 1 :]


def _reordered(
    before: AdmissionState, after: AdmissionState, rank: Rank, workspace: str
) -> AdmissionState:
    """Return the state with the places of one workspace's queues of one rank brought up to date.

    The places of all other queues stay as they are, because virtual time does not move the tag of a
    workspace that waits.

    :param before: the state that ``order`` describes.
    :param after: the state after the workspace's queues or tag changed.
    """
    old, new = _entries(before, rank, workspace), _entries(after, rank, workspace)
    if old == new:
        return after
    order = after.order
    for entry in old:
        order = _delete(order, entry)
    for entry in new:
        order = _insert(order, entry)
    return replace_fields(after, order=order)


def _with_backlog(
    backlog: Map[Rank, Map[str, int]], rank: Rank, name: str, change: int
) -> Map[Rank, Map[str, int]]:
    """Return the numbers of queued attempts after one of them changed by ``change``."""
    classes = backlog.get(rank, _NO_CLASSES)
    count = classes.get(name, 0) + change
    classes = classes.set(name, count) if count else classes.delete(name)
    return backlog.set(rank, classes) if classes else backlog.delete(rank)


def _share_of(state: AdmissionState, rank: Rank, workspace: str) -> RankShare | None:
    """Return the shares of a rank, or ``None`` while it has had no work of any workspace.

    Without workspaces nothing is counted, and the order of arrival decides.
    """
    share = state.shares.get(rank)
    if share is not None or not workspace:
        return share
    return RankShare()


def enqueue(state: AdmissionState, attempt: LiveAttempt) -> AdmissionState:
    """Return the state after an attempt was added to the end of its queue."""
    key, rank = attempt.queue_key, attempt.rank
    queue = state.queues.get(key) or ClassQueue()
    queue, position = push(queue, attempt.attempt_id)
    number = state.next_arrival_number
    attempt = replace_fields(attempt, position=position, arrival_number=number)
    share = _share_of(state, rank, attempt.workspace)
    shares = state.shares
    if share is not None:
        shares = shares.set(rank, add_waiting(share, attempt.workspace))
    after = replace_fields(
        state,
        queues=state.queues.set(key, queue),
        queued=state.queued + 1,
        backlog=_with_backlog(state.backlog, rank, attempt.request_class, 1),
        shares=shares,
        next_arrival_number=number + 1,
        next_expiry_ms=min(state.next_expiry_ms, attempt.expires_ms),
        live=state.live.set(attempt.attempt_id, attempt),
    )
    return _reordered(state, after, rank, attempt.workspace)


def dequeue(state: AdmissionState, attempt: LiveAttempt) -> AdmissionState:
    """Return the state after an attempt left its queue; it stays among the live attempts."""
    key, rank = attempt.queue_key, attempt.rank
    queue = remove(state.queues[key], attempt.position)
    share = state.shares.get(rank)
    shares = state.shares
    if share is not None:
        shares = shares.set(rank, remove_waiting(share, attempt.workspace))
    after = replace_fields(
        state,
        queues=state.queues.set(key, queue) if queue.entries else state.queues.delete(key),
        queued=state.queued - 1,
        backlog=_with_backlog(state.backlog, rank, attempt.request_class, -1),
        shares=shares,
    )
    return _reordered(state, after, rank, attempt.workspace)


def charge_attempt(
    state: AdmissionState, attempt: LiveAttempt
) -> tuple[AdmissionState, LiveAttempt]:
    """Charge the expected service time of an attempt that starts to its workspace."""
    rank = attempt.rank
    share = _share_of(state, rank, attempt.workspace)
    if share is None:
        return state, attempt
    expected_ms = service_ms(state.limit, attempt.request_class)
    share = charge_start(share, attempt.workspace, expected_ms)
    after = replace_fields(state, shares=state.shares.set(rank, share))
    return (
        _reordered(state, after, rank, attempt.workspace),
        replace_fields(attempt, charged_ms=expected_ms),
    )


def settle_attempt(state: AdmissionState, attempt: LiveAttempt, now_ms: float) -> AdmissionState:
    """Return the state after an attempt that was charged has ended.

    :param now_ms: monotonic clock, in milliseconds.
    """
    rank = attempt.rank
    share = state.shares.get(rank)
    if attempt.charged_ms < 0.0 or share is None:
        return state
    used_ms = now_ms - attempt.started_ms if attempt.stage is Stage.DISPATCHED else 0.0
    share = settle(share, attempt.workspace, attempt.charged_ms, used_ms)
    after = replace_fields(state, shares=state.shares.set(rank, share))
    return _reordered(state, after, rank, attempt.workspace)


def waiting_in_class(state: AdmissionState, request_class: str, returning: bool) -> int:
    """Return the number of queued attempts of a class.

    :param returning: whether to count those whose callers return after a refusal, or the others.
    """
    return sum(
        classes.get(request_class, 0)
        for rank, classes in state.backlog.items()
        if is_returning(rank) is returning
    )


def evicted_id(state: AdmissionState, attempt: LiveAttempt, within_class: bool) -> str:
    """Return the attempt that leaves a full queue, or an empty text when it is the arrival.

    It is the newest attempt of the workspace with the most queued attempts of the least urgent
    rank.

    :param attempt: the arrival, which is in no queue.
    :param within_class: whether the queue of the arrival's class is full, or all together.
    """
    class_key = (attempt.request_class, attempt.returning)
    keys = [entry[4] for entry in state.order]
    if within_class:
        keys = [key for key in keys if (key[2], is_returning(key[0])) == class_key]
    worst = max((key[0] for key in keys), default=attempt.rank)
    if worst < attempt.rank:
        return ""
    keys = [key for key in keys if key[0] == worst]
    share = state.shares.get(worst, RankShare())
    waiting: Counter[str] = Counter()
    for key in keys:
        waiting[key[1]] += len(state.queues[key].entries)
    if worst == attempt.rank:
        waiting[attempt.workspace] += 1
    if not waiting:
        return ""
    # Requests without a workspace have the share of all workspaces together.
    named = max(1, share.waiting_workspaces)
    loads = {name: count / (1 if name else named) for name, count in waiting.items()}
    longest = max(loads, key=lambda name: (loads[name], name))
    if worst == attempt.rank and loads[longest] <= loads[attempt.workspace]:
        return ""
    newest = [newest_id(state.queues[key]) for key in keys if key[1] == longest]
    return max(newest, key=lambda item: state.live[item].arrival_number)


def next_queued(state: AdmissionState, may_claim: bool) -> LiveAttempt | None:
    """Return the queued attempt that starts next, or ``None``.

    :param may_claim: whether an attempt that must claim its key may start.
    """
    best: LiveAttempt | None = None
    for rank, has_workspace, _, _, key in state.order:
        if best is not None and rank != best.rank:
            break
        if best is not None and bool(best.workspace) is has_workspace:
            continue
        attempt = state.live[oldest_id(state.queues[key])]
        if attempt.claim_key and not may_claim:
            continue
        if best is None or _starts_before(state, attempt, best):
            best = attempt
        if has_workspace or rank not in state.shares:
            break
    return best


def _starts_before(state: AdmissionState, attempt: LiveAttempt, other: LiveAttempt) -> bool:
    """Return whether an attempt starts before one of the other group of the same rank."""
    share = state.shares[attempt.rank]
    tag_ms = group_tag_ms(share, bool(attempt.workspace))
    other_ms = group_tag_ms(share, bool(other.workspace))
    return (tag_ms, attempt.arrival_number) < (other_ms, other.arrival_number)


def in_service_order(state: AdmissionState) -> list[LiveAttempt]:
    """Return the queued attempts in the order in which they would start."""
    queued = [item for item in state.live.values() if item.stage is Stage.QUEUED]
    queued.sort(key=lambda item: (item.rank, item.arrival_number))
    if not state.shares:
        return queued
    ordered: list[LiveAttempt] = []
    for rank, same_rank in groupby(queued, key=lambda item: item.rank):
        attempts = list(same_rank)
        share = state.shares.get(rank)
        ordered.extend(attempts if share is None else _in_share_order(state, share, attempts))
    return ordered


def _in_share_order(
    state: AdmissionState, share: RankShare, attempts: list[LiveAttempt]
) -> list[LiveAttempt]:
    """Return the attempts of one rank in the order in which they would start.

    :param attempts: queued attempts in order of arrival.
    """
    tags_ms: dict[str, float] = {}
    by_tag: list[tuple[float, int, LiveAttempt]] = []
    for attempt in attempts:
        name = attempt.workspace
        tag_ms = tags_ms.get(name, start_tag_ms(share, name))
        by_tag.append((tag_ms, attempt.arrival_number, attempt))
        if name:
            tags_ms[name] = tag_ms + service_ms(state.limit, attempt.request_class)
    by_tag.sort(key=lambda item: item[:2])
    group_tags_ms = [group_tag_ms(share, False), group_tag_ms(share, True)]
    by_group_tag: list[tuple[float, int, LiveAttempt]] = []
    for place, (_, _, attempt) in enumerate(by_tag):
        group = bool(attempt.workspace)
        by_group_tag.append((group_tags_ms[group], place, attempt))
        group_tags_ms[group] += service_ms(state.limit, attempt.request_class)
    by_group_tag.sort(key=lambda item: item[:2])
    return [item[2] for item in by_group_tag]
