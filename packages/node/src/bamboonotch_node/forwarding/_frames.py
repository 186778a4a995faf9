"""Checks and conversions of forward frames."""

from __future__ import annotations

import re
from typing import Any

from bamboonotch_core.errors import MessageError
from bamboonotch_core.request_effects import ForwardAttempt
from bamboonotch_core.request_events import FenceState
from bamboonotch_core.settings import RequestSettings
from bamboonotch_core.slowdown import clip_slowdown
from bamboonotch_node.backend import (
    MAX_RESPONSE_HEADER_BYTES,
    MAX_RESPONSE_HEADERS,
    CallerRequest,
    HeaderList,
    RequestBody,
    ResponseStart,
    is_final_status,
)
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = [
    "MAX_ID_CHARACTERS",
    "build_request_head",
    "build_response_head",
    "check_request_head",
    "decode_fence_state",
    "decode_request",
    "decode_response_head",
    "encode_fence_state",
]

MAX_ID_CHARACTERS = 256
MAX_REASON_CHARACTERS = 128
MAX_REMAINING_MS = 3_600_000.0
MAX_UPLINK_MS = 60_000.0
# The ingress adds a few headers to those that it bounds.
HEADER_ALLOWANCE_BYTES = 1024
# ASCII in names and Latin-1 in values, without the characters that end a field.
HEADER_NAME = re.compile(r"[\x01-\x09\x0b\x0c\x0e-\x1f\x21-\x39\x3b-\x7f]+")
WORKSPACE_NAME = re.compile(r"[a-z0-9-]{1,64}")
HEADER_VALUE = re.compile(r"[\x01-\x09\x0b\x0c\x0e-\xff]*")

_STATE_TO_WIRE: dict[FenceState, Any] = {
    FenceState.UNKNOWN: pb.FENCE_STATE_UNKNOWN,
    FenceState.NOT_RUN: pb.FENCE_STATE_NOT_RUN,
    FenceState.RUNNING: pb.FENCE_STATE_RUNNING,
    FenceState.FINISHED: pb.FENCE_STATE_FINISHED,
}
_STATE_FROM_WIRE = {number: state for state, number in _STATE_TO_WIRE.items()}


def encode_fence_state(state: FenceState) -> Any:
    """Return the wire value of a fence state.

    :param state: the state.
    """
    return _STATE_TO_WIRE[state]


def decode_fence_state(number: int) -> FenceState:
    """Return a fence state; values that this version does not know count as unknown.

    :param number: the wire value.
    """
    return _STATE_FROM_WIRE.get(number, FenceState.UNKNOWN)


def _encode_headers(headers: HeaderList) -> list[pb.Header]:
    return [pb.Header(name=name, value=value) for name, value in headers]


def _decode_headers(headers: list[pb.Header], max_bytes: int) -> HeaderList:
    if len(headers) > MAX_RESPONSE_HEADERS:
        raise MessageError(f"message has more than {MAX_RESPONSE_HEADERS} headers")
    pairs = tuple((header.name, header.value) for header in headers)
    if sum(len(name) + len(value) for name, value in pairs) > max_bytes:
        raise MessageError(f"headers are longer than {max_bytes} bytes")
    for name, value in pairs:
        _check_header(name, value)
    return pairs


def _check_header(name: str, value: str) -> None:
    if not HEADER_NAME.fullmatch(name):
        raise MessageError("header has no name, or its name holds a character that HTTP forbids")
    if not HEADER_VALUE.fullmatch(value):
        raise MessageError("header holds a character that is not in the encoding of HTTP/1.1")


