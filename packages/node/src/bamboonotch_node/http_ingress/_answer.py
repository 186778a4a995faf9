"""Answers that the mesh itself gives to callers."""

from __future__ import annotations

import json
import math

from twisted.web.http import RESPONSES

__all__ = ["answer_body", "encode_answer", "retry_after_s"]

OUTCOME_NOT_RUN = "not-run"


def answer_body(outcome: str, reason: str) -> bytes:
    """Return the body of an answer.

    :param outcome: value of ``Bamboonotch-Outcome``.
    :param reason: value of ``Bamboonotch-Reason``.
    """
    return json.dumps({"outcome": outcome, "reason": reason}).encode("ascii") + b"\n"


def retry_after_s(retry_after_ms: int, decimals: int) -> str:
    """Return the value of ``Retry-After``, in seconds, rounded up.

    :param retry_after_ms: the wait, in milliseconds.
    :param decimals: digits after the decimal point that callers understand; HTTP allows none.
    """
    scale = 10**decimals
    return f"{max(1, math.ceil(retry_after_ms * scale / 1000)) / scale:.{decimals}f}"


def encode_answer(status: int, reason: str) -> bytes:
    """Return a complete answer to a request that was not read, with the outcome not-run.

    :param status: HTTP status.
    :param reason: why, lower case with dashes.
    """
    body = answer_body(OUTCOME_NOT_RUN, reason)
    lines = [
        b"HTTP/1.1 %d %s" % (status, RESPONSES.get(status, b"Refused")),
        b"Bamboonotch-Outcome: " + OUTCOME_NOT_RUN.encode("ascii"),
        b"Bamboonotch-Reason: " + reason.encode("ascii"),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    ]
    if status == 503:
        lines.append(b"Retry-After: 1")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
