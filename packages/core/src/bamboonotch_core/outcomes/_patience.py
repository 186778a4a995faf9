"""Recognition of requests whose caller was refused before.

A caller that repeats a refused request has less time left than one that asks for the first time.
Nothing else tells the two apart, because a repeat may come to another node under another id.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Patience", "is_returning", "note_timeout"]

# Callers of one class differ by up to 15 % in how long they wait, and one that was told to come
# back after a third of its time has at most two thirds of it left.
RETURNING_SHARE = 0.8
PATIENCE_MEMORY_MS = 30_000.0  # a class whose callers came to wait less long is learned anew


@dataclass(frozen=True)
class Patience:
    """How long the callers of one class wait.

    :param longest_ms: longest timeout seen lately, in milliseconds.
    :param seen_ms: when one within the share of first requests was last seen.
    """

    longest_ms: float
    seen_ms: float


def note_timeout(patience: Patience | None, timeout_ms: float, now_ms: float) -> Patience:
    """Return what is known after one more request.

    :param patience: what was known, or ``None``.
    :param timeout_ms: how long the caller waits, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if patience is None or timeout_ms >= patience.longest_ms:
        return Patience(timeout_ms, now_ms)
    if timeout_ms >= RETURNING_SHARE * patience.longest_ms:
        return Patience(patience.longest_ms, now_ms)
    if now_ms - patience.seen_ms > PATIENCE_MEMORY_MS:
        return Patience(timeout_ms, now_ms)
    return patience


def is_returning(patience: Patience, timeout_ms: float) -> bool:
    """Tell whether a caller seems to have been refused before.

    :param patience: what is known of the class.
    :param timeout_ms: how long the caller waits, in milliseconds.
    """
    return timeout_ms < RETURNING_SHARE * patience.longest_ms
