"""Tests of the candidate subset, the choice of an owner, ejection and recovery."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.routing import (
    CandidateSet,
    OwnerView,
    Verdict,
    choose_owner,
    explain_route,
    record_end,
    record_forward,
    select_candidates,
)
from bamboonotch_core.settings import RequestSettings
from tests.routing.builders import make_record, make_settings, make_table

SETTINGS = RequestSettings()
NOW_MS = 10_000.0


def _candidates(*records: MemberRecord, node_id: str = "ingress") -> CandidateSet:
    source = make_table(*records).services["orders"]
    return select_candidates(make_settings(node_id), source)


def _busy(node_id: str, load: int, **fields: float) -> OwnerView:
    return OwnerView(node_id, 1, load=load, load_reported_ms=NOW_MS, **fields)  # type: ignore[arg-type]


def _count_choices(
    candidates: CandidateSet, views: dict[str, OwnerView], idempotent: bool = True
) -> Counter[str]:
    chosen: Counter[str] = Counter()
    seed = 7
    for _ in range(400):
        choice = choose_owner(candidates, Map(views), SETTINGS, NOW_MS, seed, idempotent=idempotent)
        seed = choice.seed + 1
        chosen[choice.owner.node_id if choice.owner else ""] += 1
    return chosen


class CandidatesTest(unittest.TestCase):
    """The subset of owners that a node uses."""

    def test_subsets_spread_evenly(self) -> None:
        """Guards against all nodes selecting the same 12 owners of many."""
        records = [make_record(f"owner-{number}") for number in range(60)]
        source = make_table(*records).services["orders"]
        used: Counter[str] = Counter()
        for number in range(300):
            subset = select_candidates(make_settings(f"node-{number}"), source)
            self.assertEqual(len(subset.owners), SETTINGS.owners_per_service)
            used.update(owner.node_id for owner in subset.owners)
        self.assertEqual(len(used), 60)
        self.assertLess(max(used.values()), 90)  # the mean is 60
        self.assertGreater(min(used.values()), 35)

    def test_subset_keeps_room_for_farther_owners(self) -> None:
        """Guards against an overloaded data centre whose nodes know no owners elsewhere."""
        near = [make_record(f"near-{number}") for number in range(20)]
        region = [make_record(f"mid-{number}", data_centre="kathmandu-2") for number in range(9)]
        far = [
            make_record(f"far-{number}", data_centre="pokhara-1", region="gandaki")
            for number in range(9)
        ]
        subset = _candidates(*near, *region, *far)
        self.assertEqual(Counter(subset.distances), {0: 7, 1: 3, 2: 2})
        only_far = _candidates(*far, *region[:1])
        self.assertEqual(Counter(only_far.distances), {1: 1, 2: 9})

    def test_subset_stays_when_an_owner_leaves(self) -> None:
        """Guards against new streams to most owners after each change of membership."""
        records = [make_record(f"owner-{number}") for number in range(40)]
        before = {owner.node_id for owner in _candidates(*records).owners}
        after = {owner.node_id for owner in _candidates(*records[1:]).owners}
        self.assertLessEqual(len(after - before), 1)


class ChoiceTest(unittest.TestCase):
    """The choice of the cheaper of two random candidates among those of the lowest cost."""

    def setUp(self) -> None:
        """Make candidates at each distance."""
        self.records = [
            make_record("near-1"),
            make_record("near-2"),
            make_record("mid", data_centre="kathmandu-2"),
            make_record("far", data_centre="pokhara-1", region="gandaki"),
        ]
        self.candidates = _candidates(*self.records)

    def test_near_owners_are_preferred(self) -> None:
        """Guards against requests sent to another region while near owners are free."""
        self.assertEqual(set(_count_choices(self.candidates, {})), {"near-1", "near-2"})

    def test_lower_load_per_slot_wins(self) -> None:
        """Guards against equal load for backend servers with different numbers of slots."""
        candidates = _candidates(make_record("small", slots=2), make_record("large", slots=20))
        views = {"small": _busy("small", 1), "large": _busy("large", 5)}
        self.assertEqual(set(_count_choices(candidates, views)), {"large"})
        views["large"] = _busy("large", 5, in_flight=7)
        self.assertEqual(set(_count_choices(candidates, views)), {"small"})

    def test_busy_owners_spill_over_by_distance(self) -> None:
        """Guards against queues in one data centre while another has free slots."""
        views = {"near-1": _busy("near-1", 6), "near-2": _busy("near-2", 8)}
        self.assertEqual(set(_count_choices(self.candidates, views)), {"mid"})
        views["mid"] = _busy("mid", 7)
        self.assertEqual(set(_count_choices(self.candidates, views)), {"near-1", "mid"})
        views = {name: _busy(name, 13) for name in ("near-1", "near-2", "mid")}
        self.assertEqual(set(_count_choices(self.candidates, views)), {"far"})
        views["far"] = _busy("far", 13)
        self.assertNotIn("far", _count_choices(self.candidates, views))

    def test_refusals_and_suspicion_spill_over(self) -> None:
        """Guards against choosing an owner that just refused a request or is suspect."""
        views = {"near-1": OwnerView("near-1", 1, avoid_until_ms=NOW_MS + 1)}
        self.assertEqual(set(_count_choices(self.candidates, views)), {"near-2"})
        records = [replace(self.records[0], state=MemberState.SUSPECT), *self.records[1:]]
        self.assertEqual(set(_count_choices(_candidates(*records), {})), {"near-2"})

    def test_old_load_fades(self) -> None:
        """Guards against an owner that is never chosen again after one report of high load."""
        stale = OwnerView("near-1", 1, load=60, load_reported_ms=NOW_MS - 5000.0)
        self.assertIn("near-1", _count_choices(self.candidates, {"near-1": stale}))
        failed = OwnerView("near-1", 1, failures=2, last_failure_ms=NOW_MS - 5000.0)
        self.assertIn("near-1", _count_choices(self.candidates, {"near-1": failed}))

    def test_restarted_owner_has_an_initial_view(self) -> None:
        """Guards against ejecting a process for failures of the owner's previous process."""
        old = OwnerView(
            "near-1", 0, load=60, load_reported_ms=NOW_MS, ejected_until_ms=NOW_MS + 9e6
        )
        self.assertIn("near-1", _count_choices(self.candidates, {"near-1": old}))


