"""Derives metrics and log lines of requests from the events and effects of the request part.

A request that is served at its first attempt is counted, not logged; every other decision about a
request is one log line.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from bamboonotch_core.effects import Effect
from bamboonotch_core.events import Event
from bamboonotch_core.request_effects import (
    DispatchToBackend,
    ForwardAttempt,
    HedgeReport,
    PassResponse,
    RefuseWork,
    RequestReport,
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
    # Owners of all attempts, because the response may come from any of two.
    owner_ids: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Work:
    """An attempt in progress at the owner."""

    offered_ms: float
    service: str
    request_class: str
    returning: bool
    workspace: str = ""
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
        # Maps by exact type, because each event and effect of the node passes here.
        self._event_handlers: dict[type[Event], Callable[[Any], None]] = {
            RequestArrived: self._see_arrival,
            ResponseFinished: self._see_response_end,
            CallerGone: self._see_caller_gone,
            OwnerRefused: self._see_refusal,
            AttemptLost: self._see_loss,
            FenceAnswered: self._see_fence_answer,
            WorkOffered: self._see_offer,
            BackendFinished: self._see_backend_end,
            WorkCancelled: self._see_cancellation,
        }
        self._effect_handlers: dict[type[Effect], Callable[[Any], None]] = {
            ForwardAttempt: self._see_forward,
            PassResponse: self._see_response,
            RespondToCaller: self._see_answer,
            DispatchToBackend: self._see_dispatch,
            RefuseWork: self._see_refused_work,
            RequestReport: self._see_report,
            HedgeReport: self._see_hedge_report,
        }

    def see_event(self, event: Event) -> None:
        """Note an event; events of other parts are ignored.

        :param event: the event.
        """
        handler = self._event_handlers.get(type(event))
        if handler is not None:
            handler(event)

    def see_effect(self, effect: Effect) -> None:
        """Note an effect; effects of other parts are ignored.

        :param effect: the effect.
        """
        handler = self._effect_handlers.get(type(effect))
        if handler is not None:
            handler(effect)

    def _see_arrival(self, event: RequestArrived) -> None:
        self._requests[event.request_id] = _Request(event.now_ms)

    def _see_response_end(self, event: ResponseFinished) -> None:
        self._finish_request(event.request_id, DONE if event.complete else "broken")

    def _see_caller_gone(self, event: CallerGone) -> None:
        self._finish_request(event.request_id, "caller-gone")

    def _see_refusal(self, event: OwnerRefused) -> None:
        self._see_owner_end(event, event.result.value, event.reason)

    def _see_loss(self, event: AttemptLost) -> None:
        self._see_owner_end(event, "stream-lost", "sent" if event.sent else "not-sent")

    def _see_fence_answer(self, event: FenceAnswered) -> None:
        self._see_owner_end(event, "fenced", event.state.value)

    def _see_offer(self, event: WorkOffered) -> None:
        self._works[event.attempt_id] = _Work(
            event.now_ms,
            event.service,
            event.request_class,
            event.returning,
            event.workspace,
        )

    def _see_backend_end(self, event: BackendFinished) -> None:
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

    def _see_cancellation(self, event: WorkCancelled) -> None:
        work = self._works.get(event.attempt_id)
        if work is not None and work.dispatched_ms is None:
            del self._works[event.attempt_id]

    def _see_forward(self, effect: ForwardAttempt) -> None:
        request = self._requests.get(effect.request_id)
        if request is not None:
            request.service = effect.service
            request.request_class = effect.request_class
            request.attempts += 1
            request.owner_id = effect.owner_id
            request.owner_ids[effect.attempt_id] = effect.owner_id

    def _see_response(self, effect: PassResponse) -> None:
        request = self._requests.get(effect.request_id)
        head = self._find_response(effect.attempt_id)
        if request is not None:
            request.owner_id = request.owner_ids.get(effect.attempt_id, request.owner_id)
        if request is not None and head is not None:
            elapsed_ms = now_ms() - request.arrived_ms
            request.added_ms = max(0.0, elapsed_ms - head.backend_ms - head.queue_ms)

    def _see_answer(self, effect: RespondToCaller) -> None:
        self._finish_request(effect.request_id, effect.outcome.value, effect.reason, effect.status)

    def _see_dispatch(self, effect: DispatchToBackend) -> None:
        work = self._works.get(effect.attempt_id)
        if work is not None:
            work.dispatched_ms = now_ms()

    def _see_refused_work(self, effect: RefuseWork) -> None:
        work = self._works.pop(effect.attempt_id, None)
        service = UNROUTED if work is None else work.service
        request_class = UNROUTED if work is None else work.request_class
        self._metrics.count_refused_work(request_class, service, effect.reason)
        owner_load = effect.owner_load
        self._log.note(
            "work-refused",
            attempt=effect.attempt_id,
            service=service,
            request_class=request_class,
            reason=effect.reason,
            not_run=effect.result is BackendResult.NOT_RUN,
            load=effect.load,
            returning=work is not None and work.returning,
            workspace="" if work is None else work.workspace,
            waited_ms=0.0 if work is None else now_ms() - work.offered_ms,
            **({} if owner_load is None else asdict(owner_load)),
        )

    def _see_report(self, effect: RequestReport) -> None:
        self._metrics.count_event(effect.name)
        self._metrics.count_refused_request(effect.name, effect.reason)
        self._log.note(effect.name, **dict(effect.fields))

    def _see_hedge_report(self, effect: HedgeReport) -> None:
        self._metrics.count_event(effect.name)
        self._metrics.count_hedge(effect.request_class, effect.service, effect.name, effect.reason)
        self._log.note(effect.name, **dict(effect.fields))

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
