"""The routing table of a node: an immutable value that is replaced as a whole."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from immutables import Map

from bamboonotch_core.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    RequestClass,
    Route,
)
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.routing._index import RouteIndex, build_index, matching_prefixes, path_of

__all__ = [
    "NOT_SERVING_TABLE",
    "NoMatch",
    "NoMatchReason",
    "Owner",
    "RouteMatch",
    "RoutingTable",
    "ServiceOwners",
    "build_routing_table",
    "match_route",
]

NO_READY_BACKEND_SERVER = "no-ready-backend-server"
USABLE_STATES = frozenset({MemberState.READY, MemberState.SUSPECT})


@dataclass(frozen=True)
class Owner:
    """A node with a ready backend server of a service.

    :param incarnation: incarnation of the node's process.
    :param peer_address: ``ip:port`` that accepts streams of other nodes.
    :param slots: requests that its backend server runs at once.
    :param suspect: whether a neighbour reports that the node does not answer.
    :param rate_limit_per_s: requests a second that its backend server takes; ``None`` for no limit.
    :param software_version: version of its backend server's software, or empty.
    """

    node_id: str
    incarnation: int
    peer_address: str
    region: str
    data_centre: str
    slots: int
    suspect: bool
    rate_limit_per_s: float | None = None
    software_version: str = ""


@dataclass(frozen=True)
class ServiceOwners:
    """The owners of one service.

    :param service: name of the service.
    :param records: the member records that the owners were made from.
    :param owners: the usable owners, in the order of the records.
    """

    service: str
    records: tuple[MemberRecord, ...]
    owners: tuple[Owner, ...]


@dataclass(frozen=True)
class RoutingTable:
    """Routes of a configuration and owners of its services.

    :param version: version of the configuration.
    :param serving: whether the node may serve requests; false until it knows its version.
    :param index: routes of the configuration, by prefix.
    :param services: owners of every service of the configuration.
    """

    version: int
    serving: bool
    configuration: Configuration
    index: RouteIndex
    services: Map[str, ServiceOwners]

    @cached_property
    def owner_count(self) -> int:
        """Number of owners of all services together."""
        return sum(len(service.owners) for service in self.services.values())


@dataclass(frozen=True)
class RouteMatch:
    """The route of a request.

    :param room_share: share of ``max_requests`` at which requests of the class are refused.
    :param inactive_reason: why the route accepts no requests, or empty when it does.
    :param owners: owners of each service of the route.
    """

    route: Route
    request_class: RequestClass
    room_share: float
    inactive_reason: str
    owners: tuple[ServiceOwners, ...]


class NoMatchReason:
    """Why no route matches a request, as sent in the header ``Bamboonotch-Reason``."""

    NO_ROUTE = "no-route"
    METHOD = "no-route-for-method"


@dataclass(frozen=True)
class NoMatch:
    """The result for a request that no route matches.

    :param reason: a value of :class:`NoMatchReason`.
    """

    reason: str


def _make_owner(record: MemberRecord) -> Owner:
    return Owner(
        node_id=record.node_id,
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        region=record.region,
        data_centre=record.data_centre,
        slots=record.slots,
        suspect=record.state is MemberState.SUSPECT,
        rate_limit_per_s=record.rate_limit_per_s,
        software_version=record.software_version,
    )


def _make_service_owners(
    service: str, records: tuple[MemberRecord, ...], previous: RoutingTable | None
) -> ServiceOwners:
    reusable = previous.services.get(service) if previous is not None else None
    if reusable is not None and (reusable.records is records or reusable.records == records):
        return reusable
    usable = (
        _make_owner(record)
        for record in records
        if record.state in USABLE_STATES and record.service == service and record.slots > 0
    )
    return ServiceOwners(service, records, tuple(usable))


def build_routing_table(
    configuration: Configuration,
    version: int,
    members: Mapping[str, tuple[MemberRecord, ...]],
    previous: RoutingTable | None = None,
) -> RoutingTable:
    """Build the routing table for a configuration and the known members.

    :param configuration: the running configuration.
    :param version: version of the configuration.
    :param members: member records by service; those that are not usable are left out.
    :param previous: the table in use, whose unchanged parts are reused; ``None`` for none.
    """
    if previous is not None and previous.configuration is configuration:
        index = previous.index
    else:
        held = None if previous is None else (previous.configuration, previous.index)
        index = build_index(configuration, held)
    services = {
        service: _make_service_owners(service, members.get(service, ()), previous)
        for service in configuration.services
    }
    return RoutingTable(version, True, configuration, index, Map(services))


NOT_SERVING_TABLE = RoutingTable(
    version=0,
    serving=False,
    configuration=EMPTY_CONFIGURATION,
    index=build_index(EMPTY_CONFIGURATION),
    services=Map(),
)
"""The table of a node that does not know its version and therefore refuses every request."""


def match_route(
    table: RoutingTable, method: str, path: str, host: str = ""
) -> RouteMatch | NoMatch:
    """Find the route with the longest matching prefix that accepts the method.

    Routes that belong to the host come before routes that serve every host.

    :param path: request path, with or without query.
    :param host: host of the request, in lower case and without port; empty for none.
    """
    reason = NoMatchReason.NO_ROUTE
    for methods in matching_prefixes(table.index, path_of(path), host):
        found = methods.get(method)
        if found is None:
            reason = NoMatchReason.METHOD
            continue
        owners = tuple(table.services[service] for service in found.route.services)
        ready = any(item.owners for item in owners)
        inactive_reason = "" if ready else NO_READY_BACKEND_SERVER
        return RouteMatch(
            found.route, found.request_class, found.room_share, inactive_reason, owners
        )
    return NoMatch(reason)
