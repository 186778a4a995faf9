"""Requests and responses as the components of the request path exchange them.

Header names and values are text in ISO 8859-1, the encoding of HTTP/1.1 on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bamboonotch_node.backend._body import RequestBody

__all__ = [
    "CallerRequest",
    "FlowControl",
    "HeaderList",
    "MAX_RESPONSE_HEADERS",
    "MAX_RESPONSE_HEADER_BYTES",
    "OfferedWork",
    "ResponseReceiver",
    "ResponseStart",
    "is_final_status",
]

# Limits of a response's head; a response that exceeds one of them is not passed on.
MAX_RESPONSE_HEADERS = 500
MAX_RESPONSE_HEADER_BYTES = 64 * 1024

# A status below is that of an interim response, one above is no status of HTTP.
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request with its whole body.

    :param request_id: unique id of the request, made by this node.
    :param path: request path with query.
    :param headers: end-to-end headers.
    :param body: the whole body, or empty.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderList
    body: RequestBody


@dataclass(frozen=True, slots=True)
class OfferedWork:
    """An attempt as it reaches the owner, with its whole body.

    :param attempt_id: unique id of the attempt.
    :param service: name of the service that the request is for.
    :param request_class: name of the request's class.
    :param deadline_ms: when the caller stops waiting, on this node's monotonic clock.
    :param idempotent: whether the work may run more than once.
    :param idempotency_key: the caller's idempotency key, or empty.
    :param attempt: value for the ``Bamboonotch-Attempt`` header.
    :param returning: whether the caller seems to have been refused before.
    :param workspace: name of the caller's workspace, or empty without one.
    """

    attempt_id: str
    service: str
    request_class: str
    deadline_ms: float
    idempotent: bool
    idempotency_key: str
    attempt: int
    request: CallerRequest
    returning: bool = False
    workspace: str = ""


def is_final_status(status: int) -> bool:
    """Return whether a status may be that of a response; anything else is a broken response."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


@dataclass(frozen=True, slots=True)
class ResponseStart:
    """Head of a response.

    :param headers: end-to-end headers, with ``Content-Length`` when it is known.
    :param load: number of attempts in slots and queue at the owner.
    :param backend_ms: time from dispatch to the head, in milliseconds.
    :param queue_ms: time from offer to dispatch, in milliseconds.
    :param uplink_ms: how long the bodies that wait at the owner occupy its link, in milliseconds.
    :param slowdown: how long work takes at the backend server, where 1 is usual; 0 when it is not
        known.
    """

    status: int
    headers: HeaderList
    load: int
    backend_ms: float
    queue_ms: float
    uplink_ms: float = 0.0
    slowdown: float = 0.0


class FlowControl(Protocol):
    """The source of a response body, which can be paused."""

    def pause(self) -> None:
        """Stop the delivery of the body until ``resume`` is called."""

    def resume(self) -> None:
        """Continue the delivery of the body."""


class ResponseReceiver(Protocol):
    """Takes one response: one ``start``, any number of ``write``, then one ``finish``."""

    def start(self, head: ResponseStart) -> None:
        """Take the head of the response."""

    def write(self, data: bytes) -> None:
        """Take a chunk of the body."""

    def finish(self, complete: bool) -> None:
        """Take the end of the body.

        :param complete: whether the whole body arrived; otherwise it was cut short.
        """
