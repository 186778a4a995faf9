"""Validation of configuration documents.

Validation runs before a version is accepted and again on every node. Its result must depend on the
document alone, so that all nodes agree with the acceptance.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from immutables import Map

from bamboonotch_core.configuration._document import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    CallerLimits,
    Configuration,
    Document,
    RequestClass,
    Route,
    Service,
    WeightedService,
    Workspace,
)
from bamboonotch_core.errors import ConfigurationError, ConfigurationFault

__all__ = ["MAX_BODY_BYTES", "MAX_DURATION_MS", "MAX_HEADER_BYTES", "parse_configuration"]

NAME_PATTERN = re.compile(r"[a-z0-9-]{1,64}\Z")
PATH_PREFIX_PATTERN = re.compile(r"/[!-~]*\Z")
METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"})
# A bound that refuses a version keeps a fleet at the one before it. So each one here protects
# memory, or is the largest number that every message and timer can hold.
MAX_INTEGER = 2**63 - 1
MAX_QUEUE_LIMIT = 100_000
MAX_SLOTS = 10_000
MAX_DURATION_MS = 2**31 - 1
HOST_MESSAGE = "must be a host name of a-z, 0-9, . and -"
HOST_PATTERN = re.compile(r"[a-z0-9.-]{0,253}\Z")
MAX_HEADER_BYTES = 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024

_Item = TypeVar("_Item")
_TOP_LEVEL_FIELDS = ("classes", "services", "routes", "limits", "workspaces")
_OPTIONAL_SECTIONS = frozenset({"workspaces"})
KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}\Z")


class _FieldReader:
    """Reads the fields of one JSON object and adds a fault for each invalid one.

    A method that reads an invalid field returns some value of the expected type, so that reading
    continues and all faults of a document are found at once.
    """

    def __init__(self, pointer: str, value: Any, faults: list[ConfigurationFault]) -> None:
        self._pointer = pointer
        self._faults = faults
        self._values: Mapping[str, Any] = value if isinstance(value, dict) else {}
        self._read_fields: set[str] = set()
        if not isinstance(value, dict):
            self._add_fault("", "must be an object")

    def _add_fault(self, field: str, message: str) -> None:
        pointer = f"{self._pointer}/{field}" if field else self._pointer
        self._faults.append(ConfigurationFault(pointer, message))

    def integer(self, field: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Read an integer from ``minimum`` to ``maximum``."""
        self._read_fields.add(field)
        value = self._values.get(field, default)
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            self._add_fault(field, f"must be an integer from {minimum} to {maximum}")
            return minimum
        return value

    def limit(self, field: str, minimum: int, maximum: int) -> int:
        """Read an integer from ``minimum`` to ``maximum``; 0 when it is absent."""
        self._read_fields.add(field)
        return self.integer(field, minimum, maximum) if self.has(field) else 0

    def number(self, field: str, default: float | None = None) -> float:
        """Read a number from 0 to ``MAX_INTEGER``."""
        self._read_fields.add(field)
        value = self._values.get(field, default)
        valid = isinstance(value, int | float) and not isinstance(value, bool)
        if not valid or not 0 <= value <= MAX_INTEGER:
            self._add_fault(field, f"must be a number from 0 to {MAX_INTEGER}")
            return 0.0
        return float(value)

    def key_digests(self, field: str) -> tuple[str, ...]:
        """Read a list of digests of keys; a fault does not repeat the value."""
        self._read_fields.add(field)
        value = self._values.get(field, [])
        if not isinstance(value, list) or not all(
            isinstance(item, str) and KEY_DIGEST_PATTERN.match(item) for item in value
        ):
            self._add_fault(field, "must be a list of digests of keys")
            return ()
        return tuple(value)

    def boolean(self, field: str, default: bool | None = None) -> bool:
        """Read a boolean."""
        self._read_fields.add(field)
        value = self._values.get(field, default)
        if not isinstance(value, bool):
            self._add_fault(field, "must be true or false")
            return False
        return value

    def name(self, field: str) -> str:
        """Read a name."""
        return self.text(field, NAME_PATTERN, "must be 1 to 64 characters of a-z, 0-9 and -")

    def text(self, field: str, pattern: re.Pattern[str], message: str) -> str:
        """Read a string that matches a pattern."""
        self._read_fields.add(field)
        value = self._values.get(field)
        if not isinstance(value, str) or not pattern.match(value):
            self._add_fault(field, message)
            return ""
        return value

    def methods(self, field: str) -> frozenset[str]:
        """Read a list of HTTP methods; all of them when it is absent."""
        self._read_fields.add(field)
        if field not in self._values:
            return METHODS
        value = self._values[field]
        valid = isinstance(value, list) and value and all(isinstance(item, str) for item in value)
        if not valid or not METHODS.issuperset(value or ()):
            allowed = ", ".join(sorted(METHODS))
            self._add_fault(field, f"must be a list of one or more of {allowed}")
            return frozenset()
        return frozenset(value or ())

    def has(self, field: str) -> bool:
        """Return whether a field is present."""
        return field in self._values

    def split(self, field: str) -> tuple[WeightedService, ...]:
        """Read the services that a route is split among, with their weights."""
        self._read_fields.add(field)
        value = self._values[field]
        if not isinstance(value, list) or not value:
            self._add_fault(field, "must be a list of one or more objects")
            return ()
        parts = []
        for index, item in enumerate(value):
            fields = _FieldReader(f"{self._pointer}/{field}/{index}", item, self._faults)
            name, weight = fields.name("service"), fields.number("weight")
            parts.append(WeightedService(name, weight))
            fields.finish()
        if not any(part.weight for part in parts):
            self._add_fault(field, "must have a part with a weight above 0")
        return tuple(parts)

    def finish(self) -> None:
        """Add a fault for every field that was not read."""
        for field in sorted(set(self._values) - self._read_fields):
            self._add_fault(field, "is not a known field")


