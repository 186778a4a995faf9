"""Where the nodes of a fleet are and which backend servers they serve."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = [
    "HIMAL_THALI",
    "MKAA_BORA",
    "DataCentre",
    "Layout",
    "NodePlace",
    "ServicePlan",
    "make_uniform_layout",
]


@dataclass(frozen=True)
class DataCentre:
    """A data centre and its region.

    :param name: its name.
    :param region: its region.
    """

    name: str
    region: str


@dataclass(frozen=True)
class ServicePlan:
    """A service and its backend servers.

    :param name: name of the service.
    :param backend_servers: how many.
    :param slots: slots of each.
    """

    name: str
    backend_servers: int
    slots: int


@dataclass(frozen=True)
class NodePlace:
    """One node and the backend server beside it.

    :param node_id: id of the node.
    :param data_centre: where it is.
    :param service: service of its backend server.
    :param slots: slots of its backend server.
    """

    node_id: str
    data_centre: DataCentre
    service: str
    slots: int


@dataclass(frozen=True)
class Layout:
    """A whole fleet.

    :param tenant: the customer.
    :param data_centres: the data centres; the store is in the region of the first.
    :param services: the services.
    :param document: the first configuration of the fleet.
    """

    tenant: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[ServicePlan, ...]
    document: Mapping[str, Any]

    @property
    def store_region(self) -> str:
        """Region that the store is in."""
        return self.data_centres[0].region

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions, in the order of their first data centre."""
        return tuple(dict.fromkeys(centre.region for centre in self.data_centres))

    def places(self) -> tuple[NodePlace, ...]:
        """Spread the backend servers of each service over the data centres."""
        places = []
        offset = 0
        for service in self.services:
            for number in range(service.backend_servers):
                centre = self.data_centres[(offset + number) % len(self.data_centres)]
                node_id = f"{service.name}-{number + 1}"
                places.append(NodePlace(node_id, centre, service.name, service.slots))
            offset += service.backend_servers
        return tuple(places)


def _request_class(priority: int, queue_limit: int, queue_timeout_ms: int) -> dict[str, int]:
    return {
        "priority": priority,
        "queue_limit": queue_limit,
        "queue_timeout_ms": queue_timeout_ms,
    }


def _route(
    path_prefix: str,
    methods: Iterable[str],
    service: str,
    request_class: str,
    *,
    idempotent: bool,
    timeout_ms: int = 2000,
) -> dict[str, Any]:
    return {
        "path_prefix": path_prefix,
        "methods": list(methods),
        "service": service,
        "request_class": request_class,
        "idempotent": idempotent,
        "timeout_ms": timeout_ms,
    }


def _services(tenant: str, plans: Iterable[ServicePlan]) -> dict[str, Any]:
    return {
        plan.name: {"tenant": tenant, "slots_per_backend_server": plan.slots, "ramp_ms": 0}
        for plan in plans
    }


_CLASSES = {
    "order-placement": _request_class(0, 64, 1000),
    "stock-check": _request_class(1, 64, 500),
    "manifest": _request_class(2, 64, 500),
    "menu-read": _request_class(3, 32, 300),
    "plan-download": _request_class(4, 8, 200),
}

_HIMAL_SERVICES = (
    ServicePlan("menu", 5, 6),
    ServicePlan("orders", 4, 6),
    ServicePlan("plans", 4, 6),
)
_MKAA_SERVICES = (
    ServicePlan("stock", 5, 9),
    ServicePlan("order-taking", 4, 9),
    ServicePlan("manifests", 4, 9),
)

HIMAL_THALI = Layout(
    tenant="himal-thali",
    data_centres=(
        DataCentre("bagmati-1", "bagmati"),
        DataCentre("bagmati-2", "bagmati"),
        DataCentre("gandaki-1", "gandaki"),
        DataCentre("gandaki-2", "gandaki"),
    ),
    services=_HIMAL_SERVICES,
    document={
        "classes": _CLASSES,
        "services": _services("himal-thali", _HIMAL_SERVICES),
        "routes": {
            "read-menu": _route("/menu", ["GET"], "menu", "menu-read", idempotent=True),
            "check-nutrients": _route(
                "/menu/nutrients", ["GET"], "menu", "stock-check", idempotent=True
            ),
            "place-order": _route(
                "/orders", ["POST"], "orders", "order-placement", idempotent=False
            ),
            "download-plan": _route("/plans", ["GET"], "plans", "plan-download", idempotent=True),
        },
    },
)

MKAA_BORA = Layout(
    tenant="mkaa-bora",
    data_centres=(
        DataCentre("dar-es-salaam-1", "dar-es-salaam"),
        DataCentre("dar-es-salaam-2", "dar-es-salaam"),
        DataCentre("arusha-1", "arusha"),
        DataCentre("arusha-2", "arusha"),
    ),
    services=_MKAA_SERVICES,
    document={
        "classes": _CLASSES,
        "services": _services("mkaa-bora", _MKAA_SERVICES),
        "routes": {
            "check-stock": _route("/stock", ["GET"], "stock", "stock-check", idempotent=True),
            "place-order": _route(
                "/orders", ["POST"], "order-taking", "order-placement", idempotent=False
            ),
            "fetch-manifest": _route(
                "/manifests", ["GET"], "manifests", "manifest", idempotent=True
            ),
        },
    },
)


def make_uniform_layout(nodes: int, regions: int = 2, data_centres_per_region: int = 2) -> Layout:
    """Return a fleet of a given size with the services of Himal Thali.

    :param nodes: number of nodes.
    :param regions: number of regions.
    :param data_centres_per_region: data centres of each region.
    """
    centres = tuple(
        DataCentre(f"region-{region}-dc-{centre}", f"region-{region}")
        for region in range(1, regions + 1)
        for centre in range(1, data_centres_per_region + 1)
    )
    share, rest = divmod(nodes, len(_HIMAL_SERVICES))
    services = tuple(
        ServicePlan(plan.name, share + (1 if index < rest else 0), plan.slots)
        for index, plan in enumerate(_HIMAL_SERVICES)
    )
    return Layout(HIMAL_THALI.tenant, centres, services, HIMAL_THALI.document)
