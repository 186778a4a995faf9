"""Explanation of which route and owners a request would get, and why."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.routing._candidates import (
    CandidateSet,
    Distance,
    distance_of,
    select_candidates,
)
from bamboonotch_core.routing._choice import Eligibility, OwnerRating, rate_candidates
from bamboonotch_core.routing._index import matching_prefixes, path_of
from bamboonotch_core.routing._owner_view import OwnerView
from bamboonotch_core.routing._table import (
    NoMatch,
    RouteMatch,
    RoutingTable,
    ServiceOwners,
    match_route,
)
from bamboonotch_core.settings import NodeSettings

__all__ = ["ConsideredRoute", "ExplainedOwner", "RouteExplanation", "explain_route"]

DISTANCE_NAMES = {
    Distance.SAME_VM: "same-vm",
    Distance.DATA_CENTRE: "same-data-centre",
    Distance.REGION: "same-region",
    Distance.FAR: "other-region",
}
GROUP_NAMES = ("near", "region", "near-busy", "far", "near-overloaded", "far-overloaded")
OUTSIDE_SUBSET = "outside-subset"
NO_SLOTS = "no-slots"


@dataclass(frozen=True)
class ConsideredRoute:
    """A route whose prefix matches the path.

    :param path_prefix: host of the route, if it has one, followed by its path prefix.
    :param verdict: ``chosen``, ``shorter-prefix`` or ``other-method``.
    """

    name: str
    path_prefix: str
    verdict: str


@dataclass(frozen=True)
class ExplainedOwner:
    """An owner of the service, used or left out.

    :param distance: ``same-vm``, ``same-data-centre``, ``same-region`` or ``other-region``; empty
        for a member that is not a usable owner.
    :param group: its group by distance and utilisation, or empty when it is left out.
    :param reason: why it is left out, or empty.
    :param cost: expected cost that the choice compares, in milliseconds; 0 outside the subset.
    :param load: requests in its slots and its queue, as it last reported.
    :param in_flight: attempts that this node sent to it and that have not ended.
    :param slots: requests that its backend server runs at once.
    :param ejected_until_ms: end of its ejection on the monotonic clock, in milliseconds, or 0.
    :param rate_limit_per_s: requests a second that its backend server takes; ``None`` for no limit.
    """

    node_id: str
    distance: str
    group: str
    reason: str
    cost: float
    load: int
    in_flight: int
    slots: int
    ejected_until_ms: float
    rate_limit_per_s: float | None = None


@dataclass(frozen=True)
class RouteExplanation:
    """The route and the owners that a request would get.

    :param version: version of the configuration.
    :param serving: whether the node serves any requests.
    :param considered: routes whose prefix matches, longest prefix first.
    :param route: name of the chosen route, or empty.
    :param service: its service, or empty.
    :param request_class: its class, or empty.
    :param reason: why the request would be refused, or empty.
    :param owners: usable owners of each service of the route, lowest cost first.
    :param left_out: owners that are not used, with the reason.
    """

    version: int
    serving: bool
    considered: tuple[ConsideredRoute, ...]
    route: str
    service: str
    request_class: str
    reason: str
    owners: tuple[ExplainedOwner, ...]
    left_out: tuple[ExplainedOwner, ...]


def _considered_routes(
    table: RoutingTable, method: str, path: str, host: str
) -> tuple[ConsideredRoute, ...]:
    result: list[ConsideredRoute] = []
    chosen = False
    for methods in matching_prefixes(table.index, path_of(path), host):
        routes = {indexed.route.name: indexed.route for indexed in methods.values()}
        for name in sorted(routes):
            route = routes[name]
            verdict = "shorter-prefix" if chosen else "chosen"
            if method not in route.methods:
                verdict = "other-method"
            result.append(ConsideredRoute(name, route.host + route.path_prefix, verdict))
        chosen = chosen or method in methods
    return tuple(result)


def _explain_rating(rating: OwnerRating, distance: int) -> ExplainedOwner:
    usable = rating.eligibility in (Eligibility.USABLE, Eligibility.TRIAL_DUE)
    return ExplainedOwner(
        node_id=rating.owner.node_id,
        distance=DISTANCE_NAMES[distance],
        group=GROUP_NAMES[rating.preference_group] if usable else "",
        reason="" if usable else rating.eligibility.value,
        cost=round(rating.cost_ms, 3),
        load=rating.view.load,
        in_flight=rating.view.in_flight,
        slots=rating.owner.slots,
        ejected_until_ms=rating.view.ejected_until_ms,
        rate_limit_per_s=rating.owner.rate_limit_per_s,
    )


def _explain_left_out(node_id: str, distance: str, reason: str, slots: int) -> ExplainedOwner:
    return ExplainedOwner(node_id, distance, "", reason, 0.0, 0, 0, slots, 0.0)


def _explain_outside_subset(
    settings: NodeSettings, source: ServiceOwners, candidates: CandidateSet
) -> list[ExplainedOwner]:
    """Explain the owners outside the subset, and the members that are not usable owners."""
    used = {owner.node_id for owner in candidates.owners}
    usable = {owner.node_id for owner in source.owners}
    result = [
        _explain_left_out(
            owner.node_id,
            DISTANCE_NAMES[distance_of(settings, owner)],
            OUTSIDE_SUBSET,
            owner.slots,
        )
        for owner in source.owners
        if owner.node_id not in used
    ]
    result += [
        _explain_left_out(
            record.node_id, "", record.state.value if record.slots else NO_SLOTS, record.slots
        )
        for record in source.records
        if record.node_id not in usable
    ]
    return result


def explain_route(
    table: RoutingTable,
    method: str,
    path: str,
    settings: NodeSettings,
    views: Mapping[str, OwnerView] | None = None,
    now_ms: float = 0.0,
    host: str = "",
    subset_sizes: Mapping[str, int] | None = None,
) -> RouteExplanation:
    """Explain which route and owners a request would get.

    :param path: request path, with or without query.
    :param settings: this node's settings.
    :param views: what this node knows of owners, by node id; ``None`` for nothing.
    :param now_ms: monotonic clock, in milliseconds.
    :param host: host of the request, in lower case and without port.
    :param subset_sizes: how many owners of a service may be used, by service; ``None`` for the
        setting.
    """
    considered = _considered_routes(table, method, path, host)
    match = match_route(table, method, path, host)
    if isinstance(match, NoMatch):
        reason = match.reason if table.serving else "not-serving"
        return RouteExplanation(
            table.version, table.serving, considered, "", "", "", reason, (), ()
        )
    owners, left_out = _explain_owners(
        match, settings, views or Map(), now_ms, subset_sizes or Map()
    )
    reason = match.inactive_reason or ("" if owners else "no-owner-available")
    return RouteExplanation(
        version=table.version,
        serving=table.serving,
        considered=considered,
        route=match.route.name,
        service=",".join(match.route.services),
        request_class=match.request_class.name,
        reason=reason,
        owners=owners,
        left_out=left_out,
    )


def _explain_owners(
    match: RouteMatch,
    settings: NodeSettings,
    views: Mapping[str, OwnerView],
    now_ms: float,
    subset_sizes: Mapping[str, int],
) -> tuple[tuple[ExplainedOwner, ...], tuple[ExplainedOwner, ...]]:
    usable: list[ExplainedOwner] = []
    left_out: list[ExplainedOwner] = []
    for source in match.owners:
        candidates = select_candidates(settings, source, subset_sizes.get(source.service, 0))
        explained_candidates = _explain_candidates(match, candidates, settings, views, now_ms)
        usable += [owner for owner in explained_candidates if not owner.reason]
        left_out += [owner for owner in explained_candidates if owner.reason]
        left_out += _explain_outside_subset(settings, source, candidates)
    return tuple(usable), tuple(left_out)


def _explain_candidates(
    match: RouteMatch,
    candidates: CandidateSet,
    settings: NodeSettings,
    views: Mapping[str, OwnerView],
    now_ms: float,
) -> list[ExplainedOwner]:
    ratings = rate_candidates(
        candidates, views, settings.requests, now_ms, idempotent=match.route.idempotent
    )
    pairs = list(zip(ratings, candidates.distances, strict=True))
    pairs.sort(key=lambda pair: (pair[0].cost_ms, pair[0].owner.node_id))
    return [_explain_rating(rating, distance) for rating, distance in pairs]