def _parse_class(name: str, fields: _FieldReader) -> RequestClass:
    return RequestClass(
        name=name,
        priority=fields.integer("priority", 0, MAX_INTEGER),
        queue_limit=fields.integer("queue_limit", 0, MAX_QUEUE_LIMIT, 64),
        queue_timeout_ms=fields.integer("queue_timeout_ms", 1, MAX_DURATION_MS, 500),
        target_ms=fields.integer("target_ms", 0, MAX_DURATION_MS, 0),
    )


def _parse_service(name: str, fields: _FieldReader) -> Service:
    return Service(
        name=name,
        tenant=fields.name("tenant"),
        slots_per_backend_server=fields.integer("slots_per_backend_server", 1, MAX_SLOTS),
        ramp_ms=fields.integer("ramp_ms", 0, MAX_DURATION_MS, 5000),
    )


def _parse_route(name: str, fields: _FieldReader) -> Route:
    is_split = fields.has("split")
    return Route(
        name=name,
        path_prefix=fields.text(
            "path_prefix",
            PATH_PREFIX_PATTERN,
            "must be a path of printable ASCII characters that starts with /",
        ),
        methods=fields.methods("methods"),
        service="" if is_split else fields.name("service"),
        split=fields.split("split") if is_split else (),
        request_class=fields.name("request_class"),
        idempotent=fields.boolean("idempotent"),
        timeout_ms=fields.integer("timeout_ms", 1, MAX_DURATION_MS),
        host=fields.text("host", HOST_PATTERN, HOST_MESSAGE) if fields.has("host") else "",
        max_attempts=fields.integer("max_attempts", 0, MAX_INTEGER, 0),
        anonymous=fields.boolean("anonymous", False),
    )


def _parse_workspace(name: str, fields: _FieldReader) -> Workspace:
    return Workspace(
        name=name,
        priority=fields.integer("priority", 0, MAX_INTEGER, 0),
        key_digests=fields.key_digests("keys"),
        rate_per_s=fields.number("rate_per_s", 0),
        burst=fields.number("burst", 0),
    )


def _index_keys(workspaces: Map[str, Workspace], faults: list[ConfigurationFault]) -> Map[str, str]:
    """Return the name of the workspace of each key; a key in two workspaces is a fault."""
    holders: dict[str, str] = {}
    for name, workspace in sorted(workspaces.items()):
        for digest in workspace.key_digests:
            other = holders.setdefault(digest, name)
            if other != name:
                message = f"holds a key of workspace {other!r}"
                faults.append(ConfigurationFault(f"/workspaces/{name}/keys", message))
    return Map(holders)


def _parse_limits(document: Document, faults: list[ConfigurationFault]) -> CallerLimits:
    if "limits" not in document:
        return CallerLimits()
    fields = _FieldReader("/limits", document["limits"], faults)
    limits = CallerLimits(
        max_header_bytes=fields.limit("max_header_bytes", 1, MAX_HEADER_BYTES),
        max_body_bytes=fields.limit("max_body_bytes", 1, MAX_BODY_BYTES),
        header_timeout_ms=fields.limit("header_timeout_ms", 1, MAX_DURATION_MS),
        idle_timeout_ms=fields.limit("idle_timeout_ms", 1, MAX_DURATION_MS),
    )
    fields.finish()
    return limits


