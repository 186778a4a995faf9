"""State of the ingress: requests in progress and the views of owners."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from bamboonotch_core.access import UNCONFIRMED, ConfigurationKnowledge
from bamboonotch_core.configuration import Rank
from bamboonotch_core.outcomes._attempt_id import make_ingress_tag
from bamboonotch_core.outcomes._hedge_state import NO_HEDGES, HedgeState
from bamboonotch_core.outcomes._patience import CallerTimeouts
from bamboonotch_core.quotas import BorrowerState
from bamboonotch_core.rollouts import Traffic
from bamboonotch_core.routing import CandidateSet, Owner, OwnerView, WorkEstimate
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "Attempt",
    "LiveAttempt",
    "OutcomeState",
    "PendingRequest",
    "Phase",
    "make_outcome_state",
]


class Phase(Enum):
    """Progress of the current attempt of a request.

    A waiting attempt has no reply yet. A fencing attempt has a fence that is not answered yet. A
    running attempt still runs according to the answer to its fence. The response of a responding
    attempt is being passed to the caller. A held attempt has a response with a failure status,
    which is passed on only if the other attempt of the request gets no response.
    """

    WAITING = "waiting"
    FENCING = "fencing"
    RUNNING = "running"
    RESPONDING = "responding"
    HELD = "held"


@dataclass(frozen=True)
class Attempt:
    """One attempt to have a request handled by an owner.

    :param owner: the owner as the routing table listed it when the attempt was sent.
    :param started_ms: when the attempt was sent, on the monotonic clock in milliseconds.
    :param service_ms: time until the backend server sent the head of its response, in milliseconds;
        0 before the response.
    """

    attempt_id: str
    owner: Owner
    started_ms: float
    service_ms: float = 0.0


@dataclass(frozen=True)
class LiveAttempt:
    """The attempt of a request that is not its current one, while both are in progress.

    :param fence_due_ms: as in :class:`PendingRequest`.
    """

    attempt: Attempt
    phase: Phase
    fence_due_ms: float


@dataclass(frozen=True)
class PendingRequest:
    """A request whose final answer is not complete yet.

    Times are on the monotonic clock, in milliseconds.

    :param service: service that handles the request; drawn when the route has a traffic split.
    :param request_class: class of the request, from its route.
    :param idempotent: whether the work may run more than once.
    :param idempotency_key: the caller's key, or empty.
    :param deadline_ms: when the request is ended, after the shorter of the timeouts of its route
        and its caller.
    :param arrived_attempt: attempt number that the request arrived with; 0 for a first attempt.
    :param header_attempt: attempt number that is sent to the backend server.
    :param attempt: the current attempt, or ``None`` before the first.
    :param fence_due_ms: when the fence of a fencing attempt must have been answered, or when a
        running attempt is fenced again; otherwise infinity.
    :param tried_owner_ids: node ids of the owners that the request was sent to, in order.
    :param may_have_run: whether an earlier attempt may have run.
    :param max_attempts: number of backend servers that the request may reach; 0 for no bound.
    :param rank: its place in the order of service, lowest first.
    :param returning: whether its caller was probably refused before.
    :param caller_gives_up_ms: end of the caller's own timeout, which may be after the deadline.
    :param workspace: name of the caller's workspace, or empty without one.
    :param token_due_ms: when a request that waits for a token of its workspace's quota is refused;
        infinity for others.
    :param backend_attempts: number of earlier attempts that may have reached a backend server.
    :param other: the second attempt in progress, or ``None``; never beside a responding attempt.
    :param copy_id: id of the attempt that was sent as a hedged copy, or empty.
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
    fence_due_ms: float = math.inf
    tried_owner_ids: tuple[str, ...] = ()
    may_have_run: bool = False
    max_attempts: int = 0
    rank: Rank = (0, 0, 0, 0)
    returning: bool = False
    caller_gives_up_ms: float = 0.0
    backend_attempts: int = 0
    workspace: str = ""
    token_due_ms: float = math.inf
    other: LiveAttempt | None = None
    copy_id: str = ""


@dataclass(frozen=True)
class OutcomeState:
    """State of the ingress.

    Times are on the monotonic clock, in milliseconds.

    :param ingress_tag: tag of this process in attempt ids.
    :param seed: current seed for random numbers, with 64 bits.
    :param next_sequence: sequence number of the next attempt of this process.
    :param shutting_down: whether new requests are refused.
    :param requests_end_ms: by when every request must have its answer, because the process ends;
        infinity unless it was asked to.
    :param next_expiry_ms: time before which no deadline and no fence is due.
    :param next_cleanup_ms: when entries of absent owners and services are next removed.
    :param counted_from_ms: time of the last removal, since when ``sent`` counts.
    :param sent: attempts sent since then, by service.
    :param subset_sizes: how many owners of a service may be used, by service, where that differs
        from the setting.
    :param requests: requests in progress, by request id.
    :param views: views of owners, by node id.
    :param candidates: owners that may be chosen for each service.
    :param retry_tokens: tokens in the retry bucket of each service.
    :param work_estimates: expected service times and response sizes, by service and request class.
    :param caller_timeouts: timeouts of callers, by request class.
    :param next_hedge_ms: time before which no hedged copy is due.
    :param hedging: what decides when and whether hedged copies are sent.
    :param knowledge: how current the configuration of the routing table is known to be.
    :param quotas: tokens of workspaces with a limit.
    :param traffic: division between versions of the services with a roll-out.
    """

    settings: NodeSettings
    ingress_tag: str
    seed: int
    next_sequence: int = 1
    shutting_down: bool = False
    requests_end_ms: float = math.inf
    next_expiry_ms: float = math.inf
    next_cleanup_ms: float = 0.0
    counted_from_ms: float = 0.0
    sent: Map[str, int] = field(default_factory=Map)
    subset_sizes: Map[str, int] = field(default_factory=Map)
    requests: Map[str, PendingRequest] = field(default_factory=Map)
    views: Map[str, OwnerView] = field(default_factory=Map)
    candidates: Map[str, CandidateSet] = field(default_factory=Map)
    retry_tokens: Map[str, float] = field(default_factory=Map)
    work_estimates: Map[tuple[str, str], WorkEstimate] = field(default_factory=Map)
    caller_timeouts: Map[str, CallerTimeouts] = field(default_factory=Map)
    next_hedge_ms: float = math.inf
    hedging: HedgeState = NO_HEDGES
    knowledge: ConfigurationKnowledge = UNCONFIRMED
    quotas: BorrowerState = BorrowerState()
    traffic: Map[str, Traffic] = Map()


def make_outcome_state(settings: NodeSettings, seed: int) -> OutcomeState:
    """Make the state of a process that has received no request yet.

    :param seed: seed for random numbers, different for each start of the process; its lowest 64
        bits are used.
    :returns: the initial state.
    """
    return OutcomeState(
        settings=settings,
        ingress_tag=make_ingress_tag(settings.identity.node_id, seed),
        seed=seed & ((1 << 64) - 1),
    )
