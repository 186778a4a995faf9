"""How old the statement of an answer of the store is when it arrives."""

from __future__ import annotations

__all__ = ["answer_age_ms"]


def answer_age_ms(
    started_ms: float, answered_ms: float, wait_ms: float = 0.0, waited: bool = False
) -> float:
    """Return how long before its arrival an answer is certain to have held, in milliseconds.

    An answer may have waited in a socket or for this process for any time. The store has made it
    after the start of the read, and after the wait if it says that the whole wait passed. A store
    that answers earlier than that has not waited, whatever it says.

    :param started_ms: when the read began, on the monotonic clock in milliseconds.
    :param answered_ms: when its answer was taken, on the same clock.
    :param wait_ms: longest wait that the read asked for, in milliseconds.
    :param waited: whether the store says that the whole wait passed without a change.
    """
    age_ms = answered_ms - started_ms
    return age_ms - wait_ms if waited and age_ms >= wait_ms else age_ms
