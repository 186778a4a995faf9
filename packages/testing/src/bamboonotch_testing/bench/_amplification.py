"""Measurement ``amplification``: calls that reach backend servers when all of them fail."""

from __future__ import annotations

from dataclasses import dataclass, replace

from bamboonotch_testing.bench._figures import Table, judge
from bamboonotch_testing.bench._harness import BenchFleet, open_bench_fleet
from bamboonotch_testing.bench._load import Load, run_load_process
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.caller import CallClass
from bamboonotch_testing.fleet import call_json, make_uniform_layout

__all__ = ["measure_amplification"]

AMPLIFICATION = 1.1
READ = CallClass("menu-read", path="/menu", timeout_ms=2000)


@dataclass(frozen=True)
class _Failure:
    name: str
    mode: str
    path: str = "/menu"


FAILURES = (
    _Failure("healthy (baseline)", "serve"),
    _Failure("connection lost after the effect", "crash-after-effect"),
    _Failure("status 500", "serve", "/menu?status=500"),
    _Failure("refused as not run", "shed"),
)


def _count_arrivals(bench_fleet: BenchFleet) -> tuple[int, int]:
    """Return how many calls the backend servers ran and refused."""
    ran = refused = 0
    for node in bench_fleet.fleet.of_service("menu"):
        record = call_json(node.addresses.backend, "GET", "/control/runs")
        ran += len(record["runs"])
        refused += record["refused"]
    return ran, refused


def _measure_failure(
    bench_fleet: BenchFleet, failure: _Failure, rate_per_s: float, seconds: float
) -> tuple[str | float | None, ...]:
    for node in bench_fleet.fleet.of_service("menu"):
        call_json(node.addresses.backend, "POST", "/control/mode", {"mode": failure.mode})
    kind = replace(READ, path=failure.path)
    ingresses = [node for node in bench_fleet.nodes if node.place.service != "menu"][:2]
    loads = [
        Load(node.addresses.http, (kind,), rate_per_s / len(ingresses), seconds, number + 1)
        for number, node in enumerate(ingresses)
    ]
    before = _count_arrivals(bench_fleet)
    found = [one[READ.name] for one in run_load_process(loads, bench_fleet.fleet.directory)]
    after = _count_arrivals(bench_fleet)
    calls = sum(one["calls"] for one in found)
    ran, refused = after[0] - before[0], after[1] - before[1]
    outcomes = tuple(sum(one[key] for one in found) for key in ("done", "not_run", "unknown"))
    return (
        failure.name,
        calls,
        *outcomes,
        ran,
        refused,
        (ran + refused) / calls if calls else None,
    )


def measure_amplification(nodes: int, rate_per_s: float, seconds: float) -> Measurement:
    """Measure each kind of failure on one fleet.

    :param nodes: number of nodes.
    :param rate_per_s: calls a second.
    :param seconds: length of each load, in seconds.
    """
    with open_bench_fleet(make_uniform_layout(nodes), service_time="5") as bench_fleet:
        rows = tuple(
            _measure_failure(bench_fleet, failure, rate_per_s, seconds) for failure in FAILURES
        )
    columns = (
        "every backend server",
        "calls",
        "done",
        "not run",
        "unknown",
        "ran",
        "refused there",
        "arrived / calls",
    )
    verdicts = tuple(
        judge(
            f"calls that reached backend servers / calls, {row[0]}",
            row[7] if isinstance(row[7], float) else None,
            at_most=AMPLIFICATION,
        )
        for row in rows
    )
    bars = Bars(
        "amplification",
        "calls at backend servers / calls",
        tuple(str(row[0]) for row in rows),
        {"arrived": tuple(float(row[7] or 0) for row in rows)},
        AMPLIFICATION,
    )
    table = Table(f"every backend server fails, {rate_per_s:g} calls/s", columns, rows)
    return Measurement("amplification", (table,), verdicts, (bars,))
