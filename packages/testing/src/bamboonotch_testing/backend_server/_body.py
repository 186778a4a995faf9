"""Answer bodies that show which request they belong to."""

from __future__ import annotations

__all__ = ["answer_body"]


def answer_body(request_id: str, size_bytes: int) -> bytes:
    """Return a body that consists of the request id, repeated line by line.

    :param request_id: value of ``X-Request-Id``.
    :param size_bytes: length; 0 gives one line.
    """
    line = request_id.encode("latin-1") + b"\n"
    if not size_bytes:
        return line
    return (line * (size_bytes // len(line) + 1))[:size_bytes]
