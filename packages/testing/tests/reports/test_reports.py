"""Tests of the tables and plots of played days."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bamboonotch_testing.reports import JournalError, make_report, read_journal


def make_day(name: str, worth: float | None, **fields: Any) -> dict[str, Any]:
    """Return a day as the journal holds it."""
    prices = [["cloud calls", 600.0, 0.02], ["GB between regions", 0.02, 0.03]]
    day = {"name": name, "G": worth, "score": 0.5, "served": 0.9, "refused": 0.05}
    return day | {"failed": 0.05, "rules": {}, "prices": prices} | fields


def make_entry(play: str, *days: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return an entry as the journal holds it."""
    entry = {"id": play, "at": ["2026-12-04T12:11:05Z", ""], "cmd": "score", "site": "himal-mesh"}
    return entry | {"head": "0123456789abcdef", "days": list(days)} | fields


class ReportsTest(unittest.TestCase):
    """Journals of a few entries."""

    def setUp(self) -> None:
        """Make an empty journal."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.journal = Path(directory.name) / "journal"
        self.journal.mkdir()

    def write(self, entry: dict[str, Any]) -> None:
        """Add an entry."""
        (self.journal / f"{entry['id']}.json").write_text(json.dumps(entry))

    def test_days_and_plays(self) -> None:
        """Guards against figures of another day, and days that are lost."""
        self.write(make_entry("a", make_day("quiet-1", 0.8), make_day("scale-1", 0.4)))
        self.write(make_entry("b", make_day("quiet-1", 0.9), make_day("scale-1", None)))
        self.write(make_entry("c", make_day("quiet-1", 0.1), site="mkaa-mesh"))
        self.write(make_entry("d", site=None))
        report = make_report("himal-mesh", read_journal(self.journal))
        days, plays = report.tables
        self.assertEqual(
            [row[4:6] for row in days.rows],
            [
                ("quiet-1", 0.8),
                ("scale-1", 0.4),
                ("quiet-1", 0.9),
            ],
        )
        self.assertEqual(days.rows[0][-3:], (600, 0.0, 20.0))
        self.assertEqual([row[4:] for row in plays.rows], [(2, 0.6, 0), (1, 0.9, 0)])
        self.assertEqual(report.bars[0].groups, ("quiet-1",))
        self.assertEqual(report.bars[0].series, {"a (01234567)": (0.8,), "b (01234567)": (0.9,)})

    def test_broken_rules_are_named(self) -> None:
        """Guards against a report that hides a broken rule."""
        self.write(make_entry("a", make_day("trouble-1", 0.0, rules={"DRAIN": 23})))
        report = make_report("himal-mesh", read_journal(self.journal))
        self.assertIn("FAILED: trouble-1 of a: DRAIN 23", report.render())

    def test_entry_that_cannot_be_read(self) -> None:
        """Guards against an entry that is skipped without a word."""
        (self.journal / "x.json").write_text("{")
        with self.assertRaisesRegex(JournalError, "x.json"):
            read_journal(self.journal)

    def test_command(self) -> None:
        """Guards against a command that writes no tables and plots."""
        self.write(make_entry("a", make_day("quiet-1", 0.8)))
        out = self.journal.parent / "out"
        command = [sys.executable, "-m", "bamboonotch_testing.reports", str(self.journal)]
        result = subprocess.run(
            [*command, "--out", str(out)], stdout=subprocess.PIPE, text=True, check=True
        )
        self.assertIn("quiet-1", result.stdout)
        self.assertEqual(
            sorted(path.name for path in out.iterdir()),
            ["days-himal-mesh.json", "days-himal-mesh.png"],
        )
