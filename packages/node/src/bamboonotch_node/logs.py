"""Structured logs: one line of key=value pairs on standard error for each event."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any, TextIO

import eliot

__all__ = ["KeyValueDestination", "configure_logs", "log_event"]

_HIDDEN_FIELDS = frozenset(
    {"timestamp", "message_type", "task_uuid", "task_level", "action_type", "action_status"}
)
_QUOTED_CHARACTERS = frozenset(' "=\n\r\t\\')


def _render_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.3f}"
    text = value if isinstance(value, str) else str(value)
    if not text or not _QUOTED_CHARACTERS.isdisjoint(text) or not text.isprintable():
        return json.dumps(text, ensure_ascii=False)
    return text


class KeyValueDestination:
    """Eliot destination that writes each message as one line of key=value pairs."""

    def __init__(self, stream: TextIO, fixed_fields: Mapping[str, str]) -> None:
        """Create a destination.

        :param stream: where lines go.
        :param fixed_fields: fields added to each line, such as the node id.
        """
        self._stream = stream
        self._fixed = " ".join(
            f"{key}={_render_value(value)}" for key, value in fixed_fields.items()
        )

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one message.

        :param message: eliot's message.
        """
        time = datetime.fromtimestamp(message["timestamp"], UTC)
        event = message.get("message_type") or message.get("action_type", "unknown")
        fields = [
            f"{key}={_render_value(value)}"
            for key, value in message.items()
            if key not in _HIDDEN_FIELDS
        ]
        stamp = f"time={time.strftime('%Y-%m-%dT%H:%M:%S.%f')[:-3]}Z"
        parts = [stamp, f"event={_render_value(event)}", self._fixed, *fields]
        self._stream.write(" ".join(part for part in parts if part) + "\n")
        self._stream.flush()


def configure_logs(node_id: str, stream: TextIO | None = None) -> None:
    """Send every log event to standard error, or to another stream.

    :param node_id: added to each line.
    :param stream: where lines go.
    """
    eliot.add_destinations(KeyValueDestination(stream or sys.stderr, {"node": node_id}))


def log_event(name: str, **fields: Any) -> None:
    """Log one event.

    :param name: name of the event, lower case with dashes.
    :param fields: its fields.
    """
    eliot.log_message(message_type=name, **fields)
