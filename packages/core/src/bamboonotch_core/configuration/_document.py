"""Types of a configuration document and its canonical encoding."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from immutables import Map

from bamboonotch_core.settings import RequestSettings

__all__ = [
    "EMPTY_CONFIGURATION",
    "EMPTY_DOCUMENT",
    "CallerLimits",
    "Configuration",
    "Document",
    "Rank",
    "RequestClass",
    "Route",
    "Service",
    "WeightedService",
    "canonical_json",
    "digest_document",
]

Document = Mapping[str, Any]
"""A configuration document as parsed JSON. Callers must not change it."""

Rank = tuple[int, int, int]
"""Order of service: priority, 1 for a request that returns, target in milliseconds."""

EMPTY_DOCUMENT: Document = {"classes": {}, "services": {}, "routes": {}}
"""The document of version 0."""


@dataclass(frozen=True)
class RequestClass:
    """Admission policy of one class of requests.

    :param name: name of the class.
    :param priority: 0 is served first; larger numbers are shed earlier.
    :param queue_limit: requests that may wait at one owner.
    :param queue_timeout_ms: longest wait in the queue, in milliseconds.
    :param target_ms: time within which an answer is wanted, in milliseconds; work that would miss
        it by waiting leaves the queue. 0 for none.
    """

    name: str
    priority: int
    queue_limit: int
    queue_timeout_ms: int
    target_ms: int = 0

    def rank(self, returning: bool) -> Rank:
        """Return the place of a request in the order of service, lowest first.

        Within one priority a request that returns after a refusal goes last, because it has spent
        most of its target waiting. Among the others the shorter target goes first: such work is
        short itself, and is mostly called by work that already runs elsewhere.

        :param returning: whether the caller seems to have been refused before.
        """
        return self.priority, int(returning), self.target_ms


@dataclass(frozen=True)
class Service:
    """One service of a customer.

    :param name: name of the service.
    :param tenant: the customer that owns it.
    :param slots_per_backend_server: requests that one backend server runs at once, unless it
        announces fewer.
    :param ramp_ms: time over which a cold backend server reaches all its slots, in milliseconds.
    """

    name: str
    tenant: str
    slots_per_backend_server: int
    ramp_ms: int


@dataclass(frozen=True)
class WeightedService:
    """One part of a route whose requests are shared among services.

    :param service: name of the service.
    :param weight: its share, relative to the other parts.
    """

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Maps requests to a service and a class.

    :param name: name of the route.
    :param path_prefix: prefix of the request path, starting with a slash.
    :param methods: HTTP methods that the route takes.
    :param service: name of the service that answers; empty when ``split`` names several.
    :param request_class: name of the class that sets priority and queueing.
    :param idempotent: whether a request may run more than once.
    :param timeout_ms: default and upper bound of the deadline, in milliseconds.
    :param host: host that the route belongs to; empty for every host.
    :param max_attempts: backend servers that one request may reach; 0 for the node's setting.
    :param split: services that share the requests by weight, instead of ``service``.
    """

    name: str
    path_prefix: str
    methods: frozenset[str]
    service: str
    request_class: str
    idempotent: bool
    timeout_ms: int
    host: str = ""
    max_attempts: int = 0
    split: tuple[WeightedService, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that the route leads to."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take; 0 for the node's setting.

    :param max_header_bytes: largest head of a request, in bytes.
    :param max_body_bytes: largest request body, in bytes.
    :param header_timeout_ms: longest time until the head of a request is complete, in milliseconds.
    :param idle_timeout_ms: how long a connection without a request is kept, in milliseconds.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0

    def apply(self, settings: RequestSettings) -> RequestSettings:
        """Return a node's settings with these limits in place of its own.

        :param settings: section ``[requests]`` of the node.
        """
        changes = {name: value for name, value in dataclasses.asdict(self).items() if value}
        return dataclasses.replace(settings, **changes)


@dataclass(frozen=True)
class Configuration:
    """A validated configuration document.

    :param classes: request classes by name.
    :param services: services by name.
    :param routes: routes by name.
    :param limits: limits of callers.
    """

    classes: Map[str, RequestClass]
    services: Map[str, Service]
    routes: Map[str, Route]
    limits: CallerLimits = CallerLimits()


EMPTY_CONFIGURATION = Configuration(Map(), Map(), Map())
"""The configuration of version 0."""


def canonical_json(document: Document) -> bytes:
    """Encode a document as UTF-8 JSON with sorted keys and no spaces.

    :param document: the document.
    """
    text = json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def digest_document(document: Document) -> str:
    """Return the SHA-256 digest of the canonical JSON, as 64 hexadecimal digits.

    :param document: the document.
    """
    return hashlib.sha256(canonical_json(document)).hexdigest()
