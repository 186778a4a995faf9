"""Runs the baseline of the plain way."""

from __future__ import annotations

import contextlib
import json
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboonotch_testing.bench._submitter import AcceptedVersion, Submitter, timeout_patch
from bamboonotch_testing.fleet import Fleet, Layout, ManagedProcess, call_json, wait_until

__all__ = ["PlainResult", "run_plain"]

PROCESSES = 8
TIMEOUT_S = 40.0


@dataclass(frozen=True)
class PlainResult:
    """What the plain way took.

    :param node_ms: time from acceptance until a node had the version in force, for every node and
        version, in milliseconds.
    :param worst_ms: the slowest node of each version, in milliseconds.
    :param bytes_per_version: bytes of values that the store sent to all nodes for one version.
    :param store_calls_per_s: store calls a second at rest.
    """

    node_ms: tuple[float, ...]
    worst_ms: tuple[float, ...]
    bytes_per_version: float
    store_calls_per_s: float


class _Watchers:
    """Processes that play the nodes.

    :param fleet: owns the store; its nodes are not started.
    :param stack: ends the processes.
    :param count: how many nodes are played.
    """

    def __init__(self, fleet: Fleet, stack: contextlib.ExitStack, count: int) -> None:
        self.count = count
        processes = min(PROCESSES, count)
        self._processes = []
        for number in range(processes):
            mine = len(range(number, count, processes))
            arguments = ["-m", "bamboonotch_testing.bench.plain", "--store", fleet.store_address]
            arguments += ["--region", fleet.layout.store_region, "--tenant", fleet.layout.tenant]
            arguments += ["--nodes", str(mine), "--first", str(number * count)]
            process = ManagedProcess(f"plain-{number}", arguments, fleet.directory)
            self._processes.append(stack.enter_context(process))

    def read(self, version: int) -> list[dict[str, Any]]:
        """Return what was printed on a version.

        :param version: the version.
        """
        lines = [
            json.loads(line)
            for process in self._processes
            for line in process.read_log().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]
        return [line for line in lines if line["version"] == version]

    def wait_for(self, version: int) -> list[dict[str, Any]]:
        """Wait until every node has a version, and return what was printed on it.

        :param version: the version.
        """
        wait_until(
            f"{self.count} watchers have version {version}",
            lambda: len(self.read(version)) >= self.count,
            TIMEOUT_S,
        )
        return self.read(version)


def _count_calls(fleet: Fleet) -> float:
    total: float = call_json(fleet.store_address, "GET", "/control/calls")["total"]
    return total


def _measure_rest(fleet: Fleet, rest_s: float) -> float:
    before = _count_calls(fleet)
    time.sleep(rest_s)
    return (_count_calls(fleet) - before) / rest_s if rest_s else 0.0


def run_plain(
    layout: Layout, route: str, versions: int, interval_s: float, rest_s: float = 0.0
) -> PlainResult:
    """Let every node of a layout follow the store by itself through a stream of versions.

    :param layout: the layout.
    :param route: route whose timeout the versions change.
    :param versions: number of versions.
    :param interval_s: time between two versions, in seconds.
    :param rest_s: how long store calls are counted at rest, in seconds.
    """
    times: dict[int, list[float]] = defaultdict(list)
    size_bytes = 0.0
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(Fleet(layout))
        watchers = _Watchers(fleet, stack, len(layout.places()))
        submitter = Submitter(fleet.store_address, layout.tenant)
        first = [
            {"op": "replace", "path": f"/{section}", "value": value}
            for section, value in layout.document.items()
        ]
        watchers.wait_for(submitter.submit(first, with_snapshot=True).version)
        calls_per_s = _measure_rest(fleet, rest_s)
        for number in range(versions):
            patch = timeout_patch(route, 1000 + number)
            accepted = submitter.submit(patch, with_snapshot=True)
            size_bytes += _record(watchers.wait_for, accepted, times)
            time.sleep(interval_s)
    return PlainResult(
        tuple(value for series in times.values() for value in series),
        tuple(max(series) for series in times.values()),
        size_bytes / max(1, versions),
        calls_per_s,
    )


def _record(
    wait_for: Callable[[int], list[dict[str, Any]]],
    accepted: AcceptedVersion,
    times: dict[int, list[float]],
) -> float:
    """Keep the times of one version and return the bytes that it took."""
    lines = wait_for(accepted.version)
    times[accepted.version] = [
        max(0.0, line["unix_ms"] - accepted.accepted_unix_ms) for line in lines
    ]
    return float(sum(line["bytes"] for line in lines))
