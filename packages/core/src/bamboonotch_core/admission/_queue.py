"""Queue of the attempts of one rank: first in, first out, with removal from anywhere."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.configuration import Rank

__all__ = ["ClassQueue", "newest_id", "oldest_id", "push", "remove"]


@dataclass(frozen=True)
class ClassQueue:
    """Attempts of one class by place, those that return apart from the others.

    Places rise with each arrival; a removed attempt leaves a gap. The first and the last place are
    always taken unless the queue is empty.

    :param rank: rank of the attempts, lowest first.
    :param entries: attempt ids by place.
    :param first: place of the oldest attempt.
    :param end: place of the next arrival.
    """

    rank: Rank
    entries: Map[int, str] = field(default_factory=Map)
    first: int = 0
    end: int = 0


def push(queue: ClassQueue, attempt_id: str) -> tuple[ClassQueue, int]:
    """Add an attempt at the end and return its place.

    :param queue: the queue.
    :param attempt_id: the attempt.
    """
    place = queue.end
    entries = queue.entries.set(place, attempt_id)
    return ClassQueue(queue.rank, entries, queue.first, place + 1), place


def remove(queue: ClassQueue, place: int) -> ClassQueue:
    """Remove the attempt at a place.

    :param queue: the queue.
    :param place: the place.
    """
    entries = queue.entries.delete(place)
    if not entries:
        return ClassQueue(queue.rank, entries, queue.end, queue.end)
    first = queue.first
    while first not in entries:
        first += 1
    end = queue.end
    while end - 1 not in entries:
        end -= 1
    return ClassQueue(queue.rank, entries, first, end)


def oldest_id(queue: ClassQueue) -> str:
    """Return the id of the oldest attempt.

    :param queue: a queue that is not empty.
    """
    return queue.entries[queue.first]


def newest_id(queue: ClassQueue) -> str:
    """Return the id of the newest attempt.

    :param queue: a queue that is not empty.
    """
    return queue.entries[queue.end - 1]
