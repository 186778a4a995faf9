"""Base of the integration tests."""

from __future__ import annotations

import threading
import time
import unittest
import uuid
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, ClassVar

from bamboonotch_testing.caller import make_key
from bamboonotch_testing.fleet import (
    Fleet,
    HttpAnswer,
    Layout,
    NodeHandle,
    make_uniform_layout,
    wait_until,
)

__all__ = [
    "CONVERGENCE_S",
    "START_S",
    "FleetCase",
    "call_in_threads",
    "new_key",
    "timeout_patch",
]

# Stated target: an accepted version is in force everywhere within 5 s.
CONVERGENCE_S = 5.0
START_S = 40.0
LOG_CHARACTERS = 4000


def new_key() -> str:
    """Return an idempotency key of now."""
    return make_key(int(time.time() * 1000), Random(uuid.uuid4().int))


def timeout_patch(timeout_ms: int) -> list[dict[str, Any]]:
    """Return a patch that changes one value.

    :param timeout_ms: the value, in milliseconds.
    """
    return [{"op": "replace", "path": "/routes/read-menu/timeout_ms", "value": timeout_ms}]


def call_in_threads(calls: Iterable[Callable[[], Any]]) -> list[Any]:
    """Make calls at the same time and return their results, or the exceptions raised, in order.

    :param calls: the calls.
    """
    functions = list(calls)
    results: list[Any] = [None] * len(functions)

    def run(index: int) -> None:
        try:
            results[index] = functions[index]()
        except Exception as error:  # noqa: BLE001
            results[index] = error

    threads = [threading.Thread(target=run, args=(index,)) for index in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


class FleetCase(unittest.TestCase):
    """Starts a fleet for each test, with its first configuration in force."""

    layout: ClassVar[Layout] = make_uniform_layout(6)
    proxied: ClassVar[bool] = False
    settings: ClassVar[dict[str, dict[str, str]]] = {}

    def setUp(self) -> None:
        """Start the fleet and wait until every node serves and knows every other one."""
        self.fleet = Fleet(self.layout, self.settings, proxied=self.proxied)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.start()
        self.version = self.fleet.submit_first_document()
        self.fleet.wait_for_version(self.version, START_S)
        self.fleet.wait_for_members(START_S)

    def submit(self, timeout_ms: int) -> int:
        """Submit a version that changes one value and return it.

        :param timeout_ms: the value, in milliseconds.
        """
        self.version = self.fleet.submit(self.version, timeout_patch(timeout_ms))
        return self.version

    def in_region(self, region: str) -> tuple[NodeHandle, ...]:
        """Return the nodes of a region.

        :param region: the region.
        """
        return tuple(node for node in self.fleet.nodes if node.place.data_centre.region == region)

    def others(self, *excluded: NodeHandle) -> tuple[NodeHandle, ...]:
        """Return all nodes but some.

        :param excluded: the nodes left out.
        """
        names = {node.node_id for node in excluded}
        return tuple(node for node in self.fleet.nodes if node.node_id not in names)

    def place_order(self, node: NodeHandle, key: str = "", timeout_s: float = 15.0) -> HttpAnswer:
        """Place an order through a node.

        :param node: the node.
        :param key: idempotency key, or empty for none.
        :param timeout_s: longest wait, in seconds.
        """
        headers = {"Idempotency-Key": key} if key else {}
        return node.request("POST", "/orders", headers=headers, timeout_s=timeout_s)

    def runs_of_key(self, key: str, nodes: Sequence[NodeHandle] | None = None) -> int:
        """Count how often backend servers ran an order.

        :param key: its idempotency key.
        :param nodes: whose backend servers; all of the service by default.
        """
        chosen = nodes or self.fleet.of_service("orders")
        return sum(run["idempotency_key"] == key for node in chosen for run in node.runs())

    def wait_for_state(
        self, observer: NodeHandle, node: NodeHandle, state: str, timeout_s: float
    ) -> None:
        """Wait until a node knows another one in a state.

        :param observer: the node asked.
        :param node: the node asked about.
        :param state: the state.
        :param timeout_s: longest wait, in seconds.
        """
        wait_until(
            f"{observer.node_id} knows {node.node_id} as {state}",
            lambda: observer.members().get(node.node_id, {}).get("state") == state,
            timeout_s,
        )

    def _callTestMethod(self, method: Callable[[], None]) -> None:  # noqa: N802
        """Run the test, and print the nodes' logs when it fails."""
        try:
            method()
        except BaseException:
            for node in self.fleet.nodes:
                print(f"--- {node.node_id}\n{node.node.read_log()[-LOG_CHARACTERS:]}")
            raise
