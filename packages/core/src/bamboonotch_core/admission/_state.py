"""State of the owner side: the backend server, its slots, the queues and what is remembered."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from bamboonotch_core.admission._limit import ConcurrencyLimit
from bamboonotch_core.admission._memory import AttemptMemory
from bamboonotch_core.admission._queue import ClassQueue
from bamboonotch_core.routing import replace_fields
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "AdmissionState",
    "BackendServer",
    "LiveAttempt",
    "QueueKey",
    "Stage",
    "is_idle",
    "make_admission_state",
    "with_incarnation",
]


QueueKey = tuple[str, bool]
"""Names a queue: a class, and whether its attempts return after a refusal."""


class Stage(Enum):
    """How far a live attempt is."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"


@dataclass(frozen=True)
class BackendServer:
    """The backend server beside this node, as it announced itself.

    :param service: its service, or empty before the first announcement.
    :param address: its address.
    :param slots: requests that it says it runs at once.
    :param state: ``ready``, ``draining`` or ``stopped``.
    :param announced_ms: when it announced itself last.
    :param warm_since_ms: when it became ready, for the ramp.
    """

    service: str
    address: str
    slots: int
    state: str
    announced_ms: float
    warm_since_ms: float


@dataclass(frozen=True)
class LiveAttempt:
    """An attempt that was admitted and has not ended.

    :param attempt_id: the attempt.
    :param request_class: its class.
    :param returning: whether its caller seems to have been refused before.
    :param deadline_ms: when the caller stops waiting.
    :param expires_ms: when it leaves the queue.
    :param claim_key: key to claim before dispatch, or empty.
    :param stage: how far it is.
    :param place: its place in the queue of its class.
    :param ticket: its place in the order of arrival over all classes.
    :param started_ms: when it was claimed or dispatched.
    :param held_at_start: slots held when it was dispatched, with its own.
    :param holds_slot: whether a slot is taken or reserved for it.
    :param aborted: whether the backend server was told to stop.
    """

    attempt_id: str
    request_class: str
    returning: bool
    deadline_ms: float
    expires_ms: float
    claim_key: str
    stage: Stage
    place: int = -1
    ticket: int = -1
    started_ms: float = 0.0
    held_at_start: int = 0
    holds_slot: bool = False
    aborted: bool = False

    @property
    def queue_key(self) -> QueueKey:
        """Names the queue that it waits in."""
        return self.request_class, self.returning


@dataclass(frozen=True)
class AdmissionState:
    """State of the owner side.

    :param settings: this node's settings.
    :param incarnations: incarnations that this process has had.
    :param backend: the backend server.
    :param draining: whether an operator asked for no new work.
    :param shutting_down: whether the process was asked to end.
    :param idle_reported: whether the end of the drain was reported.
    :param slots_held: slots taken or reserved.
    :param backend_refusals: refusals by the backend server since its last answer.
    :param answered_ms: when the backend server last answered.
    :param paused_until_ms: no work is started before this time, because the backend server refuses.
    :param claims_pending: claims that the store has not answered.
    :param claims_slow: whether the last claim took too long to keep a slot for.
    :param queued: attempts in all queues.
    :param next_ticket: ticket of the next attempt that is queued.
    :param next_expiry_ms: no live attempt expires before this time.
    :param live: attempts that have not ended, by id.
    :param queues: queues by class and whether their attempts return.
    :param claimed: ids of claimed attempts that wait for a slot, in order.
    :param limit: the adaptive concurrency limit.
    :param memory: attempts that ended or were fenced.
    """

    settings: NodeSettings
    incarnations: tuple[int, ...]
    backend: BackendServer
    draining: bool = False
    shutting_down: bool = False
    idle_reported: bool = False
    slots_held: int = 0
    backend_refusals: int = 0
    answered_ms: float = -math.inf
    paused_until_ms: float = -math.inf
    claims_pending: int = 0
    claims_slow: bool = False
    queued: int = 0
    next_ticket: int = 0
    next_expiry_ms: float = math.inf
    live: Map[str, LiveAttempt] = field(default_factory=Map)
    queues: Map[QueueKey, ClassQueue] = field(default_factory=Map)
    claimed: tuple[str, ...] = ()
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    memory: AttemptMemory = field(default_factory=AttemptMemory)


def make_admission_state(
    settings: NodeSettings, now_ms: float, incarnation: int | None = None
) -> AdmissionState:
    """Return the state of a process whose backend server has not announced itself.

    :param settings: this node's settings.
    :param now_ms: monotonic clock, in milliseconds.
    :param incarnation: incarnation of this process; while it has none, no fence of an unknown
        attempt is answered not-run.
    """
    backend = BackendServer("", "", 0, "stopped", now_ms, now_ms)
    incarnations = () if incarnation is None else (incarnation,)
    return AdmissionState(settings=settings, incarnations=incarnations, backend=backend)


def with_incarnation(state: AdmissionState, incarnation: int) -> AdmissionState:
    """Return the state after the process took another incarnation.

    :param state: the state.
    :param incarnation: the incarnation that other nodes now address.
    """
    if incarnation in state.incarnations:
        return state
    return replace_fields(state, incarnations=(*state.incarnations, incarnation))


def is_idle(state: AdmissionState) -> bool:
    """Tell whether no work is queued or running.

    :param state: the state.
    """
    return not state.live