class EjectionTest(unittest.TestCase):
    """Ejection after failed attempts and recovery by one trial."""

    def setUp(self) -> None:
        """Make four equal candidates."""
        self.candidates = _candidates(*(make_record(f"n{number}") for number in range(4)))

    def _fail(self, view: OwnerView, times: int, now_ms: float = NOW_MS) -> tuple[OwnerView, str]:
        report = ""
        for number in range(times):
            view = record_forward(view, f"a{number}")
            change = record_end(view, f"a{number}", Verdict.FAILED, True, SETTINGS, now_ms)
            view, report = change.view, change.report
        return view, report

    def test_consecutive_failures_eject(self) -> None:
        """Guards against ejection after failures that are not consecutive, and against none."""
        view, report = self._fail(OwnerView("n0", 1), 2)
        self.assertEqual((report, view.ejected_until_ms), ("", 0.0))
        alive = record_end(record_forward(view, "b"), "b", Verdict.ALIVE, True, SETTINGS, NOW_MS)
        self.assertEqual(alive.view.failures, 0)
        view, report = self._fail(OwnerView("n0", 1), 3)
        self.assertEqual((report, view.ejected_until_ms), ("owner-ejected", NOW_MS + 1000))
        self.assertNotIn("n0", _count_choices(self.candidates, {"n0": view}))

    def test_floor_keeps_half_of_the_candidates(self) -> None:
        """Guards against the ejection of more than half of the candidates."""
        change = record_end(
            OwnerView("n0", 1, failures=9), "a", Verdict.FAILED, False, SETTINGS, NOW_MS
        )
        self.assertEqual(change.view.ejected_until_ms, 0.0)
        views = {
            f"n{number}": OwnerView(f"n{number}", 1, ejected_until_ms=NOW_MS + 100 + number)
            for number in range(4)
        }
        self.assertEqual(set(_count_choices(self.candidates, views)), {"n0", "n1"})

    def test_one_trial_decides_recovery(self) -> None:
        """Guards against many requests at once to an owner that has not recovered yet."""
        due = OwnerView("n0", 1, ejections=1, ejected_until_ms=NOW_MS)
        self.assertEqual(set(_count_choices(self.candidates, {"n0": due})), {"n0"})
        trial = record_forward(due, "trial")
        self.assertNotIn("n0", _count_choices(self.candidates, {"n0": trial}))
        other = record_end(trial, "other", Verdict.ALIVE, True, SETTINGS, NOW_MS)
        self.assertTrue(other.view.ejected_until_ms)
        good = record_end(trial, "trial", Verdict.ALIVE, True, SETTINGS, NOW_MS)
        self.assertEqual((good.report, good.view.ejected_until_ms), ("owner-recovered", 0.0))
        left = record_end(trial, "trial", Verdict.NONE, True, SETTINGS, NOW_MS)
        self.assertEqual((left.report, left.view.trial_attempt_id), ("", ""))

    def test_failed_trials_double_the_time(self) -> None:
        """Guards against a dead owner that receives a trial every second."""
        view = self._fail(OwnerView("n0", 1), 3)[0]
        lengths = []
        for _ in range(10):
            now_ms = view.ejected_until_ms
            view = self._fail(view, 1, now_ms)[0]
            lengths.append(view.ejected_until_ms - now_ms)
        self.assertEqual(lengths[:3], [2000, 4000, 8000])
        self.assertEqual(lengths[-1], 256_000)
        calm = replace_fields(view, ejected_until_ms=0.0, last_recovery_ms=NOW_MS)
        later_ms = NOW_MS + 120_000
        self.assertEqual(self._fail(calm, 3, later_ms)[0].ejected_until_ms, later_ms + 1000)

    def test_trials_prefer_idempotent_requests(self) -> None:
        """Guards against a trial whose request must not run twice, while others can be used."""
        due = {"n0": OwnerView("n0", 1, ejections=1, ejected_until_ms=NOW_MS - 10)}
        self.assertNotIn("n0", _count_choices(self.candidates, due, idempotent=False))
        late = {"n0": OwnerView("n0", 1, ejections=1, ejected_until_ms=NOW_MS - 1000)}
        self.assertIn("n0", _count_choices(self.candidates, late, idempotent=False))

    def test_unknown_field_is_an_error(self) -> None:
        """Guards against a misspelt field name that adds an attribute to the copy."""
        with self.assertRaises(TypeError):
            replace_fields(OwnerView("n0", 1), failurs=1)


