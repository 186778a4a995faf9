"""Waiting for an observed condition."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

__all__ = ["WaitTimeoutError", "wait_until"]

Value = TypeVar("Value")

POLL_S = 0.02


class WaitTimeoutError(AssertionError):
    """A condition did not come true in time."""


def wait_until(description: str, read: Callable[[], Value], timeout_s: float) -> Value:
    """Poll until a function returns a true value, and return that value.

    :param description: what is waited for, for the error.
    :param read: the function.
    :param timeout_s: longest wait, in seconds.
    :raises WaitTimeoutError: when the time is over; names the last value.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = read()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise WaitTimeoutError(f"{description}: not within {timeout_s:g} s, last: {value!r}")
        time.sleep(POLL_S)
