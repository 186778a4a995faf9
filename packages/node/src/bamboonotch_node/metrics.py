"""Metrics of a node, rendered in the Prometheus text format."""

from __future__ import annotations

import math
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

__all__ = ["NodeMetrics"]

LATENCY_BUCKETS_MS = [0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 2000.0]
CONVERGENCE_BUCKETS_MS = [
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    250.0,
    500.0,
    1000.0,
    2500.0,
    5000.0,
    30000.0,
]


class NodeMetrics:
    """Owns the registry and every metric of one node."""

    def __init__(self) -> None:
        self._registry = Registry()
        add = self._register
        self._control_bytes = add(
            Counter("control_bytes_total", "Control bytes sent, by link kind and message kind")
        )
        self._control_messages = add(
            Counter(
                "control_messages_total", "Control messages sent, by link kind and message kind"
            )
        )
        self._store_calls = add(Counter("store_calls_total", "Store calls by kind and result"))
        self._events = add(Counter("events_total", "Reported events by name"))
        self._outcomes = add(
            Counter("request_outcomes_total", "Requests by tenant, class, service and outcome")
        )
        self._refused_requests = add(
            Counter("request_refusals_total", "Requests refused on arrival, by event and reason")
        )
        self._hedges = add(
            Counter("hedges_total", "Hedged copies, by class, service, event and reason")
        )
        self._refused_work = add(
            Counter(
                "work_refused_total", "Attempts refused by this owner, by class, service and reason"
            )
        )
        self._versions = add(Gauge("configuration_version", "Held and running version"))
        self._superseded = add(
            Gauge("configuration_superseded_by", "Newer version that was refused, 0 without one")
        )
        self._serving = add(Gauge("serving", "1 while the node serves requests"))
        self._rate_limit = add(
            Gauge("backend_rate_limit_per_s", "Requests a second named by the backend server")
        )
        self._quota_granted = add(
            Counter("quota_tokens_granted_total", "Tokens that this node has lent, by shard")
        )
        self._quota_refused = add(
            Counter("quota_refused_total", "Requests refused here for want of a token, by shard")
        )
        self._quota_waiting = add(
            Gauge("quota_waiting", "Requests that wait here for a token, by shard")
        )
        self._quota_lent = add(Gauge("quota_shard_held", "1 for each shard that this node lends"))
        self._caller_connections = add(Gauge("caller_connections", "Connections of callers"))
        self._caller_memory = add(
            Gauge("caller_memory_bytes", "Memory that callers make the node hold, in bytes")
        )
        self._members = add(Gauge("members", "Members known, by state"))
        self._convergence = add(
            Histogram(
                "convergence_ms",
                "Time from acceptance of a version until this node runs it, in milliseconds",
                buckets=CONVERGENCE_BUCKETS_MS,
            )
        )
        self._added = self._latency("added_latency_ms", "Time added to a call at the ingress")
        self._backend = self._latency("backend_latency_ms", "Time in the backend server")
        self._queue = self._latency("queue_ms", "Time in the owner's queue")
        self._uplink = self._latency("uplink_wait_ms", "Time that a part of a body waits to leave")

    def _register(self, metric: Counter | Gauge | Histogram) -> Counter | Gauge | Histogram:
        self._registry.register(metric)
        return metric

    def _latency(self, name: str, documentation: str) -> Histogram:
        histogram = Histogram(name, f"{documentation}, in milliseconds", buckets=LATENCY_BUCKETS_MS)
        return self._register(histogram)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        rendered: bytes = text.TextFormatter().marshall(self._registry)
        return rendered

    def count_control(self, link_kind: str, message_kind: str, size_bytes: int) -> None:
        """Count one control message sent.

        :param link_kind: ``local``, ``data-centre`` or ``inter-region``.
        :param message_kind: type of the message.
        :param size_bytes: encoded size, in bytes.
        """
        labels = {"link": link_kind, "message": message_kind}
        self._control_bytes.add(labels, size_bytes)
        self._control_messages.inc(labels)

    def count_store_call(self, kind: str, duration_ms: float, result: str) -> None:
        """Count one call of the store.

        :param kind: kind of the call.
        :param duration_ms: time until the answer, in milliseconds; not kept.
        :param result: ``ok`` or the name of the error.
        """
        del duration_ms
        self._store_calls.inc({"call": kind, "result": result})

    def count_event(self, name: str) -> None:
        """Count one reported event.

        :param name: name of the event.
        """
        self._events.inc({"event": name})

    def set_versions(self, held: int, running: int, superseded_by: int, serving: bool) -> None:
        """Set the version gauges.

        :param held: newest version held.
        :param running: version that is run.
        :param superseded_by: newer version that was refused; 0 without one.
        :param serving: whether the node serves.
        """
        self._versions.set({"kind": "held"}, held)
        self._versions.set({"kind": "running"}, running)
        self._superseded.set({}, superseded_by)
        self._serving.set({}, int(serving))

    def set_rate_limit(self, rate_limit_per_s: float | None) -> None:
        """Set the gauge of the rate that the backend server takes.

        :param rate_limit_per_s: requests a second; ``None`` for no limit, shown as infinity.
        """
        self._rate_limit.set({}, math.inf if rate_limit_per_s is None else rate_limit_per_s)

    def set_callers(self, connections: int, held_bytes: int) -> None:
        """Set the gauges of what callers take.

        :param connections: open connections of callers.
        :param held_bytes: memory that they make the node hold, in bytes.
        """
        self._caller_connections.set({}, connections)
        self._caller_memory.set({}, held_bytes)

    def set_members(self, counts: dict[str, int]) -> None:
        """Set the member gauges.

        :param counts: members by state.
        """
        for state, count in counts.items():
            self._members.set({"state": state}, count)

    def set_quotas(
        self,
        granted: Mapping[int, int],
        refused: Mapping[int, int],
        waiting: Mapping[int, int],
        held: Mapping[int, int],
    ) -> None:
        """Set the metrics of quotas, each by shard; they do not grow with the workspaces.

        :param granted: tokens lent since the start of the process.
        :param refused: requests refused since the start of the process.
        :param waiting: requests that wait for a token.
        :param held: 1 for a shard that this node lends tokens for, else 0.
        """
        metrics = (
            (self._quota_granted, granted),
            (self._quota_refused, refused),
            (self._quota_waiting, waiting),
            (self._quota_lent, held),
        )
        for metric, values in metrics:
            for shard, value in values.items():
                metric.set({"shard": str(shard)}, value)

    def observe_convergence(self, duration_ms: float) -> None:
        """Record the time from acceptance of a version until it runs here.

        :param duration_ms: the time, in milliseconds.
        """
        self._convergence.observe({}, duration_ms)

    def observe_uplink_wait(self, waited_ms: float) -> None:
        """Record the time that a chunk of a body waited until the link had room for it.

        :param waited_ms: the time, in milliseconds.
        """
        self._uplink.observe({}, waited_ms)

    def observe_request(
        self,
        tenant: str,
        request_class: str,
        service: str,
        outcome: str,
        added_ms: float | None,
    ) -> None:
        """Record one finished request at the ingress.

        :param tenant: the customer.
        :param request_class: class of the request.
        :param service: service asked for.
        :param outcome: ``done``, ``not-run`` or ``unknown``.
        :param added_ms: time beyond queueing and the backend server, in milliseconds.
        """
        labels = {"tenant": tenant, "class": request_class, "service": service}
        self._outcomes.inc({**labels, "outcome": outcome})
        if added_ms is not None:
            self._added.observe(labels, added_ms)

    def count_refused_request(self, event: str, reason: str) -> None:
        """Count one request that the ingress refused on arrival.

        :param event: name of the event, lower case with dashes.
        :param reason: what decided, lower case with dashes.
        """
        self._refused_requests.inc({"event": event, "reason": reason})

    def count_hedge(self, request_class: str, service: str, event: str, reason: str) -> None:
        """Count what became of one hedged copy.

        :param request_class: class of the request.
        :param service: service asked for.
        :param event: name of the event, lower case with dashes.
        :param reason: why a copy was not sent or got no response; empty otherwise.
        """
        labels = {"class": request_class, "service": service, "event": event, "reason": reason}
        self._hedges.inc(labels)

    def count_refused_work(self, request_class: str, service: str, reason: str) -> None:
        """Count one attempt that this owner ended without a response.

        :param request_class: class of the request.
        :param service: service asked for.
        :param reason: why, lower case with dashes.
        """
        self._refused_work.inc({"class": request_class, "service": service, "reason": reason})

    def observe_work(
        self,
        tenant: str,
        request_class: str,
        service: str,
        queue_ms: float,
        backend_ms: float,
    ) -> None:
        """Record one finished attempt at the owner.

        :param tenant: the customer.
        :param request_class: class of the request.
        :param service: service asked for.
        :param queue_ms: time in the queue, in milliseconds.
        :param backend_ms: time in the backend server, in milliseconds.
        """
        labels = {"tenant": tenant, "class": request_class, "service": service}
        self._queue.observe(labels, queue_ms)
        self._backend.observe(labels, backend_ms)
