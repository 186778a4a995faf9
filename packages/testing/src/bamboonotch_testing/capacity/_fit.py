"""Straight lines through measured series."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Fit", "Series", "fit_line"]


@dataclass(frozen=True)
class Fit:
    """A line fitted by least squares.

    :param slope: change of the value for one unit of size.
    :param intercept: value at size 0.
    :param residual: root of the mean squared residual, in the unit of the value.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size.

        :param size: the size.
        """
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    :param sizes: the sizes; at least two different ones.
    :param values: the value at each size.
    :raises ValueError: when the sizes do not determine a line.
    """
    if len(sizes) != len(values) or len(set(sizes)) < 2:
        raise ValueError("a line needs values at two different sizes at least")
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    intercept = mean_value - slope * mean_size
    squares = sum((value - intercept - slope * size) ** 2 for size, value in pairs)
    return Fit(slope, intercept, (squares / count) ** 0.5)


@dataclass(frozen=True)
class Series:
    """Values of one quantity at several sizes.

    :param name: the quantity.
    :param unit: its unit.
    :param sizes: the sizes.
    :param values: the values.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def fit(self) -> Fit:
        """The line through the values."""
        return fit_line(self.sizes, self.values)

    def at(self, size: float) -> float:
        """Return the value at a size: the measured one where there is one, else the line's.

        :param size: the size.
        """
        measured = dict(zip(self.sizes, self.values, strict=True))
        return measured.get(size, self.fit.at(size))
