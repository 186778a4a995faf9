"""Result of a reducer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from bamboonotch_core.effects import Effect

__all__ = ["Transition"]

State = TypeVar("State")


@dataclass(frozen=True)
class Transition(Generic[State]):
    """A new state and what the runtime must do.

    :param state: the state after the event.
    :param effects: effects in the order in which they are to be carried out.
    """

    state: State
    effects: tuple[Effect, ...] = ()
