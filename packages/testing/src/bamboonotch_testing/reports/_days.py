"""Reads the days of a journal."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

__all__ = ["PRICED", "Day", "JournalError", "read_journal"]

# Figures of a day that the journal lists together with their prices, by our name.
PRICED = {
    "processor_s": "processor seconds",
    "memory_gb_s": "memory, GB x seconds",
    "store_calls": "cloud calls",
    "data_centres_mb": "GB between zones",
    "regions_mb": "GB between regions",
}
MB_IN_GB = 1000.0


class JournalError(Exception):
    """An entry of the journal cannot be read."""


@dataclass(frozen=True)
class Day:
    """One day of one play.

    :param play: id of the entry.
    :param began: date and time, ISO 8601.
    :param command: what was run, such as ``score`` or ``hunt``.
    :param site: the deployment, or empty where the entry names none.
    :param commit: commit of the product that was played.
    :param name: name of the day.
    :param worth: share of the worth that was earned, less prices.
    :param score: place of the worth between the two marks of the day, or ``None``.
    :param served: share of the requests that were served.
    :param refused: share that was refused.
    :param failed: share that failed.
    :param broken: broken rules and how often.
    :param processor_s: processor time of the nodes, in seconds.
    :param memory_gb_s: memory over time, in gigabyte-seconds.
    :param store_calls: calls of the store.
    :param data_centres_mb: bytes between data centres, in megabytes.
    :param regions_mb: bytes between regions, in megabytes.
    """

    play: str
    began: str
    command: str
    site: str
    commit: str
    name: str
    worth: float
    score: float | None
    served: float
    refused: float
    failed: float
    broken: tuple[tuple[str, int], ...]
    processor_s: float
    memory_gb_s: float
    store_calls: float
    data_centres_mb: float
    regions_mb: float


def read_journal(directory: Path) -> tuple[Day, ...]:
    """Return the days of all entries, the oldest play first.

    Days that were given up have no figures and are left out.

    :param directory: the journal.
    :raises JournalError: when an entry cannot be read; names the file.
    """
    days: list[Day] = []
    for path in sorted(directory.glob("*.json")):
        try:
            entry = json.loads(path.read_text(encoding="utf-8"))
            days += [_read_day(entry, day) for day in entry["days"] or [] if _has_figures(day)]
        except (OSError, ValueError, LookupError, TypeError) as error:
            raise JournalError(f"{path.name}: {error!r}") from error
    return tuple(days)


def _has_figures(day: dict[str, Any]) -> bool:
    # The journal names the worth of a day after the letter that its pages use in formulas.
    return day.get("G") is not None and bool(day.get("prices"))


def _read_day(entry: dict[str, Any], day: dict[str, Any]) -> Day:
    amounts = {name: float(amount) for name, amount, _ in day["prices"]}
    figures = {field: amounts.get(name, 0.0) for field, name in PRICED.items()}
    for field in ("data_centres_mb", "regions_mb"):
        figures[field] *= MB_IN_GB
    return Day(
        play=entry["id"],
        began=entry["at"][0],
        command=entry["cmd"],
        site=entry.get("site") or "",
        commit=entry["head"][:8],
        name=day["name"],
        worth=day["G"],
        score=day["score"],
        served=day["served"],
        refused=day["refused"],
        failed=day["failed"],
        broken=tuple(sorted(day["rules"].items())),
        **figures,
    )
