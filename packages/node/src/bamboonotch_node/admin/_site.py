"""Resources of the admin HTTP interface."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from twisted.web.resource import NoResource, Resource
from twisted.web.server import Request, Site

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import (
    BackendServerAnnounced,
    DrainRequested,
    Event,
    UndrainRequested,
)
from bamboonotch_node.clock import now_ms
from bamboonotch_node.sites import SiteBounds, make_site

__all__ = ["AdminBackend", "make_admin_site"]

MAX_BODY_BYTES = 4096
MAX_EVENTS = 2000
DEFAULT_EVENTS = 100
IDLE_TIMEOUT_S = 60


class AdminBackend(Protocol):
    """What the admin interface needs of the node."""

    def dispatch(self, event: Event) -> None:
        """Hand an event to the reducer."""

    def status(self) -> dict[str, Any]:
        """Return the node's status."""

    def members(self) -> list[dict[str, Any]]:
        """Return every member record known."""

    def configuration(self) -> dict[str, Any]:
        """Return the running version and its document."""

    def explain_request(self, method: str, path: str) -> dict[str, Any]:
        """Explain where a request would go."""

    def explain_version(self) -> dict[str, Any]:
        """Explain why this node runs the version that it runs."""

    def events(self, limit: int, prefix: str) -> list[dict[str, Any]]:
        """Return the newest reported events."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def report_malformed(self, source: str, fault: str) -> None:
        """Report malformed input."""

    def report(self, report: Report) -> None:
        """Take a report."""


def make_admin_site(backend: AdminBackend, max_connections: int) -> Site:
    """Build the site.

    :param backend: the node.
    :param max_connections: connections at most.
    """
    root = Resource()
    root.putChild(b"metrics", _Metrics(backend))
    version_1 = Resource()
    root.putChild(b"v1", version_1)
    version_1.putChild(b"backend-server", _Announcement(backend))
    version_1.putChild(b"status", _Json(lambda _: backend.status()))
    version_1.putChild(b"members", _Json(lambda _: backend.members()))
    version_1.putChild(b"configuration", _Json(lambda _: backend.configuration()))
    version_1.putChild(b"drain", _Command(backend, DrainRequested))
    version_1.putChild(b"undrain", _Command(backend, UndrainRequested))
    explain = Resource()
    version_1.putChild(b"explain", explain)
    explain.putChild(b"request", _Json(lambda request: _explain_request(backend, request)))
    explain.putChild(b"version", _Json(lambda _: backend.explain_version()))
    explain.putChild(b"events", _Json(lambda request: _events(backend, request)))
    bounds = SiteBounds("admin", max_connections, backend.report)
    return make_site(root, IDLE_TIMEOUT_S, bounds)


def _argument(request: Request, name: bytes, default: str) -> str:
    values = request.args.get(name, [])
    return values[0].decode("utf-8", "replace") if values else default


def _explain_request(backend: AdminBackend, request: Request) -> Any:
    method = _argument(request, b"method", "GET")
    return backend.explain_request(method, _argument(request, b"path", "/"))


def _events(backend: AdminBackend, request: Request) -> Any:
    text = _argument(request, b"limit", str(DEFAULT_EVENTS))
    limit = min(int(text), MAX_EVENTS) if text.isdecimal() and int(text) else DEFAULT_EVENTS
    return backend.events(limit, _argument(request, b"prefix", ""))


def _send_json(request: Request, value: Any, status: int = 200) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(value, default=str).encode() + b"\n"


class _Leaf(Resource):
    """Resource without children."""

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        """Answer that nothing is below this path."""
        del path, request
        return NoResource()


class _Json(_Leaf):
    """Answers GET with a JSON value."""

    def __init__(self, read: Callable[[Request], Any]) -> None:
        super().__init__()
        self._read = read

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Send the value."""
        return _send_json(request, self._read(request))


class _Metrics(_Leaf):
    """Answers GET with the metrics."""

    def __init__(self, backend: AdminBackend) -> None:
        super().__init__()
        self._backend = backend

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Send the metrics."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        return self._backend.metrics()


class _Command(_Leaf):
    """Turns POST into an event without fields."""

    def __init__(self, backend: AdminBackend, event_type: Callable[[float], Event]) -> None:
        super().__init__()
        self._backend = backend
        self._event_type = event_type

    def render_POST(self, request: Request) -> bytes:  # noqa: N802
        """Dispatch the event and send the status after it."""
        self._backend.dispatch(self._event_type(now_ms()))
        return _send_json(request, self._backend.status())


class _Announcement(_Leaf):
    """Takes the announcements of the local backend server."""

    def __init__(self, backend: AdminBackend) -> None:
        super().__init__()
        self._backend = backend

    def render_PUT(self, request: Request) -> bytes:  # noqa: N802
        """Dispatch the announcement and send the status after it."""
        try:
            event = _parse_announcement(request.content.read(MAX_BODY_BYTES + 1))
        except MessageError as error:
            self._backend.report_malformed("announcement", str(error))
            return _send_json(request, {"error": str(error)}, 400)
        self._backend.dispatch(event)
        return _send_json(request, self._backend.status())


def _parse_announcement(body: bytes) -> BackendServerAnnounced:
    if len(body) > MAX_BODY_BYTES:
        raise MessageError(f"announcement is larger than {MAX_BODY_BYTES} bytes")
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"announcement is not JSON: {error}") from error
    if not isinstance(value, dict) or set(value) != {"service", "address", "slots", "state"}:
        raise MessageError("announcement must have the fields service, address, slots and state")
    for field in ("service", "address", "state"):
        if not isinstance(value[field], str):
            raise MessageError(f"announcement field {field} must be a string")
    if type(value["slots"]) is not int:
        raise MessageError("announcement field slots must be an integer")
    return BackendServerAnnounced(now_ms(), **value)
