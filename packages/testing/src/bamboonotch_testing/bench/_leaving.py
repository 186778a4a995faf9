"""Measurement ``leaving``: time from drain until a backend server got its last new work."""

from __future__ import annotations

import time
from dataclasses import replace

from bamboonotch_testing.bench._figures import Table, judge
from bamboonotch_testing.bench._harness import BenchFleet, open_bench_fleet
from bamboonotch_testing.bench._load import Load, start_load
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.caller import CallClass
from bamboonotch_testing.fleet import (
    NodeHandle,
    call_http,
    call_json,
    make_uniform_layout,
    wait_until,
)

__all__ = ["measure_leaving"]

LEAVING_S = 2.0
LEAD_S = 1.0
WATCHED_S = 3.0
ARRIVAL_S = 20.0
POLL_S = 0.03
BACK_S = 20.0
MENU = CallClass("menu-read", path="/menu")


def _drain_node(node: NodeHandle) -> None:
    call_http(node.addresses.admin, "POST", "/v1/drain")


def _undrain_node(node: NodeHandle) -> None:
    call_http(node.addresses.admin, "POST", "/v1/undrain")


def _stop_node(node: NodeHandle) -> None:
    node.node.request_stop()


def _ignore_drain(node: NodeHandle) -> None:
    """Leave the node as it is, which is the baseline."""


def _drain_backend(node: NodeHandle) -> None:
    """Let the backend server announce that it drains; it refuses what still arrives."""
    call_json(node.addresses.backend, "POST", "/control/mode", {"mode": "drain"})


def _undrain_backend(node: NodeHandle) -> None:
    call_json(node.addresses.backend, "POST", "/control/mode", {"mode": "serve"})


WAYS = (
    ("not leaving (baseline)", _ignore_drain, _ignore_drain),
    ("operator drains the node", _drain_node, _undrain_node),
    ("backend server announces draining", _drain_backend, _undrain_backend),
    ("SIGTERM to the node", _stop_node, _ignore_drain),
)


class _RefusalWatch:
    """Notes when the backend server last refused work, by polling its counter.

    :param node: the node beside it.
    """

    def __init__(self, node: NodeHandle) -> None:
        self._node = node
        self._count = self._read()
        self.refused = 0
        self.last_unix_ms = 0.0

    def poll(self) -> None:
        """Read the counter."""
        count = self._read()
        if count > self._count:
            self.refused += count - self._count
            self.last_unix_ms = time.time() * 1000
        self._count = count

    def _read(self) -> int:
        record = call_json(self._node.addresses.backend, "GET", "/control/runs")
        return int(record["refused"])


def _run_way(
    bench_fleet: BenchFleet, leaver: NodeHandle, load: Load, way: int
) -> tuple[float, int, dict[str, float]]:
    """Return when the last new work came, how much came after leaving, and the outcomes."""
    _, leave, come_back = WAYS[way]
    started = len(leaver.runs())
    with start_load(replace(load, seed=way + 1), bench_fleet.fleet.directory) as running:
        wait_until("load arrives", lambda: len(leaver.runs()) > started, ARRIVAL_S)
        time.sleep(LEAD_S)
        watch = _RefusalWatch(leaver)
        left_unix_ms = time.time() * 1000
        leave(leaver)
        while time.time() * 1000 < left_unix_ms + WATCHED_S * 1000:
            watch.poll()
            time.sleep(POLL_S)
        outcomes = running.finish()["menu-read"]
    runs = [run["started_unix_ms"] for run in leaver.runs()]
    after = sum(moment >= left_unix_ms for moment in runs)
    last_unix_ms = max(*runs, watch.last_unix_ms, left_unix_ms)
    come_back(leaver)
    return (last_unix_ms - left_unix_ms) / 1000, after + watch.refused, outcomes


def measure_leaving(nodes: int, rate_per_s: float, ways: int = len(WAYS)) -> Measurement:
    """Measure each way of leaving under load that enters at another node.

    :param nodes: number of nodes.
    :param rate_per_s: calls a second.
    :param ways: how many of the ways are measured.
    """
    rows, verdicts, failures = [], [], []
    with open_bench_fleet(make_uniform_layout(nodes), service_time="10") as bench_fleet:
        servers = bench_fleet.fleet.of_service("menu")
        leaver = servers[0]
        ingress = next(
            node
            for node in bench_fleet.nodes
            if node.place.service != "menu" and node.place.data_centre == leaver.place.data_centre
        )
        seconds = LEAD_S + WATCHED_S + 0.5
        load = Load(ingress.addresses.http, (MENU,), rate_per_s, seconds)
        for way, (name, _, _) in enumerate(WAYS[:ways]):
            last_s, after, outcomes = _run_way(bench_fleet, leaver, load, way)
            rows.append(
                (
                    name,
                    last_s,
                    after,
                    outcomes["calls"],
                    outcomes["done"],
                    outcomes["not_run"],
                    outcomes["unknown"],
                )
            )
            if name.endswith("(baseline)"):
                if not after:
                    failures.append("the baseline got no work, so the other rows show nothing")
                continue
            measured = None if failures else last_s
            verdicts.append(judge(f"last new work, s, {name}", measured, at_most=LEAVING_S))
            verdicts.append(
                judge(f"calls with outcome unknown, {name}", outcomes["unknown"], at_most=0)
            )
            if way + 1 < ways:
                bench_fleet.fleet.wait_for_members(BACK_S, [leaver, ingress])
    columns = (
        "way of leaving",
        "last new work s",
        "arrived after it",
        "calls",
        "done",
        "not run",
        "unknown",
    )
    bars = Bars(
        "last new work after leaving",
        "s",
        tuple(str(row[0]) for row in rows),
        {"last work": tuple(float(row[1]) for row in rows)},
        LEAVING_S,
    )
    return Measurement(
        "leaving",
        (Table(f"leaving under {rate_per_s:g} calls/s, {nodes} nodes", columns, tuple(rows)),),
        tuple(verdicts),
        (bars,),
        failures=tuple(failures),
    )
