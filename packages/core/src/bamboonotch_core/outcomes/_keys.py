"""Validation of idempotency keys, which are UUIDs of version 7."""

from __future__ import annotations

import re

from bamboonotch_core.outcomes._reasons import AnswerReason

__all__ = ["check_idempotency_key"]

MAX_KEY_AGE_MS = 15 * 60 * 1000  # the claim of an older key may already be deleted
MAX_KEY_LEAD_MS = 60 * 1000
KEY_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z", re.IGNORECASE
)


def check_idempotency_key(key: str, unix_ms: int) -> str:
    """Return the reason for which an idempotency key is refused.

    :param key: the key as the caller sent it.
    :param unix_ms: wall clock, in milliseconds since 1970.
    :returns: a value of ``AnswerReason``, or an empty string when the key is accepted.
    """
    if not KEY_PATTERN.match(key):
        return AnswerReason.KEY_MALFORMED
    # The first 48 bits of the UUID are its time of creation, in milliseconds since 1970.
    key_ms = int(key[:8] + key[9:13], 16)
    if key_ms < unix_ms - MAX_KEY_AGE_MS:
        return AnswerReason.KEY_TOO_OLD
    if key_ms > unix_ms + MAX_KEY_LEAD_MS:
        return AnswerReason.KEY_FROM_FUTURE
    return ""
