"""Tests of the log format."""

from __future__ import annotations

import io
import unittest

from bamboonotch_node.logs import KeyValueDestination


class KeyValueDestinationTest(unittest.TestCase):
    """Rendering of log events."""

    def _render(self, **fields: object) -> str:
        stream = io.StringIO()
        message = {"timestamp": 0.0, "message_type": "version-running", "task_uuid": "x", **fields}
        KeyValueDestination(stream, {"node_id": "menu-1"})(message)
        return stream.getvalue()

    def test_fields(self) -> None:
        """Guards against fields that log processors cannot parse."""
        line = self._render(version=3, ok=True, took_ms=1.23456, reason="two words", empty="")
        self.assertEqual(
            line,
            "time=1970-01-01T00:00:00.000Z event=version-running node_id=menu-1 version=3 ok=true "
            'took_ms=1.235 reason="two words" empty=""\n',
        )

    def test_hostile_values_stay_on_one_line(self) -> None:
        """Guards against forged log lines through values that callers control."""
        line = self._render(path="/a\nevent=forged \x1b[31m", quote='a"b=c')
        self.assertEqual(line.count("\n"), 1)
        self.assertNotIn("\x1b", line)
        self.assertIn('quote="a\\"b=c"', line)
