"""Versions of the configuration that a run uses."""

from __future__ import annotations

from typing import Any

from bamboonotch_testing.platform_store import CONFIGURED_SERVICES, make_configuration, make_rule

__all__ = ["MAX_ATTEMPTS", "TIMEOUT_S", "make_version"]

TIMEOUT_S = 1.5
MAX_ATTEMPTS = 2
# Longer than the pauses of a caller, so that each keeps its connections.
IDLE_TIMEOUT_S = 20


def make_version(version: int) -> bytes:
    """Return a version as the operator writes it; each version adds a rule.

    :param version: its number.
    """
    first, second = CONFIGURED_SERVICES
    rules = [
        _rule("read", "safe", first),
        _rule("slow", "safe", second),
        _rule("order", "unsafe", first),
        _rule("page", "download", second),
        *(_rule(f"added-{number}", "safe", second) for number in range(1, version + 1)),
    ]
    return make_configuration(f"r{version}", *rules, idle_timeout_s=IDLE_TIMEOUT_S)


def _rule(name: str, kind: str, service: str) -> dict[str, Any]:
    rule = make_rule(
        name=name,
        match={"prefix": f"/{name}/"},
        action={"service": service, "timeout-s": TIMEOUT_S, "max-attempts": MAX_ATTEMPTS},
    )
    return rule | {"route-kind": kind}
