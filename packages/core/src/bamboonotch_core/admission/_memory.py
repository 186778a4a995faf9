"""Bounded memory of attempts that ended or were fenced.

Old attempts are forgotten to bound the memory. For each ingress process the highest forgotten
sequence number is kept: an attempt with a higher number that is not remembered never arrived.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.outcomes import AttemptName, parse_attempt_id
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_events import FenceState
from bamboonotch_core.settings import AdmissionSettings

__all__ = [
    "AttemptMemory",
    "RememberedAttempt",
    "forget_expired",
    "may_have_been_forgotten",
    "remember",
]

MAX_TRACKED_INGRESS_TAGS = 20_000  # more than 10 restarts of each of 1,600 ingress nodes


@dataclass(frozen=True)
class RememberedAttempt:
    """An attempt that ended or was fenced.

    :param state: ``NOT_RUN`` or ``FINISHED``.
    :param ended_ms: when it ended or was fenced, on the monotonic clock.
    """

    state: FenceState
    ended_ms: float


@dataclass(frozen=True)
class AttemptMemory:
    """Attempts that ended or were fenced; the oldest is forgotten first.

    :param attempts: remembered attempts by id.
    :param order: ids by number, in the order in which the attempts ended.
    :param first: number of the oldest remembered attempt.
    :param end: number of the next attempt that ends.
    :param highest_forgotten: highest forgotten sequence number by ingress tag.
    :param highest_forgotten_of_other_tags: highest forgotten sequence number of all tags that
        ``highest_forgotten`` had no room for; -1 when there is none.
    """

    attempts: Map[str, RememberedAttempt] = field(default_factory=Map)
    order: Map[int, str] = field(default_factory=Map)
    first: int = 0
    end: int = 0
    highest_forgotten: Map[str, int] = field(default_factory=Map)
    highest_forgotten_of_other_tags: int = -1


def _record_forgotten(memory: AttemptMemory, attempt_id: str) -> AttemptMemory:
    attempt_name = parse_attempt_id(attempt_id)
    if attempt_name is None:
        return memory
    highest = memory.highest_forgotten.get(attempt_name.ingress_tag)
    if highest is None and len(memory.highest_forgotten) >= MAX_TRACKED_INGRESS_TAGS:
        highest_of_other_tags = max(memory.highest_forgotten_of_other_tags, attempt_name.sequence)
        return replace_fields(memory, highest_forgotten_of_other_tags=highest_of_other_tags)
    if highest is not None and highest >= attempt_name.sequence:
        return memory
    highest_forgotten = memory.highest_forgotten.set(
        attempt_name.ingress_tag, attempt_name.sequence
    )
    return replace_fields(memory, highest_forgotten=highest_forgotten)


def _forget_oldest(memory: AttemptMemory) -> AttemptMemory:
    attempt_id = memory.order[memory.first]
    memory = _record_forgotten(memory, attempt_id)
    return replace_fields(
        memory,
        attempts=memory.attempts.delete(attempt_id),
        order=memory.order.delete(memory.first),
        first=memory.first + 1,
    )


def remember(
    memory: AttemptMemory,
    attempt_id: str,
    state: FenceState,
    now_ms: float,
    settings: AdmissionSettings,
) -> AttemptMemory:
    """Remember how an attempt ended, unless an end of it is already remembered.

    :param state: ``NOT_RUN`` or ``FINISHED``.
    :param now_ms: monotonic clock, in milliseconds.
    :param settings: section ``[admission]``.
    """
    if attempt_id in memory.attempts:
        return memory
    memory = AttemptMemory(
        attempts=memory.attempts.set(attempt_id, RememberedAttempt(state, now_ms)),
        order=memory.order.set(memory.end, attempt_id),
        first=memory.first,
        end=memory.end + 1,
        highest_forgotten=memory.highest_forgotten,
        highest_forgotten_of_other_tags=memory.highest_forgotten_of_other_tags,
    )
    while len(memory.attempts) > settings.max_attempts_kept:
        memory = _forget_oldest(memory)
    return memory


def forget_expired(
    memory: AttemptMemory, now_ms: float, settings: AdmissionSettings
) -> AttemptMemory:
    """Forget the attempts that were kept for ``attempt_retention_ms``.

    :param now_ms: monotonic clock, in milliseconds.
    :param settings: section ``[admission]``.
    """
    oldest_kept_ms = now_ms - settings.attempt_retention_ms
    while memory.first < memory.end:
        oldest = memory.attempts[memory.order[memory.first]]
        if oldest.ended_ms > oldest_kept_ms:
            break
        memory = _forget_oldest(memory)
    return memory


def may_have_been_forgotten(memory: AttemptMemory, attempt_name: AttemptName) -> bool:
    """Return whether an attempt that is not remembered may have been forgotten.

    :param attempt_name: the parts of its id.
    """
    highest = memory.highest_forgotten.get(
        attempt_name.ingress_tag, memory.highest_forgotten_of_other_tags
    )
    return attempt_name.sequence <= highest
