"""Checks of idempotency keys, which are UUIDs of version 7."""

from __future__ import annotations

import re

from bamboonotch_core.outcomes._reasons import AnswerReason

__all__ = ["check_key"]

KEY_WINDOW_MS = 15 * 60 * 1000
KEY_AHEAD_MS = 60 * 1000
KEY_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z", re.IGNORECASE
)


def check_key(key: str, unix_ms: int) -> str:
    """Return why a key is refused, or an empty string.

    :param key: the key.
    :param unix_ms: wall clock, in milliseconds since 1970.
    """
    if not KEY_PATTERN.match(key):
        return AnswerReason.KEY_MALFORMED
    key_ms = int(key[:8] + key[9:13], 16)
    if key_ms < unix_ms - KEY_WINDOW_MS:
        return AnswerReason.KEY_TOO_OLD
    if key_ms > unix_ms + KEY_AHEAD_MS:
        return AnswerReason.KEY_FROM_FUTURE
    return ""
