"""Data of the store client."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from twisted.internet.defer import CancelledError

from bamboonotch_core.errors import StoreUnavailableError, StoreValueError

__all__ = [
    "CallKind",
    "CallResult",
    "KeyRead",
    "OnCall",
    "StoreCall",
    "StoredEntry",
    "classify_error",
]


class CallKind(Enum):
    """Kind of a call, for metrics."""

    READ = "read"
    LIST = "list"
    WATCH = "watch"
    WRITE = "write"
    DELETE = "delete"
    SESSION = "session"
    SLOT = "slot"


class CallResult(Enum):
    """How a call ended, for metrics."""

    ANSWERED = "answered"
    UNAVAILABLE = "unavailable"
    MALFORMED = "malformed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


def classify_error(error: BaseException) -> CallResult:
    """Return how a call ended that raised an error.

    :param error: the error.
    """
    if isinstance(error, StoreUnavailableError):
        return CallResult.UNAVAILABLE
    if isinstance(error, StoreValueError):
        return CallResult.MALFORMED
    return CallResult.CANCELLED if isinstance(error, CancelledError) else CallResult.REFUSED


@dataclass(frozen=True)
class StoreCall:
    """One finished call.

    :param kind: kind of the call.
    :param result: how it ended.
    :param duration_ms: time until it ended, in milliseconds.
    """

    kind: CallKind
    result: CallResult
    duration_ms: float


OnCall = Callable[[StoreCall], None]


@dataclass(frozen=True)
class KeyRead:
    """The state of one key.

    :param value: the value, or ``None`` when the key is absent.
    :param index: index for the next watch of the key and, when the key exists, for
        ``compare_and_swap``.
    """

    value: bytes | None
    index: int


@dataclass(frozen=True)
class StoredEntry:
    """One key of a listing.

    :param key: the key, relative to the tenant.
    :param value: the value.
    :param index: index for ``compare_and_swap``.
    :param session: session that holds the key, or empty.
    """

    key: str
    value: bytes
    index: int
    session: str
