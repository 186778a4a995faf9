"""Tables and plots of played days."""

from __future__ import annotations

from collections.abc import Sequence

from bamboonotch_testing.bench import Bars, Measurement, Table
from bamboonotch_testing.reports._days import Day

__all__ = ["make_report"]

# More versions than these are not readable in one plot.
PLOTTED_PLAYS = 4
PLOTS = {
    "worth": ("Worth by day", "share of the worth owed"),
    "memory_gb_s": ("Memory", "GB x s a day"),
    "store_calls": ("Calls of the store", "calls a day"),
    "regions_mb": ("Bytes between regions", "MB a day"),
}


def make_report(site: str, days: Sequence[Day]) -> Measurement:
    """Return the tables and plots of one deployment.

    :param site: the deployment.
    :param days: days of any deployment.
    """
    played = [day for day in days if day.site == site]
    scores = [day for day in played if day.command == "score"]
    failures = tuple(
        f"{day.name} of {day.play}: {', '.join(f'{rule} {count}' for rule, count in day.broken)}"
        for day in played
        if day.broken
    )
    return Measurement(
        name=f"days-{site}",
        tables=(_make_days(played), _make_plays(played)),
        verdicts=(),
        bars=_make_bars(scores),
        notes=(f"{len(played)} days in {len({day.play for day in played})} plays",),
        failures=failures,
    )


def _make_days(days: Sequence[Day]) -> Table:
    header = (
        *("began", "play", "command", "commit", "day", "worth", "score", "served", "refused"),
        *("failed", "cpu s", "GB x s", "store calls", "MB data centres", "MB regions"),
    )
    rows = tuple(
        (
            *(day.began, day.play, day.command, day.commit, day.name),
            *(round(day.worth, 3), day.score if day.score is None else round(day.score, 2)),
            *(round(day.served, 3), round(day.refused, 3), round(day.failed, 3)),
            *(round(day.processor_s, 1), round(day.memory_gb_s, 1), round(day.store_calls)),
            *(round(day.data_centres_mb, 1), round(day.regions_mb, 1)),
        )
        for day in days
    )
    return Table("days", header, rows)


def _make_plays(days: Sequence[Day]) -> Table:
    """Return one row for each play: how many days, and what they were worth on average."""
    rows = []
    for play in dict.fromkeys(day.play for day in days):
        own = [day for day in days if day.play == play]
        worth = sum(day.worth for day in own) / len(own)
        broken = sum(bool(day.broken) for day in own)
        rows.append(
            (own[0].began, play, own[0].command, own[0].commit, len(own), round(worth, 3), broken)
        )
    header = ("began", "play", "command", "commit", "days", "mean worth", "days with a breach")
    return Table("plays", header, tuple(rows))


def _make_bars(scores: Sequence[Day]) -> tuple[Bars, ...]:
    plays = list(dict.fromkeys(day.play for day in scores))[-PLOTTED_PLAYS:]
    if not plays:
        return ()
    # Days drawn for one play only cannot be compared.
    seen = {play: {day.name for day in scores if day.play == play} for play in plays}
    common = set.intersection(*seen.values())
    names = tuple(day.name for day in scores if day.play == plays[-1] and day.name in common)
    return tuple(
        Bars(
            title,
            unit,
            names,
            {
                _label(play, scores): tuple(
                    getattr(day, field)
                    for name in names
                    for day in scores
                    if (day.play, day.name) == (play, name)
                )
                for play in plays
            },
        )
        for field, (title, unit) in PLOTS.items()
    )


def _label(play: str, days: Sequence[Day]) -> str:
    commit = next(day.commit for day in days if day.play == play)
    return f"{play} ({commit})"
