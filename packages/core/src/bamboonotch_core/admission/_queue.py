"""First-in, first-out queue of the attempts of one class, with removal at any position."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

__all__ = ["ClassQueue", "newest_id", "oldest_id", "push", "remove"]


@dataclass(frozen=True)
class ClassQueue:
    """Attempts of one class, rank and workspace.

    Positions rise with each arrival, and a removed attempt leaves a gap. The positions ``first``
    and ``end - 1`` are always occupied unless the queue is empty.

    :param entries: attempt ids by position.
    :param first: position of the oldest attempt.
    :param end: position of the next arrival.
    """

    entries: Map[int, str] = field(default_factory=Map)
    first: int = 0
    end: int = 0


def push(queue: ClassQueue, attempt_id: str) -> tuple[ClassQueue, int]:
    """Add an attempt at the end.

    :returns: the new queue and the position of the attempt.
    """
    position = queue.end
    entries = queue.entries.set(position, attempt_id)
    return ClassQueue(entries, queue.first, position + 1), position


def remove(queue: ClassQueue, position: int) -> ClassQueue:
    """Remove the attempt at a position.

    :param position: an occupied position.
    """
    entries = queue.entries.delete(position)
    if not entries:
        return ClassQueue(entries, queue.end, queue.end)
    first = queue.first
    while first not in entries:
        first += 1
    end = queue.end
    while end - 1 not in entries:
        end -= 1
    return ClassQueue(entries, first, end)


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
