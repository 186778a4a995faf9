"""What an owner remembers of attempts that ended or were fenced.

Memory is bounded, so attempts are forgotten. For each ingress process the highest sequence number
that was forgotten is kept: an attempt with a higher number that is not remembered was never here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.outcomes import AttemptName, parse_attempt_id
from bamboonotch_core.request_events import FenceState
from bamboonotch_core.routing import replace_fields
from bamboonotch_core.settings import AdmissionSettings

__all__ = [
    "AttemptMemory",
    "RememberedAttempt",
    "forget_expired",
    "may_be_forgotten",
    "remember",
]

MAX_TAGS = 20_000  # ten restarts of each of 1,600 ingress nodes, with room


@dataclass(frozen=True)
class RememberedAttempt:
    """An attempt that ended.

    :param state: ``NOT_RUN`` or ``FINISHED``.
    :param ended_ms: when it ended.
    """

    state: FenceState
    ended_ms: float


@dataclass(frozen=True)
class AttemptMemory:
    """Ended attempts, oldest forgotten first.

    :param attempts: ended attempts by id.
    :param order: ids by number, in the order in which they ended.
    :param first: number of the oldest.
    :param end: number of the next.
    :param forgotten: for each ingress tag, the highest sequence number that was forgotten.
    :param forgotten_otherwise: the same for all tags that ``forgotten`` had no room for.
    """

    attempts: Map[str, RememberedAttempt] = field(default_factory=Map)
    order: Map[int, str] = field(default_factory=Map)
    first: int = 0
    end: int = 0
    forgotten: Map[str, int] = field(default_factory=Map)
    forgotten_otherwise: int = -1


def _note_forgotten(memory: AttemptMemory, attempt_id: str) -> AttemptMemory:
    name = parse_attempt_id(attempt_id)
    if name is None:
        return memory
    known = memory.forgotten.get(name.ingress_tag)
    if known is None and len(memory.forgotten) >= MAX_TAGS:
        highest = max(memory.forgotten_otherwise, name.sequence)
        return replace_fields(memory, forgotten_otherwise=highest)
    if known is not None and known >= name.sequence:
        return memory
    forgotten = memory.forgotten.set(name.ingress_tag, name.sequence)
    return replace_fields(memory, forgotten=forgotten)


def _forget_oldest(memory: AttemptMemory) -> AttemptMemory:
    attempt_id = memory.order[memory.first]
    memory = _note_forgotten(memory, attempt_id)
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
    """Remember that an attempt ended; the first end counts.

    :param memory: the memory.
    :param attempt_id: the attempt.
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
        forgotten=memory.forgotten,
        forgotten_otherwise=memory.forgotten_otherwise,
    )
    while len(memory.attempts) > settings.max_attempts_kept:
        memory = _forget_oldest(memory)
    return memory


def forget_expired(
    memory: AttemptMemory, now_ms: float, settings: AdmissionSettings
) -> AttemptMemory:
    """Forget the attempts whose retention has passed.

    :param memory: the memory.
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


def may_be_forgotten(memory: AttemptMemory, name: AttemptName) -> bool:
    """Tell whether an attempt that is not remembered may have been forgotten.

    :param memory: the memory.
    :param name: the parts of its id.
    """
    highest = memory.forgotten.get(name.ingress_tag, memory.forgotten_otherwise)
    return name.sequence <= highest