class ExplainTest(unittest.TestCase):
    """The explanation of a route and its owners."""

    def test_owners_in_order_and_left_out(self) -> None:
        """Guards against an explanation that differs from the choice."""
        records = [make_record(f"n{number:02}") for number in range(14)]
        records.append(make_record("gone", state=MemberState.DRAINING))
        settings = make_settings()
        subset = _candidates(*records).owners
        busy, ejected, idle = (subset[index].node_id for index in (0, 1, 2))
        views = {
            busy: _busy(busy, 9, in_flight=2),
            ejected: OwnerView(ejected, 1, ejected_until_ms=NOW_MS + 5),
        }
        table = make_table(*records)
        explained = explain_route(table, "POST", "/orders/1", settings, views, NOW_MS)
        self.assertEqual((explained.route, explained.reason), ("place-order", ""))
        names = [owner.node_id for owner in explained.owners]
        self.assertIn(idle, names[:-1])
        self.assertEqual((names[-1], explained.owners[-1].group), (busy, "near-busy"))
        reasons = Counter(owner.reason for owner in explained.left_out)
        self.assertEqual(reasons, {"ejected": 1, "outside-subset": 2, "draining": 1})

    def test_considered_routes(self) -> None:
        """Guards against a refusal whose explanation does not name the routes considered."""
        table = make_table(make_record("n1"))
        explained = explain_route(table, "GET", "/menu/stock", make_settings())
        verdicts = [(item.name, item.verdict) for item in explained.considered]
        self.assertEqual(verdicts, [("check-stock", "chosen"), ("read-menu", "shorter-prefix")])
        self.assertEqual(explained.reason, "no-ready-backend-server")
        other = explain_route(table, "PUT", "/orders", make_settings())
        self.assertEqual({item.verdict for item in other.considered}, {"other-method"})
        self.assertEqual(other.reason, "no-route-for-method")


if __name__ == "__main__":
    unittest.main()
