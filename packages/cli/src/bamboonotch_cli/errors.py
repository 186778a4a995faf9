"""Exit statuses, and errors that end the command."""

from __future__ import annotations

from enum import IntEnum

from bamboonotch_core.errors import BamboonotchError

__all__ = ["CommandError", "ExitStatus"]


class ExitStatus(IntEnum):
    """Exit statuses, as documented in ``docs/operators-command.md``."""

    SUCCESS = 0
    INTERNAL_ERROR = 1
    USAGE = 2
    REJECTED_STALE = 3
    REJECTED_INVALID = 4
    UNKNOWN = 5
    STORE_UNAVAILABLE = 6
    STORE_VALUE = 7
    NODE_UNREACHABLE = 8
    WAIT_TIMED_OUT = 9
    NOT_FOUND = 10


class CommandError(BamboonotchError):
    """Ends the command with a message and the next step for the operator.

    :param status: exit status.
    :param message: what failed.
    :param next_step: what to do next.
    """

    def __init__(self, status: ExitStatus, message: str, next_step: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.next_step = next_step
