"""The quick form of one measurement runs on real processes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

TIMEOUT_S = 120.0


class QuickTest(unittest.TestCase):
    """The command as operators of the bench call it."""

    def test_convergence(self) -> None:
        """Guards against a bench that no longer matches the nodes, or measures no version."""
        with tempfile.TemporaryDirectory() as directory:
            arguments = ["--quick", "--only", "convergence", "--output", directory]
            finished = subprocess.run(
                [sys.executable, "-m", "bamboonotch_testing.bench", *arguments],
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
            self.assertEqual(finished.returncode, 0, finished.stdout + finished.stderr)
            content = json.loads((Path(directory) / "convergence.json").read_text())
            self.assertTrue((Path(directory) / "convergence.png").exists())
        rows = content["tables"]["convergence of accepted versions, with and without churn"]
        self.assertEqual(len(rows), 2)
        for row in rows:
            self.assertGreater(row["worst ms"], 0.0, row)
            self.assertGreater(row["inter-region B/version"], 0.0, row)
        self.assertTrue(content["verdicts"][0]["met"], content["verdicts"])


if __name__ == "__main__":
    unittest.main()
