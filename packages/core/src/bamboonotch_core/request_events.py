"""Events of the request part, at the ingress node and at the owner.

Times are on the node's monotonic clock in milliseconds; deadlines are absolute on that clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bamboonotch_core.events import Event

__all__ = [
    "AttemptLost",
    "BackendFinished",
    "BackendResult",
    "CallerGone",
    "ClaimAnswered",
    "ClaimResult",
    "FenceAnswered",
    "FenceReceived",
    "FenceState",
    "OwnerReply",
    "OwnerRefused",
    "OwnerResponded",
    "RequestArrived",
    "ResponseFinished",
    "WorkCancelled",
    "WorkOffered",
]


class BackendResult(Enum):
    """How the work at a backend server ended."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    # No connection came about, so the request did not even arrive.
    UNREACHABLE = "unreachable"

    @property
    def is_not_run(self) -> bool:
        """Whether the work provably was not run."""
        return self in (BackendResult.NOT_RUN, BackendResult.UNREACHABLE)


class ClaimResult(Enum):
    """Answer of the store to the claim of an idempotency key."""

    CREATED = "created"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


class FenceState(Enum):
    """What an owner knows of an attempt when it is asked to fence it."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RequestArrived(Event):
    """Ingress: a caller's request head arrived.

    :param request_id: unique id of the request, made by this node.
    :param method: HTTP method.
    :param path: request path with query.
    :param timeout_ms: the caller's timeout in milliseconds, or ``None``.
    :param idempotency_key: the caller's key, or empty.
    :param attempt: value of the ``Bamboonotch-Attempt`` header, 0 when absent.
    :param unix_ms: wall clock, in milliseconds since 1970.
    :param host: host asked for, in lower case and without port.
    :param key_digest: digest of the caller's key, or empty without one.
    """

    request_id: str
    method: str
    path: str
    timeout_ms: float | None
    idempotency_key: str
    attempt: int
    unix_ms: int
    host: str = ""
    key_digest: str = ""


@dataclass(frozen=True)
class OwnerReply(Event):
    """Base of what an owner says about an attempt.

    :param request_id: the request.
    :param attempt_id: the attempt that it speaks of; other attempts' replies are ignored.
    :param owner_id: node id of the owner.
    """

    request_id: str
    attempt_id: str
    owner_id: str


@dataclass(frozen=True)
class OwnerResponded(OwnerReply):
    """Ingress: the head of the backend server's response arrived.

    :param status: HTTP status of the backend server.
    :param load: work in slots and queue at the owner.
    :param service_ms: time that the backend server took until the head, in milliseconds.
    :param uplink_ms: how long the bodies that wait at the owner occupy its link, in milliseconds.
    :param slowdown: how long work takes there now, where 1 is usual; 0 when it is not known.
    """

    status: int
    load: int
    service_ms: float = 0.0
    uplink_ms: float = 0.0
    slowdown: float = 0.0


@dataclass(frozen=True)
class OwnerRefused(OwnerReply):
    """Ingress: the owner ended the attempt without a response.

    :param result: ``NOT_RUN`` when it was provably not dispatched, else ``UNKNOWN``.
    :param reason: why, lower case with dashes.
    :param load: work in slots and queue at the owner.
    """

    result: BackendResult
    reason: str
    load: int


@dataclass(frozen=True)
class AttemptLost(OwnerReply):
    """Ingress: the stream to the owner closed, or could not be opened.

    :param sent: whether any byte of the attempt may have reached the owner.
    """

    sent: bool


@dataclass(frozen=True)
class FenceAnswered(OwnerReply):
    """Ingress: a fence was answered, or failed for good with ``UNKNOWN``.

    :param state: what the owner knows.
    """

    state: FenceState


@dataclass(frozen=True)
class ResponseFinished(Event):
    """Ingress: the response body ended.

    :param request_id: the request.
    :param complete: whether all of it arrived.
    :param size_bytes: size of the body passed on.
    """

    request_id: str
    complete: bool
    size_bytes: int = 0


@dataclass(frozen=True)
class CallerGone(Event):
    """Ingress: the caller closed its connection before the response ended.

    :param request_id: the request.
    """

    request_id: str


@dataclass(frozen=True)
class WorkOffered(Event):
    """Owner: an attempt arrived from an ingress node, which may be this node.

    :param request_id: the request.
    :param attempt_id: the attempt, unique.
    :param service: service asked for.
    :param request_class: class of the request.
    :param deadline_ms: when the caller stops waiting, on this node's monotonic clock.
    :param idempotent: whether the work may run more than once.
    :param idempotency_key: the caller's key, or empty.
    :param returning: whether the caller seems to have been refused before.
    :param uplink_ms: how long the bodies that wait now occupy this node's link, in milliseconds;
        ``None`` when the response does not leave over the link.
    :param workspace: name of the caller's workspace, or empty without one.
    :param method: HTTP method, or empty when it is not known.
    :param path: request path with query, or empty when it is not known.
    """

    request_id: str
    attempt_id: str
    service: str
    request_class: str
    deadline_ms: float
    idempotent: bool
    idempotency_key: str
    returning: bool = False
    uplink_ms: float | None = None
    workspace: str = ""
    method: str = ""
    path: str = ""


@dataclass(frozen=True)
class ClaimAnswered(Event):
    """Owner: the store answered the claim of an idempotency key.

    :param attempt_id: the attempt.
    :param result: the answer.
    """

    attempt_id: str
    result: ClaimResult


@dataclass(frozen=True)
class BackendFinished(Event):
    """Owner: the work at the backend server ended.

    :param attempt_id: the attempt.
    :param result: how it ended.
    :param latency_ms: time since dispatch, in milliseconds.
    :param send_ms: how long the body of the response occupies this node's link, in milliseconds; 0
        when it is small enough to leave at once.
    :param status: HTTP status of the response; 0 without a response.
    :param slowdown: how long work takes at the backend server now, where 1 is usual; 0 when it is
        not known.
    """

    attempt_id: str
    result: BackendResult
    latency_ms: float
    send_ms: float = 0.0
    status: int = 0
    slowdown: float = 0.0


@dataclass(frozen=True)
class WorkCancelled(Event):
    """Owner: the ingress gave the attempt up, or its stream closed.

    :param attempt_id: the attempt.
    """

    attempt_id: str


@dataclass(frozen=True)
class FenceReceived(Event):
    """Owner: an ingress asks that an attempt not yet dispatched never be.

    :param attempt_id: the attempt.
    :param fence_id: names the question for the answer.
    """

    attempt_id: str
    fence_id: str
