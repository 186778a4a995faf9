"""Calls of the store that are in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from bamboonotch_core.effects import Report

__all__ = ["StoreTasks"]


class StoreTasks:
    """Runs calls of the store, and reports those that end with a fault of this program.

    :param report: takes reports.
    """

    def __init__(self, report: Callable[[Report], None]) -> None:
        self._report = report
        self._tasks: set[asyncio.Future[None]] = set()

    def start(self, work: Coroutine[Deferred[Any], Any, None]) -> asyncio.Future[None]:
        """Run a call in the background, and return it, to be cancelled.

        :param work: the call.
        """
        task: asyncio.Future[None] = Deferred.fromCoroutine(work).asFuture(
            asyncio.get_running_loop()
        )
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel(self) -> None:
        """Cancel every call in progress."""
        for task in tuple(self._tasks):
            task.cancel()

    def _finish(self, task: asyncio.Future[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            fault = (("fault", repr(task.exception())),)
            self._report(Report("store-task-failed", fault))
