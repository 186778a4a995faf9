"""Tests of the latency measurement."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path


class LatencyBenchTest(unittest.TestCase):
    """A short run of the whole measurement."""

    def test_short_run(self) -> None:
        """Guards against a measurement that loses calls or does not end."""
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory) / "figures.json"
            arguments = ["--seconds", "1", "--rate", "50", "--body-bytes", "20"]
            subprocess.run(
                [sys.executable, "-m", "bamboonotch_testing.latency_bench", *arguments]
                + ["--json", str(file)],
                stdout=subprocess.DEVNULL,
                check=True,
                timeout=60,
            )
            report = json.loads(file.read_text())
        for name in ("direct", "meshed"):
            self.assertGreater(report[name]["calls"], 20)
            self.assertEqual(report[name]["good"], report[name]["calls"])
        self.assertIn("p99_ms", report["added"])
