"""Tests of the choice between owners whose backend servers name a rate of requests."""

from __future__ import annotations

import unittest
from collections import Counter

from immutables import Map

from bamboonotch_core.replace import replace_fields
from bamboonotch_core.routing import (
    OwnerView,
    WorkEstimate,
    choose_owner,
    explain_route,
    select_candidates,
)
from bamboonotch_core.settings import RequestSettings
from tests.routing.builders import make_record, make_settings, make_table

READ = WorkEstimate(service_ms=150.0, response_kb=5.0)


class LimitedOwnerTest(unittest.TestCase):
    """Two owners; the backend server of the first takes 5 requests a second."""

    def choose(self, in_flight: int) -> Counter[str]:
        """Count the choices when each owner has so many attempts in flight."""
        limited = replace_fields(make_record("limited"), rate_limit_per_s=5.0)
        source = make_table(limited, make_record("free")).services["orders"]
        candidates = select_candidates(make_settings("ingress"), source)
        views = Map({name: OwnerView(name, 1, in_flight=in_flight) for name in ("limited", "free")})
        chosen: Counter[str] = Counter()
        seed = 7
        for _ in range(100):
            choice = choose_owner(candidates, views, RequestSettings(), 5.0, seed, work=READ)
            seed = choice.seed + 1
            chosen[choice.owner.node_id if choice.owner else ""] += 1
        return chosen

    def test_explained(self) -> None:
        """Guards against an operator who cannot see why an owner gets little work."""
        limited = replace_fields(make_record("limited"), rate_limit_per_s=5.0)
        explanation = explain_route(
            make_table(limited, make_record("free")), "POST", "/orders", make_settings("ingress")
        )
        rates = {owner.node_id: owner.rate_limit_per_s for owner in explanation.owners}
        self.assertEqual(rates, {"limited": 5.0, "free": None})

    def test_work_goes_elsewhere_before_it_is_refused(self) -> None:
        """Guards against work for an owner without rate while another has free slots."""
        self.assertEqual(self.choose(in_flight=2), Counter({"free": 100}))

    def test_limited_owner_without_work_is_asked(self) -> None:
        """Guards against a backend server that gets nothing and can never raise its rate again."""
        self.assertGreater(self.choose(in_flight=0)["limited"], 20)
