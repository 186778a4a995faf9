"""Notices a changed settings file, on a signal or by itself."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from pathlib import Path

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import SettingsError
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.settings import read_settings

__all__ = ["SettingsWatch"]

# A changed file without a signal is noticed within this time.
CHECK_S = 2.0
# Settings that a running node takes over; the others wait for its next start.
LIVE_SETTINGS = frozenset({"identity.service"})


def _changed_keys(before: NodeSettings, after: NodeSettings) -> list[str]:
    """Return the names of the settings that differ, as section and key."""
    changed = []
    for section in dataclasses.fields(NodeSettings):
        old, new = getattr(before, section.name), getattr(after, section.name)
        if not dataclasses.is_dataclass(old):
            changed += [section.name] if old != new else []
            continue
        for field in dataclasses.fields(old):
            if getattr(old, field.name) != getattr(new, field.name):
                changed.append(f"{section.name}.{field.name}")
    return changed


class SettingsWatch:
    """Reads the settings file again when it changes; a context manager that stops to.

    A file that is not valid changes nothing. The file is read once more at the beginning, because
    the node starts after the first reading.

    :param path: the file.
    :param settings: the settings in use.
    :param apply: takes new settings.
    :param report: takes reports.
    """

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        apply: Callable[[NodeSettings], None],
        report: Callable[[Report], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._report = report
        self._modified_ns = self._modification_time()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> SettingsWatch:
        if self._differs():
            self.reload()
        self._schedule()
        return self

    def __exit__(self, *error: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def reload(self) -> None:
        """Read the file and take over what has changed."""
        self._modified_ns = self._modification_time()
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            self._report(Report("settings-refused", (("fault", str(error)),)))
            return
        changed = _changed_keys(self._settings, settings)
        later = sorted(set(changed) - LIVE_SETTINGS)
        fields = (("changed", ",".join(changed)), ("at_next_start", ",".join(later)))
        self._report(Report("settings-reloaded", fields))
        self._settings = settings
        self._apply(settings)

    def _differs(self) -> bool:
        """Tell whether the file has changed since the settings in use were read."""
        self._modified_ns = self._modification_time()
        try:
            return read_settings(self._path) != self._settings
        except SettingsError:
            return True

    def _modification_time(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            self._report(Report("settings-unreadable", (("fault", str(error)),)))
            return 0

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_S, self._check)

    def _check(self) -> None:
        modified_ns = self._modification_time()
        if modified_ns and modified_ns != self._modified_ns:
            self.reload()
        self._schedule()
