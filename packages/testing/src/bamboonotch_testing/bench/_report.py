"""Writes the results of a measurement: text, JSON and a plot."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from bamboonotch_testing.bench._figures import Table, Verdict

__all__ = ["Bars", "Measurement", "write_report"]


@dataclass(frozen=True)
class Bars:
    """A bar chart.

    :param title: what it shows.
    :param unit: label of the value axis, with its unit.
    :param groups: labels of the groups.
    :param series: values of each series, one for each group.
    :param limit: the target, drawn as a line, or ``None``.
    """

    title: str
    unit: str
    groups: tuple[str, ...]
    series: dict[str, tuple[float, ...]]
    limit: float | None = None


@dataclass(frozen=True)
class Measurement:
    """Everything that one measurement found.

    :param name: name of the measurement.
    :param tables: the figures.
    :param verdicts: the targets.
    :param bars: what is plotted.
    :param notes: conditions that the reader must know.
    :param failures: parts that could not be measured, with the reason.
    """

    name: str
    tables: tuple[Table, ...]
    verdicts: tuple[Verdict, ...]
    bars: tuple[Bars, ...] = ()
    notes: tuple[str, ...] = ()
    failures: tuple[str, ...] = field(default=())

    def render(self) -> str:
        """Return the measurement as text."""
        parts = [f"== {self.name}"]
        parts += [table.render() for table in self.tables]
        parts += [f"note: {note}" for note in self.notes]
        parts += [f"FAILED: {failure}" for failure in self.failures]
        parts += [verdict.describe() for verdict in self.verdicts]
        return "\n".join(parts)

    def as_json(self) -> dict[str, Any]:
        """Return the measurement as a JSON object."""
        return {
            "name": self.name,
            "tables": {table.title: table.as_json() for table in self.tables},
            "verdicts": [asdict(verdict) for verdict in self.verdicts],
            "notes": list(self.notes),
            "failures": list(self.failures),
        }


def _plot(bars: tuple[Bars, ...], path: Path) -> None:
    # Imported late: it takes about a second, and tests of the pure parts do not need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(bars), figsize=(7 * len(bars), 5), squeeze=False)
    for chart, axis in zip(bars, axes[0], strict=True):
        width = 0.8 / max(1, len(chart.series))
        for number, (name, values) in enumerate(chart.series.items()):
            positions = [index + number * width for index in range(len(values))]
            axis.bar(positions, values, width, label=name)
        middle = 0.4 - width / 2
        axis.set_xticks([index + middle for index in range(len(chart.groups))], chart.groups)
        axis.tick_params(axis="x", labelrotation=20)
        if chart.limit is not None:
            axis.axhline(chart.limit, linestyle="--", color="black", label="target")
        axis.set_title(chart.title)
        axis.set_ylabel(chart.unit)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def write_report(measurement: Measurement, directory: Path) -> None:
    """Write ``NAME.json`` and, when there is something to plot, ``NAME.png``.

    :param measurement: what was found.
    :param directory: where to write; made when it is absent.
    """
    directory.mkdir(parents=True, exist_ok=True)
    text = json.dumps(measurement.as_json(), indent=2) + "\n"
    (directory / f"{measurement.name}.json").write_text(text)
    if measurement.bars:
        _plot(measurement.bars, directory / f"{measurement.name}.png")
