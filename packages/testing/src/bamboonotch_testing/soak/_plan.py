"""What happens in one run, drawn from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = ["BACKEND_ANSWERS", "STORE_FAULTS", "FaultKind", "SoakPlan", "Step", "make_plan"]

STORE_FAULTS = ("BUSY", "MANY", "RESET", "SILENT", "LOST", "LATE", "GARBLED")
BACKEND_ANSWERS = ("CUT", "UNFRAMED", "UNSIGNED", "FOREIGN", "LOST", "ERROR")
# Time between the starts of two steps; holds are longer, so that steps overlap.
STEP_GAP_S = (0.05, 1.5)
HOLD_S = (0.2, 5.0)
DELAY_MS = (20.0, 400.0)
# Share of the steps that come at once after the one before, as in a series of signals.
SERIES_SHARE = 0.25


class FaultKind(Enum):
    """What a step does."""

    NODE_KILL = "node-kill"  # SIGKILL, start again after the hold
    NODE_STOP = "node-stop"  # SIGTERM, start again when it has ended
    NODE_PAUSE = "node-pause"  # SIGSTOP for the hold
    NODE_RELOAD = "node-reload"  # SIGHUP
    PEER_RESET = "peer-reset"  # open connections to a node break
    PEER_SILENT = "peer-silent"  # open connections to a node carry nothing any more
    PEER_DELAY = "peer-delay"
    PEER_ONE_WAY = "peer-one-way"  # bytes of one direction are discarded
    BACKEND_RESET = "backend-reset"
    BACKEND_SILENT = "backend-silent"
    BACKEND_DELAY = "backend-delay"
    BACKEND_ANSWER = "backend-answer"  # spoiled answers
    BACKEND_REPLACED = "backend-replaced"  # another process at the same address
    BACKEND_LEAVES = "backend-leaves"  # drains, leaves and comes back as another process
    STORE_CALLS = "store-calls"  # calls fail in one of several ways
    STORE_HISTORY = "store-history"  # history is forgotten
    STORE_LEASES = "store-leases"  # all leases lapse
    STORE_RESET = "store-reset"  # a node's connections to the store break
    STORE_SILENT = "store-silent"  # a node's connections to the store carry nothing any more
    STORE_ONE_WAY = "store-one-way"
    VERSION = "version"  # the operator writes the next version


# Kinds that need no unplanned fault to be of interest come more often.
WEIGHTS = {FaultKind.VERSION: 4.0, FaultKind.NODE_STOP: 3.0, FaultKind.BACKEND_LEAVES: 2.0}


@dataclass(frozen=True)
class Step:
    """One action.

    :param at_s: when it begins, after the start of the load, in seconds.
    :param kind: what it does.
    :param target: number of the node.
    :param hold_s: how long it lasts, in seconds.
    :param detail: which fault or answer, where the kind has several.
    :param delay_ms: added delay, where the kind delays.
    :param to_server: direction, where the kind has one; whether heartbeats say it, not responses,
        where a backend server leaves.
    """

    at_s: float
    kind: FaultKind
    target: int
    hold_s: float
    detail: str = ""
    delay_ms: float = 0.0
    to_server: bool = True


@dataclass(frozen=True)
class SoakPlan:
    """All actions of a run.

    :param seed: what they were drawn from.
    :param nodes: number of nodes.
    :param steps: the actions, in the order of their start.
    :param faults_s: length of the part with faults, in seconds.
    """

    seed: int
    nodes: int
    steps: tuple[Step, ...]
    faults_s: float


def make_plan(
    seed: int,
    faults_s: float,
    nodes: int = 6,
    kinds: tuple[FaultKind, ...] = tuple(FaultKind),
    answers: tuple[str, ...] = BACKEND_ANSWERS,
) -> SoakPlan:
    """Draw a run.

    :param seed: the seed.
    :param faults_s: length of the part with faults, in seconds.
    :param nodes: number of nodes.
    :param kinds: what may happen.
    :param answers: how answers of backend servers may be spoiled.
    """
    random = Random(seed)
    # Each run has some of the kinds only; so pairs of them meet more often.
    chosen = random.sample(kinds, min(len(kinds), random.randint(3, 9)))
    if FaultKind.VERSION in kinds and FaultKind.VERSION not in chosen:
        chosen.append(FaultKind.VERSION)
    weights = [WEIGHTS.get(kind, 1.0) for kind in chosen]
    steps: list[Step] = []
    at_s = 0.0
    while True:
        if not steps or random.random() >= SERIES_SHARE:
            at_s += random.uniform(*STEP_GAP_S)
        if at_s >= faults_s:
            return SoakPlan(seed, nodes, tuple(steps), faults_s)
        kind = random.choices(chosen, weights)[0]
        detail = ""
        if kind is FaultKind.STORE_CALLS:
            detail = random.choice(STORE_FAULTS)
        elif kind is FaultKind.BACKEND_ANSWER:
            detail = random.choice(answers)
        steps.append(
            Step(
                at_s=at_s,
                kind=kind,
                target=random.randrange(nodes),
                hold_s=random.uniform(*HOLD_S),
                detail=detail,
                delay_ms=random.uniform(*DELAY_MS),
                to_server=random.random() < 0.5,
            )
        )
