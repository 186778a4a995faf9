"""Model of acceptance by create-if-absent, with lost answers and racing operators.

Each operator reads the newest version, makes a patch against it and creates the entry of the next
version if it is absent. A call may take effect and lose its answer; the operator then reads the
entry back, or submits the same patch id again.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from minicheck import Protocol

from tests.model.support import ModelTestCase, State, make_protocol

ROUNDS = 2
"""Patches of each operator."""

MAX_LOG = 4
"""Bound of the log in the variant that appends without end."""

Patch = tuple[int, int]

IDLE, EDITING, SENT, LOST = range(4)
"""What an operator does: nothing, a patch, a write without an answer yet, a write whose answer is
lost."""


class Operator(NamedTuple):
    """One operator.

    :param phase: what it does.
    :param number: number of its present patch.
    :param base: version that the patch is made against.
    """

    phase: int = IDLE
    number: int = 0
    base: int = 0


class Store(NamedTuple):
    """State of the model.

    :param log: (patch, base) of each accepted version.
    :param operators: the operators.
    :param flight: writes that may still take effect, any number of times, because a call that is
        given up is not undone.
    :param fates: (patch, fate) that an operator was told.
    """

    log: tuple[tuple[Patch, int], ...]
    operators: tuple[Operator, ...]
    flight: frozenset[tuple[Patch, int]] = frozenset()
    fates: frozenset[tuple[Patch, str]] = frozenset()


class AcceptanceModel:
    """Transitions of the model.

    :param operators: number of operators.
    :param broken: name of a fault to build in.
    """

    def __init__(self, operators: int, broken: str = "") -> None:
        self.operators = operators
        self.broken = broken

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step."""
        store = Store(*state)
        for patch, base in sorted(store.flight):
            log = self.create(store.log, patch, base)
            if log != store.log:
                yield f"write of {patch} takes effect", store._replace(log=log)
        for index, operator in enumerate(store.operators):
            for label, following in self.operator_steps(store, index, operator):
                yield f"operator {index} {label}", following

    def create(self, log: Any, patch: Patch, base: int) -> Any:
        """Return the log after a write."""
        if self.broken == "append" and base < len(log):
            known = any(patch == other for other, _ in log)
            return log if known else (*log, (patch, base))
        if self.broken == "repeat" and base < len(log) < MAX_LOG:
            return (*log, (patch, len(log)))
        if base == len(log):
            return (*log, (patch, base))
        if self.broken == "overwrite" and base < len(log):
            return (*log[:base], (patch, base), *log[base + 1 :])
        return log

    def fate_of(self, store: Store, patch: Patch, base: int) -> str:
        """Read the one key that decides a patch's fate."""
        if base < len(store.log):
            return "accepted" if store.log[base][0] == patch else "stale"
        return "stale" if self.broken == "absent-is-final" else "unknown"

    def operator_steps(
        self, store: Store, index: int, operator: Operator
    ) -> Iterator[tuple[str, Store]]:
        """Return the steps of one operator."""
        patch = (index, operator.number)
        if operator.phase == IDLE and operator.number < ROUNDS:
            editing = Operator(EDITING, operator.number, len(store.log))
            yield "reads", self.become(store, index, editing)
        if operator.phase in (EDITING, LOST):
            sent = self.become(store, index, operator._replace(phase=SENT))
            yield "submits", sent._replace(flight=store.flight | {(patch, operator.base)})
        if operator.phase == SENT:
            yield "loses the answer", self.become(store, index, operator._replace(phase=LOST))
            if operator.base < len(store.log):
                fate = self.fate_of(store, patch, operator.base)
                fate = "accepted" if self.broken == "no-check" else fate
                yield f"is told {fate}", self.tell(store, index, operator, fate)
        if operator.phase == LOST:
            fate = self.fate_of(store, patch, operator.base)
            if fate != "unknown":
                yield f"reads back {fate}", self.tell(store, index, operator, fate)
            if self.broken == "two-answers":
                yield "gives up", store._replace(fates=store.fates | {(patch, "stale")})

    def become(self, store: Store, index: int, operator: Operator) -> Store:
        """Change one operator."""
        operators = (*store.operators[:index], operator, *store.operators[index + 1 :])
        return store._replace(operators=operators)

    def tell(self, store: Store, index: int, operator: Operator, fate: str) -> Store:
        """Tell an operator the fate of its patch; it goes on to the next one."""
        store = self.become(store, index, Operator(IDLE, operator.number + 1))
        return store._replace(fates=store.fates | {((index, operator.number), fate)})

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return make_protocol(
            "acceptance",
            Store._fields,
            tuple(Store((), (Operator(),) * self.operators)),
            self.transitions,
            {
                "no-stale-patch": is_never_stale,
                "patch-at-most-once": is_once,
                "told-fate-is-true": is_fate_true,
                "P9-fate-is-final": is_fate_final,
            },
        )


def is_never_stale(d: Mapping[str, Any]) -> bool:
    """Tell whether each version was made against the one before it."""
    return all(base == position for position, (_, base) in enumerate(d["log"]))


def is_once(d: Mapping[str, Any]) -> bool:
    """Tell whether no patch made two versions."""
    patches = [patch for patch, _ in d["log"]]
    return len(patches) == len(set(patches))


def is_fate_true(d: Mapping[str, Any]) -> bool:
    """Tell whether what was told is what the log says."""
    accepted = {patch for patch, _ in d["log"]}
    return all((patch in accepted) == (fate == "accepted") for patch, fate in d["fates"])


def is_fate_final(d: Mapping[str, Any]) -> bool:
    """Tell whether no patch was told to be both."""
    return all(
        (patch, "accepted") not in d["fates"] for patch, fate in d["fates"] if fate != "accepted"
    )


class AcceptanceModelTest(ModelTestCase):
    """Acceptance by one conditional write."""

    def test_three_operators(self) -> None:
        """Guards against a stale patch that overwrites another's work and against a false fate."""
        self.assert_holds(AcceptanceModel(3).protocol(), 114_616)

    def test_overwriting_write(self) -> None:
        """Guards against a write without a condition."""
        self.assert_refuted(AcceptanceModel(2, "overwrite").protocol(), "told-fate-is-true", 7)

    def test_append_without_base(self) -> None:
        """Guards against a patch that is put after versions it does not build on."""
        self.assert_refuted(AcceptanceModel(2, "append").protocol(), "no-stale-patch", 6)

    def test_repeated_append(self) -> None:
        """Guards against a repeat with the same patch id that makes a second version."""
        self.assert_refuted(AcceptanceModel(2, "repeat").protocol(), "patch-at-most-once", 4)

    def test_answer_without_comparing_the_patch(self) -> None:
        """Guards against taking another's entry for one's own."""
        self.assert_refuted(AcceptanceModel(2, "no-check").protocol(), "told-fate-is-true", 6)

    def test_absent_entry_taken_as_rejected(self) -> None:
        """Guards against calling a patch rejected whose write may still take effect."""
        self.assert_refuted(
            AcceptanceModel(2, "absent-is-final").protocol(), "told-fate-is-true", 5
        )

    def test_lost_answer_taken_as_rejected(self) -> None:
        """Guards against reporting one patch as accepted and as rejected."""
        self.assert_refuted(AcceptanceModel(2, "two-answers").protocol(), "P9-fate-is-final", 6)
