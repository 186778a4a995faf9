"""Tests of the reload of settings."""

from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from bamboonotch_core.effects import Report
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.runtime import SettingsWatch, _settings_watch
from bamboonotch_node.settings import read_settings

ROOT = Path(__file__).resolve().parents[4]
EXAMPLE = (ROOT / "examples" / "himal-thali" / "node.ini").read_text()


class SettingsWatchTest(unittest.TestCase):
    """A settings file that changes while the node runs."""

    def setUp(self) -> None:
        """Write a settings file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.ini"
        self.path.write_text(EXAMPLE)
        self.applied: list[NodeSettings] = []
        self.reports: list[Report] = []

    def _watch(self) -> SettingsWatch:
        settings = read_settings(self.path)
        return SettingsWatch(self.path, settings, self.applied.append, self.reports.append)

    def _write(self, text: str) -> None:
        self.path.write_text(text)
        os.utime(self.path, ns=(1, 1))

    def test_signal(self) -> None:
        """Guards against a reload that loses a change or says nothing of it."""
        watch = self._watch()
        self._write(EXAMPLE.replace("[node]", "[node]\nservice = plans\n"))
        watch.reload()
        self.assertEqual(self.applied[0].identity.service, "plans")
        self.assertEqual(self.reports[0].name, "settings-reloaded")
        self.assertIn(("changed", "identity.service"), self.reports[0].fields)
        self.assertIn(("at_next_start", ""), self.reports[0].fields)

    def test_invalid_file_changes_nothing(self) -> None:
        """Guards against a node that a faulty file stops."""
        watch = self._watch()
        for text in ("", "[node]\n", EXAMPLE + "\n[odd]\n"):
            self._write(text)
            watch.reload()
        self.path.unlink()
        watch.reload()
        self.assertEqual(self.applied, [])
        names = {report.name for report in self.reports}
        self.assertEqual(names, {"settings-refused", "settings-unreadable"})

    def test_change_while_the_node_starts(self) -> None:
        """Guards against a file that changes between its first reading and the watch.

        Its change was never noticed, and the node took its own backend server for another writer.
        """
        watch = self._watch()
        before = self.path.stat()
        self.path.write_text(EXAMPLE.replace("[node]", "[node]\nservice = plans\n"))
        os.utime(self.path, ns=(before.st_atime_ns, before.st_mtime_ns))

        async def run() -> None:
            with watch:
                self.assertEqual(self.applied[0].identity.service, "plans")

        asyncio.run(run())

    def test_file_that_has_not_changed(self) -> None:
        """Guards against a reload that is reported at each start."""

        async def run() -> None:
            with self._watch():
                self.assertEqual((self.applied, self.reports), ([], []))

        asyncio.run(run())

    def test_change_without_a_signal(self) -> None:
        """Guards against a change that waits for a signal that never comes."""

        async def run() -> None:
            with self._watch():
                self._write(EXAMPLE.replace("[node]", "[node]\nservice = plans\n"))
                while not self.applied:
                    await asyncio.sleep(0.01)

        with mock.patch.object(_settings_watch, "CHECK_S", 0.01):
            asyncio.run(asyncio.wait_for(run(), 5))
        self.assertEqual(self.applied[0].identity.service, "plans")
