"""Measurement ``overload``: goodput by class at twice the capacity of a service."""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_testing.bench._figures import Table, Verdict, judge
from bamboonotch_testing.bench._harness import BenchFleet, open_bench_fleet
from bamboonotch_testing.bench._layouts import CLASS_PATHS, make_overload_layout
from bamboonotch_testing.bench._load import Load, Outcomes, run_load_process
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.caller import CallClass

__all__ = ["judge_outcomes", "measure_overload"]

SERVICE_TIME_MS = 100.0
BACKEND_SERVERS = 2
SLOTS = 4
OVERLOAD = 2.0
# Shares of twice the capacity. The first three classes ask for 80 % of the capacity, so that menu
# reads get a part of theirs; where they ask for all of it, menu reads and plan downloads are both
# shed whole and their order cannot be seen.
SHARES = {
    "order-placement": 0.2,
    "stock-check": 0.1,
    "manifest": 0.1,
    "menu-read": 0.2,
    "plan-download": 0.4,
}
TIMEOUT_MS = 2000


@dataclass(frozen=True)
class _Run:
    name: str
    policy: bool


RUNS = (_Run("without policy (baseline)", False), _Run("with admission", True))


def _call_classes() -> tuple[CallClass, ...]:
    return tuple(
        CallClass(
            name,
            weight=SHARES[name],
            method=method,
            path=path,
            keyed=method == "POST",
            timeout_ms=TIMEOUT_MS,
        )
        for name, (method, path) in CLASS_PATHS.items()
    )


def _measure_goodput(bench_fleet: BenchFleet, seconds: float) -> float:
    """Return the answered runs a second while the load lasted.

    The work that is still queued at the end of the load would make a long queue look better.
    """
    runs = [run for node in bench_fleet.fleet.of_service("kitchen") for run in node.runs()]
    first_ms = min(run["started_unix_ms"] for run in runs)
    in_time = [run for run in runs if run["started_unix_ms"] < first_ms + seconds * 1000]
    answered = [run for run in in_time if run["end"] == "answered"]
    return len(answered) / seconds


def _measure_run(run: _Run, rate_per_s: float, seconds: float) -> tuple[Outcomes, float]:
    layout = make_overload_layout(BACKEND_SERVERS, SLOTS, policy=run.policy)
    with open_bench_fleet(layout, service_time=f"{SERVICE_TIME_MS:g}") as bench_fleet:
        front = bench_fleet.fleet.node("front-1")
        load = Load(front.addresses.http, _call_classes(), rate_per_s, seconds)
        outcomes = run_load_process([load], bench_fleet.fleet.directory)[0]
        return outcomes, _measure_goodput(bench_fleet, seconds)


def _done_share(outcomes: Outcomes, name: str) -> float:
    found = outcomes.get(name, {})
    return found["done"] / found["calls"] if found.get("calls") else 0.0


def judge_outcomes(outcomes: Outcomes) -> tuple[Verdict, ...]:
    """Compare the outcomes under admission with the targets.

    :param outcomes: counts of each class.
    """
    orders = _done_share(outcomes, "order-placement")
    plans = _done_share(outcomes, "plan-download")
    complete = all(outcomes.get(name, {}).get("calls") for name in CLASS_PATHS)
    others = min(_done_share(outcomes, name) for name in CLASS_PATHS if name != "plan-download")
    return (
        judge("order placement done / its demand at twice capacity", orders, at_least=0.99),
        judge(
            "plan downloads done share minus the lowest other",
            plans - others if complete else None,
            at_most=0.0,
        ),
    )


def measure_overload(seconds: float) -> Measurement:
    """Measure both ways at the same demand.

    :param seconds: length of the load, in seconds.
    """
    capacity_per_s = BACKEND_SERVERS * SLOTS * 1000 / SERVICE_TIME_MS
    rate_per_s = OVERLOAD * capacity_per_s
    measured = {run.name: _measure_run(run, rate_per_s, seconds) for run in RUNS}
    by_run = {name: outcomes for name, (outcomes, _) in measured.items()}
    rows = tuple(
        (
            f"{run}: {name}",
            found["calls"],
            found["done"],
            found["not_run"],
            found["unknown"],
            _done_share(outcomes, name),
            found["median_ms"],
            found["p99_ms"],
        )
        for run, outcomes in by_run.items()
        for name, found in outcomes.items()
    )
    totals = tuple(
        (run, goodput, goodput / capacity_per_s) for run, (_, goodput) in measured.items()
    )
    columns = (
        "run and class",
        "calls",
        "done",
        "not run",
        "unknown",
        "done share",
        "median ms",
        "99th ms",
    )
    bars = Bars(
        f"done share at {rate_per_s:g} calls/s, capacity {capacity_per_s:g}",
        "share of calls",
        tuple(CLASS_PATHS),
        {
            run: tuple(_done_share(outcomes, name) for name in CLASS_PATHS)
            for run, outcomes in by_run.items()
        },
        0.99,
    )
    tables = (
        Table("outcome by class at twice the capacity", columns, rows),
        Table("goodput while the load lasts", ("run", "answered/s", "share of capacity"), totals),
    )
    return Measurement("overload", tables, judge_outcomes(by_run[RUNS[1].name]), (bars,))
