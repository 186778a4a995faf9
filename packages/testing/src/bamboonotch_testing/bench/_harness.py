"""Fleets for measurements, and what is read from them."""

from __future__ import annotations

import contextlib
import json
import signal
import statistics
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from bamboonotch_testing.bench._submitter import AcceptedVersion, Submitter
from bamboonotch_testing.fleet import (
    Fleet,
    Layout,
    ManagedProcess,
    NodeHandle,
    Sample,
    call_json,
    read_metrics,
    sum_by_label,
    wait_until,
)

__all__ = [
    "BenchFleet",
    "MemoryLimitError",
    "Propagation",
    "check_memory",
    "end_children_on_sigterm",
    "each_node",
    "open_bench_fleet",
    "read_memory_mb",
    "start_backends",
]

START_S = 60.0
START_PER_NODE_S = 1.0
SETTLE_S = 60.0
# A node holds 45 MB of its own and 30 MB of pages that all nodes share.
NODE_MB = 50.0
OTHER_MB = 400.0
READERS = 8
Sections = dict[str, dict[str, str]]
Value = TypeVar("Value")


class MemoryLimitError(Exception):
    """The fleet would take more than half of the machine's memory."""


def _read_memory_mb() -> tuple[float, float]:
    """Return the total and the available memory, in MB."""
    values = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, _, rest = line.partition(":")
        values[name] = float(rest.split()[0]) / 1024
    return values["MemTotal"], values["MemAvailable"]


def check_memory(nodes: int, total_mb: float | None = None, free_mb: float | None = None) -> None:
    """Make sure that a fleet fits into half of the memory, with what is used already.

    :param nodes: number of node processes.
    :param total_mb: memory of the machine in MB; read by default.
    :param free_mb: available memory in MB; read by default.
    :raises MemoryLimitError: when it does not fit.
    """
    if total_mb is None or free_mb is None:
        total_mb, free_mb = _read_memory_mb()
    used_mb = total_mb - free_mb
    needed_mb = nodes * NODE_MB + OTHER_MB
    if used_mb + needed_mb > total_mb / 2:
        raise MemoryLimitError(
            f"{nodes} nodes need about {needed_mb:.0f} MB; {used_mb:.0f} MB of "
            f"{total_mb:.0f} MB are used and half is the limit"
        )


def end_children_on_sigterm() -> None:
    """Make SIGTERM leave the open contexts, which end the child processes."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))


def each_node(nodes: Iterable[NodeHandle], read: Callable[[NodeHandle], Value]) -> list[Value]:
    """Read something from many nodes on a few threads.

    :param nodes: the nodes.
    :param read: reads from one node.
    """
    with ThreadPoolExecutor(READERS) as executor:
        return list(executor.map(read, nodes))


@dataclass(frozen=True)
class Propagation:
    """How one version reached the nodes.

    :param version: the version.
    :param node_ms: time from acceptance until each node ran it as the node reports, in
        milliseconds.
    :param observed_ms: time from acceptance until a poll of ``/v1/status`` had seen it on every
        node, in milliseconds; includes the time of the polls.
    :param missing: nodes that did not run it in time.
    """

    version: int
    node_ms: tuple[float, ...]
    observed_ms: float
    missing: tuple[str, ...]


class BenchFleet:
    """A started fleet with its first configuration in force.

    :param fleet: the fleet.
    :param submitter: the only writer of its log.
    :param layout: its layout.
    """

    def __init__(self, fleet: Fleet, submitter: Submitter, layout: Layout) -> None:
        self.fleet = fleet
        self.submitter = submitter
        self.layout = layout

    @property
    def nodes(self) -> tuple[NodeHandle, ...]:
        """The nodes."""
        return self.fleet.nodes

    def in_region(self, region: str) -> tuple[NodeHandle, ...]:
        """Return the nodes of a region.

        :param region: the region.
        """
        return tuple(node for node in self.nodes if node.place.data_centre.region == region)

    def wait_for(
        self, version: int, timeout_s: float, nodes: Sequence[NodeHandle] | None = None
    ) -> tuple[str, ...]:
        """Poll until nodes run a version; returns the ids of those that did not in time.

        :param version: the version.
        :param timeout_s: longest wait, in seconds.
        :param nodes: which; all by default.
        """
        pending = list(nodes or self.nodes)
        deadline = time.monotonic() + timeout_s
        while pending:
            statuses = each_node(pending, NodeHandle.status)
            pending = [
                node
                for node, status in zip(pending, statuses, strict=True)
                if not status.get("serving") or status["running_version"] < version
            ]
            if time.monotonic() > deadline:
                break
        return tuple(node.node_id for node in pending)

    def measure(
        self,
        accepted: AcceptedVersion,
        timeout_s: float,
        nodes: Sequence[NodeHandle] | None = None,
        since_unix_ms: float | None = None,
    ) -> Propagation:
        """Wait until nodes run a version, and read from each when it began to.

        :param accepted: the version.
        :param timeout_s: longest wait, in seconds.
        :param nodes: which; all by default.
        :param since_unix_ms: where times start, when it is not the acceptance.
        """
        start_ms = accepted.accepted_unix_ms if since_unix_ms is None else since_unix_ms
        chosen = nodes or self.nodes
        missing = self.wait_for(accepted.version, timeout_s, chosen)
        observed_ms = time.time() * 1000 - start_ms
        reached = [node for node in chosen if node.node_id not in missing]
        times = each_node(reached, lambda node: _read_running_ms(node, accepted.version))
        # Where a node's event is lost, the poll is an upper bound.
        node_ms = tuple(
            observed_ms if moment is None else max(0.0, moment - start_ms) for moment in times
        )
        return Propagation(accepted.version, node_ms, observed_ms, missing)

    def settle_links(self) -> None:
        """Wait until regions are joined by one stream for each pair.

        Nodes close the streams by which they found each other some seconds after the start; until
        then versions cross to another region several times.

        :raises AssertionError: when it takes too long.
        """
        regions = {node.node_id: node.place.data_centre.region for node in self.nodes}
        count = len(self.layout.regions)

        def read_peers(node: NodeHandle) -> list[frozenset[str]]:
            peers = node.status().get("neighbours", ())
            own = regions[node.node_id]
            return [frozenset((node.node_id, peer)) for peer in peers if regions[peer] != own]

        def settled() -> bool:
            found = {pair for pairs in each_node(self.nodes, read_peers) for pair in pairs}
            return len(found) <= count * (count - 1) // 2

        wait_until("streams between regions settled", settled, SETTLE_S)

    def read_control_bytes(self) -> dict[tuple[str, ...], float]:
        """Return the control bytes sent by all nodes, by link kind and message kind."""
        return sum_by_label(self._read_samples(), "control_bytes_total", "link", "message")

    def read_convergence(self) -> tuple[float, float]:
        """Return the sum, in milliseconds, and the count of the nodes' convergence metric."""
        samples = self._read_samples()
        total_ms, count = (
            sum(sum_by_label(samples, f"convergence_ms_{part}").values())
            for part in ("sum", "count")
        )
        return total_ms, count

    def _read_samples(self) -> list[Sample]:
        found = each_node(self.nodes, lambda node: read_metrics(node.addresses.admin))
        return [sample for samples in found for sample in samples]

    def read_store_calls(self) -> dict[str, float]:
        """Return the store's counted calls by kind."""
        answer: dict[str, Any] = call_json(self.fleet.store_address, "GET", "/control/calls")
        return {name: float(count) for name, count in answer["calls"].items()}

    def read_memory_mb(self) -> float:
        """Return the median resident memory of a node, in MB."""
        return statistics.median(read_memory_mb(node) for node in self.nodes)


