"""Token buckets that limit retries to a share of the requests of each service.

A bucket starts with the number of tokens in the settings and gains a fraction of a token with each
answered request. Since the start of the process, retries exceed that fraction of the requests by
the initial tokens at most. Failed requests earn no tokens. If they did, then with every backend
server failing the buckets would allow retries at each level of a call tree, and every retry would
run the tree below it again.

When the installation bounds the retries of all nodes together, each node uses its part of the
bound.
"""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.outcomes._state import OutcomeState
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.routing import RoutingTable
from bamboonotch_core.settings import RequestSettings

__all__ = ["RetryBudget", "earn_token", "make_retry_budget", "take_token"]

MAX_TOKENS = 5.0  # about what one ingress has in flight at one owner when that owner fails
RETRY_COST_TOKENS = 1.0
ROUNDING_TOLERANCE_TOKENS = 1e-9  # ten additions of a tenth of a token must count as one token
# Share of the bound on the retries of all nodes. The rest covers the calls that repeated runs make
# to other services, and nodes that restart with a new bucket.
FLEET_BOUND_SHARE = 0.75


@dataclass(frozen=True)
class RetryBudget:
    """How the buckets of a node are filled.

    :param ratio: tokens earned with each answered request.
    :param initial: tokens in a new bucket.
    :param limit: largest number of tokens in a bucket.
    """

    ratio: float
    initial: float
    limit: float


def make_retry_budget(settings: RequestSettings, nodes: int) -> RetryBudget:
    """Make the retry budget of a node.

    :param settings: section ``[requests]``.
    :param nodes: number of nodes that share the bound of the installation; 0 counts as 1.
    :returns: the budget within the settings of the node and its part of the bound.
    """
    ratio, limit = settings.retry_budget_ratio, MAX_TOKENS
    if settings.fleet_retry_ratio:
        ratio = min(ratio, FLEET_BOUND_SHARE * settings.fleet_retry_ratio)
    if settings.fleet_retry_slack:
        limit = min(limit, FLEET_BOUND_SHARE * settings.fleet_retry_slack / max(1, nodes))
    return RetryBudget(ratio, min(settings.retry_budget_initial, limit), limit)


def _retry_budget(state: OutcomeState, table: RoutingTable) -> RetryBudget:
    # Each node has one backend server, so the number of owners is the number of nodes.
    return make_retry_budget(state.settings.requests, table.owner_count)


def earn_token(state: OutcomeState, service: str, table: RoutingTable) -> Map[str, float]:
    """Add the fraction of a token that an answered request earns.

    :param service: service of the request.
    :returns: the tokens of all services; the same object when the bucket is full.
    """
    budget = _retry_budget(state, table)
    retry_tokens = state.retry_tokens.get(service, budget.initial)
    if retry_tokens >= budget.limit:
        return state.retry_tokens
    return state.retry_tokens.set(service, min(budget.limit, retry_tokens + budget.ratio))


def take_token(state: OutcomeState, service: str, table: RoutingTable) -> OutcomeState | None:
    """Take the token for one retry.

    :param service: service of the request.
    :returns: the state without the token, or ``None`` when the bucket holds less than one token.
    """
    retry_tokens = state.retry_tokens.get(service, _retry_budget(state, table).initial)
    if retry_tokens + ROUNDING_TOLERANCE_TOKENS < RETRY_COST_TOKENS:
        return None
    return replace_fields(
        state,
        retry_tokens=state.retry_tokens.set(service, max(0.0, retry_tokens - RETRY_COST_TOKENS)),
    )
