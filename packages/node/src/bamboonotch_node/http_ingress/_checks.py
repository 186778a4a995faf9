"""Checks of the headers that callers send to the mesh."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import Any

from bamboonotch_core.errors import BamboonotchError
from bamboonotch_core.settings import RequestSettings
from bamboonotch_node.backend import HeaderList

__all__ = ["BadRequestError", "RequestHeaders", "end_to_end_headers", "read_request_headers"]

MAX_TIMEOUT_MS = 3_600_000
MAX_ATTEMPT = 1000
KEY_VERSION = 7

# RFC 9110 section 7.6.1; the library frames bodies itself, so lengths do not pass either.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The owner writes these anew for the backend server.
MESH_HEADERS = frozenset({b"bamboonotch-attempt", b"idempotency-key", b"request-timeout-ms"})


class BadRequestError(BamboonotchError):
    """A caller's request is malformed or exceeds a bound.

    :param status: HTTP status of the answer.
    :param reason: why, lower case with dashes.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"request refused with status {status}: {reason}")
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The mesh's headers of a request.

    :param timeout_ms: the caller's timeout in milliseconds, or ``None``.
    :param idempotency_key: the caller's key in its canonical form, or empty.
    :param attempt: value of ``Bamboonotch-Attempt``, 0 when absent.
    :param caller_request_id: value of ``X-Request-Id``, or empty.
    """

    timeout_ms: float | None
    idempotency_key: str
    attempt: int
    caller_request_id: str


def _single_value(headers: Any, name: bytes, max_characters: int) -> str:
    values = headers.getRawHeaders(name)
    if not values:
        return ""
    reason = f"invalid-{name.decode('ascii').lower()}"
    value: bytes = values[0]
    if len(values) != 1 or not 0 < len(value) <= max_characters:
        raise BadRequestError(400, reason)
    if not all(0x21 <= octet <= 0x7E for octet in value):
        raise BadRequestError(400, reason)
    return value.decode("ascii")


def _number(headers: Any, name: bytes, minimum: int, maximum: int) -> int | None:
    text = _single_value(headers, name, max_characters=10)
    if not text:
        return None
    number = int(text) if text.isdigit() else -1
    if not minimum <= number <= maximum:
        raise BadRequestError(400, f"invalid-{name.decode('ascii').lower()}")
    return number


def _key(headers: Any, max_characters: int) -> str:
    text = _single_value(headers, b"Idempotency-Key", max_characters)
    if not text:
        return ""
    try:
        key = uuid.UUID(text)
    except ValueError:
        key = None
    # Only one spelling is taken, because two spellings of a key would be two claims.
    if key is None or key.version != KEY_VERSION or str(key) != text.lower():
        raise BadRequestError(400, "invalid-idempotency-key")
    return str(key)


def read_request_headers(headers: Any, settings: RequestSettings) -> RequestHeaders:
    """Read and check the mesh's headers of a request.

    :param headers: the library's headers.
    :param settings: bounds.
    :raises BadRequestError: when a header is malformed or out of range.
    """
    if len(headers.getRawHeaders(b"Host", ())) > 1:
        raise BadRequestError(400, "invalid-host")
    timeout_ms = _number(headers, b"Request-Timeout-Ms", 1, MAX_TIMEOUT_MS)
    return RequestHeaders(
        timeout_ms=None if timeout_ms is None else float(timeout_ms),
        idempotency_key=_key(headers, settings.max_key_characters),
        attempt=_number(headers, b"Bamboonotch-Attempt", 0, MAX_ATTEMPT) or 0,
        caller_request_id=_single_value(headers, b"X-Request-Id", settings.max_key_characters),
    )


def end_to_end_headers(headers: Any) -> HeaderList:
    """Return the headers of a request that travel to the backend server.

    :param headers: the library's headers.
    """
    named = {
        token.strip().lower()
        for value in headers.getRawHeaders(b"Connection", ())
        for token in value.split(b",")
    }
    pairs: list[tuple[str, str]] = []
    for name, values in headers.getAllRawHeaders():
        lowered = name.lower()
        if lowered in HOP_BY_HOP or lowered in MESH_HEADERS or lowered in named:
            continue
        text = name.decode("latin-1")
        pairs.extend((text, value.decode("latin-1")) for value in values)
    return tuple(pairs)