def read_memory_mb(node: NodeHandle) -> float:
    """Return the resident memory of a node, in MB.

    :param node: the node.
    """
    status = Path(f"/proc/{node.node.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return float(line.split()[1]) / 1024


def _read_running_ms(node: NodeHandle, version: int) -> float | None:
    """Return when a node first ran a version or a newer one, in milliseconds since 1970."""
    for event in node.events("version-running"):
        if event["version"] >= version:
            return float(event["unix_ms"])
    return None


def start_backends(
    fleet: Fleet,
    stack: contextlib.ExitStack,
    service_time: str,
    nodes: Sequence[NodeHandle] | None = None,
) -> None:
    """Start backend servers with a service time, which :meth:`Fleet.start` cannot give them.

    :param fleet: the fleet.
    :param stack: ends the processes.
    :param service_time: see :mod:`bamboonotch_testing.backend_server`.
    :param nodes: beside which nodes; all by default.
    """
    for node in nodes or fleet.nodes:
        arguments = ["-m", "bamboonotch_testing.backend_server", "--service", node.place.service]
        arguments += ["--listen", node.addresses.backend, "--announce", node.addresses.admin]
        arguments += ["--slots", str(node.place.slots), "--service-time", service_time]
        stack.enter_context(ManagedProcess(f"timed-{node.node_id}", arguments, fleet.directory))


def _start_announcer(fleet: Fleet, stack: contextlib.ExitStack) -> None:
    items = [
        {
            "admin_address": node.addresses.admin,
            "body": {
                "service": node.place.service,
                "address": node.addresses.backend,
                "slots": node.place.slots,
                "state": "ready",
            },
        }
        for node in fleet.nodes
    ]
    path = fleet.directory / "announcements.json"
    path.write_text(json.dumps(items))
    arguments = ["-m", "bamboonotch_testing.bench.announce", "--specification", str(path)]
    stack.enter_context(ManagedProcess("announcer", arguments, fleet.directory))


@contextlib.contextmanager
def open_bench_fleet(
    layout: Layout,
    settings: Sections | None = None,
    *,
    proxied: bool = False,
    service_time: str | None = None,
) -> Iterator[BenchFleet]:
    """Start a fleet, submit its document and wait until all nodes run it and know each other.

    :param layout: its layout.
    :param settings: extra settings of every node.
    :param proxied: whether connections pass through fault proxies.
    :param service_time: starts backend servers with it; without it one process announces backend
        servers that do not exist.
    """
    count = len(layout.places())
    check_memory(count if service_time is None else 2 * count)
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(Fleet(layout, settings, proxied=proxied))
        for node in fleet.nodes:
            stack.enter_context(node.node)
        if service_time is None:
            _start_announcer(fleet, stack)
        else:
            start_backends(fleet, stack, service_time)
        submitter = Submitter(fleet.store_address, layout.tenant)
        bench_fleet = BenchFleet(fleet, submitter, layout)
        timeout_s = START_S + START_PER_NODE_S * count
        accepted = submitter.submit_document(layout)
        missing = bench_fleet.wait_for(accepted.version, timeout_s)
        if missing:
            raise AssertionError(f"nodes not serving after {timeout_s:.0f} s: {missing}")
        wait_until("members known", lambda: _all_ready(fleet), timeout_s)
        yield bench_fleet


def _all_ready(fleet: Fleet) -> bool:
    def count_ready(node: NodeHandle) -> int:
        return sum(record["state"] == "ready" for record in node.members().values())

    return all(count == len(fleet.nodes) for count in each_node(fleet.nodes, count_ready))
