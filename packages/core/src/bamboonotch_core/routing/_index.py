"""Index of routes by path prefix.

A prefix matches a path when it ends where a segment of the path ends, so ``/orders`` matches
``/orders`` and ``/orders/7`` but not ``/orders-archive``. A lookup tries the prefixes
of the path that end at a segment, longest first, in a map. Its cost depends on the depth of the
path, not on the number of routes. The key of a route that belongs to a host is the host name
followed by the prefix.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.configuration import Configuration, RequestClass, Route

__all__ = ["IndexedRoute", "RouteIndex", "build_index", "matching_prefixes", "path_of"]

# The classes served first may use all of a node's ``max_requests``. The classes served last are
# refused while a quarter of it is free, so that the others still find room.
FIRST_PRIORITY_SHARE = 1.0
LAST_PRIORITY_SHARE = 0.75


@dataclass(frozen=True)
class IndexedRoute:
    """A route with its class, resolved so that a request needs no further lookup.

    :param room_share: share of ``max_requests`` at which requests of the class are refused, from
        0.75 to 1.
    """

    route: Route
    request_class: RequestClass
    room_share: float


@dataclass(frozen=True)
class RouteIndex:
    """Routes by prefix and method.

    :param by_prefix: for each prefix, the routes by HTTP method.
    :param max_slashes: largest number of slashes in a prefix; a path with more is shortened before
        the lookup.
    """

    by_prefix: Map[str, Map[str, IndexedRoute]]
    max_slashes: int


def _room_shares(configuration: Configuration) -> dict[int, float]:
    """Return the room share of each priority, in equal steps from the first to the last."""
    priorities = sorted({item.priority for item in configuration.classes.values()})
    if len(priorities) < 2:
        return dict.fromkeys(priorities, FIRST_PRIORITY_SHARE)
    step = (FIRST_PRIORITY_SHARE - LAST_PRIORITY_SHARE) / (len(priorities) - 1)
    return {
        priority: FIRST_PRIORITY_SHARE - step * position
        for position, priority in enumerate(priorities)
    }


def build_index(
    configuration: Configuration, held: tuple[Configuration, RouteIndex] | None = None
) -> RouteIndex:
    """Index the routes of a validated configuration.

    :param held: an earlier configuration and its index, of which unchanged parts are taken over.
    """
    shares = _room_shares(configuration)
    # A share depends on the priorities of all classes.
    reused = held[1].by_prefix if held and held[0].classes == configuration.classes else Map()
    routes: dict[str, list[Route]] = {}
    for route in configuration.routes.values():
        routes.setdefault(route.host + route.path_prefix, []).append(route)
    by_prefix: dict[str, Map[str, IndexedRoute]] = {}
    for prefix, group in routes.items():
        known = reused.get(prefix)
        if known is not None and _holds_just(known, group):
            by_prefix[prefix] = known
            continue
        methods: dict[str, IndexedRoute] = {}
        for route in group:
            request_class = configuration.classes[route.request_class]
            indexed = IndexedRoute(route, request_class, shares[request_class.priority])
            methods.update(dict.fromkeys(route.methods, indexed))
        by_prefix[prefix] = Map(methods)
    return RouteIndex(
        by_prefix=Map(by_prefix),
        max_slashes=max((prefix.count("/") for prefix in by_prefix), default=0),
    )


def _holds_just(methods: Map[str, IndexedRoute], routes: list[Route]) -> bool:
    """Return whether the routes of a prefix, by method, are these very objects."""
    if len(methods) != sum(len(route.methods) for route in routes):
        return False
    return all(
        (found := methods.get(next(iter(route.methods)))) is not None and found.route is route
        for route in routes
    )


def path_of(target: str) -> str:
    """Return the path of a request target, which is the target without its query."""
    return target.partition("?")[0]


def matching_prefixes(
    index: RouteIndex, path: str, host: str = ""
) -> Iterator[Map[str, IndexedRoute]]:
    """Yield the routes by method of every prefix that matches a path, longest prefix first.

    Routes that belong to the host come before routes that serve every host.

    :param path: request path without query.
    :param host: host of the request, in lower case and without port; empty for none.
    """
    if host:
        yield from _matching_prefixes(index, host + path)
    yield from _matching_prefixes(index, path)


def _matching_prefixes(index: RouteIndex, path: str) -> Iterator[Map[str, IndexedRoute]]:
    by_prefix = index.by_prefix
    parts = path.split("/", index.max_slashes + 1)
    prefix = path
    if len(parts) > index.max_slashes + 1:
        prefix = "/".join(parts[:-1])
    while prefix:
        found = by_prefix.get(prefix)
        if found is not None:
            yield found
        end = prefix.rfind("/", 0, len(prefix) - 1)
        if prefix[-1] == "/":
            prefix = prefix[:-1]
        elif end >= 0:
            prefix = prefix[: end + 1]
        else:
            return
