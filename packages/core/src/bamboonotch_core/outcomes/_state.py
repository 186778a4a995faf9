"""State of the ingress side: requests in progress and what is known of owners."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from bamboonotch_core.configuration import Rank
from bamboonotch_core.outcomes._attempt_id import make_ingress_tag
from bamboonotch_core.outcomes._patience import Patience
from bamboonotch_core.routing import CandidateSet, Owner, OwnerView, WorkEstimate
from bamboonotch_core.settings import NodeSettings

__all__ = ["Attempt", "OutcomeState", "PendingRequest", "Phase", "make_outcome_state"]


class Phase(Enum):
    """How far the current attempt of a request is."""

    WAITING = "waiting"
    FENCING = "fencing"
    RUNNING = "running"
    RESPONDING = "responding"


@dataclass(frozen=True)
class Attempt:
    """One attempt at an owner.

    :param attempt_id: the attempt.
    :param owner: the owner as the routing table had it.
    :param started_ms: when it was sent.
    :param service_ms: time that the backend server took until the head of its response.
    """

    attempt_id: str
    owner: Owner
    started_ms: float
    service_ms: float = 0.0


@dataclass(frozen=True)
class PendingRequest:
    """A request that has no final answer yet.

    :param request_id: the request.
    :param service: service asked for.
    :param request_class: class of the request.
    :param idempotent: whether the work may run more than once.
    :param idempotency_key: the caller's key, or empty.
    :param deadline_ms: when the caller stops waiting.
    :param arrived_attempt: attempt number that the request arrived with.
    :param header_attempt: attempt number for the backend server.
    :param attempt: the current attempt, or ``None`` before the first.
    :param phase: how far the current attempt is.
    :param check_ms: when a fence must have been answered, or infinity.
    :param tried: node ids of the owners tried.
    :param may_have_run: whether an earlier attempt may have run.
    :param max_attempts: backend servers that it may reach.
    :param rank: its place in the order of service, lowest first.
    :param returning: whether its caller seems to have been refused before.
    :param patience_ends_ms: when its caller gives up, which may be later than the deadline.
    :param arrivals: earlier attempts that may have reached a backend server.
    """

    request_id: str
    service: str
    request_class: str
    idempotent: bool
    idempotency_key: str
    deadline_ms: float
    arrived_attempt: int
    header_attempt: int
    attempt: Attempt | None = None
    phase: Phase = Phase.WAITING
    check_ms: float = math.inf
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    max_attempts: int = 0
    rank: Rank = (0, 0, 0)
    returning: bool = False
    patience_ends_ms: float = 0.0
    arrivals: int = 0


@dataclass(frozen=True)
class OutcomeState:
    """State of the ingress side.

    :param settings: this node's settings.
    :param ingress_tag: names this process in attempt ids.
    :param seed: seed for random numbers.
    :param next_sequence: number of the next attempt.
    :param shutting_down: whether new requests are refused.
    :param next_check_ms: no timeout is due before this time.
    :param next_cleanup_ms: when views of owners that are gone are next dropped.
    :param requests: requests in progress by id.
    :param views: what is known of owners by node id.
    :param candidates: owners used for each service.
    :param tokens: retry tokens of each service.
    :param works: what requests need, by service and class.
    :param patience: how long callers wait, by class.
    """

    settings: NodeSettings
    ingress_tag: str
    seed: int
    next_sequence: int = 1
    shutting_down: bool = False
    next_check_ms: float = math.inf
    next_cleanup_ms: float = 0.0
    requests: Map[str, PendingRequest] = field(default_factory=Map)
    views: Map[str, OwnerView] = field(default_factory=Map)
    candidates: Map[str, CandidateSet] = field(default_factory=Map)
    tokens: Map[str, float] = field(default_factory=Map)
    works: Map[tuple[str, str], WorkEstimate] = field(default_factory=Map)
    patience: Map[str, Patience] = field(default_factory=Map)


def make_outcome_state(settings: NodeSettings, seed: int) -> OutcomeState:
    """Return the state of a process that has taken no request yet.

    :param settings: this node's settings.
    :param seed: seed for random numbers; another one for each start of the process.
    """
    return OutcomeState(
        settings=settings,
        ingress_tag=make_ingress_tag(settings.identity.node_id, seed),
        seed=seed & ((1 << 64) - 1),
    )
