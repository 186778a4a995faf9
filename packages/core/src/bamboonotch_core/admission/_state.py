"""State of the owner side: backend server, slots, queues and ended attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from bamboonotch_core.admission._fair_share import RankShare
from bamboonotch_core.admission._limit import ConcurrencyLimit
from bamboonotch_core.admission._memory import AttemptMemory
from bamboonotch_core.admission._queue import ClassQueue
from bamboonotch_core.configuration import Rank
from bamboonotch_core.rate_limit import RateLimit
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "AdmissionState",
    "BackendServer",
    "LiveAttempt",
    "QueueKey",
    "SendTime",
    "ServiceOrder",
    "SlowdownTrend",
    "Stage",
    "is_idle",
    "is_returning",
    "make_admission_state",
    "with_incarnation",
]


QueueKey = tuple[Rank, str, str]
"""Key of a queue: rank, name of the workspace (empty without one), and request class."""

ServiceOrder = tuple[Rank, bool, float, int, QueueKey]
"""Place of a queue: rank, whether it belongs to a workspace, virtual time of the workspace, arrival
number of its oldest attempt, and its key."""


def is_returning(rank: Rank) -> bool:
    """Return whether a rank is one of requests whose callers return after a refusal."""
    return bool(rank[2])


class Stage(Enum):
    """Stage of a live attempt.

    ``CLAIMING`` waits for the store to answer the claim; ``CLAIMED`` has its claim and waits for a
    slot.
    """

    QUEUED = "queued"
    CLAIMING = "claiming"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"


@dataclass(frozen=True)
class BackendServer:
    """The backend server beside this node, as it announced itself.

    :param service: name of its service, or empty before the first announcement.
    :param address: ``ip:port`` where it takes requests.
    :param slots: requests that it runs at once, as announced.
    :param state: ``ready``, ``draining`` or ``stopped``.
    :param announced_ms: time of its last announcement, on the monotonic clock.
    :param ramp_start_ms: start of its ramp, on the monotonic clock: when it first announced itself
        after it was stopped or replaced.
    :param instance_id: id of its process, or empty when it gives none.
    :param started_unix_ms: when its process started, in milliseconds since 1970, or 0.
    """

    service: str
    address: str
    slots: int
    state: str
    announced_ms: float
    ramp_start_ms: float
    instance_id: str = ""
    started_unix_ms: int = 0


@dataclass(frozen=True)
class SendTime:
    """How long responses of a class occupy this node's link.

    :param mean_ms: smoothed time, in milliseconds; 0 for a response that leaves at once.
    :param samples: number of responses so far.
    """

    mean_ms: float = 0.0
    samples: int = 0


@dataclass(frozen=True)
class SlowdownTrend:
    """How long work takes at the backend server now, and how long it took for past answers.

    :param value: the smoothed figure of the last answer, where 1 is usual.
    :param past: the same, smoothed over as many answers as measured service times are.
    :param stated_ms: time of the last answer, on the monotonic clock.
    """

    value: float
    past: float
    stated_ms: float


@dataclass(frozen=True)
class LiveAttempt:
    """An attempt that was admitted and has not ended; times are on the monotonic clock.

    :param attempt_id: id of the attempt.
    :param request_class: name of its class.
    :param returning: whether its caller seems to have been refused before.
    :param workspace: name of its caller's workspace, or empty without one.
    :param deadline_ms: when the caller stops waiting.
    :param expires_ms: when it is refused if it is still queued.
    :param claim_key: idempotency key to claim before dispatch, or empty.
    :param position: its position in its queue; -1 when it was never queued.
    :param arrival_number: its number in the order of arrival over all queues; -1 when it was never
        queued.
    :param started_ms: when its claim was requested, then when it was dispatched.
    :param held_at_start: slots held when it was dispatched, including its own.
    :param holds_slot: whether a slot is taken or reserved for it.
    :param aborted: whether the backend server was told to stop working on it.
    :param uses_uplink: whether its response leaves over this node's link.
    :param rank: its place in the order of service when it arrived.
    :param charged_ms: service time that was charged to its workspace when it started, in
        milliseconds; negative when none was.
    """

    attempt_id: str
    request_class: str
    returning: bool
    deadline_ms: float
    expires_ms: float
    claim_key: str
    stage: Stage
    position: int = -1
    arrival_number: int = -1
    started_ms: float = 0.0
    held_at_start: int = 0
    holds_slot: bool = False
    aborted: bool = False
    uses_uplink: bool = False
    workspace: str = ""
    rank: Rank = (0, 0, 0, 0)
    charged_ms: float = -1.0

    @property
    def queue_key(self) -> QueueKey:
        """Key of the queue for its rank, workspace and class."""
        return self.rank, self.workspace, self.request_class


@dataclass(frozen=True)
class AdmissionState:
    """State of the owner side; times are on the monotonic clock.

    :param settings: settings of this node.
    :param incarnations: incarnations that this process has had, oldest first.
    :param backend: the backend server beside this node.
    :param draining: whether an operator asked for no new work.
    :param version_held: whether a roll-out keeps new work from the version of the backend server.
    :param shutting_down: whether the process ends and takes no more work.
    :param work_end_ms: by when all work must have ended, because the process ends; infinity unless
        it was asked to.
    :param idle_reported: whether ``drain-idle`` was reported for the current drain.
    :param slots_held: slots taken by dispatched attempts or reserved for claims.
    :param backend_refusals: consecutive attempts that the backend server refused or that could not
        connect to it.
    :param last_answer_ms: when the backend server last answered a request.
    :param paused_until_ms: no attempt is started before this time, because the backend server
        refused several in a row.
    :param claims_pending: number of claims that the store has not answered.
    :param claims_slow: whether the last claim took too long or the store was unavailable; no slot
        is then reserved for the next claim.
    :param queued: number of attempts in all queues.
    :param next_arrival_number: arrival number of the next attempt that is queued.
    :param next_expiry_ms: no live attempt expires before this time.
    :param live: attempts that have not ended, by id.
    :param queues: queues that are not empty, by key.
    :param order: places of the same queues, sorted; of one rank, queues without and with a
        workspace are served in turn.
    :param backlog: number of queued attempts by rank and class.
    :param shares: shares of workspaces by rank; only of ranks with work of a workspace, and none
        while no attempt is live.
    :param claimed: ids of claimed attempts that wait for a slot, oldest claim first.
    :param limit: adaptive concurrency limit.
    :param rate_limit: rate that the backend server has named, or ``None``.
    :param slowdown: how long work takes at the backend server, as its responses state it; ``None``
        until one does.
    :param send_times: how long responses occupy this node's link, by class name; only of classes
        that have had a response that is paced.
    :param memory: attempts that ended or were fenced, as far as they are still remembered.
    """

    settings: NodeSettings
    incarnations: tuple[int, ...]
    backend: BackendServer
    draining: bool = False
    version_held: bool = False
    shutting_down: bool = False
    work_end_ms: float = math.inf
    idle_reported: bool = False
    slots_held: int = 0
    backend_refusals: int = 0
    last_answer_ms: float = -math.inf
    paused_until_ms: float = -math.inf
    claims_pending: int = 0
    claims_slow: bool = False
    queued: int = 0
    next_arrival_number: int = 0
    next_expiry_ms: float = math.inf
    live: Map[str, LiveAttempt] = field(default_factory=Map)
    queues: Map[QueueKey, ClassQueue] = field(default_factory=Map)
    order: tuple[ServiceOrder, ...] = ()
    backlog: Map[Rank, Map[str, int]] = field(default_factory=Map)
    shares: Map[Rank, RankShare] = field(default_factory=Map)
    claimed: tuple[str, ...] = ()
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    rate_limit: RateLimit | None = None
    slowdown: SlowdownTrend | None = None
    send_times: Map[str, SendTime] = field(default_factory=Map)
    memory: AttemptMemory = field(default_factory=AttemptMemory)


def make_admission_state(
    settings: NodeSettings, now_ms: float, incarnation: int | None = None
) -> AdmissionState:
    """Return the state of a process whose backend server has not announced itself.

    :param settings: settings of this node.
    :param now_ms: monotonic clock, in milliseconds.
    :param incarnation: incarnation of this process, or ``None`` when it has none yet; until then,
        a fence of an attempt that is not remembered is answered ``UNKNOWN``.
    """
    backend = BackendServer("", "", 0, "stopped", now_ms, now_ms)
    incarnations = () if incarnation is None else (incarnation,)
    return AdmissionState(settings=settings, incarnations=incarnations, backend=backend)


def with_incarnation(state: AdmissionState, incarnation: int) -> AdmissionState:
    """Return the state after this process took another incarnation.

    :param incarnation: the incarnation that other nodes now address.
    """
    if incarnation in state.incarnations:
        return state
    return replace_fields(state, incarnations=(*state.incarnations, incarnation))


def is_idle(state: AdmissionState) -> bool:
    """Return whether no attempt is waiting or running."""
    return not state.live
