"""Measurements against the stated targets, each with a baseline in the same run."""

from bamboonotch_testing.bench._figures import Summary, Table, Verdict, judge, summarize_values
from bamboonotch_testing.bench._report import Bars, Measurement, write_report

__all__ = [
    "Bars",
    "Measurement",
    "Summary",
    "Table",
    "Verdict",
    "judge",
    "summarize_values",
    "write_report",
]
