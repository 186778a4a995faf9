"""Tests of routes by host, and of routes whose requests are split among services."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from bamboonotch_core.configuration import parse_configuration
from bamboonotch_core.errors import ConfigurationError
from bamboonotch_core.outcomes import make_outcome_state, reduce_outcomes
from bamboonotch_core.request_effects import ForwardAttempt, RespondToCaller
from bamboonotch_core.request_events import (
    BackendResult,
    OwnerRefused,
    OwnerResponded,
    RequestArrived,
    ResponseFinished,
)
from bamboonotch_core.routing import NoMatch, build_routing_table, match_route
from tests.routing.builders import make_record, make_settings


def _route(**fields: Any) -> dict[str, Any]:
    route = {
        "path_prefix": "/a/",
        "service": "menu",
        "request_class": "read",
        "idempotent": True,
        "timeout_ms": 1000,
    }
    return {key: value for key, value in (route | fields).items() if value is not None}


def _document(**routes: dict[str, Any]) -> dict[str, Any]:
    service = {"tenant": "mesh", "slots_per_backend_server": 6}
    services = dict.fromkeys(("menu", "orders"), service)
    return {"classes": {"read": {"priority": 1}}, "services": services, "routes": routes}


SPLIT = [{"service": "menu", "weight": 90}, {"service": "orders", "weight": 10}]


class HostTest(unittest.TestCase):
    """Routes that belong to a host, and routes for every host."""

    def _match(self, host: str, path: str, method: str = "GET") -> str:
        document = _document(
            short=_route(host="one.example"),
            long=_route(host="one.example", path_prefix="/a/b/"),
            other=_route(host="two.example"),
            every=_route(path_prefix="/any/"),
        )
        table = build_routing_table(parse_configuration(document), 1, {})
        match = match_route(table, method, path, host)
        return match.reason if isinstance(match, NoMatch) else match.route.name

    def test_longest_prefix_of_the_host(self) -> None:
        """Guards against a match with a route of another host or with a shorter prefix."""
        self.assertEqual(self._match("one.example", "/a/x"), "short")
        self.assertEqual(self._match("one.example", "/a/b/c/d?e=/a/"), "long")
        self.assertEqual(self._match("one.example", "/a/bc"), "short")
        self.assertEqual(self._match("two.example", "/a/b/c"), "other")
        self.assertEqual(self._match("three.example", "/a/x"), "no-route")
        self.assertEqual(self._match("one.example", "/a"), "no-route")
        self.assertEqual(self._match("three.example", "/any/x"), "every")
        self.assertEqual(self._match("one.example", "/any/x", "DELETE"), "every")

    def test_overlap_only_within_a_host(self) -> None:
        """Guards against refusing the same prefix on two hosts, or accepting it twice on one."""
        one, two = _route(host="one.example"), _route(host="two.example")
        parse_configuration(_document(one=one, two=two))
        with self.assertRaises(ConfigurationError):
            parse_configuration(_document(one=one, two=one))

    def test_faulty_splits(self) -> None:
        """Guards against a split that is empty, malformed or without an existing service."""
        for split in (
            [],
            "menu",
            [{"service": "menu"}],
            [{"service": "menu", "weight": 0}],
            [{"service": "gone", "weight": 1}],
        ):
            with self.assertRaises(ConfigurationError, msg=split):
                parse_configuration(_document(one=_route(service=None, split=split)))


class OutcomeCase(unittest.TestCase):
    """Base class that runs the outcome reducer of an ingress node with one route."""

    def start(self, **fields: Any) -> None:
        """Make the ingress node's state and a routing table with four owners for each service."""
        configuration = parse_configuration(_document(one=_route(host="one.example", **fields)))
        members = {
            service: tuple(make_record(f"{service}-{n}", service=service) for n in range(4))
            for service in configuration.services
        }
        self.table = build_routing_table(configuration, 1, members)
        self.state = make_outcome_state(make_settings(), 5)

    def step(self, event: Any) -> list[Any]:
        """Reduce an event and return its effects."""
        transition = reduce_outcomes(self.state, event, self.table)
        self.state = transition.state
        return list(transition.effects)

    def arrive(self, number: int) -> ForwardAttempt:
        """Reduce the arrival of a request and return its first attempt."""
        event = RequestArrived(
            float(number), f"r{number}", "GET", "/a/x", None, "", 0, 0, "one.example"
        )
        (effect,) = self.step(event)
        assert isinstance(effect, ForwardAttempt)
        return effect

    def answer(self, effect: ForwardAttempt, now_ms: float) -> None:
        """End an attempt successfully, which adds to the retry budget."""
        key = (now_ms, effect.request_id, effect.attempt_id, effect.owner_id)
        self.step(OwnerResponded(*key, 200, 0, 100.0))
        self.step(ResponseFinished(now_ms, effect.request_id, True, 5000))


class SplitTest(OutcomeCase):
    """Requests of one route that are split among several services."""

    def test_shares_follow_weights(self) -> None:
        """Guards against a service that receives more or less than its weight."""
        self.start(service=None, split=SPLIT)
        shares: Counter[str] = Counter()
        for number in range(2000):
            effect = self.arrive(number)
            shares[effect.service] += 1
            self.answer(effect, float(number))
        self.assertAlmostEqual(shares["orders"] / 2000, 0.1, delta=0.025)


class AttemptsTest(OutcomeCase):
    """The limit on the number of backend servers that one request reaches."""

    def _refuse_all(self, reason: str, max_attempts: int) -> tuple[int, RespondToCaller]:
        self.start(max_attempts=max_attempts)
        for number in range(100):
            self.answer(self.arrive(number), float(number))
        effect: Any = self.arrive(1000)
        attempts = 0
        while isinstance(effect, ForwardAttempt):
            attempts += 1
            key = (1000.0, effect.request_id, effect.attempt_id, effect.owner_id)
            effect = self.step(OwnerRefused(*key, BackendResult.NOT_RUN, reason, 0))[0]
        return attempts, effect

    def test_refusals_by_backend_servers_are_bounded(self) -> None:
        """Guards against a request that reaches more backend servers than the route allows."""
        self.assertEqual(self._refuse_all("backend-not-run", 1)[0], 1)
        self.assertEqual(self._refuse_all("backend-not-run", 2)[0], 2)

    def test_owners_that_refused_lately_are_not_asked_again(self) -> None:
        """Guards against overload that grows because each request is sent to every owner."""
        self.start()
        asked = 0
        for number in range(20):
            event = RequestArrived(
                float(number), f"r{number}", "GET", "/a/x", None, "", 0, 0, "one.example"
            )
            effect: Any = self.step(event)[0]
            while isinstance(effect, ForwardAttempt):
                asked += 1
                key = (float(number), effect.request_id, effect.attempt_id, effect.owner_id)
                refusal = OwnerRefused(*key, BackendResult.NOT_RUN, "queue-full", 9)
                effect = self.step(refusal)[0]
            self.assertEqual((effect.status, effect.outcome.value), (503, "not-run"))
        self.assertLessEqual(asked, 20 + 4)

    def test_refusals_by_nodes_are_no_arrivals(self) -> None:
        """Guards against counting refusals by nodes, which reach no backend server."""
        attempts, answer = self._refuse_all("draining", 1)
        self.assertEqual(attempts, 3)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self._refuse_all("backend-unreachable", 1)[0], 3)