def _is_same_json(value: Any, other: Any) -> bool:
    """Return whether two JSON objects without nested values are the same.

    Python takes ``1``, ``1.0`` and ``True`` for equal, but a field accepts only one of them.
    """
    if not isinstance(value, dict) or value != other:
        return False
    for name, item in value.items():
        if type(item) is not type(other[name]) or isinstance(item, dict | list):
            return False
    return True


def _parse_section(
    document: Document,
    section: str,
    parse: Callable[[str, _FieldReader], _Item],
    faults: list[ConfigurationFault],
    held_values: Mapping[str, Any],
    held_items: Map[str, _Item],
) -> Map[str, _Item]:
    values = document.get(section, {} if section in _OPTIONAL_SECTIONS else None)
    if not isinstance(values, dict):
        faults.append(ConfigurationFault(f"/{section}", "must be an object"))
        return Map()
    items: dict[str, _Item] = {}
    for name in sorted(values):
        held_item = held_items.get(name)
        if held_item is not None and _is_same_json(values[name], held_values.get(name)):
            items[name] = held_item
            continue
        pointer = f"/{section}/{name.replace('~', '~0').replace('/', '~1')}"
        if not NAME_PATTERN.match(name):
            faults.append(
                ConfigurationFault(pointer, "name must be 1 to 64 characters of a-z, 0-9 and -")
            )
            continue
        fields = _FieldReader(pointer, values[name], faults)
        items[name] = parse(name, fields)
        fields.finish()
    return Map(items)


def _check_references(configuration: Configuration, faults: list[ConfigurationFault]) -> None:
    services = configuration.services
    for name, route in sorted(configuration.routes.items()):
        field = "split" if route.split else "service"
        for service in route.services:
            if service and service not in services:
                message = f"service {service!r} does not exist"
                faults.append(ConfigurationFault(f"/routes/{name}/{field}", message))
        if route.request_class and route.request_class not in configuration.classes:
            message = f"class {route.request_class!r} does not exist"
            faults.append(ConfigurationFault(f"/routes/{name}/request_class", message))


def _check_overlaps(configuration: Configuration, faults: list[ConfigurationFault]) -> None:
    by_prefix: dict[tuple[str, str], dict[str, str] | Route] = {}
    for name, route in sorted(configuration.routes.items()):
        key = (route.host, route.path_prefix)
        taken = by_prefix.setdefault(key, route)
        if taken is route:
            continue
        if isinstance(taken, Route):
            # Most prefixes have one route, for which no map of methods is made.
            taken = by_prefix[key] = dict.fromkeys(taken.methods, taken.name)
        for method in sorted(route.methods):
            other = taken.setdefault(method, name)
            if other != name:
                message = (
                    f"{method} {route.host}{route.path_prefix} is already taken by route {other!r}"
                )
                faults.append(ConfigurationFault(f"/routes/{name}", message))


def parse_configuration(
    document: Document, held: tuple[Document, Configuration] | None = None
) -> Configuration:
    """Validate a configuration document and return it as typed values.

    :param held: an earlier document with its typed values, of which unchanged parts are taken over.
        The result does not depend on it.
    :raises ConfigurationError: with every fault of the document.
    """
    faults: list[ConfigurationFault] = []
    if not isinstance(document, dict):
        raise ConfigurationError((ConfigurationFault("", "must be an object"),))
    for field in sorted(set(document) - set(_TOP_LEVEL_FIELDS)):
        faults.append(ConfigurationFault(f"/{field}", "is not a known field"))
    held_document, held_configuration = held or (EMPTY_DOCUMENT, EMPTY_CONFIGURATION)

    def parse_section(name: str, parse: Callable[[str, _FieldReader], _Item]) -> Map[str, _Item]:
        known: Map[str, _Item] = getattr(held_configuration, name)
        held_values = held_document.get(name, {})
        return _parse_section(document, name, parse, faults, held_values, known)

    workspaces = parse_section("workspaces", _parse_workspace)
    configuration = Configuration(
        classes=parse_section("classes", _parse_class),
        services=parse_section("services", _parse_service),
        routes=parse_section("routes", _parse_route),
        limits=_parse_limits(document, faults),
        workspaces=workspaces,
        workspace_by_key=_index_keys(workspaces, faults),
    )
    _check_references(configuration, faults)
    _check_overlaps(configuration, faults)
    if faults:
        raise ConfigurationError(tuple(faults))
    return configuration
