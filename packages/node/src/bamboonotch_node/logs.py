"""Structured logs: one line of key=value pairs on standard output for each event.

Writing never blocks: lines that the reader of the output does not take are dropped and counted.
Lines about single requests are bounded by a rate, so that overload does not grow the log.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any, Protocol

import eliot

__all__ = [
    "KeyValueDestination",
    "LineSink",
    "NonBlockingOutput",
    "RequestLog",
    "configure_logs",
    "log_event",
]

_HIDDEN_FIELDS = frozenset(
    {"timestamp", "message_type", "task_uuid", "task_level", "action_type", "action_status"}
)
_QUOTED_CHARACTERS = frozenset(' "=\n\r\t\\')
# Output that waits for its reader; about a thousand lines.
MAX_WAITING_BYTES = 256 * 1024
# Lines about requests: a burst, and the rate that lasts.
MAX_REQUEST_LINES = 200.0
REQUEST_LINES_PER_S = 50.0


class LineSink(Protocol):
    """Takes whole lines."""

    def write(self, text: str, /) -> Any:
        """Take a line that ends with a line feed."""

    def flush(self) -> None:
        """Pass on what was taken."""


def _render_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.3f}"
    text = value if isinstance(value, str) else str(value)
    if not text or not _QUOTED_CHARACTERS.isdisjoint(text) or not text.isprintable():
        return json.dumps(text, ensure_ascii=False)
    return text


class NonBlockingOutput:
    """Writes lines to a file descriptor without ever waiting for its reader.

    :param descriptor: the file descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Take a line, or drop it when too much waits already.

        :param text: the line.
        """
        data = text.encode("utf-8", "backslashreplace")
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            self._waiting += b"event=log-lines-dropped lines=%d\n" % self.dropped_lines
            self.dropped_lines = 0
        self._waiting += data

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        try:
            written = os.write(self._descriptor, self._waiting) if self._waiting else 0
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the output any more, so there is no place to report this.
            written = len(self._waiting)
        del self._waiting[:written]


class KeyValueDestination:
    """Eliot destination that writes each message as one line of key=value pairs."""

    def __init__(self, stream: LineSink, fixed_fields: Mapping[str, str]) -> None:
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


class RequestLog:
    """Logs decisions about single requests, at a bounded rate.

    What exceeds the rate is counted, and the next line says how many were left out.

    :param write: logs one event.
    :param clock_s: monotonic clock in seconds.
    """

    def __init__(
        self,
        write: Callable[..., None],
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._clock_s = clock_s
        self._tokens = MAX_REQUEST_LINES
        self._refilled_s = clock_s()
        self._left_out = 0

    def note(self, name: str, **fields: Any) -> None:
        """Log one decision, if the rate allows.

        :param name: name of the event, lower case with dashes.
        :param fields: its fields.
        """
        now_s = self._clock_s()
        earned = (now_s - self._refilled_s) * REQUEST_LINES_PER_S
        self._tokens = min(MAX_REQUEST_LINES, self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            self._left_out += 1
            return
        self._tokens -= 1.0
        if self._left_out:
            fields["lines_left_out"] = self._left_out
            self._left_out = 0
        self._write(name, **fields)


def configure_logs(node_id: str, stream: LineSink | None = None) -> None:
    """Send every log event to standard output, or to another stream.

    :param node_id: added to each line.
    :param stream: where lines go.
    """
    output = NonBlockingOutput(sys.stdout.fileno()) if stream is None else stream
    eliot.add_destinations(KeyValueDestination(output, {"node": node_id}))


def log_event(name: str, **fields: Any) -> None:
    """Log one event.

    :param name: name of the event, lower case with dashes.
    :param fields: its fields.
    """
    eliot.log_message(message_type=name, **fields)
