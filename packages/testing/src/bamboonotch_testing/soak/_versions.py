"""Versions of the configuration that a run uses."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["MAX_ATTEMPTS", "SERVICES", "TIMEOUT_S", "make_version"]

SERVICES = ("huvo11a", "kafi81c")
TIMEOUT_S = 1.5
MAX_ATTEMPTS = 2
HOST = "jepu9.example"


def make_version(version: int) -> bytes:
    """Return a version as the operator writes it; each version adds a rule.

    :param version: its number.
    """
    rules = [
        _rule("read", "/read/", "safe", SERVICES[0]),
        _rule("slow", "/slow/", "safe", SERVICES[1]),
        _rule("order", "/order/", "unsafe", SERVICES[0]),
        _rule("page", "/page/", "download", SERVICES[1]),
        *(
            _rule(f"added-{number}", f"/added-{number}/", "safe", SERVICES[1])
            for number in range(1, version + 1)
        ),
    ]
    names = [{"name": name, "health-path": "/health", "max-connections": 130} for name in SERVICES]
    value = {
        "version": f"r{version}",
        "limits": {"max-header-bytes": 16384, "header-timeout-s": 3, "idle-timeout-s": 20},
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": names,
    }
    return json.dumps(value).encode()


def _rule(name: str, prefix: str, kind: str, service: str) -> dict[str, Any]:
    return {
        "name": name,
        "route-kind": kind,
        "target-latency-s": 0.4,
        "priority": 2,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout-s": TIMEOUT_S, "max-attempts": MAX_ATTEMPTS},
    }
