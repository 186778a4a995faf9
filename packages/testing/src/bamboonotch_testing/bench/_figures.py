"""Summaries of measured values, tables and verdicts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bamboonotch_testing.caller import percentile

__all__ = ["Cell", "Row", "Summary", "Table", "Verdict", "judge", "summarize_values"]

Cell = str | int | float | None
Row = tuple[Cell, ...]


@dataclass(frozen=True)
class Summary:
    """Summary of a series of values.

    :param count: number of values.
    :param median: the median.
    :param p99: the 99th percentile.
    :param worst: the largest value.
    """

    count: int
    median: float
    p99: float
    worst: float


def summarize_values(values: Sequence[float]) -> Summary:
    """Summarize values; all figures are 0 when there are none.

    :param values: the values.
    """
    series = list(values)
    return Summary(
        len(series),
        percentile(series, 0.5),
        percentile(series, 0.99),
        max(series, default=0.0),
    )


@dataclass(frozen=True)
class Verdict:
    """Whether a stated target was met.

    :param target: the target in words.
    :param limit: the limit.
    :param measured: what was measured, or ``None`` when nothing was.
    :param met: whether it was met; ``None`` when nothing was measured.
    """

    target: str
    limit: float
    measured: float | None
    met: bool | None

    def describe(self) -> str:
        """Return one line for people."""
        if self.measured is None or self.met is None:
            return f"NOT MEASURED: {self.target}"
        word = "met" if self.met else "MISSED"
        return f"{word}: {self.target}: measured {self.measured:.4g}, limit {self.limit:g}"


def judge(
    target: str, measured: float | None, *, at_most: float | None = None, at_least: float = 0.0
) -> Verdict:
    """Compare a figure with its target.

    :param target: the target in words.
    :param measured: the figure, or ``None`` when it could not be measured.
    :param at_most: upper limit; without it ``at_least`` is the limit.
    :param at_least: lower limit, used without an upper one.
    """
    limit = at_least if at_most is None else at_most
    if measured is None:
        return Verdict(target, limit, None, None)
    met = measured >= at_least if at_most is None else measured <= at_most
    return Verdict(target, limit, measured, met)


def _show(cell: Cell) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, float):
        return f"{cell:.0f}" if abs(cell) >= 1000 else f"{cell:.4g}"
    return str(cell)


@dataclass(frozen=True)
class Table:
    """A table of figures.

    :param title: what it shows.
    :param columns: names of the columns, with their units.
    :param rows: the cells; ``None`` is shown as a dash.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]

    def render(self) -> str:
        """Return the table as text; the first column is aligned left, the others right."""
        cells = [self.columns, *(tuple(_show(cell) for cell in row) for row in self.rows)]
        widths = [max(len(row[index]) for row in cells) for index in range(len(self.columns))]
        lines = [self.title]
        for row in cells:
            first = row[0].ljust(widths[0])
            rest = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
            lines.append("  ".join([first, *rest]).rstrip())
        return "\n".join(lines)

    def as_json(self) -> list[dict[str, Cell]]:
        """Return each row as an object with the columns as names."""
        return [dict(zip(self.columns, row, strict=True)) for row in self.rows]
