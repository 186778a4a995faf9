"""Tests of the choice between owners whose links are occupied by downloads."""

from __future__ import annotations

import unittest
from collections import Counter

from immutables import Map

from bamboonotch_core.routing import (
    OwnerView,
    WorkEstimate,
    choose_owner,
    record_uplink,
    select_candidates,
)
from bamboonotch_core.settings import RequestSettings
from tests.routing.builders import make_record, make_settings, make_table

DOWNLOAD = WorkEstimate(service_ms=100.0, response_kb=90.0)
CHECK = WorkEstimate(service_ms=30.0, response_kb=0.5)


class SameVmTest(unittest.TestCase):
    """A node whose own backend server is one of several owners."""

    def setUp(self) -> None:
        """Choose among the node itself and 20 other owners of its data centre."""
        records = [make_record(f"owner-{number}") for number in range(20)] + [make_record("self")]
        source = make_table(*records).services["orders"]
        self.candidates = select_candidates(make_settings("self"), source)

    def choose(self, work: WorkEstimate, view: OwnerView) -> str:
        """Return the owner chosen for one kind of work."""
        choice = choose_owner(
            self.candidates, Map({"self": view}), RequestSettings(), 5000.0, 7, work=work
        )
        return choice.owner.node_id if choice.owner else ""

    def test_download_stays_on_its_vm(self) -> None:
        """Guards against downloads over full links that the caller's own VM could have served."""
        self.assertEqual(len(self.candidates.owners), RequestSettings().owners_per_service)
        self.assertEqual(self.choose(DOWNLOAD, OwnerView("self", 1)), "self")

    def test_busy_vm_is_left(self) -> None:
        """Guards against downloads that wait for the own backend server while others are idle."""
        busy = OwnerView("self", 1, in_flight=40)
        self.assertNotEqual(self.choose(DOWNLOAD, busy), "self")


class OccupiedLinkTest(unittest.TestCase):
    """Two owners of one data centre; the first has bodies for a second before its link."""

    def setUp(self) -> None:
        """Record what the first owner reported."""
        records = [make_record("occupied"), make_record("free")]
        source = make_table(*records).services["orders"]
        self.candidates = select_candidates(make_settings("ingress"), source)
        self.views = Map({"occupied": record_uplink(OwnerView("occupied", 1), 1000.0, 5000.0)})

    def choose(self, work: WorkEstimate, now_ms: float) -> Counter[str]:
        """Count the choices for one kind of work."""
        chosen: Counter[str] = Counter()
        seed = 7
        for _ in range(100):
            choice = choose_owner(
                self.candidates, self.views, RequestSettings(), now_ms, seed, work=work
            )
            seed = choice.seed + 1
            chosen[choice.owner.node_id if choice.owner else ""] += 1
        return chosen

    def test_download_goes_where_the_link_is_free(self) -> None:
        """Guards against downloads that wait at one owner while the link of another is idle."""
        self.assertEqual(self.choose(DOWNLOAD, 5100.0), Counter({"free": 100}))

    def test_short_call_is_not_kept_away(self) -> None:
        """Guards against short calls crowded on one owner, though they pass waiting bodies."""
        self.assertEqual(set(self.choose(CHECK, 5100.0)), {"free", "occupied"})

    def test_report_ends_with_the_bodies(self) -> None:
        """Guards against an owner that nobody uses again after its bodies have left."""
        self.assertEqual(set(self.choose(DOWNLOAD, 6100.0)), {"free", "occupied"})
