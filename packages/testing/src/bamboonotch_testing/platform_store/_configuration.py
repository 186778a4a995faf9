"""Configurations as the operator writes them."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["CONFIGURED_HOST", "CONFIGURED_SERVICES", "make_configuration", "make_rule"]

CONFIGURED_HOST = "Jepu9.example"
CONFIGURED_SERVICES = ("huvo11a", "kafi81c")


def make_rule(**changes: Any) -> dict[str, Any]:
    """Return one rule.

    :param changes: fields that differ from those of the usual rule.
    """
    rule = {
        "name": "r-9dnn2ct",
        "route-kind": "safe",
        "target-latency-s": 0.4,
        "priority": 2,
        "match": {"prefix": "/lepu270/"},
        "action": {"service": CONFIGURED_SERVICES[0], "timeout-s": 1.2, "max-attempts": 2},
    }
    return rule | changes


def make_configuration(
    version: str,
    *rules: dict[str, Any],
    idle_timeout_s: float = 0.5,
    tenants: list[dict[str, Any]] | None = None,
) -> bytes:
    """Return a configuration.

    :param version: its version, such as ``r3``.
    :param rules: its rules; one usual rule when there are none.
    :param idle_timeout_s: how long a caller's connection is kept without a request, in seconds.
    :param tenants: its workspaces; none if not given.
    """
    clusters = [
        {"name": name, "health-path": "/health", "max-connections": 130}
        for name in CONFIGURED_SERVICES
    ]
    limits = {
        "max-header-bytes": 16384,
        "header-timeout-s": 3,
        "idle-timeout-s": idle_timeout_s,
    }
    value = {
        "version": version,
        "limits": limits,
        "listeners": [{"host": CONFIGURED_HOST, "rules": list(rules or [make_rule()])}],
        "clusters": clusters,
    }
    if tenants is not None:
        value["tenants"] = tenants
    return json.dumps(value).encode()
