"""Measurement ``store-calls``: store calls a second at rest at each fleet size."""

from __future__ import annotations

import time

from bamboonotch_testing.bench._figures import Table, judge
from bamboonotch_testing.bench._harness import MemoryLimitError, open_bench_fleet
from bamboonotch_testing.bench._plain_run import run_plain
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.fleet import make_uniform_layout

__all__ = ["measure_store_calls"]

# A rate over a short window differs by about one call of each reader between two windows.
FLAT_FACTOR = 1.25
# Below the number of relay slots every node holds one, and the calls grow with the fleet.
SLOTS = 12
SETTLED_S = 30.0
UNSETTLED = "The intervals of slot reads had not settled: the rates are above those at rest."


def _rates_at_rest(nodes: int, rest_s: float, settle_s: float) -> dict[str, float]:
    with open_bench_fleet(make_uniform_layout(nodes)) as bench_fleet:
        time.sleep(settle_s)
        before = bench_fleet.read_store_calls()
        started_s = time.monotonic()
        time.sleep(rest_s)
        after = bench_fleet.read_store_calls()
        length_s = time.monotonic() - started_s
    return {kind: (count - before.get(kind, 0.0)) / length_s for kind, count in after.items()}


def measure_store_calls(sizes: tuple[int, ...], rest_s: float, settle_s: float) -> Measurement:
    """Measure store calls at rest.

    :param sizes: numbers of nodes.
    :param rest_s: how long calls are counted at each size, in seconds.
    :param settle_s: wait before that, in seconds; nodes read the list of slots at growing
        intervals, which takes about half a minute to settle.
    """
    by_size: dict[int, dict[str, float]] = {}
    plain: dict[int, float] = {}
    failures = []
    for nodes in sizes:
        try:
            by_size[nodes] = _rates_at_rest(nodes, rest_s, settle_s)
            plain[nodes] = run_plain(
                make_uniform_layout(nodes), "read-menu", 0, 0.0, rest_s
            ).store_calls_per_s
        except (MemoryLimitError, AssertionError, OSError) as error:
            failures.append(f"{nodes} nodes: {error}")
    kinds = sorted({kind for rates in by_size.values() for kind in rates})
    totals = {nodes: sum(rates.values()) for nodes, rates in by_size.items()}
    rows = tuple(
        (
            str(nodes),
            *(by_size[nodes].get(kind, 0.0) for kind in kinds),
            totals[nodes],
            plain.get(nodes),
        )
        for nodes in by_size
    )
    growth = None
    judged = [nodes for nodes in totals if nodes >= SLOTS]
    if len(judged) > 1:
        smallest, largest = min(judged), max(judged)
        growth = totals[largest] / totals[smallest] if totals[smallest] else None
    columns = ("nodes", *kinds, "all calls/s", "plain (baseline) calls/s")
    bars = Bars(
        "store calls at rest",
        "calls/s",
        tuple(str(nodes) for nodes in totals),
        {
            "mesh": tuple(totals.values()),
            "plain": tuple(plain.get(nodes, 0.0) for nodes in totals),
        },
    )
    return Measurement(
        "store-calls",
        (Table("store calls a second at rest", columns, rows),),
        (judge("store calls: largest fleet / smallest fleet", growth, at_most=FLAT_FACTOR),),
        (bars,),
        () if settle_s >= SETTLED_S else (UNSETTLED,),
        tuple(failures),
    )
