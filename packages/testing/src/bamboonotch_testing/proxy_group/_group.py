"""A group of proxies with labels."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bamboonotch_testing.fault_proxy import Direction, FaultProxy

__all__ = ["ProxyGroup", "ProxyPlan"]

FAULTS = ("cut", "freeze", "refuse", "partition", "delay", "clear")


@dataclass(frozen=True)
class ProxyPlan:
    """One proxy.

    :param source: region of the processes that connect.
    :param target: node id of the server, or ``store``.
    :param target_region: region of the server.
    :param listen: ``ip:port`` of the proxy.
    :param address: ``ip:port`` of the server.
    """

    source: str
    target: str
    target_region: str
    listen: str
    address: str

    def matches(self, labels: dict[str, str]) -> bool:
        """Tell whether the proxy has all the labels.

        :param labels: values by name.
        """
        return all(getattr(self, name) == value for name, value in labels.items())


class ProxyGroup:
    """Runs the proxies and injects faults into chosen ones.

    :param reactor: the reactor.
    :param plans: the proxies.
    """

    def __init__(self, reactor: Any, plans: Iterable[ProxyPlan]) -> None:
        self._proxies = [(plan, FaultProxy(reactor, plan.address, plan.listen)) for plan in plans]

    def describe(self) -> list[dict[str, Any]]:
        """Return the labels and counters of every proxy."""
        return [
            {
                "source": plan.source,
                "target": plan.target,
                "target_region": plan.target_region,
                **proxy.describe(),
            }
            for plan, proxy in self._proxies
        ]

    def inject(self, labels: dict[str, str], fault: str, delay_ms: float = 0.0) -> int:
        """Inject a fault into every proxy with the labels, and return how many there are.

        :param labels: values by name.
        :param fault: one of ``FAULTS``.
        :param delay_ms: the delay each way of fault ``delay``, in milliseconds.
        :raises ValueError: when the fault or a label is not known.
        """
        if fault not in FAULTS:
            raise ValueError(f"fault {fault!r} is not one of {', '.join(FAULTS)}")
        unknown = set(labels) - {"source", "target", "target_region"}
        if unknown:
            raise ValueError(f"labels {sorted(unknown)} are not known")
        chosen = [proxy for plan, proxy in self._proxies if plan.matches(labels)]
        for proxy in chosen:
            _inject(proxy, fault, delay_ms)
        return len(chosen)


def _inject(proxy: FaultProxy, fault: str, delay_ms: float) -> None:
    if fault == "delay":
        for direction in Direction:
            proxy.delay(direction, delay_ms)
    elif fault in ("refuse", "partition"):
        asyncio.ensure_future(proxy.refuse())
        if fault == "partition":
            proxy.cut()
    else:
        getattr(proxy, fault)()
