"""Derives metrics and log lines of requests from the events and effects of the request part.

A request that is served at its first attempt is counted, not logged; every other decision about a
request is one log line.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

from bamboonotch_core.effects import Effect
from bamboonotch_core.events import Event
from bamboonotch_core.request_effects import (
    DispatchToBackend,
    ForwardAttempt,
    PassResponse,
    RefuseWork,
    RespondToCaller,
)
from bamboonotch_core.request_events import (
    AttemptLost,
    BackendFinished,
    BackendResult,
    CallerGone,
    FenceAnswered,
    OwnerRefused,
    OwnerReply,
    RequestArrived,
    ResponseFinished,
    WorkCancelled,
    WorkOffered,
)
from bamboonotch_node.backend import ResponseStart
from bamboonotch_node.clock import now_ms
from bamboonotch_node.logs import RequestLog
from bamboonotch_node.metrics import NodeMetrics

__all__ = ["RequestObserver"]

UNROUTED = "none"
DONE = "done"


@dataclass(slots=True)
class _Request:
    """A request in progress at the ingress."""

    arrived_ms: float
    service: str = UNROUTED
    request_class: str = UNROUTED
    added_ms: float | None = None
    attempts: int = 0
    owner_id: str = ""


@dataclass(slots=True)
class _Work:
    """An attempt in progress at the owner."""

    offered_ms: float
    service: str
    request_class: str
    returning: bool
    dispatched_ms: float | None = None


class RequestObserver:
    """Watches events and effects, and records histograms for each class and service.

    :param metrics: takes the observations.
    :param find_tenant: returns the customer of a service.
    :param find_response: returns the head of an attempt's response, or ``None``.
    :param running_version: returns the version of the configuration that this node runs.
    :param log: takes the log lines.
    """

    def __init__(
        self,
        metrics: NodeMetrics,
        find_tenant: Callable[[str], str],
        find_response: Callable[[str], ResponseStart | None],
        running_version: Callable[[], int],
        log: RequestLog,
    ) -> None:
        self._running_version = running_version
        self._log = log
        self._metrics = metrics
        self._find_tenant = find_tenant
        self._find_response = find_response
        self._requests: dict[str, _Request] = {}
        self._works: dict[str, _Work] = {}

    @singledispatchmethod
    def see_event(self, event: Event) -> None:
        """Note an event; events of other parts are ignored.

        :param event: the event.
        """

    @see_event.register
    def _(self, event: RequestArrived) -> None:
        self._requests[event.request_id] = _Request(event.now_ms)

    @see_event.register
    def _(self, event: ResponseFinished) -> None:
        self._finish_request(event.request_id, DONE if event.complete else "broken")

    @see_event.register
    def _(self, event: CallerGone) -> None:
        self._finish_request(event.request_id, "caller-gone")

    @see_event.register
    def _(self, event: OwnerRefused) -> None:
        self._see_owner_end(event, event.result.value, event.reason)

    @see_event.register
    def _(self, event: AttemptLost) -> None:
        self._see_owner_end(event, "stream-lost", "sent" if event.sent else "not-sent")

    @see_event.register
    def _(self, event: FenceAnswered) -> None:
        self._see_owner_end(event, "fenced", event.state.value)

    @see_event.register
    def _(self, event: WorkOffered) -> None:
        self._works[event.attempt_id] = _Work(
            event.now_ms, event.service, event.request_class, event.returning
        )

    @see_event.register
    def _(self, event: BackendFinished) -> None:
        work = self._works.pop(event.attempt_id, None)
        if work is None or work.dispatched_ms is None:
            return
        self._metrics.observe_work(
            self._find_tenant(work.service),
            work.request_class,
            work.service,
            work.dispatched_ms - work.offered_ms,
            event.latency_ms,
        )

    @see_event.register
    def _(self, event: WorkCancelled) -> None:
        work = self._works.get(event.attempt_id)
        if work is not None and work.dispatched_ms is None:
            del self._works[event.attempt_id]

    @singledispatchmethod
    def see_effect(self, effect: Effect) -> None:
        """Note an effect; effects of other parts are ignored.

        :param effect: the effect.
        """

    @see_effect.register
    def _(self, effect: ForwardAttempt) -> None:
        request = self._requests.get(effect.request_id)
        if request is not None:
            request.service = effect.service
            request.request_class = effect.request_class
            request.attempts += 1
            request.owner_id = effect.owner_id

    @see_effect.register
    def _(self, effect: PassResponse) -> None:
        request = self._requests.get(effect.request_id)
        head = self._find_response(effect.attempt_id)
        if request is not None and head is not None:
            elapsed_ms = now_ms() - request.arrived_ms
            request.added_ms = max(0.0, elapsed_ms - head.backend_ms - head.queue_ms)

    @see_effect.register
    def _(self, effect: RespondToCaller) -> None:
        self._finish_request(effect.request_id, effect.outcome.value, effect.reason, effect.status)

    @see_effect.register
    def _(self, effect: DispatchToBackend) -> None:
        work = self._works.get(effect.attempt_id)
        if work is not None:
            work.dispatched_ms = now_ms()

    @see_effect.register
    def _(self, effect: RefuseWork) -> None:
        work = self._works.pop(effect.attempt_id, None)
        self._log.note(
            "work-refused",
            attempt=effect.attempt_id,
            service=UNROUTED if work is None else work.service,
            reason=effect.reason,
            not_run=effect.result is BackendResult.NOT_RUN,
            load=effect.load,
            returning=work is not None and work.returning,
            waited_ms=0.0 if work is None else now_ms() - work.offered_ms,
        )

    def _see_owner_end(self, event: OwnerReply, outcome: str, reason: str) -> None:
        self._log.note(
            "attempt-ended",
            request=event.request_id,
            attempt=event.attempt_id,
            owner=event.owner_id,
            outcome=outcome,
            reason=reason,
        )

    def _finish_request(
        self, request_id: str, outcome: str, reason: str = "", status: int = 0
    ) -> None:
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        if outcome != DONE or request.attempts > 1:
            self._log.note(
                "request-ended",
                request=request_id,
                service=request.service,
                request_class=request.request_class,
                outcome=outcome,
                reason=reason,
                status=status,
                attempts=request.attempts,
                owner=request.owner_id,
                elapsed_ms=now_ms() - request.arrived_ms,
                version=self._running_version(),
            )
        self._metrics.observe_request(
            self._find_tenant(request.service),
            request.request_class,
            request.service,
            outcome,
            request.added_ms,
        )
