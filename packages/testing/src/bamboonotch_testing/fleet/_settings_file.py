"""Writes settings files of nodes."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

__all__ = ["SettingsSections", "write_settings_file"]

SettingsSections = Mapping[str, Mapping[str, str]]
"""Values by section and key."""


def write_settings_file(path: Path, sections: SettingsSections) -> None:
    """Write an INI file.

    :param path: the file.
    :param sections: its content.
    """
    lines: list[str] = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
        lines.append("")
    path.write_text("\n".join(lines))
