"""Measurement ``convergence``: time and control bytes of accepted versions."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from bamboonotch_testing.bench._figures import Row, Table, Verdict, judge, summarize_values
from bamboonotch_testing.bench._harness import (
    BenchFleet,
    MemoryLimitError,
    Propagation,
    Sections,
    open_bench_fleet,
)
from bamboonotch_testing.bench._plain_run import run_plain
from bamboonotch_testing.bench._report import Bars, Measurement
from bamboonotch_testing.bench._submitter import timeout_patch
from bamboonotch_testing.fleet import call_http, make_uniform_layout

__all__ = ["measure_convergence"]

CONVERGENCE_S = 5.0
# Waiting goes on past the target, so that a miss is measured and not only noticed.
WAIT_S = 30.0
INTER_REGION_FACTOR = 1.2
ROUTE = "read-menu"
INTERVAL_S = 0.2
REST_S = 5.0
QUICK_REST_S = 1.0
# Kinds that carry a version; the others are the cost of membership, whatever is submitted.
VERSION_KINDS = ("VersionPush", "VersionAnnounce", "VersionRequest", "SnapshotChunk")
COLUMNS = (
    "nodes and setting",
    "median ms",
    "99th ms",
    "worst ms",
    "polled worst ms",
    "mean by metric ms",
    "inter-region B/version",
    "data-centre B/version",
    "local B/version",
    "all control B/s/node",
    "MB/node",
)
Bytes = Mapping[tuple[str, ...], float]


@dataclass(frozen=True)
class _Variant:
    name: str
    settings: Sections = field(default_factory=dict)


EAGER = _Variant("eager", {"distribution": {"push": "eager"}})
VARIANTS = (
    EAGER,
    _Variant("announce", {"distribution": {"push": "announce"}}),
    _Variant(
        "announce, heartbeat 1000 ms",
        {
            "distribution": {"push": "announce"},
            "membership": {"heartbeat_interval_ms": "1000", "silent_after_ms": "3000"},
        },
    ),
)


@dataclass(frozen=True)
class _Result:
    label: str
    propagations: tuple[Propagation, ...]
    churned: tuple[Propagation, ...]
    version_bytes: Bytes
    churn_bytes: Bytes
    churn_s: float
    rest_bytes: Bytes
    rest_s: float
    entry_bytes: float
    nodes: int
    memory_mb: float
    metric_mean_ms: float

    @property
    def times_ms(self) -> list[float]:
        """Times of every node and version, with those under churn."""
        both = itertools.chain(self.propagations, self.churned)
        return [value for propagation in both for value in propagation.node_ms]

    def link_bytes(self, link: str) -> float:
        """Bytes on one link kind that carry versions, for one version."""
        total = sum(
            size
            for (kind, message), size in self.version_bytes.items()
            if kind == link and message in VERSION_KINDS
        )
        return total / max(1, len(self.propagations))


def _subtract(after: Bytes, before: Bytes) -> dict[tuple[str, ...], float]:
    return {key: size - before.get(key, 0.0) for key, size in after.items()}


class _Churn:
    """Drains and undrains backend servers in turn, at a bounded rate, while the context is open.

    :param bench_fleet: the fleet.
    :param rate_per_s: changes a second.
    """

    def __init__(self, bench_fleet: BenchFleet, rate_per_s: float) -> None:
        self._nodes = bench_fleet.nodes
        self._interval_s = 1 / rate_per_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> _Churn:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        for node in itertools.cycle(self._nodes):
            for command in ("drain", "undrain"):
                call_http(node.addresses.admin, "POST", f"/v1/{command}")
                if self._stopped.wait(self._interval_s):
                    return


def _stream(bench_fleet: BenchFleet, versions: int, first: int) -> tuple[Propagation, ...]:
    found = []
    for number in range(versions):
        accepted = bench_fleet.submitter.submit(timeout_patch(ROUTE, first + number))
        found.append(bench_fleet.measure(accepted, WAIT_S))
        time.sleep(INTERVAL_S)
    return tuple(found)


def _run_variant(nodes: int, variant: _Variant, versions: int, quick: bool) -> _Result:
    rest_s = QUICK_REST_S if quick else REST_S
    layout = make_uniform_layout(nodes)
    with open_bench_fleet(layout, variant.settings) as bench_fleet:
        if not quick:
            bench_fleet.settle_links()
        start = bench_fleet.read_control_bytes()
        time.sleep(rest_s)
        rested = bench_fleet.read_control_bytes()
        metric_before = bench_fleet.read_convergence()
        propagations = _stream(bench_fleet, versions, 1000)
        # A push that is late or double is counted with the version that it carries.
        time.sleep(1.0)
        streamed = bench_fleet.read_control_bytes()
        started_s = time.monotonic()
        with _Churn(bench_fleet, max(1.0, nodes / 20)):
            churned = _stream(bench_fleet, versions, 2000)
        churn_s = time.monotonic() - started_s
        ended = bench_fleet.read_control_bytes()
        metric_after = bench_fleet.read_convergence()
        submitted = bench_fleet.submitter.submit(timeout_patch(ROUTE, 3000))
        return _Result(
            f"{nodes} {variant.name}",
            propagations,
            churned,
            _subtract(streamed, rested),
            _subtract(ended, streamed),
            churn_s,
            _subtract(rested, start),
            rest_s,
            float(submitted.entry_bytes),
            nodes,
            bench_fleet.read_memory_mb(),
            (metric_after[0] - metric_before[0]) / max(1.0, metric_after[1] - metric_before[1]),
        )


def _row(result: _Result) -> Row:
    summary = summarize_values(result.times_ms)
    both = (*result.propagations, *result.churned)
    return (
        result.label,
        summary.median,
        summary.p99,
        summary.worst,
        max(propagation.observed_ms for propagation in both),
        result.metric_mean_ms,
        result.link_bytes("inter-region"),
        result.link_bytes("data-centre"),
        result.link_bytes("local"),
        sum(result.rest_bytes.values()) / result.rest_s / result.nodes,
        result.memory_mb,
    )


def _kinds_table(results: list[_Result]) -> Table:
    rows: list[Row] = []
    for result in results:
        for key in sorted({*result.version_bytes, *result.churn_bytes, *result.rest_bytes}):
            rows.append(
                (
                    result.label,
                    *key,
                    result.rest_bytes.get(key, 0.0) / result.rest_s,
                    result.version_bytes.get(key, 0.0) / max(1, len(result.propagations)),
                    result.churn_bytes.get(key, 0.0) / result.churn_s,
                )
            )
    columns = ("nodes and setting", "link", "message", "rest B/s", "B/version", "churn B/s")
    return Table("control bytes by link kind and message kind, whole fleet", columns, tuple(rows))


def _plain_row(nodes: int, versions: int) -> Row:
    plain = run_plain(make_uniform_layout(nodes), ROUTE, versions, INTERVAL_S)
    summary = summarize_values(plain.node_ms)
    worst = summary.worst
    # Half of the nodes are in the other region, and each fetches the snapshot by itself.
    shares = (plain.bytes_per_version / 2, plain.bytes_per_version / 2)
    label = f"{nodes} plain (baseline)"
    return (label, summary.median, summary.p99, worst, worst, None, *shares, None, None, None)


def _judge(results: list[_Result], quick: bool) -> tuple[Verdict, ...]:
    verdicts = []
    for result in results:
        times = result.times_ms
        missing = sum(len(p.missing) for p in (*result.propagations, *result.churned))
        worst_s = max(times, default=WAIT_S * 1000) / 1000 if not missing else WAIT_S
        label = result.label
        verdicts.append(
            judge(f"worst convergence, s, {label}", worst_s, at_most=CONVERGENCE_S),
        )
        factor = result.link_bytes("inter-region") / result.entry_bytes
        verdicts.append(
            judge(
                f"inter-region bytes of a version / compressed delta, {label}",
                None if quick else factor,
                at_most=INTER_REGION_FACTOR,
            )
        )
    return tuple(verdicts)


def measure_convergence(sizes: tuple[int, ...], versions: int, *, quick: bool) -> Measurement:
    """Measure convergence and control bytes.

    :param sizes: numbers of nodes.
    :param versions: versions of each stream.
    :param quick: whether only the default setting is measured.
    """
    results: list[_Result] = []
    rows: list[Row] = []
    failures = []
    for nodes in sizes:
        for variant in (EAGER,) if quick else VARIANTS:
            try:
                results.append(_run_variant(nodes, variant, versions, quick))
            except (MemoryLimitError, AssertionError, OSError) as error:
                failures.append(f"{nodes} {variant.name}: {error}")
                continue
            rows.append(_row(results[-1]))
        try:
            rows.append(_plain_row(nodes, versions))
        except (AssertionError, OSError) as error:
            failures.append(f"{nodes} plain: {error}")
    table = Table("convergence of accepted versions, with and without churn", COLUMNS, tuple(rows))
    bars = Bars(
        "convergence",
        "ms from acceptance",
        tuple(str(row[0]) for row in rows),
        {
            name: tuple(float(row[index] or 0) for row in rows)
            for index, name in enumerate(COLUMNS[1:4], 1)
        },
        CONVERGENCE_S * 1000,
    )
    notes: tuple[str, ...] = (
        "Node times are from the nodes' own events on the machine's one clock; polled times "
        "include the polls.",
        "The plain way's bytes are the values alone, without HTTP heads: a lower bound.",
    )
    if quick:
        notes += ("The streams of the start were not yet closed: bytes are above those at rest.",)
    kinds = _kinds_table(results)
    return Measurement(
        "convergence", (table, kinds), _judge(results, quick), (bars,), notes, tuple(failures)
    )
