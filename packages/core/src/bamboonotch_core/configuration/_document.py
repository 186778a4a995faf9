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
    "Workspace",
    "canonical_json",
    "digest_document",
    "digest_key",
]

Document = Mapping[str, Any]
"""A configuration document as parsed JSON. It must not be changed in place."""

Rank = tuple[int, int, int, int]
"""Place in the order of service, lowest first.

The items are the priority of the workspace, the priority of the class, 1 for a request that was
refused before or else 0, and the target in milliseconds.
"""

KEY_DIGEST_DIGITS = 32

EMPTY_DOCUMENT: Document = {"classes": {}, "services": {}, "routes": {}}
"""The document of version 0."""


@dataclass(frozen=True)
class RequestClass:
    """Admission policy of one class of requests.

    :param priority: from 0, which is served first; larger numbers are refused earlier.
    :param queue_limit: largest number of requests that wait at one owner.
    :param queue_timeout_ms: longest wait in the queue, in milliseconds.
    :param target_ms: time within which a response is wanted, in milliseconds; a request that would
        miss it by waiting is taken out of the queue. 0 for no target.
    """

    name: str
    priority: int
    queue_limit: int
    queue_timeout_ms: int
    target_ms: int = 0

    def rank(self, returning: bool, workspace_priority: int = 0) -> Rank:
        """Return the place of a request in the order of service, lowest first.

        Within one priority, a request that is repeated after a refusal is served last, because most
        of its target has passed while it waited. Other requests are served in the order of their
        targets, shortest first: a request with a short target needs little time, and is mostly sent
        by a service on behalf of a request that already runs.

        :param returning: whether the request seems to be repeated after a refusal.
        :param workspace_priority: priority of the caller's workspace; 0 without one, because calls
            of backend servers have none and the requests that make them already run.
        """
        return workspace_priority, self.priority, int(returning), self.target_ms


@dataclass(frozen=True)
class Service:
    """One service of a customer.

    :param tenant: the customer that owns the service.
    :param slots_per_backend_server: requests that one backend server runs at once, unless it
        announces fewer.
    :param ramp_ms: time in which a newly started backend server is given all its slots, in
        milliseconds.
    """

    name: str
    tenant: str
    slots_per_backend_server: int
    ramp_ms: int


@dataclass(frozen=True)
class WeightedService:
    """One part of a route whose requests are split among services.

    :param service: name of the service.
    :param weight: share of the requests, relative to the weights of the other parts.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Maps requests to a service and a class.

    :param path_prefix: prefix of the request path, starting with a slash.
    :param methods: HTTP methods that the route accepts.
    :param service: name of the service; empty when ``split`` names several.
    :param request_class: name of the class that sets priority and queueing.
    :param idempotent: whether a request may run more than once.
    :param timeout_ms: default and upper bound of a request's timeout, in milliseconds.
    :param host: host that the route belongs to; empty for every host.
    :param max_attempts: backend servers that one request may reach; 0 for the node's setting.
    :param split: services that the requests are split among, instead of ``service``.
    :param anonymous: whether requests need no key.
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
    anonymous: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that the route sends requests to."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)


@dataclass(frozen=True)
class Workspace:
    """A group of callers that share keys, a priority and a quota.

    :param priority: from 0, which is served first; goes before the priority of a class.
    :param key_digests: digests of its keys, see :func:`digest_key`.
    :param rate_per_s: requests a second that all nodes together let through; 0 for no limit.
    :param burst: requests that may come at once beyond that rate.
    """

    name: str
    priority: int
    key_digests: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Limits of the sizes and times of callers' requests; 0 for the node's setting.

    :param max_header_bytes: largest head of a request, in bytes.
    :param max_body_bytes: largest request body, in bytes.
    :param header_timeout_ms: longest time until the head of a request is complete, in milliseconds.
    :param idle_timeout_ms: time after which a connection without a request is closed, in
        milliseconds.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0

    def apply(self, settings: RequestSettings) -> RequestSettings:
        """Return a node's settings with each limit that is not 0 in place of the node's own.

        :param settings: section ``[requests]`` of the node's settings.
        """
        changes = {name: value for name, value in dataclasses.asdict(self).items() if value}
        return dataclasses.replace(settings, **changes)


@dataclass(frozen=True)
class Configuration:
    """A validated configuration document.

    :param classes: request classes by name.
    :param services: services by name.
    :param routes: routes by name.
    :param limits: limits for callers' requests.
    :param workspaces: workspaces by name; without any, requests need no key.
    :param workspace_by_key: name of the workspace that holds each key, by the digest of the key.
    """

    classes: Map[str, RequestClass]
    services: Map[str, Service]
    routes: Map[str, Route]
    limits: CallerLimits = CallerLimits()
    workspaces: Map[str, Workspace] = Map()
    workspace_by_key: Map[str, str] = Map()


EMPTY_CONFIGURATION = Configuration(Map(), Map(), Map())
"""The configuration of version 0."""


def digest_key(key: str) -> str:
    """Return the digest that stands for a caller's key in documents, messages and memory.

    Half of a SHA-256 digest keeps documents small; keys are random and long, so it cannot be
    reversed. Different keys are encoded differently, so none stands for another.

    :param key: the key as the caller sends it.
    :returns: 32 hexadecimal digits.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()[:KEY_DIGEST_DIGITS]


def canonical_json(document: Document) -> bytes:
    """Encode a document as UTF-8 JSON with sorted keys and no spaces."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def digest_document(document: Document) -> str:
    """Return the SHA-256 digest of a document's canonical JSON, as 64 hexadecimal digits."""
    return hashlib.sha256(canonical_json(document)).hexdigest()
