"""Measures slopes of one node's cost and extrapolates them to the size to build towards."""

from bamboonotch_testing.capacity._fit import Fit, Series, fit_line

__all__ = ["Fit", "Series", "fit_line"]
