"""Helpers shared by the models."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import Any

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000

State = tuple[Any, ...]
Transitions = Callable[[State], Iterable[tuple[str, State]]]
Invariant = Callable[[Mapping[str, Any]], bool]


class Interner:
    """Numbers values, so that a model's states are small and quick to hash."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self.values: list[Any] = []

    def number(self, value: Hashable) -> int:
        """Return the number of a value, the same for equal ones."""
        number = self._numbers.get(value)
        if number is None:
            number = self._numbers[value] = len(self.values)
            self.values.append(value)
        return number


def make_protocol(
    name: str,
    fields: tuple[str, ...],
    initial: State,
    transitions: Transitions,
    invariants: Mapping[str, Invariant],
    goal: Invariant | None = None,
) -> Protocol:
    """Return a model for the checker."""
    return Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=initial,
        transitions=transitions,
        invariants=dict(invariants),
        goal=goal,
    )


class ModelTestCase(unittest.TestCase):
    """Assertions on whole searches."""

    def assert_holds(self, model: Protocol, states: int) -> None:
        """Search every state; all invariants hold and the number of states is the documented one.

        A changed number means that the model or the code it drives changed, and with it what
        docs/specification.md says.
        """
        result = check_safety(model, max_states=MAX_STATES)
        self.assertTrue(result["exhaustive"], result.get("incomplete_reason"))
        for name, verdict in result["properties"].items():
            steps = [step["label"] for step in verdict["counterexample"] or ()]
            self.assertIs(verdict["holds"], True, f"{name}: {steps}")
        self.assertEqual(result["reachable_states"], states)

    def assert_refuted(self, model: Protocol, invariant: str, steps: int) -> None:
        """Search a broken variant; the shortest counterexample has the given number of steps."""
        broken = Protocol(**{**vars(model), "invariants": {invariant: model.invariants[invariant]}})
        broken.transitions = _stop_at_violation(model, invariant)
        verdict = check_safety(broken, max_states=MAX_STATES)["properties"][invariant]
        self.assertIs(verdict["holds"], False, f"{invariant} is not refuted")
        labels = [step["label"] for step in verdict["counterexample"][1:]]
        self.assertEqual(len(labels), steps, labels)


def _stop_at_violation(model: Protocol, invariant: str) -> Transitions:
    """Return transitions that end the search once the invariant is violated.

    The search goes by breadth, so the first violation is a shortest one.
    """
    violated = False
    holds = model.invariants[invariant]

    def transitions(state: State) -> Iterable[tuple[str, State]]:
        nonlocal violated
        if violated:
            return ()
        found = list(model.transitions(state))
        violated = any(not holds(model.d(following)) for _, following in found)
        return found

    return transitions
