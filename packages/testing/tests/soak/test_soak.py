"""A short soak, and the seeds that once failed."""

from __future__ import annotations

import subprocess
import sys
import unittest

SEED = 1
FAULTS_S = 5.0
TIMEOUT_S = 180.0
# Each seed that ever failed, with its time with faults, and the cause.
FAILED_SEEDS: tuple[tuple[int, float, str], ...] = ()


class SoakTest(unittest.TestCase):
    """Real nodes under faults."""

    def run_seed(self, seed: int, faults_s: float) -> None:
        """Run one seed and check that no promise was broken."""
        command = [sys.executable, "-m", "bamboonotch_testing.soak"]
        command += [f"--seed={seed}", f"--faults-s={faults_s}"]
        result = subprocess.run(
            command, stdout=subprocess.PIPE, text=True, timeout=TIMEOUT_S, check=False
        )
        self.assertEqual(result.returncode, 0, result.stdout)

    def test_short_run(self) -> None:
        """Guards against a promise that a few seconds of faults break."""
        self.run_seed(SEED, FAULTS_S)

    def test_failed_seeds(self) -> None:
        """Guards against the return of what broke a promise once."""
        for seed, faults_s, cause in FAILED_SEEDS:
            with self.subTest(cause, seed=seed):
                self.run_seed(seed, faults_s)
