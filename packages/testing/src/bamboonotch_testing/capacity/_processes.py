"""Cost of real node processes: processor time at rest, memory, and processor time of a call."""

from __future__ import annotations

import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

from bamboonotch_testing.bench._harness import BenchFleet, open_bench_fleet, read_memory_mb
from bamboonotch_testing.bench._layouts import make_latency_layout
from bamboonotch_testing.bench._load import Load, run_load_process
from bamboonotch_testing.caller import CallClass
from bamboonotch_testing.fleet import (
    NodeHandle,
    call_json,
    make_uniform_layout,
    read_metrics,
    sum_by_label,
)

__all__ = ["CallCost", "NodeCost", "ProcessResult", "measure_calls", "measure_processes"]

SETTLE_S = 5.0
SLOTS = 16
STATUS_CALLS = 20
READ = CallClass("menu-read", path="/menu?size=512")


@dataclass(frozen=True)
class NodeCost:
    """What one real node took at rest.

    :param degree: number of control streams.
    :param holds_slot: whether it holds a relay slot.
    :param core_share: share of a core.
    :param memory_mb: resident memory, in MB.
    :param bytes_per_s: control bytes sent, a second.
    """

    degree: int
    holds_slot: bool
    core_share: float
    memory_mb: float
    bytes_per_s: float


@dataclass(frozen=True)
class ProcessResult:
    """What the real nodes of one fleet took at rest.

    :param costs: of each node.
    :param store_calls_per_s: store calls a second by kind.
    :param status_ms: median time of one ``/v1/status`` call, in milliseconds.
    """

    costs: tuple[NodeCost, ...]
    store_calls_per_s: dict[str, float]
    status_ms: float

    @property
    def slot_holders(self) -> int:
        """Number of nodes that hold a relay slot."""
        return sum(cost.holds_slot for cost in self.costs)

    @property
    def relay_core_share(self) -> float | None:
        """What a relay slot adds, as a share of a core, at the most usual number of streams."""
        degree = statistics.mode(cost.degree for cost in self.costs)
        same = [cost for cost in self.costs if cost.degree == degree]
        holders = [cost.core_share for cost in same if cost.holds_slot]
        others = [cost.core_share for cost in same if not cost.holds_slot]
        if not holders or not others:
            return None
        return statistics.mean(holders) - statistics.mean(others)


def _read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_cpus_s(nodes: tuple[NodeHandle, ...]) -> list[float]:
    return [_read_cpu_s(node.node.pid) for node in nodes]


def _read_bytes(node: NodeHandle) -> float:
    samples = read_metrics(node.addresses.admin)
    return sum(sum_by_label(samples, "control_bytes_total").values())


def measure_processes(nodes: int, regions: int, rest_s: float) -> ProcessResult:
    """Measure a fleet at rest.

    :param nodes: number of nodes.
    :param regions: number of regions, each of two data centres.
    :param rest_s: length of the rest, in seconds.
    """
    with open_bench_fleet(make_uniform_layout(nodes, regions)) as bench_fleet:
        bench_fleet.settle_links()
        time.sleep(SETTLE_S)
        statuses = [node.status() for node in bench_fleet.nodes]
        bytes_before = [_read_bytes(node) for node in bench_fleet.nodes]
        calls_before = bench_fleet.read_store_calls()
        before = _read_cpus_s(bench_fleet.nodes)
        started_s = time.monotonic()
        time.sleep(rest_s)
        after = _read_cpus_s(bench_fleet.nodes)
        length_s = time.monotonic() - started_s
        calls_after = bench_fleet.read_store_calls()
        bytes_after = [_read_bytes(node) for node in bench_fleet.nodes]
        costs = tuple(
            NodeCost(
                len(status["neighbours"]),
                status["relay_slot"] >= 0,
                (after[index] - before[index]) / length_s,
                read_memory_mb(bench_fleet.nodes[index]),
                (bytes_after[index] - bytes_before[index]) / length_s,
            )
            for index, status in enumerate(statuses)
        )
        calls_per_s = {
            kind: (count - calls_before.get(kind, 0.0)) / length_s
            for kind, count in calls_after.items()
        }
        return ProcessResult(costs, calls_per_s, _time_status_ms(bench_fleet))


def _time_status_ms(bench_fleet: BenchFleet) -> float:
    address = bench_fleet.nodes[0].addresses.admin
    times = []
    for _ in range(STATUS_CALLS):
        started_s = time.monotonic()
        call_json(address, "GET", "/v1/status")
        times.append((time.monotonic() - started_s) * 1000)
    return statistics.median(times)


@dataclass(frozen=True)
class CallCost:
    """Processor time of one forwarded call, beyond that at rest.

    :param ingress_ms: at the ingress, in milliseconds.
    :param owner_ms: at the owner, in milliseconds.
    :param rate_per_s: calls a second that were sent.
    :param done_share: share of the calls that were done.
    """

    ingress_ms: float
    owner_ms: float
    rate_per_s: float
    done_share: float


def measure_calls(rate_per_s: float, seconds: float) -> CallCost:
    """Measure calls from one node to the owner beside the other backend server.

    :param rate_per_s: calls a second.
    :param seconds: length of the load, in seconds.
    """
    with open_bench_fleet(make_latency_layout(SLOTS), service_time="1") as bench_fleet:
        ingress, owner = bench_fleet.fleet.node("orders-1"), bench_fleet.fleet.node("menu-1")
        nodes = (ingress, owner)
        directory = bench_fleet.fleet.directory
        run_load_process([Load(ingress.addresses.http, (READ,), rate_per_s, 1.0)], directory)
        begin, begin_s = _read_cpus_s(nodes), time.monotonic()
        time.sleep(seconds)
        rest = [
            (end - start) / (time.monotonic() - begin_s)
            for start, end in zip(begin, _read_cpus_s(nodes), strict=True)
        ]
        begin, begin_s = _read_cpus_s(nodes), time.monotonic()
        load = Load(ingress.addresses.http, (READ,), rate_per_s, seconds, 2)
        outcome = run_load_process([load], directory)[0][READ.name]
        length_s = time.monotonic() - begin_s
        spent = [
            end - start - share * length_s
            for start, end, share in zip(begin, _read_cpus_s(nodes), rest, strict=True)
        ]
        calls = outcome["calls"]
        return CallCost(
            spent[0] / calls * 1000, spent[1] / calls * 1000, rate_per_s, outcome["done"] / calls
        )
