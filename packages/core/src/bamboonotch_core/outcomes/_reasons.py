"""Reasons of refusals and answers, as sent in ``Bamboonotch-Reason``."""

from __future__ import annotations

__all__ = ["BUSY_REASONS", "OVERLOAD_REASONS", "AnswerReason", "RefusalReason"]


class RefusalReason:
    """Reasons for which an owner ended an attempt without a response."""

    BACKEND_NOT_RUN = "backend-not-run"
    BACKEND_LOST = "backend-lost"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_REFUSING = "backend-refusing"
    CANCELLED = "cancelled"
    CLAIM_TAKEN = "claim-taken"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    DEADLINE = "deadline"
    DRAINING = "draining"
    EVICTED = "evicted"
    FENCED = "fenced"
    FORGOTTEN = "forgotten"
    NOT_READY = "not-ready"
    OTHER_INCARNATION = "other-incarnation"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    RATE_LIMITED = "rate-limited"
    ROLLOUT_HELD = "version-held"
    TOO_LATE = "cannot-start-in-time"
    UPLINK_FULL = "cannot-send-in-time"
    UNKNOWN_CLASS = "unknown-class"
    WRONG_SERVICE = "wrong-service"


OVERLOAD_REASONS = frozenset(
    {
        RefusalReason.EVICTED,
        RefusalReason.QUEUE_FULL,
        RefusalReason.QUEUE_TIMEOUT,
        RefusalReason.RATE_LIMITED,
        RefusalReason.TOO_LATE,
        RefusalReason.UPLINK_FULL,
    }
)
"""Reasons of refusals that occur when there is more work than slots, than the link carries or than
the backend server has named."""

BUSY_REASONS = OVERLOAD_REASONS | {
    RefusalReason.BACKEND_NOT_RUN,
    RefusalReason.BACKEND_REFUSING,
    RefusalReason.BACKEND_UNREACHABLE,
}
"""Reasons of refusals after which other owners are preferred for a short time."""


class AnswerReason:
    """Reasons for which the ingress answers a caller without a response from a backend server."""

    CONNECTION_FAILED = "connection-failed"
    DEADLINE = "deadline"
    KEY_FROM_FUTURE = "idempotency-key-from-future"
    KEY_MALFORMED = "malformed-idempotency-key"
    KEY_TOO_OLD = "idempotency-key-too-old"
    NO_OWNER = "no-owner-available"
    NOT_SERVING = "not-serving"
    QUOTA_EXHAUSTED = "quota-exhausted"
    QUOTA_UNCONFIRMED = "quota-unconfirmed"
    OWNER_LOST = "owner-lost"
    RESPONSE_LOST = "response-lost"
    SHUTTING_DOWN = "shutting-down"
    TIMEOUT_MALFORMED = "malformed-timeout"
    TOO_MANY_REQUESTS = "too-many-requests"
