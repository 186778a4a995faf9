"""Client of the local backend server."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import RateLimitError, ServerLoadError
from bamboonotch_core.events import BackendServerStated
from bamboonotch_core.request_events import BackendResult
from bamboonotch_core.slowdown import UNKNOWN_SLOWDOWN, Slowdown, smooth
from bamboonotch_node.backend._connections import BackendConnections
from bamboonotch_node.backend._exchange import BackendExchange
from bamboonotch_node.backend._work import OfferedWork, ResponseReceiver
from bamboonotch_node.dialect import OWN_DIALECT, HttpDialect

__all__ = ["BackendClient"]

# Each response may have a malformed load, and another one each time.
MALFORMED_REPORT_INTERVAL_MS = 10_000.0


class BackendClient:
    """Sends admitted work to the backend server beside this node.

    :param clock: monotonic clock in milliseconds.
    :param load: returns the number of attempts in slots and queue, sent with each response.
    :param report: called with a report for each fault.
    :param dialect: header names and rules of the HTTP that the backend server speaks.
    :param has_workspaces: returns whether the running configuration has workspaces.
    :param stated: takes what the backend server says of itself, when that has changed.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        load: Callable[[], int],
        report: Callable[[Report], None],
        dialect: HttpDialect = OWN_DIALECT,
        stated: Callable[[BackendServerStated], None] = lambda event: None,
        has_workspaces: Callable[[], bool] = lambda: False,
    ) -> None:
        self._has_workspaces = has_workspaces
        self._report = report
        self._stated = stated
        self._latest_statement: BackendServerStated | None = None
        self._stating_address = ""
        self._latest_fault = ""
        self._slowdown: Slowdown | None = None
        self._malformed_loads = 0
        self._malformed_report_due_ms = -math.inf
        self._connections = BackendConnections(reactor, report, clock)
        self._clock = clock
        self.load = load
        self._dialect = dialect
        self.address = ""
        self.instance_id = ""
        self.started_unix_ms = 0

    def prepare(
        self,
        work: OfferedWork,
        receiver: ResponseReceiver,
        on_result: Callable[[BackendResult, float], None],
        queue_ms: float,
    ) -> BackendExchange | None:
        """Create the exchange for an attempt without starting it.

        :param receiver: takes the response; not called when the work was not run.
        :param on_result: called once with the result and the time since dispatch in milliseconds.
        :param queue_ms: time from offer to dispatch, in milliseconds.
        :returns: the exchange, or ``None`` when no address of a backend server is known.
        """
        if not self.address:
            return None
        process = (self.instance_id, self.started_unix_ms)
        return BackendExchange(
            work=work,
            address=self.address,
            connections=self._connections,
            receiver=receiver,
            on_result=on_result,
            clock=self._clock,
            queue_ms=queue_ms,
            load=self.load,
            dialect=self._dialect,
            instance_id=self.instance_id,
            head_received=lambda headers: self._read_head(process, headers),
            has_workspaces=self._has_workspaces,
            slowdown=self.slowdown,
        )

    def slowdown(self) -> float:
        """Return how long work takes at the backend server, where 1 is usual, or 0 for unknown."""
        return UNKNOWN_SLOWDOWN if self._slowdown is None else self._slowdown.value

    def _read_head(self, process: tuple[str, int], headers: Any) -> None:
        if self.address != self._stating_address:
            self._slowdown = None
        self._read_slowdown(headers)
        self._read_statement(process, headers)

    def _read_slowdown(self, headers: Any) -> None:
        """Smooth what a response states of the time that work takes; ignore what cannot be read."""
        try:
            stated = self._dialect.read_slowdown(headers)
        except ServerLoadError as error:
            self._count_malformed_load(str(error))
            return
        if stated:
            self._slowdown = smooth(self._slowdown, stated, self._clock())

    def _count_malformed_load(self, fault: str) -> None:
        """Count a load that cannot be read, and report it with the number since the last report."""
        self._malformed_loads += 1
        now_ms = self._clock()
        if now_ms >= self._malformed_report_due_ms:
            self._malformed_report_due_ms = now_ms + MALFORMED_REPORT_INTERVAL_MS
            count, self._malformed_loads = self._malformed_loads, 0
            self._report(Report("malformed-load", (("fault", fault), ("responses", count))))

    def _read_statement(self, process: tuple[str, int], headers: Any) -> None:
        """Pass on what a response says of its backend server, when that has changed.

        A malformed value says nothing, so what was said before holds on.

        :param process: id and start time of the process that the request was meant for.
        :param headers: the library's headers.
        """
        if self.address != self._stating_address:
            self._latest_statement, self._stating_address = None, self.address
        latest = self._latest_statement
        try:
            rate_limit_per_s = self._dialect.read_rate_limit(headers)
        except RateLimitError as error:
            self._report_malformed(str(error))
            is_known = (
                latest is not None and (latest.instance_id, latest.started_unix_ms) == process
            )
            rate_limit_per_s = latest.rate_limit_per_s if latest is not None and is_known else None
        leaving = self._dialect.says_leaving(headers)
        statement = BackendServerStated(self._clock(), *process, rate_limit_per_s, leaving)
        if latest is not None and replace(latest, now_ms=statement.now_ms) == statement:
            return
        self._latest_statement = statement
        self._stated(statement)

    def _report_malformed(self, fault: str) -> None:
        if fault != self._latest_fault:
            self._latest_fault = fault
            self._report(Report("malformed-rate-limit", (("fault", fault),)))

    def close(self) -> None:
        """Close the idle connections to the backend server."""
        self._connections.close()
