"""The steps of the demonstration."""

from __future__ import annotations

import time

from bamboonotch_testing.demo._load import DemoLoad
from bamboonotch_testing.fleet import (
    HIMAL_THALI,
    Fleet,
    NodeHandle,
    WaitTimeoutError,
    read_metrics,
    sum_by_label,
    wait_until,
)

__all__ = ["run_demo"]

START_TIMEOUT_S = 30.0
CONVERGENCE_TIMEOUT_S = 5.0
LEAVING_TIMEOUT_S = 2.0
LOAD_S = 3.0
DRAINED_NODE = "menu-2"


def run_demo() -> int:
    """Run every step and return the exit status."""
    started = time.monotonic()
    try:
        with Fleet(HIMAL_THALI) as fleet:
            for step in (_start, _patch, _drain_under_load, _print_control_bytes):
                step(fleet)
    except (AssertionError, OSError) as error:
        _say(f"FAILED: {error}")
        return 1
    _say(f"finished in {time.monotonic() - started:.1f} s")
    return 0


def _say(text: str) -> None:
    print(text, flush=True)


def _start(fleet: Fleet) -> None:
    _say(f"starting a store, {len(fleet.nodes)} backend servers and their nodes")
    fleet.start()
    version = fleet.submit_first_document()
    fleet.wait_for_version(version, START_TIMEOUT_S)
    fleet.wait_for_members(START_TIMEOUT_S)
    _say(f"every node serves version {version} and knows {len(fleet.nodes)} members")


def _patch(fleet: Fleet) -> None:
    operations = [{"op": "replace", "path": "/routes/read-menu/timeout_ms", "value": 1500}]
    before = _convergence(fleet)
    version = fleet.submit(1, operations, "shorter menu timeout")
    fleet.wait_for_version(version, CONVERGENCE_TIMEOUT_S)
    after = _convergence(fleet)
    worst_ms = max(after[node_id] - before.get(node_id, 0.0) for node_id in after)
    _say(f"version {version} is in force on every node; convergence time {worst_ms:.0f} ms (worst)")


def _convergence(fleet: Fleet) -> dict[str, float]:
    """Return the sum of convergence times of each node, in milliseconds."""
    return {
        node.node_id: sum_by_label(read_metrics(node.addresses.admin), "convergence_ms_sum").get(
            (), 0.0
        )
        for node in fleet.nodes
    }


def _drain_under_load(fleet: Fleet) -> None:
    entry_nodes = [fleet.node(node_id) for node_id in ("menu-1", "orders-2", "plans-3", "menu-4")]
    drained = fleet.node(DRAINED_NODE)
    with DemoLoad(entry_nodes) as load:
        time.sleep(LOAD_S)
        fleet.command("drain", drained.node_id)
        _wait_for_last_run(drained)
        time.sleep(LOAD_S)
    fleet.command("undrain", drained.node_id)
    _say(f"{drained.node_id} was drained under load and got no new work after that")
    _print_outcomes(load)


def _wait_for_last_run(drained: NodeHandle) -> None:
    """Wait until the node gets no new work, and check that it stays so."""
    counts: list[int] = []

    def is_quiet() -> bool:
        counts.append(len(drained.runs()))
        time.sleep(0.5)
        return len(drained.runs()) == counts[-1]

    wait_until(f"{drained.node_id} gets no new work", is_quiet, LEAVING_TIMEOUT_S)


def _print_outcomes(load: DemoLoad) -> None:
    _say("outcomes for each class:")
    for (request_class, outcome), count in sorted(load.outcomes.items()):
        _say(f"  {request_class:16} {outcome:16} {count:6}")
    failed = sum(count for (_, outcome), count in load.outcomes.items() if outcome != "done")
    if failed:
        raise WaitTimeoutError(f"{failed} calls were not done")


def _print_control_bytes(fleet: Fleet) -> None:
    samples = [sample for node in fleet.nodes for sample in read_metrics(node.addresses.admin)]
    _say("control bytes for each kind of link:")
    sums = sum_by_label(samples, "control_bytes_total", "link")
    for (kind,), size_bytes in sorted(sums.items()):
        _say(f"  {kind:16} {size_bytes:10.0f}")
