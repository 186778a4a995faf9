"""Runs the asynchronous work of a command and ends the process with its exit status."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, NoReturn

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from bamboonotch_cli.errors import CommandError, ExitStatus
from bamboonotch_cli.output import describe, exit_status, render_text
from bamboonotch_cli.session import Session
from bamboonotch_cli.settings import OperatorSettings
from bamboonotch_core.errors import (
    BamboonotchError,
    StoreError,
    StoreUnavailableError,
)
from bamboonotch_store.errors import VersionAbsentError

__all__ = ["CommandContext", "Work", "perform", "run"]

Work = Callable[[Session], Awaitable[Any]]


@dataclass(frozen=True)
class CommandContext:
    """What all commands have in common.

    :param settings: the connection settings.
    :param json_output: whether the result is printed as JSON.
    """

    settings: OperatorSettings
    json_output: bool


def _convert(error: BamboonotchError) -> CommandError:
    """Add the exit status and the next step to an error of another package."""
    if isinstance(error, CommandError):
        return error
    if isinstance(error, StoreUnavailableError):
        return CommandError(
            ExitStatus.STORE_UNAVAILABLE,
            f"{error}; this command wrote nothing",
            "check the store's address, or wait until the store answers, and repeat the command",
        )
    if isinstance(error, VersionAbsentError):
        return CommandError(
            ExitStatus.NOT_FOUND, str(error), "run 'bamboonotch versions' for the accepted versions"
        )
    if isinstance(error, StoreError):
        return CommandError(
            ExitStatus.STORE_VALUE,
            str(error),
            "nodes refuse this value too; check who else writes to the store, and report it",
        )
    return CommandError(ExitStatus.INTERNAL_ERROR, str(error), "report this as a defect")


async def perform(context: CommandContext, work: Work, reactor: Any) -> Any:
    """Do the work of a command; errors are returned as results.

    :param context: the context.
    :param work: the work.
    :param reactor: Twisted reactor.
    """
    async with Session(context.settings, reactor) as session:
        try:
            return await work(session)
        except BamboonotchError as error:
            return _convert(error)


def _print(context: CommandContext, result: Any) -> None:
    if context.json_output:
        print(json.dumps(describe(result)))
    elif isinstance(result, CommandError):
        print(render_text(result), file=sys.stderr)
    else:
        print(render_text(result))


def run(context: CommandContext, work: Work) -> NoReturn:
    """Run a command on a reactor and exit.

    :param context: the context.
    :param work: the work.
    """

    async def start(reactor: Any) -> None:
        result = await perform(context, work, reactor)
        _print(context, result)
        sys.stdout.flush()
        raise SystemExit(int(exit_status(result)))

    react(lambda reactor: Deferred.fromCoroutine(start(reactor)))
    raise AssertionError("react returned")
