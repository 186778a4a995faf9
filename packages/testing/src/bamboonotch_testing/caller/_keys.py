"""Idempotency keys."""

from __future__ import annotations

import random
import uuid

__all__ = ["make_key"]


def make_key(unix_ms: int, source: random.Random) -> str:
    """Return a UUID version 7 (RFC 9562 section 5.7).

    :param unix_ms: its time, in milliseconds since 1970.
    :param source: source of its random bits.
    """
    value = (unix_ms & (2**48 - 1)) << 80
    value |= 7 << 76
    value |= source.getrandbits(12) << 64
    value |= 2 << 62
    value |= source.getrandbits(62)
    return str(uuid.UUID(int=value))
