"""Load from a caller process of its own."""

from __future__ import annotations

import contextlib
import json
import uuid
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from bamboonotch_testing.caller import CallClass
from bamboonotch_testing.fleet import ManagedProcess

__all__ = ["Load", "run_load_process", "start_load"]

EXTRA_S = 30.0
Outcomes = dict[str, dict[str, float]]


@dataclass(frozen=True)
class Load:
    """Load on one address.

    :param address: ``ip:port`` of a node or backend server.
    :param classes: kinds of calls.
    :param rate_per_s: calls a second.
    :param seconds: length, in seconds.
    :param seed: seed of the arrivals.
    """

    address: str
    classes: tuple[CallClass, ...]
    rate_per_s: float
    seconds: float
    seed: int = 1


class _Running:
    """Load in progress.

    :param process: the caller.
    :param load: what it sends.
    """

    def __init__(self, process: ManagedProcess, load: Load) -> None:
        self._process = process
        self._load = load

    def finish(self) -> Outcomes:
        """Wait for the end and return the counts and latencies of each class.

        :raises AssertionError: when the caller failed.
        """
        status = self._process.wait(self._load.seconds + EXTRA_S)
        output = self._process.read_log()
        assert status == 0, f"caller ended with status {status}: {output[-500:]}"
        summary: dict[str, Any] = json.loads(output[output.index("{") :])
        return summary


@contextlib.contextmanager
def start_load(load: Load, directory: Path) -> Iterator[_Running]:
    """Start load; it ends at the latest when the context is left.

    :param load: what to send.
    :param directory: where the caller's output goes.
    """
    arguments = ["-m", "bamboonotch_testing.caller", "--address", load.address]
    arguments += ["--rate", str(load.rate_per_s), "--seconds", str(load.seconds)]
    arguments += ["--seed", str(load.seed)]
    for kind in load.classes:
        arguments += ["--class", json.dumps(asdict(kind))]
    with ManagedProcess(f"load-{uuid.uuid4().hex}", arguments, directory) as process:
        yield _Running(process, load)


def run_load_process(loads: Sequence[Load], directory: Path) -> list[Outcomes]:
    """Run several loads at the same time and return the outcomes of each.

    :param loads: the loads.
    :param directory: where the callers' output goes.
    """
    with contextlib.ExitStack() as stack:
        running = [stack.enter_context(start_load(load, directory)) for load in loads]
        return [one.finish() for one in running]
