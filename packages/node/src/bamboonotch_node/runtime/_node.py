"""The runtime of one node."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import TracebackType
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bamboonotch_core.announcements import is_remembered
from bamboonotch_core.configuration import CallerLimits
from bamboonotch_core.effects import (
    CloseLink,
    CountEvent,
    Effect,
    OpenLink,
    Report,
    SendMessage,
    StopProcess,
)
from bamboonotch_core.events import (
    BackendServerAnnounced,
    Event,
    IdentityChanged,
    ShutdownRequested,
    Tick,
)
from bamboonotch_core.membership import backend_server_address, own_record
from bamboonotch_core.quota_events import SendQuotaAsk
from bamboonotch_core.reducer import reduce
from bamboonotch_core.request_effects import ForwardAttempt, SendFence
from bamboonotch_core.settings import NodeSettings, RequestSettings
from bamboonotch_core.state import NodeState, make_node_state
from bamboonotch_node.admin import make_admin_site
from bamboonotch_node.backend import ResponseStart
from bamboonotch_node.clock import now_ms, unix_ms
from bamboonotch_node.control import ControlLinks, LocalIdentity, PeerServer
from bamboonotch_node.forwarding import EffectHandlers, merge_handlers
from bamboonotch_node.history import EventHistory
from bamboonotch_node.http_ingress import RequestPath
from bamboonotch_node.logs import RequestLog, log_event
from bamboonotch_node.metrics import NodeMetrics
from bamboonotch_node.pauses import PauseGauge
from bamboonotch_node.runtime import _views as views
from bamboonotch_node.runtime._request_observer import RequestObserver
from bamboonotch_node.runtime._surroundings import OWN_SURROUNDINGS, Surroundings
from bamboonotch_store.client import StoreCall

__all__ = ["NodeRuntime"]

TICK_S = 0.1
UNKNOWN_TENANT = "none"
# Reports on single requests; under overload there may be thousands in a second.
REQUEST_REPORTS = frozenset({"quota-refused"})
# Effects that dial another node, and the field with its announced address.
TRANSLATED_FIELDS: dict[type[Effect], str] = {
    ForwardAttempt: "owner_address",
    SendFence: "owner_address",
    SendQuotaAsk: "lender_address",
}


class NodeRuntime:
    """Turns input into events and effects into output; leaving the context closes everything.

    :param settings: settings of the node.
    :param incarnation: start time of the process, in milliseconds since 1970.
    :param seed: seed of every random choice.
    :param reactor: Twisted's asyncio reactor of the running loop.
    :param surroundings: what the installation speaks.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        seed: int,
        reactor: Any,
        surroundings: Surroundings = OWN_SURROUNDINGS,
    ) -> None:
        self._settings = settings
        self._surroundings = surroundings
        self._reactor = reactor
        self._state = make_node_state(
            settings, incarnation, seed, now_ms(), surroundings.make_versions(settings, incarnation)
        )
        self._queue: deque[Event] = deque()
        self._draining_queue = False
        self._stopped = asyncio.Event()
        self._limits = CallerLimits()
        self._request_settings = settings.requests
        self._history = EventHistory()
        self._metrics = NodeMetrics()
        self._translation = dict(settings.address_translation)
        self._stack = contextlib.AsyncExitStack()
        self._ticker: asyncio.TimerHandle | None = None
        self._pauses = PauseGauge(now_ms)
        self._path = RequestPath(
            settings,
            incarnation,
            reactor,
            self.dispatch,
            lambda: self._state.distribution.running_version,
            lambda: self._state.admission.slots_held + self._state.admission.queued,
            self.report,
            now_ms,
            surroundings.dialect,
            self._find_request_settings,
            self._pauses.unread_ms,
            self._metrics.observe_uplink_wait,
            lambda: bool(self._state.distribution.running_configuration.workspaces),
        )
        self._request_log = RequestLog(log_event)
        self._observer = RequestObserver(
            self._metrics,
            self._find_tenant,
            self._find_response,
            lambda: self._state.distribution.running_version,
            self._request_log,
        )
        self._links = ControlLinks(
            LocalIdentity(settings.identity, incarnation),
            self._translation,
            self.dispatch,
            self._note_control,
            self._report_malformed_message,
        )
        self._store = surroundings.make_store_driver(
            settings, reactor, Random(seed), self.dispatch, self.report, self._count_store_call
        )
        self._handlers = self._make_handlers()

    async def __aenter__(self) -> NodeRuntime:
        async with contextlib.AsyncExitStack() as stack:
            identity = self._settings.identity
            admin_site = make_admin_site(self, identity.max_site_connections)
            await self._listen(identity.admin_address, admin_site, stack)
            await stack.enter_async_context(self._store)
            stack.push_async_callback(self._path.close)
            await stack.enter_async_context(self._links)
            peer_address = identity.peer_listen_address or identity.peer_address
            server = PeerServer(peer_address, self._links, self._path.server.forward)
            await stack.enter_async_context(server)
            await self._listen(identity.http_address, self._path.ingress.factory, stack)
            for address, site in self._surroundings.make_sites(self):
                await self._listen(address, site, stack)
            self._stack = stack.pop_all()
        incarnation = own_record(self._state.membership).incarnation
        self.report(Report("node-started", (("incarnation", incarnation),)))
        self._tick()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
        self.report(Report("node-stopped"))
        await self._stack.aclose()

    async def wait_stopped(self) -> None:
        """Wait until the reducer decides that the process ends."""
        await self._stopped.wait()

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self.report(Report("shutdown-requested", (("ready", False),)))
        self._path.ingress.leave()
        self.dispatch(ShutdownRequested(now_ms()))

    def apply_settings(self, settings: NodeSettings) -> None:
        """Take over the settings that can change while the node runs.

        :param settings: the new settings.
        """
        self._path.ingress.service = settings.identity.service
        self.dispatch(IdentityChanged(now_ms(), settings.identity))

    def dispatch(self, event: Event) -> None:
        """Reduce an event and carry out its effects, after those already in progress.

        :param event: the event.
        """
        self._queue.append(event)
        if self._draining_queue:
            return
        self._draining_queue = True
        try:
            while self._queue:
                self._handle(self._queue.popleft())
        finally:
            self._draining_queue = False

    def departure_kept(self, departure: BackendServerAnnounced) -> Deferred[bool]:
        """Return whether a departure that was dispatched outlives this process.

        :param departure: what the backend server has said.
        :returns: after a bounded time; false at once for one that the reducer has refused.
        """
        if not is_remembered(self._state.departures, departure):
            return succeed(False)
        return self._store.departures_kept()

    def report(self, report: Report) -> None:
        """Log a report, keep it for the explain interface and count it.

        One on a single request is not kept, and is logged like other decisions on requests.

        :param report: the report.
        """
        if report.name in REQUEST_REPORTS:
            self._metrics.count_event(report.name)
            self._request_log.note(report.name, **dict(report.fields))
            return
        self._history.record(unix_ms(), report)
        self._metrics.count_event(report.name)
        log_event(report.name, **dict(report.fields))

    def report_malformed(self, source: str, fault: str) -> None:
        """Report malformed input.

        :param source: where it came from.
        :param fault: what is wrong with it.
        """
        self.report(Report(f"malformed-{source}", (("fault", fault),)))

    def status(self) -> dict[str, Any]:
        """Return the node's status."""
        return views.describe_status(self._state)

    def members(self) -> list[dict[str, Any]]:
        """Return every member record known."""
        return views.describe_members(self._state)

    def configuration(self) -> dict[str, Any]:
        """Return the version held and its document."""
        distribution = self._state.distribution
        return {"version": distribution.held_version, "document": distribution.held_document}

    def explain_request(self, method: str, path: str) -> dict[str, Any]:
        """Explain where a request would go.

        :param method: HTTP method.
        :param path: request path.
        """
        return views.describe_request(self._state, method, path, now_ms())

    def is_ready(self) -> bool:
        """Tell whether callers should send new work to this node."""
        state = self._state
        return state.distribution.serving and state.shutdown_deadline_ms is None

    def explain_version(self) -> dict[str, Any]:
        """Explain why this node runs the version that it runs."""
        return views.describe_version(self._state)

    def events(self, limit: int, prefix: str) -> list[dict[str, Any]]:
        """Return the newest reported events.

        :param limit: events returned at most.
        :param prefix: only events whose name starts with this.
        """
        return [event.as_json() for event in self._history.newest(limit, prefix)]

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        distribution = self._state.distribution
        self._metrics.set_versions(
            distribution.held_version,
            distribution.running_version,
            views.superseding_version(distribution),
            distribution.serving,
        )
        self._metrics.set_members(views.count_members(self._state))
        callers = self._path.ingress.factory.connections
        self._metrics.set_callers(len(callers), self._path.memory.held_bytes)
        rate_limit = self._state.admission.rate_limit
        self._metrics.set_rate_limit(None if rate_limit is None else rate_limit.named_per_s)
        self._metrics.set_quotas(*views.count_quotas(self._state))
        return self._metrics.render()

    async def _listen(self, address: str, factory: Any, stack: contextlib.AsyncExitStack) -> None:
        host, _, port = address.rpartition(":")
        listener = self._reactor.listenTCP(int(port), factory, interface=host, backlog=1024)
        stack.callback(listener.stopListening)

    def _tick(self) -> None:
        self._ticker = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        self.dispatch(Tick(now_ms(), len(self._path.owner)))
        self._pauses.note_tick()

    def _handle(self, event: Event) -> None:
        self._observer.see_event(event)
        before = self._state
        try:
            transition = reduce(before, event)
        except Exception as error:  # noqa: BLE001
            # A fault in the decision code must not stop the node: the event changes nothing.
            self._report_fault("event-failed", type(event).__name__, error)
            return
        self._state = transition.state
        if transition.state.membership is not before.membership:
            self._path.backend.address = backend_server_address(transition.state.membership)
            announcement = transition.state.announcement
            if announcement is not None:
                self._path.backend.instance_id = announcement.instance_id
                self._path.backend.started_unix_ms = announcement.started_unix_ms
        for effect in transition.effects:
            self._perform(effect)
        if transition.state.distribution is not before.distribution:
            self._note_running_version(before, transition.state)

    def _perform(self, effect: Effect) -> None:
        self._observer.see_effect(effect)
        try:
            for handler in self._handlers.get(type(effect), ()):
                handler(effect)
        except Exception as error:  # noqa: BLE001
            self._report_fault("effect-failed", type(effect).__name__, error)

    def _make_handlers(self) -> dict[type[Effect], tuple[Callable[[Any], None], ...]]:
        own: EffectHandlers = {
            SendMessage: self._send_message,
            OpenLink: self._open_link,
            CloseLink: self._close_link,
            Report: self.report,
            CountEvent: self._count_event,
            StopProcess: self._stop,
        }
        path = dict(self._path.handlers)
        if self._translation:
            for kind, field in TRANSLATED_FIELDS.items():
                path[kind] = self._with_translation(path[kind], field)
        return merge_handlers(own, path, self._store.handlers)

    def _send_message(self, effect: SendMessage) -> None:
        self._links.send(effect.link_id, effect.message)

    def _open_link(self, effect: OpenLink) -> None:
        self._links.open(effect.address)

    def _close_link(self, effect: CloseLink) -> None:
        self._links.close(effect.link_id, effect.reason)

    def _count_event(self, effect: CountEvent) -> None:
        self._metrics.count_event(effect.name)

    def _stop(self, effect: StopProcess) -> None:
        del effect
        self._stopped.set()

    def _with_translation(
        self, handler: Callable[[Any], None], field: str
    ) -> Callable[[Any], None]:
        """Return a handler that dials the address given in place of the announced one."""

        def handle(effect: Any) -> None:
            announced = getattr(effect, field)
            handler(replace(effect, **{field: self._translation.get(announced, announced)}))

        return handle

    def _note_running_version(self, before: NodeState, after: NodeState) -> None:
        version = after.distribution.running_version
        if version == before.distribution.running_version:
            return
        accepted_ms = views.accepted_at_unix_ms(after.distribution, version)
        if accepted_ms is not None:
            self._metrics.observe_convergence(max(0.0, unix_ms() - accepted_ms))

    def _find_request_settings(self) -> RequestSettings:
        """Return the settings of requests with the limits of the running configuration."""
        limits = self._state.distribution.running_configuration.limits
        if limits is not self._limits:
            self._limits = limits
            self._request_settings = limits.apply(self._settings.requests)
        return self._request_settings

    def _find_tenant(self, service: str) -> str:
        found = self._state.distribution.running_configuration.services.get(service)
        return UNKNOWN_TENANT if found is None else found.tenant

    def _find_response(self, attempt_id: str) -> ResponseStart | None:
        attempt = self._path.client.find_attempt(attempt_id)
        return None if attempt is None else attempt.head

    def _count_store_call(self, call: StoreCall) -> None:
        self._metrics.count_store_call(call.kind.value, call.duration_ms, call.result.value)

    def _note_control(self, link_kind: str, message_kind: str, size_bytes: int) -> None:
        self._metrics.count_control(link_kind, message_kind, size_bytes)
        self._path.uplink.note_message(size_bytes)

    def _report_malformed_message(self, link_id: str, fault: str) -> None:
        self.report(Report("malformed-message", (("link_id", link_id), ("fault", fault))))

    def _report_fault(self, name: str, subject: str, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error)[-3:])
        self.report(Report(name, (("subject", subject), ("fault", trace))))
