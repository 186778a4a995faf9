"""Runs the demonstration with ``python -m bamboonotch_testing.demo``."""

import sys

from bamboonotch_testing.demo._demo import run_demo

sys.exit(run_demo())
