"""Results of commands that no other module has a type for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bamboonotch_cli.fleet import FleetView
from bamboonotch_core.configuration import Difference, Document, LogEntry

__all__ = [
    "AcceptedPatch",
    "DifferencesShown",
    "DocumentShown",
    "FleetStatus",
    "NodeAnswer",
    "VersionsListed",
]


@dataclass(frozen=True)
class AcceptedPatch:
    """A patch that became a version.

    :param entry: its log entry.
    :param snapshot_error: why a snapshot that was due could not be written, or empty.
    """

    entry: LogEntry
    snapshot_error: str = ""


@dataclass(frozen=True)
class DocumentShown:
    """A version's document.

    :param version: the version.
    :param document: its document.
    """

    version: int
    document: Document


@dataclass(frozen=True)
class DifferencesShown:
    """Changes between two versions.

    :param old_version: the earlier version.
    :param new_version: the later version.
    :param differences: the changes.
    """

    old_version: int
    new_version: int
    differences: tuple[Difference, ...]


@dataclass(frozen=True)
class VersionsListed:
    """Accepted versions.

    :param entries: their log entries, newest first.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True)
class FleetStatus:
    """Every member's status.

    :param view: what was read.
    :param wanted_version: version waited for, or ``None``.
    """

    view: FleetView
    wanted_version: int | None


@dataclass(frozen=True)
class NodeAnswer:
    """The answer of one node's admin interface.

    :param address: its admin address.
    :param value: the answer as parsed JSON.
    """

    address: str
    value: Any
