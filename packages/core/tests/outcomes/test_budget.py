"""Tests of the retry budget of a node and of all nodes together."""

from __future__ import annotations

import unittest

from bamboonotch_core.outcomes._budget import MAX_TOKENS, make_retry_budget
from bamboonotch_core.request_effects import ForwardAttempt
from bamboonotch_core.request_events import BackendResult
from bamboonotch_core.settings import RequestSettings
from tests.outcomes.test_reducer import Ingress

WINDOW_S = 10


class FleetTest(unittest.TestCase):
    """Retry budgets of all nodes together when the installation has a bound."""

    def test_all_buckets_stay_within_the_bound(self) -> None:
        """Guards against nodes that each stay within the bound and together exceed it."""
        settings = RequestSettings(
            retry_budget_ratio=0.2,
            retry_budget_initial=3,
            fleet_retry_ratio=0.2,
            fleet_retry_slack=62,
        )
        for nodes in (1, 13, 60, 300):
            budget = make_retry_budget(settings, nodes)
            for requests in (0, 200, 3000):
                retries = nodes * budget.limit + budget.ratio * requests
                self.assertLessEqual(retries, 0.2 * requests + 62, (nodes, requests))
            self.assertLessEqual(budget.initial, budget.limit)

    def test_without_a_bound(self) -> None:
        """Guards against a bound of zero where the installation has none."""
        budget = make_retry_budget(RequestSettings(retry_budget_ratio=0.1), 13)
        self.assertEqual((budget.ratio, budget.limit), (0.1, MAX_TOKENS))


class RefusalTest(unittest.TestCase):
    """Refusals by backend servers that answer other requests."""

    def test_other_owners_stay_candidates(self) -> None:
        """Guards against requests that fail because every backend server sometimes refuses one."""
        settings = RequestSettings(max_owners_tried=2)
        ingress = Ingress(requests=settings)
        ingress.earn_tokens(200)
        retries = 0
        for number in range(4):
            attempt = ingress.forward(f"r-{number}")
            (effect,) = ingress.refuse(attempt, BackendResult.NOT_RUN, "backend-not-run")
            retries += isinstance(effect, ForwardAttempt)
        self.assertEqual(retries, 4)
