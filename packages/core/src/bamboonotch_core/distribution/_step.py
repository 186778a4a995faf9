"""Collects the state changes and effects while one event is reduced."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from bamboonotch_core.distribution._state import DistributionState, Source
from bamboonotch_core.distribution._view import MembershipView, Neighbour
from bamboonotch_core.effects import Effect, Report, SendMessage
from bamboonotch_core.messages import Message

__all__ = ["Step"]

# Multiplier and increment of a linear congruential generator (LCG) modulo 2**64 with full period
# (Knuth).
_LCG_MULTIPLIER = 6364136223846793005
_LCG_INCREMENT = 1442695040888963407
_LCG_MASK = (1 << 64) - 1


class Step:
    """Changes and effects of one event, used within one call of the reducer only."""

    def __init__(self, state: DistributionState, view: MembershipView, now_ms: float) -> None:
        self.state = state
        self.view = view
        self.now_ms = now_ms
        self.effects: list[Effect] = []
        self.links = {item.link_id: item for item in view.neighbours}
        self.nodes = {item.node_id: item for item in view.neighbours}

    def update(self, **changes: Any) -> None:
        """Replace fields of the state."""
        self.state = replace(self.state, **changes)

    def emit(self, effect: Effect) -> None:
        """Add an effect to be carried out after the reduction."""
        self.effects.append(effect)

    def send(self, link_id: str, message: Message) -> None:
        """Send a message over a link."""
        self.effects.append(SendMessage(link_id, message))

    def report(self, name: str, **fields: str | int | float | bool) -> None:
        """Report an event to the operator's log."""
        self.effects.append(Report(name, tuple(fields.items())))

    def random(self) -> float:
        """Return the next pseudo-random number, at least 0 and below 1."""
        seed = (self.state.seed * _LCG_MULTIPLIER + _LCG_INCREMENT) & _LCG_MASK
        self.update(seed=seed)
        return (seed >> 11) / float(1 << 53)

    def refuse_message(self, peer: Neighbour, message: Message, reason: str) -> None:
        """Report a malformed or unexpected message; nothing else changes."""
        kind = type(message).__name__
        self.report("message-refused", peer=peer.node_id, kind=kind, reason=reason)


def peer_source(kind: str, peer: Neighbour) -> Source:
    """Return the origin of a version that a peer sent.

    :param kind: ``delta`` or ``snapshot``.
    """
    return Source(kind, peer.node_id, peer.region, peer.link_id)
