"""Token bucket that keeps retries to a share of the requests of a service.

A bucket starts with what the settings say and gains a share of one with each answered request, so
that since the start of the process the retries exceed that share by that start at most. Requests
that fail earn nothing: with every backend server failing, a bucket that all requests fill would
allow retries at each level of a call tree, and every retry would run the tree below it again.

Where the installation bounds the retries of all nodes together, each node takes its part of the
bound.
"""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.outcomes._state import OutcomeState
from bamboonotch_core.routing import RoutingTable, replace_fields
from bamboonotch_core.settings import RequestSettings

__all__ = ["Budget", "earn_token", "make_budget", "take_token"]

MAX_TOKENS = 5.0  # about what one ingress has in flight at one owner when that owner dies
TOKEN_COST = 1.0
ROUNDING = 1e-9  # ten times a tenth of a token must count as one
# Of a bound over all nodes. The rest is for calls of runs that were repeated themselves, and for
# nodes that restart with a new bucket.
FLEET_SHARE = 0.75


@dataclass(frozen=True)
class Budget:
    """How a bucket is filled.

    :param ratio: tokens for each request.
    :param initial: tokens at the start.
    :param limit: most tokens held.
    """

    ratio: float
    initial: float
    limit: float


def make_budget(settings: RequestSettings, nodes: int) -> Budget:
    """Return how the buckets of a node are filled.

    :param settings: section ``[requests]``.
    :param nodes: nodes that make retries.
    """
    ratio, limit = settings.retry_budget_ratio, MAX_TOKENS
    if settings.fleet_retry_ratio:
        ratio = min(ratio, FLEET_SHARE * settings.fleet_retry_ratio)
    if settings.fleet_retry_slack:
        limit = min(limit, FLEET_SHARE * settings.fleet_retry_slack / max(1, nodes))
    return Budget(ratio, min(settings.retry_budget_initial, limit), limit)


def _budget(state: OutcomeState, table: RoutingTable) -> Budget:
    # Each node has one backend server, so owners stand for nodes.
    return make_budget(state.settings.requests, table.owner_count)


def earn_token(state: OutcomeState, service: str, table: RoutingTable) -> Map[str, float]:
    """Return the tokens with the share that a request earns.

    :param state: the state.
    :param service: service of the request.
    :param table: the routing table.
    """
    budget = _budget(state, table)
    tokens = state.tokens.get(service, budget.initial)
    if tokens >= budget.limit:
        return state.tokens
    return state.tokens.set(service, min(budget.limit, tokens + budget.ratio))


def take_token(state: OutcomeState, service: str, table: RoutingTable) -> OutcomeState | None:
    """Take the token for one retry, or return ``None`` when there is none.

    :param state: the state.
    :param service: service of the request.
    :param table: the routing table.
    """
    tokens = state.tokens.get(service, _budget(state, table).initial)
    if tokens + ROUNDING < TOKEN_COST:
        return None
    return replace_fields(state, tokens=state.tokens.set(service, max(0.0, tokens - TOKEN_COST)))
