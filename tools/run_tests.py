"""Run every package's unittest suite and print one verdict line.

Each suite runs in a process of its own, because the suites share the package name ``tests``.
Tests listed in KNOWN-RED.txt still run and are printed, but do not fail the run.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SUITES = {
    name: ROOT / "packages" / name for name in ("core", "wire", "store", "node", "cli", "testing")
} | {"platform": ROOT / "platform"}
# These start no processes and measure no times, so they run beside the other suites.
PURE_SUITES = frozenset({"core", "wire"})
KNOWN_RED_PATTERN = re.compile(r"^test:\s*(\S+)", re.MULTILINE)
SUITE_TIMEOUT_S = 1800


@dataclass(frozen=True)
class SuiteResult:
    """Names of the tests of one suite by result."""

    passed: tuple[str, ...]
    failed: tuple[str, ...]


class _RecordingResult(unittest.TextTestResult):
    """Collects the ids of passed tests, which the base class does not keep."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.passed_ids: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a passed test."""
        super().addSuccess(test)
        self.passed_ids.append(test.id())


def run_suite(package: str, pattern: str) -> int:
    """Run one package's suite in this process and write its result as JSON to standard output.

    :param package: name of the suite.
    :param pattern: file pattern of the test modules.
    """
    top = SUITES[package]
    sys.path.insert(0, str(top))
    suite = unittest.defaultTestLoader.discover(
        str(top / "tests"), pattern=pattern, top_level_dir=str(top)
    )
    runner = unittest.TextTestRunner(
        stream=sys.stderr, resultclass=_RecordingResult, verbosity=1, buffer=True
    )
    result = runner.run(suite)
    assert isinstance(result, _RecordingResult)
    failed = [test.id() for test, _ in result.failures + result.errors]
    failed += [f"{test.id()} (unexpected success)" for test in result.unexpectedSuccesses]
    failed += [f"{test.id()} (skipped)" for test, _ in result.skipped]
    print(json.dumps({"passed": result.passed_ids, "failed": failed}))
    return 0


def collect_suite(package: str, pattern: str) -> SuiteResult:
    """Run one package's suite in a child process.

    :param package: name of the suite.
    :param pattern: file pattern of the test modules.
    """
    command = [sys.executable, __file__, "--suite", package, "--pattern", pattern]
    try:
        process = subprocess.run(
            command, stdout=subprocess.PIPE, text=True, timeout=SUITE_TIMEOUT_S, check=False
        )
        report = json.loads(process.stdout.strip().splitlines()[-1])
    except (subprocess.TimeoutExpired, json.JSONDecodeError, IndexError) as error:
        return SuiteResult((), (f"{package}: suite did not finish: {error}",))
    return SuiteResult(
        tuple(f"{package}:{name}" for name in report["passed"]),
        tuple(f"{package}:{name}" for name in report["failed"]),
    )


def collect_suites(packages: list[str], pattern: str) -> list[SuiteResult]:
    """Run suites, the pure ones beside the others, and return their results in order.

    :param packages: names of the suites.
    :param pattern: file pattern of the test modules.
    """

    def collect_in_turn(names: list[str]) -> dict[str, SuiteResult]:
        return {name: collect_suite(name, pattern) for name in names}

    pure = [name for name in packages if name in PURE_SUITES]
    others = [name for name in packages if name not in PURE_SUITES]
    with ThreadPoolExecutor(max_workers=2) as pool:
        parts = [pool.submit(collect_in_turn, names) for names in (pure, others)]
        results = parts[0].result() | parts[1].result()
    return [results[name] for name in packages]


def read_known_red() -> frozenset[str]:
    """Read the ids of tests that may fail from KNOWN-RED.txt."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return frozenset()
    return frozenset(KNOWN_RED_PATTERN.findall(path.read_text()))


def main() -> int:
    """Run the chosen suites and print the verdict as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--suite", choices=tuple(SUITES), help="run one suite in this process")
    parser.add_argument("--package", choices=tuple(SUITES), action="append", help="only these")
    parser.add_argument("--pattern", default="test_*.py", help="file pattern of test modules")
    options = parser.parse_args()
    if options.suite:
        return run_suite(options.suite, options.pattern)
    known_red = read_known_red()
    passed: list[str] = []
    failed: list[str] = []
    for result in collect_suites(options.package or list(SUITES), options.pattern):
        passed.extend(result.passed)
        failed.extend(result.failed)
    excused = [name for name in failed if name in known_red]
    failed = [name for name in failed if name not in known_red]
    for name in excused:
        print(f"known red: {name}")
    for name in sorted(known_red.intersection(passed)):
        print(f"known red but passing: {name}")
    for name in failed:
        print(f"FAILED: {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
