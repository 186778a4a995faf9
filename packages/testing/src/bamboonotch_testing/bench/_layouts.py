"""Layouts with one service under load and a node beside it where calls enter."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from bamboonotch_testing.fleet import HIMAL_THALI, DataCentre, Layout, ServicePlan

__all__ = ["CLASS_PATHS", "make_latency_layout", "make_overload_layout"]

CLASS_PATHS = {
    "order-placement": ("POST", "/orders"),
    "stock-check": ("GET", "/stock"),
    "manifest": ("GET", "/manifests"),
    "menu-read": ("GET", "/menu"),
    "plan-download": ("GET", "/plans"),
}
CENTRE = DataCentre("bagmati-1", "bagmati")
WITHOUT_POLICY = {"all": {"priority": 0, "queue_limit": 512, "queue_timeout_ms": 2000}}


def make_latency_layout(slots: int) -> Layout:
    """Return one data centre with one backend server for menus and one for orders.

    :param slots: slots of each.
    """
    services = (ServicePlan("menu", 1, slots), ServicePlan("orders", 1, slots))
    document: dict[str, Any] = {
        "classes": HIMAL_THALI.document["classes"],
        "services": _describe_services(services),
        "routes": {
            name: route
            for name, route in HIMAL_THALI.document["routes"].items()
            if route["service"] in ("menu", "orders")
        },
    }
    return replace(HIMAL_THALI, data_centres=(CENTRE,), services=services, document=document)


def make_overload_layout(backend_servers: int, slots: int, *, policy: bool) -> Layout:
    """Return one service that takes every class, and one node of another service.

    :param backend_servers: backend servers of the service.
    :param slots: slots of each.
    :param policy: whether the classes differ; without it all calls share one class with a long
        queue.
    """
    services = (ServicePlan("kitchen", backend_servers, slots), ServicePlan("front", 1, 1))
    classes: Mapping[str, Any] = HIMAL_THALI.document["classes"]
    routes = {
        name: {
            "path_prefix": path,
            "methods": [method],
            "service": "kitchen",
            "request_class": name if policy else "all",
            "idempotent": method == "GET",
            "timeout_ms": 2000,
        }
        for name, (method, path) in CLASS_PATHS.items()
    }
    document = {
        "classes": classes if policy else WITHOUT_POLICY,
        "services": _describe_services(services),
        "routes": routes,
    }
    return replace(HIMAL_THALI, data_centres=(CENTRE,), services=services, document=document)


def _describe_services(services: tuple[ServicePlan, ...]) -> dict[str, Any]:
    return {
        plan.name: {
            "tenant": HIMAL_THALI.tenant,
            "slots_per_backend_server": plan.slots,
            "ramp_ms": 0,
        }
        for plan in services
    }
