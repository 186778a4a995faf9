"""Tests of the routing table and its index."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboonotch_core.configuration import Configuration
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.routing import (
    NOT_SERVING_TABLE,
    NoMatch,
    NoMatchReason,
    RouteMatch,
    build_routing_table,
    match_route,
)
from tests.routing.builders import make_configuration, make_record, make_route, make_table

SEGMENTS = st.lists(st.sampled_from(["", "a", "b", "ab"]), min_size=1, max_size=5)
PATHS = SEGMENTS.map(lambda parts: "/" + "/".join(parts))


def _scan(configuration: Configuration, method: str, path: str) -> str:
    """Return the name of the matching route by comparing every route with the path."""
    best = ""
    found = ""
    for name, route in configuration.routes.items():
        prefix = route.path_prefix
        is_exact = path == prefix or (prefix.endswith("/") and path.startswith(prefix))
        if method not in route.methods or not (is_exact or path.startswith(prefix + "/")):
            continue
        if len(prefix) > len(best):
            best, found = prefix, name
    return found


class MatchTest(unittest.TestCase):
    """The route that matches a request."""

    def setUp(self) -> None:
        """Make a table in which one service has no backend server."""
        self.table = make_table(make_record("n1"), make_record("n2", "menu"))

    def _route(self, method: str, path: str) -> str:
        match = match_route(self.table, method, path)
        return match.route.name if isinstance(match, RouteMatch) else match.reason

    def test_longest_prefix_wins(self) -> None:
        """Guards against a stock check that runs in the request class of menu reads."""
        self.assertEqual(self._route("GET", "/menu/stock/7?kitchen=2"), "check-stock")
        self.assertEqual(self._route("GET", "/menu/7"), "read-menu")

    def test_prefix_ends_at_a_segment(self) -> None:
        """Guards against a match of ``/orders-archive`` with the prefix ``/orders``."""
        self.assertEqual(self._route("POST", "/orders-archive"), NoMatchReason.NO_ROUTE)
        self.assertEqual(self._route("POST", "/orders/"), "place-order")
        self.assertEqual(self._route("POST", "/orders?x=/menu"), "place-order")

    def test_method_chooses_between_routes(self) -> None:
        """Guards against a match with a route of another method, and against a wrong reason."""
        self.assertEqual(self._route("GET", "/orders"), "read-order")
        self.assertEqual(self._route("PUT", "/orders"), NoMatchReason.METHOD)
        self.assertEqual(self._route("GET", "*"), NoMatchReason.NO_ROUTE)

    def test_route_without_backend_server_is_inactive(self) -> None:
        """Guards against an active route whose service has no ready backend server (P2)."""
        match = match_route(self.table, "GET", "/plans/1")
        assert isinstance(match, RouteMatch)
        self.assertEqual(match.inactive_reason, "no-ready-backend-server")

    def test_only_usable_records_become_owners(self) -> None:
        """Guards against requests sent to a node that is leaving or runs another service."""
        records = [make_record(state.value, state=state) for state in MemberState]
        members = {"orders": (*records, make_record("none", slots=0), make_record("m", "menu"))}
        table = build_routing_table(make_configuration(), 3, members)
        owners = {owner.node_id for owner in table.services["orders"].owners}
        self.assertEqual(owners, {"ready", "suspect"})

    def test_node_without_version_matches_nothing(self) -> None:
        """Guards against a node that serves before it knows its version (P1)."""
        self.assertFalse(NOT_SERVING_TABLE.serving)
        self.assertEqual(match_route(NOT_SERVING_TABLE, "GET", "/"), NoMatch("no-route"))

    def test_unchanged_parts_are_reused(self) -> None:
        """Guards against rebuilding the owners of every service when one member changes."""
        configuration = make_configuration()
        members = {"orders": (make_record("n1"),), "menu": (make_record("n2", "menu"),)}
        first = build_routing_table(configuration, 1, members)
        members["menu"] = (make_record("n3", "menu"),)
        second = build_routing_table(configuration, 1, members, first)
        self.assertIs(second.index, first.index)
        self.assertIs(second.services["orders"], first.services["orders"])
        self.assertEqual(second.services["menu"].owners[0].node_id, "n3")

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(st.sets(PATHS, max_size=8), PATHS)
    def test_index_agrees_with_scan(self, prefixes: set[str], path: str) -> None:
        """Guards against paths that the index shortens at the wrong slash."""
        routes = {
            f"r{number}": make_route(prefix, "GET", "menu", "menu-read", True)
            for number, prefix in enumerate(sorted(prefixes))
        }
        configuration = make_configuration(routes=routes)
        table = make_table(make_record("n", "menu"), configuration=configuration)
        match = match_route(table, "GET", path)
        name = match.route.name if isinstance(match, RouteMatch) else ""
        self.assertEqual(name, _scan(configuration, "GET", path))


if __name__ == "__main__":
    unittest.main()
