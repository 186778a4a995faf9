"""Answers that the ingress gives without a response of a backend server."""

from __future__ import annotations

from bamboonotch_core.outcomes._reasons import AnswerReason, RefusalReason
from bamboonotch_core.request_effects import Outcome, RespondToCaller
from bamboonotch_core.routing import NoMatchReason

__all__ = ["answer"]

RETRY_AFTER_MS = 1000  # the header counts whole seconds
STATUS_NOT_RUN = 503
STATUS_DEADLINE = 504
STATUS_UNKNOWN = 502
STATUS_BY_REASON = {
    NoMatchReason.NO_ROUTE: 404,
    NoMatchReason.METHOD: 404,
    AnswerReason.KEY_FROM_FUTURE: 400,
    AnswerReason.KEY_MALFORMED: 400,
    AnswerReason.KEY_TOO_OLD: 400,
    AnswerReason.TIMEOUT_MALFORMED: 400,
}
DEADLINE_REASONS = frozenset({AnswerReason.DEADLINE, RefusalReason.DEADLINE})


def answer(request_id: str, outcome: Outcome, reason: str) -> RespondToCaller:
    """Make the answer for an outcome.

    :param request_id: the request.
    :param outcome: ``NOT_RUN`` or ``UNKNOWN``.
    :param reason: why.
    """
    if outcome is Outcome.UNKNOWN:
        status = STATUS_DEADLINE if reason in DEADLINE_REASONS else STATUS_UNKNOWN
        return RespondToCaller(request_id, outcome, reason, status, 0)
    status = STATUS_BY_REASON.get(reason, STATUS_NOT_RUN)
    retry_after_ms = RETRY_AFTER_MS if status == STATUS_NOT_RUN else 0
    return RespondToCaller(request_id, outcome, reason, status, retry_after_ms)
