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

    :param reactor: the reactor.
    :param clock: monotonic clock in milliseconds.
    :param load: returns the work in slots and queue, which travels with each response.
    :param report: takes reports of faults.
    :param dialect: names and rules of the HTTP spoken.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        load: Callable[[], int],
        report: Callable[[Report], None],
        dialect: HttpDialect = OWN_DIALECT,
    ) -> None:
        self._connections = BackendConnections(reactor, report)
        self._clock = clock
        self.load = load
        self._dialect = dialect
        self.address = ""
        self.instance_id = ""

    def prepare(
        self,
        work: OfferedWork,
        receiver: ResponseReceiver,
        ended: Callable[[BackendResult, float], None],
        queue_ms: float,
    ) -> BackendExchange | None:
        """Return an exchange to start, or ``None`` when no backend server is known.

        :param work: the attempt.
        :param receiver: takes the response; not called when the work was not run.
        :param ended: called once with the result and the time since dispatch in milliseconds.
        :param queue_ms: time from offer to dispatch, in milliseconds.
        """
        if not self.address:
            return None
        return BackendExchange(
            work=work,
            address=self.address,
            connections=self._connections,
            receiver=receiver,
            ended=ended,
            clock=self._clock,
            queue_ms=queue_ms,
            load=self.load,
            dialect=self._dialect,
            instance_id=self.instance_id,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()
