"""Measurement ``failures``: convergence while something fails."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from bamboonotch_testing.bench._figures import Table, judge, summarize_values
from bamboonotch_testing.bench._harness import BenchFleet, Propagation, open_bench_fleet
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.bench._submitter import AcceptedVersion, timeout_patch
from bamboonotch_testing.fleet import NodeHandle, make_uniform_layout

__all__ = ["measure_failures"]

CONVERGENCE_S = 5.0
WAIT_S = 40.0
SETTLE_S = 60.0
CUT_S = 3.0
ROUTE = "read-menu"


@dataclass(frozen=True)
class _Scenario:
    name: str
    run: Callable[[BenchFleet, int], Propagation]


def _submit(bench_fleet: BenchFleet, value: int) -> AcceptedVersion:
    return bench_fleet.submitter.submit(timeout_patch(ROUTE, value))


def _undisturbed(bench_fleet: BenchFleet, value: int) -> Propagation:
    return bench_fleet.measure(_submit(bench_fleet, value), WAIT_S)


def _slot_holder_killed(bench_fleet: BenchFleet, value: int) -> Propagation:
    statuses = {node.node_id: node.status() for node in bench_fleet.nodes}
    victim = next(node for node in bench_fleet.nodes if statuses[node.node_id]["store_reader"])
    others = [node for node in bench_fleet.nodes if node is not victim]
    victim.node.kill()
    propagation = bench_fleet.measure(_submit(bench_fleet, value), WAIT_S, others)
    victim.node.start()
    return propagation


def _store_outage(bench_fleet: BenchFleet, value: int) -> Propagation:
    accepted = _submit(bench_fleet, value)
    bench_fleet.fleet.set_store_fault(refuse="abort")
    propagation = bench_fleet.measure(accepted, WAIT_S)
    bench_fleet.fleet.set_store_fault(clear=True)
    return propagation


def _region_healed(bench_fleet: BenchFleet, value: int) -> Propagation:
    """Measure the far region from the moment when its link works again."""
    near, far = bench_fleet.layout.regions
    bench_fleet.fleet.partition_regions(near, far)
    accepted = _submit(bench_fleet, value)
    time.sleep(CUT_S)
    healed_unix_ms = time.time() * 1000
    bench_fleet.fleet.inject("clear")
    nodes = bench_fleet.in_region(far)
    return bench_fleet.measure(accepted, WAIT_S, nodes, since_unix_ms=healed_unix_ms)


def _region_cut_near_side(bench_fleet: BenchFleet, value: int) -> Propagation:
    """Measure the store's region while the other one is cut off."""
    near, far = bench_fleet.layout.regions
    bench_fleet.fleet.partition_regions(near, far)
    propagation = bench_fleet.measure(
        _submit(bench_fleet, value), WAIT_S, bench_fleet.in_region(near)
    )
    bench_fleet.fleet.inject("clear")
    return propagation


def _connections_silent(bench_fleet: BenchFleet, value: int) -> Propagation:
    bench_fleet.fleet.inject("freeze")
    propagation = bench_fleet.measure(_submit(bench_fleet, value), WAIT_S)
    bench_fleet.fleet.inject("clear")
    return propagation


SCENARIOS = (
    _Scenario("undisturbed (baseline)", _undisturbed),
    _Scenario("relay-slot holder killed", _slot_holder_killed),
    _Scenario("store outage after acceptance", _store_outage),
    _Scenario("region cut, near side", _region_cut_near_side),
    _Scenario("region healed, far side", _region_healed),
    _Scenario("all connections silent", _connections_silent),
)


def _settle(bench_fleet: BenchFleet) -> None:
    """Wait until every node runs the newest version, reaches the store and knows all others.

    :raises AssertionError: when that takes too long.
    """
    deadline = time.monotonic() + SETTLE_S
    bench_fleet.wait_for(bench_fleet.submitter.version, SETTLE_S)
    bench_fleet.fleet.wait_for_members(max(1.0, deadline - time.monotonic()))

    def connected(node: NodeHandle) -> bool:
        return len(node.status().get("neighbours", ())) > 0

    while not all(connected(node) for node in bench_fleet.nodes):
        if time.monotonic() > deadline:
            raise AssertionError("the fleet did not settle after a failure")
        time.sleep(0.1)


def measure_failures(nodes: int, repeats: int) -> Measurement:
    """Measure each scenario in turn on one fleet.

    :param nodes: number of nodes.
    :param repeats: how often each scenario is run.
    """
    rows, verdicts, failures = [], [], []
    value = 1000
    with open_bench_fleet(make_uniform_layout(nodes), proxied=True) as bench_fleet:
        for scenario in SCENARIOS:
            found = []
            for _ in range(repeats):
                value += 1
                try:
                    found.append(scenario.run(bench_fleet, value))
                    _settle(bench_fleet)
                except (AssertionError, OSError) as error:
                    failures.append(f"{scenario.name}: {error}")
            times = [moment for propagation in found for moment in propagation.node_ms]
            missing = sum(len(propagation.missing) for propagation in found)
            summary = summarize_values(times)
            rows.append(
                (scenario.name, len(found), summary.median, summary.p99, summary.worst, missing)
            )
            worst_s = WAIT_S if missing else summary.worst / 1000
            target = f"convergence, s, {scenario.name}"
            verdicts.append(judge(target, worst_s if found else None, at_most=CONVERGENCE_S))
    columns = ("scenario", "runs", "median ms", "99th ms", "worst ms", "nodes missing")
    bars = Bars(
        f"convergence under failures, {nodes} nodes",
        "ms",
        tuple(row[0] for row in rows),
        {"worst": tuple(float(row[4]) for row in rows)},
        CONVERGENCE_S * 1000,
    )
    return Measurement(
        "failures",
        (Table(f"convergence under failures, {nodes} nodes", columns, tuple(rows)),),
        tuple(verdicts),
        (bars,),
        ("The far side of a healed region is timed from the moment of healing.",),
        tuple(failures),
    )
