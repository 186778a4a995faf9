"""Tokens that a node holds, and how many more it asks for."""

from __future__ import annotations

import math
from dataclasses import dataclass

from bamboonotch_core.replace import replace_fields

__all__ = [
    "TokenLot",
    "WorkspaceTokens",
    "ask_ahead_tokens",
    "note_arrival",
    "take_token",
    "token_end_ms",
    "usable_lots",
]

# Arrivals are counted with this decay, so a node forgets traffic that has moved away.
ARRIVAL_MEMORY_MS = 1000.0
# Tokens are asked for ahead of this much traffic. With a validity of 500 ms fewer than 1 in 100 of
# them expire unused when requests come at random.
AHEAD_MS = 200.0


@dataclass(frozen=True)
class TokenLot:
    """Tokens of one grant.

    :param tokens: how many are left, at least 1.
    :param end_ms: when they expire, in milliseconds.
    """

    tokens: int
    end_ms: float


@dataclass(frozen=True)
class WorkspaceTokens:
    """What a node knows of one workspace with a limit.

    :param lots: tokens, the oldest first.
    :param ask_id: the ask that is not answered yet, or 0.
    :param waiting: ids of the requests that wait for its answer, in order.
    :param arrivals: requests that have arrived, with exponential decay.
    :param arrived_ms: when the last one arrived, in milliseconds.
    """

    lots: tuple[TokenLot, ...] = ()
    ask_id: int = 0
    waiting: tuple[str, ...] = ()
    arrivals: float = 0.0
    arrived_ms: float = -math.inf


def token_end_ms(asked_ms: float, answered_ms: float, validity_ms: float) -> float:
    """Return when the tokens of a grant expire.

    The lender has issued them after the ask was sent. The answer may have been under way for any
    time.

    :param asked_ms: when the ask was sent, in milliseconds.
    :param answered_ms: when the answer arrived, in milliseconds.
    :param validity_ms: how long tokens are valid, in milliseconds.
    """
    del answered_ms
    return asked_ms + validity_ms


def usable_lots(lots: tuple[TokenLot, ...], now_ms: float) -> tuple[TokenLot, ...]:
    """Return the lots that have not expired.

    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    return tuple(lot for lot in lots if now_ms < lot.end_ms)


def take_token(lots: tuple[TokenLot, ...]) -> tuple[TokenLot, ...]:
    """Return the lots without one token of the oldest.

    :param lots: the lots, at least one.
    """
    first, *rest = lots
    if first.tokens == 1:
        return tuple(rest)
    return (TokenLot(first.tokens - 1, first.end_ms), *rest)


def _decayed_arrivals(known: WorkspaceTokens, now_ms: float) -> float:
    elapsed_ms = max(0.0, now_ms - known.arrived_ms)
    return known.arrivals * math.exp(-elapsed_ms / ARRIVAL_MEMORY_MS)


def note_arrival(known: WorkspaceTokens, now_ms: float) -> WorkspaceTokens:
    """Count a request.

    :param now_ms: when it arrived, in milliseconds.
    """
    arrivals = _decayed_arrivals(known, now_ms) + 1.0
    return replace_fields(known, arrivals=arrivals, arrived_ms=now_ms)


def ask_ahead_tokens(known: WorkspaceTokens, now_ms: float) -> int:
    """Return how many tokens the requests of the near future need.

    The request that has just arrived is no sign of more to come.

    :param now_ms: now, in milliseconds.
    """
    expected = _decayed_arrivals(known, now_ms) - 1.0
    return max(0, int(expected * AHEAD_MS / ARRIVAL_MEMORY_MS))
