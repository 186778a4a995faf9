"""Answers that the ingress gives without a response from a backend server."""

from __future__ import annotations

from bamboonotch_core.access import AccessReason
from bamboonotch_core.outcomes._reasons import AnswerReason, RefusalReason
from bamboonotch_core.request_effects import Outcome, RespondToCaller
from bamboonotch_core.routing import NoMatchReason

__all__ = ["make_answer"]

STATUS_NOT_RUN = 503
STATUS_DEADLINE = 504
STATUS_UNKNOWN = 502
STATUS_OVER_QUOTA = 429
STATUS_BY_REASON = {
    AccessReason.UNKNOWN_KEY: 401,
    NoMatchReason.NO_ROUTE: 404,
    NoMatchReason.METHOD: 404,
    AnswerReason.KEY_FROM_FUTURE: 400,
    AnswerReason.KEY_MALFORMED: 400,
    AnswerReason.KEY_TOO_OLD: 400,
    AnswerReason.TIMEOUT_MALFORMED: 400,
    AnswerReason.QUOTA_EXHAUSTED: STATUS_OVER_QUOTA,
}
# Statuses of refusals after which a repeat may succeed.
STATUSES_WITH_WAIT = frozenset({STATUS_NOT_RUN, STATUS_OVER_QUOTA})
DEADLINE_REASONS = frozenset({AnswerReason.DEADLINE, RefusalReason.DEADLINE})


def make_answer(
    request_id: str, outcome: Outcome, reason: str, retry_after_ms: int
) -> RespondToCaller:
    """Make the answer that tells a caller the outcome of a request.

    :param outcome: ``NOT_RUN`` or ``UNKNOWN``.
    :param reason: a value of ``AnswerReason``, ``AccessReason``, ``RefusalReason`` or
        ``NoMatchReason``.
    :param retry_after_ms: wait before a repeat, in milliseconds; sent with statuses 429 and
        503 only.
    :returns: the effect with the HTTP status that belongs to the outcome and the reason.
    """
    if outcome is Outcome.UNKNOWN:
        status = STATUS_DEADLINE if reason in DEADLINE_REASONS else STATUS_UNKNOWN
        return RespondToCaller(request_id, outcome, reason, status, 0)
    status = STATUS_BY_REASON.get(reason, STATUS_NOT_RUN)
    sent_retry_after_ms = retry_after_ms if status in STATUSES_WITH_WAIT else 0
    return RespondToCaller(request_id, outcome, reason, status, sent_retry_after_ms)
