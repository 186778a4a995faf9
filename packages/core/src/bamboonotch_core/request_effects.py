"""Effects of the request part."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.request_events import BackendResult, FenceState

__all__ = [
    "AbortBackend",
    "AnswerFence",
    "CancelAttempt",
    "ClaimKey",
    "DispatchToBackend",
    "ForwardAttempt",
    "HedgeReport",
    "Outcome",
    "OwnerLoad",
    "PassResponse",
    "RefuseWork",
    "RequestReport",
    "RespondToCaller",
    "SendFence",
]


class Outcome(Enum):
    """Outcome of a request, with its value in the ``Bamboonotch-Outcome`` header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RequestReport(Report):
    """Record a decision about one request in the log, at a bounded rate, and in the metrics.

    A caller can cause any number of these, so they are not kept for the explain interface.

    :param reason: what decided, lower case with dashes; a label of the metric.
    """

    reason: str = ""


@dataclass(frozen=True)
class HedgeReport(Report):
    """Record what became of the second copy of a slow request, in the log and in the metrics.

    :param service: service of the request.
    :param request_class: class of the request.
    :param reason: why a copy was not sent or got no response; empty otherwise.
    """

    service: str = ""
    request_class: str = ""
    reason: str = ""


@dataclass(frozen=True)
class ForwardAttempt(Effect):
    """Ingress: send the request to an owner.

    :param request_id: the request.
    :param attempt_id: the attempt, unique.
    :param owner_id: node id of the owner; this node's own id means the local backend server.
    :param owner_address: ``ip:port`` of the owner's peer port.
    :param service: service asked for.
    :param request_class: class of the request.
    :param deadline_ms: when the caller stops waiting, on this node's monotonic clock.
    :param idempotent: whether the work may run more than once.
    :param idempotency_key: the caller's key, or empty.
    :param attempt: value for the ``Bamboonotch-Attempt`` header to the backend server.
    :param returning: whether the caller seems to have been refused before.
    :param workspace: name of the caller's workspace, or empty without one.
    """

    request_id: str
    attempt_id: str
    owner_id: str
    owner_address: str
    service: str
    request_class: str
    deadline_ms: float
    idempotent: bool
    idempotency_key: str
    attempt: int
    returning: bool = False
    workspace: str = ""


@dataclass(frozen=True)
class SendFence(Effect):
    """Ingress: open a new stream to the owner if needed and fence an attempt.

    :param request_id: the request.
    :param attempt_id: the attempt.
    :param owner_id: node id of the owner.
    :param owner_address: ``ip:port`` of the owner's peer port.
    """

    request_id: str
    attempt_id: str
    owner_id: str
    owner_address: str


@dataclass(frozen=True)
class CancelAttempt(Effect):
    """Ingress: tell the owner that nobody waits for an attempt.

    :param request_id: the request.
    :param attempt_id: the attempt.
    :param owner_id: node id of the owner.
    """

    request_id: str
    attempt_id: str
    owner_id: str


@dataclass(frozen=True)
class PassResponse(Effect):
    """Ingress: stream the owner's response to the caller.

    :param request_id: the request.
    :param attempt_id: the attempt whose response it is.
    """

    request_id: str
    attempt_id: str


@dataclass(frozen=True)
class RespondToCaller(Effect):
    """Ingress: answer the caller without a backend server's response.

    :param request_id: the request.
    :param outcome: what is known of the request.
    :param reason: why, lower case with dashes.
    :param status: HTTP status.
    :param retry_after_ms: when a repeat makes sense, in milliseconds; 0 for none.
    """

    request_id: str
    outcome: Outcome
    reason: str
    status: int
    retry_after_ms: int


@dataclass(frozen=True)
class ClaimKey(Effect):
    """Owner: create the claim of an idempotency key; answered by ``ClaimAnswered``.

    :param attempt_id: the attempt.
    :param idempotency_key: the key.
    """

    attempt_id: str
    idempotency_key: str


@dataclass(frozen=True)
class DispatchToBackend(Effect):
    """Owner: send the work to the backend server now; answered by ``BackendFinished``.

    :param attempt_id: the attempt.
    """

    attempt_id: str


@dataclass(frozen=True)
class AbortBackend(Effect):
    """Owner: cancel the work at the backend server; still answered by ``BackendFinished``.

    :param attempt_id: the attempt.
    """

    attempt_id: str


@dataclass(frozen=True)
class OwnerLoad:
    """What an owner knows of its load when it refuses an attempt.

    :param slots_held: slots taken or reserved.
    :param limit_slots: slots of the backend server, or the concurrency limit if that is lower.
    :param queued: attempts in all queues.
    :param service_ms: smoothed service time of all classes, in milliseconds; 0 before the first
        answer.
    :param rate_limit_per_s: requests a second that the backend server takes; ``None`` for no limit.
    :param waiting_workspaces: workspaces with queued attempts, counted once for each rank.
    """

    slots_held: int
    limit_slots: float
    queued: int
    service_ms: float
    rate_limit_per_s: float | None = None
    waiting_workspaces: int = 0


@dataclass(frozen=True)
class RefuseWork(Effect):
    """Owner: end an attempt that got no response from the backend server.

    :param attempt_id: the attempt.
    :param result: ``NOT_RUN`` or ``UNKNOWN``.
    :param reason: why, lower case with dashes.
    :param load: work in slots and queue.
    :param owner_load: what decided, for the log; ``None`` when the backend server had the attempt.
    """

    attempt_id: str
    result: BackendResult
    reason: str
    load: int
    owner_load: OwnerLoad | None = None


@dataclass(frozen=True)
class AnswerFence(Effect):
    """Owner: answer a fence.

    :param fence_id: the question.
    :param attempt_id: the attempt.
    :param state: what this node knows.
    """

    fence_id: str
    attempt_id: str
    state: FenceState
