"""Run the measurements and say which targets were met."""

from __future__ import annotations

import argparse
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bamboonotch_testing.bench._amplification import measure_amplification
from bamboonotch_testing.bench._convergence import measure_convergence
from bamboonotch_testing.bench._failures import measure_failures
from bamboonotch_testing.bench._harness import end_children_on_sigterm
from bamboonotch_testing.bench._latency import measure_latency
from bamboonotch_testing.bench._leaving import measure_leaving
from bamboonotch_testing.bench._overload import measure_overload
from bamboonotch_testing.bench._report import Measurement, write_report
from bamboonotch_testing.bench._store_calls import measure_store_calls

__all__ = ["MEASUREMENTS", "main"]

QUICK_SIZES = (6,)
QUICK_STORE_SIZES = (12, 16)
SIZES = (13, 50, 100, 200)


@dataclass(frozen=True)
class _Form:
    """How large the measurements are.

    :param quick: whether they are the quick ones.
    :param sizes: numbers of nodes, where they are not quick.
    """

    quick: bool
    sizes: tuple[int, ...]


def _convergence(form: _Form) -> Measurement:
    if form.quick:
        return measure_convergence(QUICK_SIZES, 3, quick=True)
    return measure_convergence(form.sizes, 10, quick=False)


def _failures(form: _Form) -> Measurement:
    return measure_failures(6, 1) if form.quick else measure_failures(13, 3)


def _leaving(form: _Form) -> Measurement:
    return measure_leaving(8, 60.0, 2) if form.quick else measure_leaving(13, 200.0)


def _latency(form: _Form) -> Measurement:
    if form.quick:
        return measure_latency(50.0, 1.0, fixed_path=False)
    return measure_latency(100.0, 20.0, fixed_path=True)


def _overload(form: _Form) -> Measurement:
    return measure_overload(2.0 if form.quick else 20.0)


def _amplification(form: _Form) -> Measurement:
    if form.quick:
        return measure_amplification(6, 60.0, 1.0)
    return measure_amplification(13, 150.0, 15.0)


def _store_calls(form: _Form) -> Measurement:
    if form.quick:
        return measure_store_calls(QUICK_STORE_SIZES, 2.0, 0.0)
    return measure_store_calls(form.sizes, 20.0, 40.0)


MEASUREMENTS: dict[str, Callable[[_Form], Measurement]] = {
    "convergence": _convergence,
    "failures": _failures,
    "leaving": _leaving,
    "latency": _latency,
    "overload": _overload,
    "amplification": _amplification,
    "store-calls": _store_calls,
}


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.bench", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="small fleets, under 90 s in all")
    parser.add_argument(
        "--only", nargs="+", choices=tuple(MEASUREMENTS), metavar="NAME", help="only these"
    )
    parser.add_argument(
        "--sizes",
        nargs="+",
        type=int,
        default=SIZES,
        metavar="NODES",
        help="fleet sizes of convergence and store-calls, when not quick",
    )
    parser.add_argument(
        "--output", type=Path, default=Path("bench-results"), help="directory for JSON and plots"
    )
    return parser.parse_args(arguments)


def _measure(name: str, form: _Form) -> Measurement:
    """Run one measurement; a failure of it must not lose the others."""
    try:
        return MEASUREMENTS[name](form)
    except Exception as error:  # noqa: BLE001
        traceback.print_exc()
        return Measurement(name, (), (), failures=(f"{type(error).__name__}: {error}",))


def main(arguments: list[str] | None = None) -> int:
    """Run the chosen measurements; returns 1 when one of them failed.

    A missed target is a result and not a failure.

    :param arguments: command line; that of the process by default.
    """
    options = _parse(arguments)
    end_children_on_sigterm()
    form = _Form(options.quick, tuple(options.sizes))
    failed = False
    for name in options.only or MEASUREMENTS:
        started_s = time.monotonic()
        measurement = _measure(name, form)
        write_report(measurement, options.output)
        print(measurement.render())
        print(f"{name} took {time.monotonic() - started_s:.0f} s\n", flush=True)
        failed = failed or bool(measurement.failures)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
