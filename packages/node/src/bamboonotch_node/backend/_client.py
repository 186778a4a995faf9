"""Client of the local backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboonotch_core.effects import Report
from bamboonotch_core.request_events import BackendResult
from bamboonotch_node.backend._connections import BackendConnections
from bamboonotch_node.backend._exchange import BackendExchange
from bamboonotch_node.backend._work import OfferedWork, ResponseReceiver
from bamboonotch_node.dialect import OWN_DIALECT, HttpDialect

__all__ = ["BackendClient"]


class BackendClient:
    """Sends admitted work to the backend server beside this node.

    :param clock: monotonic clock in milliseconds.
    :param load: returns the number of attempts in slots and queue, sent with each response.
    :param report: called with a report for each fault.
    :param dialect: header names and rules of the HTTP that the backend server speaks.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        load: Callable[[], int],
        report: Callable[[Report], None],
        dialect: HttpDialect = OWN_DIALECT,
    ) -> None:
        self._connections = BackendConnections(reactor, report, clock)
        self._clock = clock
        self.load = load
        self._dialect = dialect
        self.address = ""
        self.instance_id = ""

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
        )

    def close(self) -> None:
        """Close the idle connections to the backend server."""
        self._connections.close()