def build_request_head(
    effect: ForwardAttempt, request: CallerRequest, remaining_ms: float, body: bytes, last: bool
) -> pb.ForwardFrame:
    """Return the first frame of an attempt.

    :param effect: the attempt.
    :param request: the caller's request.
    :param remaining_ms: time left until the caller stops waiting, in milliseconds.
    :param body: first bytes of the body.
    :param last: whether they are the whole body.
    """
    return pb.ForwardFrame(
        request_head=pb.RequestHead(
            attempt_id=effect.attempt_id,
            request_id=request.request_id,
            service=effect.service,
            request_class=effect.request_class,
            remaining_ms=min(remaining_ms, MAX_REMAINING_MS),
            idempotent=effect.idempotent,
            idempotency_key=effect.idempotency_key,
            attempt=effect.attempt,
            method=request.method,
            path=request.path,
            headers=_encode_headers(request.headers),
            body=body,
            last=last,
            returning=effect.returning,
            workspace=effect.workspace,
        )
    )


def check_request_head(head: pb.RequestHead) -> None:
    """Check the bounds of an attempt's head.

    :param head: the head.
    :raises MessageError: when a field is missing or exceeds its bound.
    """
    for name in ("attempt_id", "request_id", "service", "method", "path"):
        if not getattr(head, name):
            raise MessageError(f"field {name} is empty")
    for name in (
        "attempt_id",
        "request_id",
        "service",
        "request_class",
        "idempotency_key",
    ):
        if len(getattr(head, name)) > MAX_ID_CHARACTERS:
            raise MessageError(f"field {name} is longer than {MAX_ID_CHARACTERS} characters")
    if head.workspace and WORKSPACE_NAME.fullmatch(head.workspace) is None:
        # It becomes a header of the request to the backend server.
        raise MessageError("field workspace is not a name of a workspace")
    if not (head.method.isascii() and head.path.isascii()):
        raise MessageError("method or path is not ASCII")
    if not 0 <= head.remaining_ms <= MAX_REMAINING_MS:
        raise MessageError("field remaining_ms is out of range")


def decode_request(
    head: pb.RequestHead, body: RequestBody, settings: RequestSettings
) -> CallerRequest:
    """Return the caller's request of an attempt.

    :param head: the checked head.
    :param body: the whole body.
    :param settings: bounds.
    :raises MessageError: when a header is malformed or the headers exceed their bound.
    """
    max_bytes = settings.max_header_bytes + HEADER_ALLOWANCE_BYTES
    return CallerRequest(
        request_id=head.request_id,
        method=head.method,
        path=head.path,
        headers=_decode_headers(list(head.headers), max_bytes),
        body=body,
    )


def build_response_head(
    attempt_id: str, start: ResponseStart, uplink_ms: float, body: bytes, last: bool
) -> pb.ForwardFrame:
    """Return the first frame of a response.

    :param attempt_id: the attempt.
    :param start: head of the response.
    :param uplink_ms: how long the bodies that wait occupy this node's link, in milliseconds.
    :param body: first bytes of the body.
    :param last: whether they are the whole body.
    """
    return pb.ForwardFrame(
        response_head=pb.ResponseHead(
            attempt_id=attempt_id,
            status=start.status,
            headers=_encode_headers(start.headers),
            load=max(0, start.load),
            body=body,
            last=last,
            backend_ms=start.backend_ms,
            queue_ms=start.queue_ms,
            uplink_ms=uplink_ms,
            slowdown=start.slowdown,
        )
    )


def decode_response_head(head: pb.ResponseHead) -> ResponseStart:
    """Return the head of a response.

    :param head: the frame's body.
    :raises MessageError: when a field is out of range.
    """
    if not is_final_status(head.status):
        raise MessageError(f"status {head.status} is out of range")
    return ResponseStart(
        status=head.status,
        headers=_decode_headers(list(head.headers), MAX_RESPONSE_HEADER_BYTES),
        load=head.load,
        backend_ms=head.backend_ms,
        queue_ms=head.queue_ms,
        uplink_ms=_clip_uplink_ms(head.uplink_ms),
        slowdown=clip_slowdown(head.slowdown),
    )


def _clip_uplink_ms(uplink_ms: float) -> float:
    """Return a time from a peer within bounds; one that is no number counts as 0."""
    return min(MAX_UPLINK_MS, uplink_ms) if uplink_ms > 0 else 0.0
