"""Request handling at the ingress node, from arrival to the single final answer."""

from bamboonotch_core.outcomes._attempt_id import (
    AttemptName,
    attempt_owner_incarnation,
    make_attempt_id,
    make_ingress_tag,
    parse_attempt_id,
    supersedes_attempt,
)
from bamboonotch_core.outcomes._reasons import AnswerReason, RefusalReason
from bamboonotch_core.outcomes._reducer import end_requests, reduce_outcomes
from bamboonotch_core.outcomes._state import (
    Attempt,
    OutcomeState,
    PendingRequest,
    Phase,
    make_outcome_state,
)
from bamboonotch_core.request_effects import Outcome

__all__ = [
    "AnswerReason",
    "Attempt",
    "AttemptName",
    "Outcome",
    "OutcomeState",
    "PendingRequest",
    "Phase",
    "RefusalReason",
    "attempt_owner_incarnation",
    "end_requests",
    "make_attempt_id",
    "make_ingress_tag",
    "make_outcome_state",
    "parse_attempt_id",
    "reduce_outcomes",
    "supersedes_attempt",
]
