"""Summaries, tables and verdicts say what was measured."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from bamboonotch_testing.bench import Measurement, Table, judge, summarize_values, write_report
from bamboonotch_testing.bench._harness import MemoryLimitError, check_memory
from bamboonotch_testing.bench._overload import judge_outcomes


class SummaryTest(unittest.TestCase):
    """Percentiles."""

    def test_hundred_values(self) -> None:
        """Guards against a 99th percentile that is the worst value or an interpolated one."""
        summary = summarize_values([float(value) for value in range(100, 0, -1)])
        self.assertEqual((summary.count, summary.median, summary.p99), (100, 50.0, 99.0))
        self.assertEqual(summary.worst, 100.0)

    def test_no_values(self) -> None:
        """Guards against a failure of the whole run when nothing was measured."""
        self.assertEqual(summarize_values([]).count, 0)


class VerdictTest(unittest.TestCase):
    """Targets met and missed."""

    def test_limits_are_inclusive(self) -> None:
        """Guards against a verdict on the wrong side of its limit."""
        self.assertTrue(judge("t", 5.0, at_most=5.0).met)
        self.assertFalse(judge("t", 5.001, at_most=5.0).met)
        self.assertTrue(judge("t", 0.99, at_least=0.99).met)
        self.assertFalse(judge("t", 0.989, at_least=0.99).met)

    def test_nothing_measured(self) -> None:
        """Guards against a target that counts as met because nothing was measured."""
        verdict = judge("t", None, at_most=5.0)
        self.assertIsNone(verdict.met)
        self.assertIn("NOT MEASURED", verdict.describe())

    def test_overload_without_orders(self) -> None:
        """Guards against full marks for a class of which no call was sent."""
        orders, plans = judge_outcomes({})
        self.assertFalse(orders.met)
        self.assertIsNone(plans.met)

    def test_overload_with_plans_served_before_menus(self) -> None:
        """Guards against overlooking that the lowest class was not shed first."""
        outcomes = {
            name: {"calls": 100.0, "done": done}
            for name, done in (
                ("order-placement", 99.0),
                ("stock-check", 99.0),
                ("manifest", 99.0),
                ("menu-read", 10.0),
                ("plan-download", 20.0),
            )
        }
        self.assertEqual([verdict.met for verdict in judge_outcomes(outcomes)], [True, False])


class MemoryTest(unittest.TestCase):
    """The limit of half of the machine's memory."""

    def test_limit(self) -> None:
        """Guards against starting a fleet that takes more than half of the memory."""
        check_memory(10, total_mb=8000.0, free_mb=7000.0)
        with self.assertRaises(MemoryLimitError):
            check_memory(10, total_mb=8000.0, free_mb=4500.0)


class ReportTest(unittest.TestCase):
    """Text and JSON."""

    def test_table(self) -> None:
        """Guards against columns that do not line up or a missing value shown as a number."""
        table = Table("title", ("name", "ms"), (("a", 1.0), ("longer", None)))
        self.assertEqual(table.render(), "title\nname    ms\na        1\nlonger   -")

    def test_json(self) -> None:
        """Guards against results that cannot be read back, or a lost failure."""
        table = Table("figures", ("name", "ms"), (("a", 1.5),))
        measurement = Measurement(
            "trial", (table,), (judge("t", 1.5, at_most=1.0),), failures=("b: no answer",)
        )
        with tempfile.TemporaryDirectory() as directory:
            write_report(measurement, Path(directory) / "made")
            content = json.loads((Path(directory) / "made" / "trial.json").read_text())
        self.assertEqual(content["tables"]["figures"], [{"name": "a", "ms": 1.5}])
        self.assertFalse(content["verdicts"][0]["met"])
        self.assertEqual(content["failures"], ["b: no answer"])


if __name__ == "__main__":
    unittest.main()
