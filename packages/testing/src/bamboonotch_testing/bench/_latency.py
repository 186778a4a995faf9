"""Measurement ``latency``: time that full nodes add to a call."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bamboonotch_testing.bench._figures import Table, judge
from bamboonotch_testing.bench._harness import BenchFleet, open_bench_fleet
from bamboonotch_testing.bench._layouts import make_latency_layout
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.caller import CallClass
from bamboonotch_testing.fleet import ManagedProcess

__all__ = ["measure_latency"]

ADDED_MS = 2.0
# Latencies of few good calls would say nothing about the calls that failed.
GOOD_SHARE = 0.99
# The 99th percentile of fewer calls is one of the few slowest ones.
MIN_CALLS = 1000
SLOTS = 16
EXTRA_S = 60.0
SERVICE_TIME_MS = "1"
MENU = CallClass("menu-read", path="/menu?size=512")
ORDER = CallClass("order-placement", method="POST", path="/orders?size=512", keyed=True)
Figures = dict[str, dict[str, float]]


def _run_json(arguments: list[str], directory: Path, timeout_s: float) -> str:
    with ManagedProcess(f"turns-{len(list(directory.iterdir()))}", arguments, directory) as process:
        status = process.wait(timeout_s)
        output = process.read_log()
    assert status == 0, f"{arguments[1]} ended with status {status}: {output[-500:]}"
    return output


def _measure_turns(bench_fleet: BenchFleet, rate_per_s: float, seconds: float) -> Figures:
    menu, orders = bench_fleet.fleet.node("menu-1"), bench_fleet.fleet.node("orders-1")
    targets = {
        "direct read (baseline)": (menu.addresses.backend, MENU),
        "read, local owner": (menu.addresses.http, MENU),
        "read, owner in the same data centre": (orders.addresses.http, MENU),
        "direct order (baseline)": (orders.addresses.backend, ORDER),
        "keyed order, owner in the same data centre": (menu.addresses.http, ORDER),
    }
    described = {
        name: {"address": address, "class": asdict(kind)}
        for name, (address, kind) in targets.items()
    }
    arguments = ["-m", "bamboonotch_testing.bench.turns", "--targets", json.dumps(described)]
    arguments += ["--rate", str(rate_per_s), "--seconds", str(seconds)]
    timeout_s = (seconds + 2.0) * len(targets) + EXTRA_S
    output = _run_json(arguments, bench_fleet.fleet.directory, timeout_s)
    figures: Figures = json.loads(output[output.index("{") :])
    return figures


def _measure_fixed_path(directory: Path, rate_per_s: float, seconds: float) -> dict[str, Any]:
    """Run the latency bench, whose nodes take fixed decisions."""
    result = directory / "latency-bench.json"
    arguments = ["-m", "bamboonotch_testing.latency_bench", "--json", str(result)]
    arguments += ["--rate", str(rate_per_s), "--seconds", str(seconds)]
    _run_json(arguments, directory, 2 * seconds + EXTRA_S)
    found: dict[str, Any] = json.loads(result.read_text())
    return found


def measure_latency(rate_per_s: float, seconds: float, *, fixed_path: bool) -> Measurement:
    """Measure added latency against direct calls in the same run.

    :param rate_per_s: calls a second.
    :param seconds: length for each target, in seconds.
    :param fixed_path: whether the latency bench, whose nodes take fixed decisions, runs too.
    """
    fixed: dict[str, Any] = {}
    with open_bench_fleet(make_latency_layout(SLOTS), service_time=SERVICE_TIME_MS) as bench_fleet:
        figures = _measure_turns(bench_fleet, rate_per_s, seconds)
        if fixed_path:
            directory = bench_fleet.fleet.directory
            fixed = _measure_fixed_path(directory, rate_per_s, seconds)
    rows: list[tuple[str | float | None, ...]] = []
    verdicts, failures = [], []
    for name, found in figures.items():
        base = figures["direct order (baseline)" if "order" in name else "direct read (baseline)"]
        added = tuple(found[key] - base[key] for key in ("median_ms", "p99_ms"))
        row = (name, found["calls"], found["good"], found["median_ms"], found["p99_ms"])
        is_baseline = name.endswith("(baseline)")
        rows.append((*row, None, None) if is_baseline else (*row, *added))
        is_sound = all(one["good"] >= GOOD_SHARE * one["calls"] for one in (found, base))
        if not is_sound:
            failures.append(f"{name}: only {found['good']:g} of {found['calls']:g} calls were good")
        if not is_baseline:
            is_enough = min(found["calls"], base["calls"]) >= MIN_CALLS
            measured = added[1] if is_sound and is_enough else None
            verdicts.append(judge(f"added 99th percentile, ms, {name}", measured, at_most=ADDED_MS))
    for name in ("direct", "meshed") if fixed else ():
        one = fixed[name]
        row = (f"latency_bench, {name}", one["calls"], one["good"], one["median_ms"], one["p99_ms"])
        meshed = name == "meshed"
        added_fixed = (fixed["added"]["median_ms"], fixed["added"]["p99_ms"])
        rows.append((*row, *added_fixed) if meshed else (*row, None, None))
    columns = ("call", "calls", "good", "median ms", "99th ms", "added median", "added 99th")
    shown = [row for row in rows if row[6] is not None]
    bars = Bars(
        f"added latency at {rate_per_s:g} calls/s",
        "ms",
        tuple(str(row[0]) for row in shown),
        {
            "median": tuple(float(row[5] or 0) for row in shown),
            "99th": tuple(float(row[6] or 0) for row in shown),
        },
        ADDED_MS,
    )
    return Measurement(
        "latency",
        (Table(f"latency at {rate_per_s:g} calls/s", columns, tuple(rows)),),
        tuple(verdicts),
        (bars,),
        ("latency_bench runs the request path with fixed decisions, without the decision code.",),
        tuple(failures),
    )
