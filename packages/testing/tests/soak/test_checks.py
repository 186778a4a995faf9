"""Tests that each check notices what it is there for, and nothing else."""

from __future__ import annotations

import unittest
from typing import Any

from bamboonotch_testing.platform_backend import Arrival, BackendPlan, Run, make_body
from bamboonotch_testing.platform_store import CONFIGURED_SERVICES as SERVICES
from bamboonotch_testing.soak._checks import CHECKS, find_breaches
from bamboonotch_testing.soak._defects import DEFECTS
from bamboonotch_testing.soak._record import OBSERVER, CallRecord, Ending, Record, Span

SENT_S = 100.0
BODY_BYTES = BackendPlan("", "").body_bytes
SLOW_S = BackendPlan("", "").slow_ms / 1000


class CheckTest(unittest.TestCase):
    """Records with one breach each."""

    def setUp(self) -> None:
        """Make a record of a run in which one call was served at the end."""
        self.record = Record((*SERVICES, *SERVICES), versions={1: 0.0, 2: 50.0})
        self.record.healed_s = 900.0
        self.serve("last", sent_s=1000.0)
        self.record.arrivals.clear()

    def serve(self, request_id: str, **fields: Any) -> CallRecord:
        """Add a call that was served, with changes."""
        values: dict[str, Any] = {
            "node": 0,
            "life": 1,
            "kind": "read",
            "method": "GET",
            "path": "/read/1",
            "body": b"",
            "remaining_ms": 2000,
            "sent_s": SENT_S,
            "ending": Ending.ANSWERED,
            "status": 200,
            "answer_id": request_id,
            "signature": f"{request_id}.1",
            "answer_body": make_body(request_id, BODY_BYTES),
        }
        values |= fields
        values.setdefault("ended_s", values["sent_s"] + 0.05)
        call = CallRecord(request_id=request_id, **values)
        self.record.calls[request_id] = call
        if call.status == 200:
            self.run_call(call)
        return call

    def run_call(self, call: CallRecord, place: int = 0, **fields: Any) -> None:
        """Add a run of a call."""
        place = place if call.kind in ("read", "order") else 1
        values: dict[str, Any] = {
            "caller_service": SERVICES[0],
            "remaining_ms": 1500,
            "started_s": call.sent_s + 0.01,
            "ended_s": call.sent_s + 0.03,
        }
        run = Run(call.request_id, call.method, call.path, call.body, **values | fields)
        self.record.runs[call.request_id].append((place, run))
        self.arrive(call.request_id, run.started_s, place)

    def arrive(self, request_id: str, at_s: float, place: int = 0) -> None:
        """Add an arrival."""
        self.record.arrivals.append((place, Arrival(request_id, f"i-{place}-1", at_s)))

    def disturb(self, target: int | str, start_s: float, end_s: float, planned: bool) -> None:
        """Add a disturbance."""
        self.record.spans.append(Span(str(target), "test", planned, start_s, end_s))

    def assert_breaches(self, *promises: str) -> None:
        """Check which promises are broken."""
        found = {breach.promise for breach in find_breaches(self.record)}
        self.assertEqual(found, set(promises))

    def test_run_without_breach(self) -> None:
        """Guards against a check that fails for nothing."""
        self.serve("a")
        self.serve("b", kind="order", method="POST", path="/order/1", body=b"x")
        self.serve("c", kind="added-2", path="/added-2/1", sent_s=51.0, status=404, signature="")
        self.serve("d", status=503, signature="", answer_id="", answer_body=b"")
        self.assert_breaches()

    def test_every_check_has_a_defect(self) -> None:
        """Guards against a check that no broken node has failed."""
        self.assertEqual({defect.promise for defect in DEFECTS.values()}, set(CHECKS))

    def test_answers(self) -> None:
        """Guards against answers of others, answers without proof, cut and invented ones."""
        for changes in (
            {"answer_id": "b"},
            {"signature": ""},
            {"answer_body": make_body("a", BODY_BYTES)[:-1]},
        ):
            self.setUp()
            self.serve("a", **changes)
            self.assert_breaches("whole answers")
        self.setUp()
        self.serve("a")
        self.record.runs.pop("a")
        self.assert_breaches("whole answers")

    def test_requests(self) -> None:
        """Guards against requests that nobody sent, changed ones and the wrong service."""
        for changes, place in (({"caller_service": ""}, 0), ({}, 1)):
            self.setUp()
            call = self.serve("a", status=502)
            self.run_call(call, place, **changes)
            self.assert_breaches("requests unchanged")
        self.setUp()
        self.run_call(self.serve("a", status=502))
        del self.record.calls["a"]
        self.assert_breaches("requests unchanged")

    def test_order_run_twice(self) -> None:
        """Guards against a second run of an order."""
        call = self.serve("a", kind="order", method="POST", path="/order/1")
        self.run_call(call, 2)
        self.assert_breaches("at most once")

    def test_refused_and_run(self) -> None:
        """Guards against a refusal of an order that has run."""
        self.run_call(self.serve("a", kind="order", status=503))
        self.assert_breaches("refused is not run")

    def test_attempts(self) -> None:
        """Guards against requests that reach too many backend servers."""
        self.record.services = (SERVICES[0],) * 4
        for number in range(4):
            call = self.serve(f"a{number}")
            self.run_call(call, 1)
            self.run_call(call, 2)
        self.assert_breaches("attempts")

    def test_retries(self) -> None:
        """Guards against more retries than the budget of a service."""
        for number in range(10):
            call = self.serve(f"a{number}")
            for _ in range(3):
                self.arrive(call.request_id, call.sent_s + 0.1)
        self.assert_breaches("retries")

    def test_time_left(self) -> None:
        """Guards against backend servers that believe in more time than there is."""
        self.run_call(self.serve("a", status=502), remaining_ms=2600)
        self.assert_breaches("time left")

    def test_work_for_callers_that_left(self) -> None:
        """Guards against work that goes on, and requests sent on, for nobody."""
        call = self.serve("a", kind="slow", ending=Ending.LEFT, status=0)
        self.run_call(call, started_s=SENT_S, ended_s=SENT_S + SLOW_S)
        self.assert_breaches("callers that leave")
        self.setUp()
        for number in range(4):
            self.serve(f"a{number}", ending=Ending.LEFT, status=0)
            self.arrive(f"a{number}", SENT_S + 1.0)
        self.assert_breaches("callers that leave")

    def test_time_limit(self) -> None:
        """Guards against callers that wait for ever, at nodes that nothing disturbs."""
        for number in range(4):
            self.serve(f"a{number}", status=504, ended_s=SENT_S + 3.0)
        self.assert_breaches("time limit")
        self.disturb(0, SENT_S - 1.0, SENT_S, planned=False)
        self.assert_breaches()

    def test_stall_of_the_observer(self) -> None:
        """Guards against answers called late because this process did not run."""
        for number in range(4):
            self.serve(f"a{number}", status=504, ended_s=SENT_S + 3.0)
        self.disturb(OBSERVER, SENT_S + 1.0, SENT_S + 2.5, planned=False)
        self.assert_breaches()

    def test_cut_connections(self) -> None:
        """Guards against connections that a node closes instead of answering."""
        for number in range(4):
            self.run_call(self.serve(f"a{number}", ending=Ending.CUT, status=0))
        self.assert_breaches("kept connections", "planned work")
        self.disturb(0, SENT_S - 1.0, SENT_S, planned=True)
        self.assert_breaches("planned work")
        self.disturb(1, SENT_S - 1.0, SENT_S, planned=False)
        self.assert_breaches()

    def test_leaving_backend_server(self) -> None:
        """Guards against requests for a backend server that has left."""
        self.record.leaving["i-0-1"] = SENT_S - 3.5
        self.serve("a")
        self.assert_breaches("leaving backend servers")
        self.disturb(0, SENT_S - 1.0, SENT_S, planned=False)
        self.assert_breaches()

    def test_version_that_does_not_come(self) -> None:
        """Guards against a version that a node never learns of."""
        for store_disturbed in (False, True):
            self.setUp()
            self.serve("a", kind="added-2", status=404, sent_s=58.5)
            if store_disturbed:
                self.disturb("store", 55.0, 56.0, planned=False)
            self.assert_breaches(*([] if store_disturbed else ["versions in force"]))

    def test_version_that_goes_back(self) -> None:
        """Guards against a process that goes back to an older version."""
        self.serve("a", kind="added-2", path="/added-2/1", sent_s=51.0)
        self.serve("b", kind="added-2", path="/added-2/2", sent_s=51.2, status=404)
        self.assert_breaches()
        self.serve("c", kind="added-1", path="/added-1/2", sent_s=51.5, status=404)
        self.assert_breaches("versions in force", "versions rise")

    def test_denials(self) -> None:
        """Guards against requests that are denied though every version allows them."""
        for number in range(6):
            self.serve(f"a{number}", status=400, signature="")
        self.assert_breaches("denials")

    def test_recovery(self) -> None:
        """Guards against a fleet that does not serve again."""
        for number in range(4):
            self.serve(f"a{number}", sent_s=950.0, status=503)
        self.assert_breaches("recovery")

    def test_process_that_ends(self) -> None:
        """Guards against a process that ends by itself."""
        self.record.ends.append("n0 ended by itself")
        self.assert_breaches("processes")
