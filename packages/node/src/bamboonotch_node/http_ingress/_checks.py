"""Checks of the headers that callers send to the mesh."""

from __future__ import annotations

import re
import uuid
from dataclasses import dataclass
from typing import Any

from bamboonotch_core.configuration import digest_key
from bamboonotch_core.errors import BamboonotchError
from bamboonotch_core.settings import RequestSettings
from bamboonotch_node.backend import HeaderList
from bamboonotch_node.dialect import CREDENTIALS_HEADER, HttpDialect

__all__ = [
    "BadRequestError",
    "RequestHeaders",
    "end_to_end_headers",
    "host_of",
    "read_key_digest",
    "read_request_headers",
    "without_access_headers",
]

MAX_TIMEOUT_MS = 3_600_000
MAX_ATTEMPT = 1000
KEY_VERSION = 7
# RFC 6750 section 2.1; the name of the scheme is in any case.
BEARER_CREDENTIALS = re.compile(rb"bearer +([!-~]+)", re.IGNORECASE)

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
    :param caller_request_id: the caller's id of the request, or empty.
    """

    timeout_ms: float | None
    idempotency_key: str
    attempt: int
    caller_request_id: str


def _single_value(headers: Any, name: bytes, max_characters: int) -> str:
    values = headers.getRawHeaders(name) if name else None
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


def _key(headers: Any, name: bytes, max_characters: int) -> str:
    text = _single_value(headers, name, max_characters)
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


def read_request_headers(
    headers: Any, settings: RequestSettings, dialect: HttpDialect
) -> RequestHeaders:
    """Read and check the mesh's headers of a request.

    :param headers: the library's headers.
    :param settings: bounds.
    :param dialect: names of the headers.
    :raises BadRequestError: when a header is malformed or out of range.
    """
    if len(headers.getRawHeaders(b"Host", ())) > 1:
        raise BadRequestError(400, "invalid-host")
    timeout_ms = _number(headers, dialect.timeout, 1, MAX_TIMEOUT_MS)
    return RequestHeaders(
        timeout_ms=None if timeout_ms is None else float(timeout_ms),
        idempotency_key=_key(headers, dialect.idempotency_key, settings.max_key_characters),
        attempt=_number(headers, dialect.attempt, 0, MAX_ATTEMPT) or 0,
        caller_request_id=_single_value(headers, dialect.request_id, settings.max_key_characters),
    )


def end_to_end_headers(headers: Any, dialect: HttpDialect) -> HeaderList:
    """Return the headers of a request that travel to the backend server.

    :param headers: the library's headers.
    :param dialect: names of the headers that the owner writes anew.
    """
    rewritten = dialect.mesh_headers
    named = {
        token.strip().lower()
        for value in headers.getRawHeaders(b"Connection", ())
        for token in value.split(b",")
    }
    pairs: list[tuple[str, str]] = []
    for name, values in headers.getAllRawHeaders():
        lowered = name.lower()
        if lowered in HOP_BY_HOP or lowered in rewritten or lowered in named:
            continue
        text = name.decode("latin-1")
        pairs.extend((text, value.decode("latin-1")) for value in values)
    return tuple(pairs)


def without_access_headers(headers: HeaderList, dialect: HttpDialect) -> HeaderList:
    """Return the headers of a request without its key and without a workspace that it names.

    :param headers: end-to-end headers.
    :param dialect: names of the headers.
    """
    withheld = {name.decode("ascii") for name in dialect.access_headers}
    return tuple((name, value) for name, value in headers if name.lower() not in withheld)


def read_key_digest(headers: Any) -> str:
    """Return the digest of a caller's key, or an empty string without exactly one valid key.

    :param headers: the library's headers.
    """
    values = headers.getRawHeaders(CREDENTIALS_HEADER, ())
    match = BEARER_CREDENTIALS.fullmatch(values[0].strip()) if len(values) == 1 else None
    return "" if match is None else digest_key(match.group(1).decode("ascii"))


def host_of(headers: Any) -> str:
    """Return the host that a request names, in lower case and without port.

    :param headers: the library's headers.
    """
    values = headers.getRawHeaders(b"Host", ())
    return values[0].decode("latin-1").partition(":")[0].lower() if values else ""
