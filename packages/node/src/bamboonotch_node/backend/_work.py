"""Requests and responses as the parts of the request path hand them to one another.

Header names and values are text in ISO 8859-1, the encoding of HTTP/1.1 on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "CallerRequest",
    "FlowControl",
    "HeaderList",
    "MAX_RESPONSE_HEADERS",
    "MAX_RESPONSE_HEADER_BYTES",
    "OfferedWork",
    "ResponseReceiver",
    "ResponseStart",
]

# Bounds of a response's head; a response beyond them is not passed on.
MAX_RESPONSE_HEADERS = 500
MAX_RESPONSE_HEADER_BYTES = 64 * 1024

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, read completely.

    :param request_id: unique id of the request, made by this node.
    :param method: HTTP method.
    :param path: request path with query.
    :param headers: end-to-end headers.
    :param body: the whole body.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, slots=True)
class OfferedWork:
    """An attempt as it reaches the owner, with its whole body.

    :param attempt_id: the attempt, unique.
    :param service: service asked for.
    :param request_class: class of the request.
    :param deadline_ms: when the caller stops waiting, on this node's monotonic clock.
    :param idempotent: whether the work may run more than once.
    :param idempotency_key: the caller's key, or empty.
    :param attempt: value for the ``Bamboonotch-Attempt`` header.
    :param request: the caller's request.
    :param returning: whether the caller seems to have been refused before.
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


@dataclass(frozen=True, slots=True)
class ResponseStart:
    """Head of a response.

    :param status: HTTP status.
    :param headers: end-to-end headers, with ``Content-Length`` when it is known.
    :param load: work in slots and queue at the owner.
    :param backend_ms: time from dispatch to the head, in milliseconds.
    :param queue_ms: time from offer to dispatch, in milliseconds.
    """

    status: int
    headers: HeaderList
    load: int
    backend_ms: float
    queue_ms: float


class FlowControl(Protocol):
    """The source of a response body, which can be held up."""

    def pause(self) -> None:
        """Stop producing until resumed."""

    def resume(self) -> None:
        """Produce again."""


class ResponseReceiver(Protocol):
    """Takes one response: one start, any number of writes, one finish."""

    def start(self, head: ResponseStart) -> None:
        """Take the head.

        :param head: the head.
        """

    def write(self, data: bytes) -> None:
        """Take a piece of the body.

        :param data: the piece.
        """

    def finish(self, complete: bool) -> None:
        """Take the end of the body.

        :param complete: whether all of it arrived.
        """
