"""Access to workspaces at the arrival of a request."""

from __future__ import annotations

from bamboonotch_core.access import AccessGranted, AccessRefused, decide_access
from bamboonotch_core.configuration import Route
from bamboonotch_core.outcomes._answers import make_answer
from bamboonotch_core.outcomes._state import OutcomeState
from bamboonotch_core.request_effects import Outcome, RequestReport
from bamboonotch_core.request_events import RequestArrived
from bamboonotch_core.routing import RoutingTable
from bamboonotch_core.transition import Transition

__all__ = ["check_access", "refuse_access"]


def check_access(
    state: OutcomeState, event: RequestArrived, table: RoutingTable, route: Route
) -> AccessGranted | AccessRefused:
    """Decide for which workspace a request runs, or why it does not.

    :param table: the routing table in use.
    :param route: the route of the request.
    """
    return decide_access(
        table.configuration,
        route,
        event.key_digest,
        state.knowledge.age_ms(event.now_ms),
        state.settings.access,
        state.knowledge.newer_exists,
    )


def refuse_access(
    state: OutcomeState,
    event: RequestArrived,
    table: RoutingTable,
    route: Route,
    refused: AccessRefused,
) -> Transition[OutcomeState]:
    """Answer a request whose key does not permit it to run, and report what decided.

    :param table: the routing table in use.
    :param route: the route of the request.
    :param refused: the decision.
    """
    retry_after_ms = state.settings.requests.retry_after_ms
    answer = make_answer(event.request_id, Outcome.NOT_RUN, refused.reason, retry_after_ms)
    fields = (
        ("request", event.request_id),
        ("route", route.name),
        ("reason", refused.reason),
        ("with_key", bool(event.key_digest)),
        ("knowledge_age_ms", state.knowledge.age_ms(event.now_ms)),
        ("newer_exists", state.knowledge.newer_exists),
        ("version", table.version),
    )
    return Transition(state, (RequestReport("access-refused", fields, refused.reason), answer))
