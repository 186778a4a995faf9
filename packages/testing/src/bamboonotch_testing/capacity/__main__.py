"""Measure slopes and extrapolate them to the size to build towards."""

from __future__ import annotations

import argparse
import json
import sys
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from statistics import mean

from bamboonotch_testing.bench import Table
from bamboonotch_testing.bench._figures import Row
from bamboonotch_testing.bench._harness import end_children_on_sigterm
from bamboonotch_testing.capacity import _sizes as sizes
from bamboonotch_testing.capacity._document import Documents, make_documents
from bamboonotch_testing.capacity._estimates import (
    Estimate,
    Inputs,
    estimate_roles,
    estimate_worst_minutes,
)
from bamboonotch_testing.capacity._events import SizeResult, measure_size
from bamboonotch_testing.capacity._fit import Series
from bamboonotch_testing.capacity._messages import encode_sizes
from bamboonotch_testing.capacity._processes import (
    CallCost,
    NodeCost,
    ProcessResult,
    measure_calls,
    measure_processes,
)

__all__ = ["main"]

MEMBER_SIZES = (100, 400, 800, 1600)
# Nodes and regions: many regions give gateways many streams.
FLEETS = ((13, 2), (24, 2), (28, 7))


def _member_series(results: list[SizeResult], documents: Documents) -> dict[str, Series]:
    counts = tuple(float(result.members) for result in results)

    def series(name: str, unit: str, values: list[float]) -> Series:
        return Series(name, unit, counts, tuple(values))

    found = [
        series(name, "ms", [result.times_ms[name] for result in results])
        for name in results[0].times_ms
    ]
    found += [
        series("state", "MB", [result.state_mb for result in results]),
        series("streams of a node", "streams", [float(result.degree) for result in results]),
        series(
            "streams of a gateway", "streams", [float(result.gateway_degree) for result in results]
        ),
        series("sent at rest", "B/s", [result.sent_bytes_per_s for result in results]),
        series(
            "sent at rest, gateway", "B/s", [result.gateway_sent_bytes_per_s for result in results]
        ),
    ]
    encoded = [encode_sizes(result.members, documents) for result in results]
    found += [series(name, "B", [one[name] for one in encoded]) for name in encoded[0]]
    return {one.name: one for one in found}


def _degree_series(results: list[ProcessResult]) -> dict[str, Series]:
    """Return the mean cost of the nodes of all fleets by their number of streams."""
    by_degree: dict[int, list[NodeCost]] = defaultdict(list)
    for result in results:
        for cost in result.costs:
            by_degree[cost.degree].append(cost)
    degrees = sorted(by_degree)

    def series(name: str, unit: str, read: Callable[[NodeCost], float]) -> Series:
        values = (mean(read(cost) for cost in by_degree[degree]) for degree in degrees)
        return Series(name, unit, tuple(map(float, degrees)), tuple(values))

    found = (
        series("core share", "of a core", lambda cost: cost.core_share),
        series("memory", "MB", lambda cost: cost.memory_mb),
        series("control bytes sent", "B/s", lambda cost: cost.bytes_per_s),
        series("nodes measured", "nodes", lambda cost: float(len(by_degree[cost.degree]))),
    )
    return {one.name: one for one in found}


def _series_table(title: str, series: dict[str, Series], target: float) -> Table:
    first = next(iter(series.values()))
    columns = (
        "quantity",
        "unit",
        *(f"{size:g}" for size in first.sizes),
        "slope for 1",
        "intercept",
        "residual",
        f"line at {target:g}",
    )
    rows: tuple[Row, ...] = tuple(
        (
            one.name,
            one.unit,
            *one.values,
            one.fit.slope,
            one.fit.intercept,
            one.fit.residual,
            one.fit.at(target),
        )
        for one in series.values()
    )
    return Table(title, columns, rows)


def _estimate_table(title: str, estimates: tuple[Estimate, ...]) -> Table:
    columns = ("role", "quantity", "value", "limit", "unit", "verdict", "basis")
    rows: tuple[Row, ...] = tuple(
        (one.role, one.quantity, one.value, one.limit, one.unit, one.verdict, one.basis)
        for one in estimates
    )
    return Table(title, columns, rows)


def _process_table(results: list[ProcessResult], calls: CallCost) -> tuple[Table, Table]:
    kinds = sorted({kind for result in results for kind in result.store_calls_per_s})
    columns = ("nodes", "slot holders", *(f"{kind}/s" for kind in kinds), "slot adds, of a core")
    rows: tuple[Row, ...] = tuple(
        (
            str(len(result.costs)),
            result.slot_holders,
            *(result.store_calls_per_s.get(kind, 0.0) for kind in kinds),
            result.relay_core_share,
        )
        for result in results
    )
    columns_of_calls = ("calls/s", "done share", "ingress ms", "owner ms")
    row = (str(calls.rate_per_s), calls.done_share, calls.ingress_ms, calls.owner_ms)
    return (
        Table("store calls of real fleets at rest", columns, rows),
        Table("processor time of a real forwarded call", columns_of_calls, (row,)),
    )


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.capacity", description=__doc__)
    parser.add_argument("--rest-seconds", type=float, default=15.0, help="rest of real fleets")
    parser.add_argument("--call-rate", type=float, default=100.0, help="calls a second")
    parser.add_argument("--call-seconds", type=float, default=10.0, help="length of the load")
    parser.add_argument(
        "--output", type=Path, default=Path("bench-results"), help="directory for the JSON"
    )
    return parser.parse_args()


def main() -> int:
    """Measure, print tables and write ``capacity.json``."""
    options = _parse()
    end_children_on_sigterm()
    documents = make_documents(sizes.SERVICES)
    members = [measure_size(count, documents) for count in MEMBER_SIZES]
    processes = [
        measure_processes(count, regions, options.rest_seconds) for count, regions in FLEETS
    ]
    calls = measure_calls(options.call_rate, options.call_seconds)
    # Only this fleet has nodes with and without a relay slot and the same number of streams.
    mixed = processes[1]
    inputs = Inputs(
        _member_series(members, documents),
        _degree_series(processes),
        calls.ingress_ms,
        calls.owner_ms,
        processes[-1].status_ms,
        max(0.0, mixed.relay_core_share or 0.0),
    )
    degree = inputs.at_target("streams of a node")
    tables = (
        _series_table("one node's state by members known", dict(inputs.by_members), sizes.MEMBERS),
        _series_table("real processes by control streams", dict(inputs.by_degree), degree),
        *_process_table(processes, calls),
        _estimate_table("roles at the size to build towards", estimate_roles(inputs)),
        _estimate_table("worst minutes", estimate_worst_minutes(inputs)),
    )
    print("\n\n".join(table.render() for table in tables))
    options.output.mkdir(parents=True, exist_ok=True)
    content = {
        "tables": {table.title: table.as_json() for table in tables},
        "documents": {
            "document_bytes": documents.document_bytes,
            "snapshot_bytes": len(documents.snapshot),
            "entry_bytes": len(documents.entry),
        },
        "processes": [asdict(result) for result in processes],
    }
    (options.output / "capacity.json").write_text(json.dumps(content, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
