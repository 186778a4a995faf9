"""Tests of the ingress reducer."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import replace

from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.events import Event, ShutdownRequested, Tick
from bamboonotch_core.outcomes import (
    Outcome,
    OutcomeState,
    attempt_owner_incarnation,
    end_requests,
    make_attempt_id,
    make_outcome_state,
    parse_attempt_id,
    reduce_outcomes,
    supersedes_attempt,
)
from bamboonotch_core.request_effects import (
    CancelAttempt,
    ForwardAttempt,
    PassResponse,
    RespondToCaller,
    SendFence,
)
from bamboonotch_core.request_events import (
    AttemptLost,
    BackendResult,
    CallerGone,
    FenceAnswered,
    FenceState,
    OwnerRefused,
    OwnerResponded,
    RequestArrived,
    ResponseFinished,
)
from bamboonotch_core.routing import NOT_SERVING_TABLE
from bamboonotch_core.settings import RequestSettings
from tests.outcomes.mesh import UNIX_MS, make_key
from tests.routing.builders import (
    ROUTES,
    make_configuration,
    make_record,
    make_settings,
    make_table,
)

NOT_RUN = BackendResult.NOT_RUN
UNKNOWN = BackendResult.UNKNOWN
Effects = tuple[Effect, ...]


class Ingress:
    """An ingress that handles one event at a time and returns its effects to the test."""

    def __init__(self, owners: int = 4, requests: RequestSettings | None = None) -> None:
        self.state: OutcomeState = make_outcome_state(make_settings(requests=requests), 3)
        records = [make_record(f"n{number}", incarnation=5) for number in range(owners)]
        self.table = make_table(*records)
        self.now_ms = 1000.0

    def send(self, event: Event) -> Effects:
        """Reduce one event and return its effects, except reports."""
        step = reduce_outcomes(self.state, event, self.table)
        self.state = step.state
        return tuple(effect for effect in step.effects if not isinstance(effect, Report))

    def arrive(self, request_id: str = "r", method: str = "GET", **fields: object) -> Effect:
        """Send a request, to ``/orders`` by default, and return its only effect."""
        values = {"timeout_ms": None, "idempotency_key": "", "attempt": 0, "unix_ms": UNIX_MS}
        values.update(fields)
        path = str(values.pop("path", "/orders"))
        event = RequestArrived(self.now_ms, request_id, method, path, **values)  # type: ignore[arg-type]
        (effect,) = self.send(event)
        return effect

    def forward(
        self, request_id: str = "r", method: str = "GET", **fields: object
    ) -> ForwardAttempt:
        """Send a request and return the effect that forwards it."""
        effect = self.arrive(request_id, method, **fields)
        assert isinstance(effect, ForwardAttempt), effect
        return effect

    def reply(
        self, kind: Callable[..., Event], attempt: ForwardAttempt, *reply_fields: object
    ) -> Effects:
        """Deliver a reply of the owner of an attempt."""
        event_fields = (self.now_ms, attempt.request_id, attempt.attempt_id, attempt.owner_id)
        return self.send(kind(*event_fields, *reply_fields))

    def refuse(self, attempt: ForwardAttempt, result: BackendResult, reason: str) -> Effects:
        """Deliver a refusal by the owner of an attempt."""
        return self.reply(OwnerRefused, attempt, result, reason, 9)

    def respond(self, attempt: ForwardAttempt) -> Effects:
        """Deliver the head of the response of an attempt."""
        return self.reply(OwnerResponded, attempt, 200, 1)

    def earn_tokens(self, requests: int) -> None:
        """Answer requests, each of which earns a fraction of a retry token."""
        for number in range(requests):
            attempt = self.forward(f"good-{number}")
            self.respond(attempt)
            self.send(ResponseFinished(self.now_ms, attempt.request_id, True))

    def tick(self, now_ms: float) -> Effects:
        """Set the clock and deliver a tick."""
        self.now_ms = now_ms
        return self.send(Tick(now_ms))


class EndTest(unittest.TestCase):
    """The end of the process, with requests whose limit is later."""

    def test_unanswered_requests_get_an_answer(self) -> None:
        """Guards against requests that end with the process, without any answer."""
        ingress = Ingress()
        waiting = ingress.forward("waiting", "POST")
        lost = ingress.forward("lost", "POST")
        self.assertIsInstance(ingress.reply(AttemptLost, lost, True)[0], SendFence)
        responding = ingress.forward("responding")
        ingress.respond(responding)
        step = end_requests(ingress.state, ingress.now_ms)
        answers = [item for item in step.effects if isinstance(item, RespondToCaller)]
        cancelled = [item.attempt_id for item in step.effects if isinstance(item, CancelAttempt)]
        self.assertEqual({item.request_id for item in answers}, {"waiting", "lost"})
        self.assertEqual(
            {(item.status, item.outcome, item.reason) for item in answers},
            {(502, Outcome.UNKNOWN, "shutting-down")},
        )
        self.assertEqual(set(cancelled), {waiting.attempt_id, lost.attempt_id})
        ingress.state = step.state
        self.assertEqual(set(ingress.state.requests), {"responding"})
        refused = ingress.arrive("late", timeout_ms=1.0)
        assert isinstance(refused, RespondToCaller)
        self.assertEqual((refused.status, refused.reason), (503, "shutting-down"))


class ArrivalTest(unittest.TestCase):
    """Handling of a request when it arrives."""

    def _check(self, effect: Effect, status: int, reason: str) -> None:
        assert isinstance(effect, RespondToCaller)
        self.assertEqual((effect.status, effect.reason), (status, reason))
        self.assertIs(effect.outcome, Outcome.NOT_RUN)
        self.assertEqual(effect.retry_after_ms > 0, status == 503)

    def test_forwards_with_the_shorter_timeout(self) -> None:
        """Guards against deadlines after that of the route, and ids without the incarnation."""
        ingress = Ingress()
        self.assertEqual(ingress.forward("a", timeout_ms=50_000.0).deadline_ms, 3000.0)
        attempt = ingress.forward("b", timeout_ms=70.0)
        self.assertEqual((attempt.deadline_ms, attempt.attempt), (1070.0, 0))
        self.assertEqual(attempt_owner_incarnation(attempt.attempt_id), 5)

    def test_statuses_of_refusals(self) -> None:
        """Guards against statuses that differ from the documented ones."""
        ingress = Ingress()
        self._check(ingress.arrive(path="/nowhere"), 404, "no-route")
        self._check(ingress.arrive(path="/menu"), 503, "no-ready-backend-server")
        self._check(ingress.arrive(timeout_ms=0.0), 400, "malformed-timeout")
        self._check(ingress.arrive(timeout_ms=float("nan")), 400, "malformed-timeout")
        ingress.table = NOT_SERVING_TABLE
        self._check(ingress.arrive(), 503, "not-serving")
        ingress.send(ShutdownRequested(0.0))
        self._check(ingress.arrive(), 503, "shutting-down")

    def test_requests_that_may_outlast_the_process_are_refused(self) -> None:
        """Guards against late requests that are passed on and cut when the process ends."""
        for method in ("GET", "POST"):
            ingress = Ingress()
            ingress.state = replace(ingress.state, requests_end_ms=ingress.now_ms + 500.0)
            self._check(ingress.arrive(method=method), 503, "shutting-down")
            self._check(ingress.arrive(method=method, timeout_ms=501.0), 503, "shutting-down")
            self.assertEqual(ingress.forward(method=method, timeout_ms=500.0).deadline_ms, 1500.0)
            ingress.now_ms += 101.0
            self._check(ingress.arrive("c", method, timeout_ms=400.0), 503, "shutting-down")
            self.assertEqual(ingress.forward("d", method, timeout_ms=399.0).deadline_ms, 1500.0)

    def test_keys_outside_the_window_are_refused(self) -> None:
        """Guards against a key whose claim may have been deleted already."""
        ingress = Ingress()
        key = make_key(1)
        post = {"method": "POST", "idempotency_key": key}
        late, early = UNIX_MS + 900_001, UNIX_MS - 60_001
        self._check(
            ingress.arrive(**post, unix_ms=late), 400, "idempotency-key-too-old"  # type: ignore[arg-type]
        )
        self._check(
            ingress.arrive(**post, unix_ms=early), 400, "idempotency-key-from-future"  # type: ignore[arg-type]
        )
        for bad in ("x", key.replace("-7", "-4", 1), key + "\n"):
            effect = ingress.arrive(method="POST", idempotency_key=bad)
            self._check(effect, 400, "malformed-idempotency-key")
        self.assertEqual(ingress.forward(method="POST", idempotency_key=key).idempotency_key, key)

    def test_low_classes_are_refused_first(self) -> None:
        """Guards against menu reads that use the capacity that is reserved for orders."""
        ingress = Ingress(requests=RequestSettings(max_requests=20))
        reads = [ingress.arrive(f"read-{number}") for number in range(20)]
        refused = [effect for effect in reads if isinstance(effect, RespondToCaller)]
        self.assertEqual(len(refused), 3)
        self._check(refused[0], 503, "too-many-requests")
        orders = [ingress.arrive(f"order-{number}", "POST") for number in range(4)]
        self.assertEqual([type(effect).__name__ for effect in orders[:3]], ["ForwardAttempt"] * 3)
        self._check(orders[3], 503, "too-many-requests")


class SettlementTest(unittest.TestCase):
    """Handling of attempts that end without a response."""

    def _check(self, effects: Effects, outcome: Outcome, status: int) -> None:
        answers = [effect for effect in effects if isinstance(effect, RespondToCaller)]
        self.assertEqual([(item.outcome, item.status) for item in answers], [(outcome, status)])

    def test_proven_not_run_goes_elsewhere_up_to_a_limit(self) -> None:
        """Guards against endless refusals, and an attempt number that rises for work not run."""
        ingress = Ingress()
        attempt = ingress.forward(method="POST", attempt=2)
        tried = {attempt.owner_id}
        for _ in range(2):
            (effect,) = ingress.refuse(attempt, NOT_RUN, "queue-full")
            assert isinstance(effect, ForwardAttempt)
            attempt = effect
            tried.add(attempt.owner_id)
            self.assertEqual(attempt.attempt, 2)
        self.assertEqual(len(tried), 3)
        effects = ingress.refuse(attempt, NOT_RUN, "queue-full")
        self._check(effects, Outcome.NOT_RUN, 503)

    def test_orders_are_not_retried_after_dispatch(self) -> None:
        """Guards against a customer who is charged twice."""
        ingress = Ingress()
        ingress.earn_tokens(50)
        attempt = ingress.forward(method="POST")
        self._check(ingress.refuse(attempt, UNKNOWN, "backend-lost"), Outcome.UNKNOWN, 502)
        attempt = ingress.forward("r2", "POST")
        (fence,) = ingress.reply(AttemptLost, attempt, True)
        self.assertIsInstance(fence, SendFence)
        self._check(
            ingress.reply(FenceAnswered, attempt, FenceState.FINISHED), Outcome.UNKNOWN, 502
        )

    def test_retries_need_a_token_and_a_first_attempt(self) -> None:
        """Guards against retries that multiply in a call tree."""
        ingress = Ingress()
        attempt = ingress.forward("no-token")
        self._check(ingress.refuse(attempt, UNKNOWN, "backend-lost"), Outcome.UNKNOWN, 502)
        ingress.earn_tokens(10)
        nested = ingress.forward("nested", attempt=1)
        self._check(ingress.refuse(nested, UNKNOWN, "backend-lost"), Outcome.UNKNOWN, 502)
        refused = ingress.forward("backend-refused", attempt=1)
        self._check(ingress.refuse(refused, NOT_RUN, "backend-not-run"), Outcome.NOT_RUN, 503)
        attempt = ingress.forward("with-token")
        (retry,) = ingress.refuse(attempt, UNKNOWN, "backend-lost")
        assert isinstance(retry, ForwardAttempt)
        self.assertEqual((retry.attempt, retry.owner_id == attempt.owner_id), (1, False))
        effects = ingress.refuse(retry, NOT_RUN, "backend-not-run")
        self._check(effects, Outcome.UNKNOWN, 502)  # the first attempt may have run

    def test_late_reply_of_an_older_attempt_is_dropped(self) -> None:
        """Guards against a response of an attempt that was replaced by a later one (P4)."""
        ingress = Ingress()
        ingress.earn_tokens(10)
        old = ingress.forward()
        (new,) = ingress.refuse(old, UNKNOWN, "backend-lost")
        assert isinstance(new, ForwardAttempt)
        self.assertEqual(ingress.respond(old), ())
        self.assertEqual(ingress.reply(FenceAnswered, old, FenceState.UNKNOWN), ())
        self.assertEqual(ingress.respond(new), (PassResponse("r", new.attempt_id),))
        self.assertEqual(ingress.respond(new), ())
        ingress.send(ResponseFinished(ingress.now_ms, "r", True))
        self.assertEqual(ingress.respond(new), ())
        self.assertFalse(ingress.state.requests)

    def test_connection_failure_is_a_proof(self) -> None:
        """Guards against an order that is not tried again although nothing was sent."""
        ingress = Ingress()
        attempt = ingress.forward(method="POST")
        (effect,) = ingress.reply(AttemptLost, attempt, False)
        self.assertIsInstance(effect, ForwardAttempt)

    def test_fence_not_run_moves_an_order(self) -> None:
        """Guards against an order that fails with its stream although it was never dispatched."""
        ingress = Ingress()
        attempt = ingress.forward(method="POST")
        ingress.reply(AttemptLost, attempt, True)
        (effect,) = ingress.reply(FenceAnswered, attempt, FenceState.NOT_RUN)
        self.assertIsInstance(effect, ForwardAttempt)

    def test_running_attempt_is_waited_for(self) -> None:
        """Guards against an order reported as unknown while its response is still expected."""
        ingress = Ingress()
        attempt = ingress.forward(method="POST")
        ingress.reply(AttemptLost, attempt, True)
        self.assertEqual(ingress.reply(FenceAnswered, attempt, FenceState.RUNNING), ())
        (again,) = ingress.tick(2000.0)
        self.assertIsInstance(again, SendFence)
        self.assertEqual(ingress.respond(attempt), (PassResponse("r", attempt.attempt_id),))

    def test_running_read_is_retried_when_its_owner_dies(self) -> None:
        """Guards against a retry while a read still runs, and a wait for an owner that is dead."""
        ingress = Ingress()
        ingress.earn_tokens(10)
        attempt = ingress.forward()
        ingress.reply(AttemptLost, attempt, True)
        self.assertEqual(ingress.reply(FenceAnswered, attempt, FenceState.RUNNING), ())
        (again,) = ingress.reply(AttemptLost, attempt, True)
        self.assertIsInstance(again, SendFence)
        (retry,) = ingress.reply(FenceAnswered, attempt, FenceState.UNKNOWN)
        self.assertIsInstance(retry, ForwardAttempt)

    def test_unanswered_fence_is_unknown(self) -> None:
        """Guards against a caller who waits for an owner that is dead."""
        ingress = Ingress()
        ingress.reply(AttemptLost, ingress.forward(method="POST"), True)
        self.assertEqual(ingress.tick(1900.0), ())
        effects = ingress.tick(2000.0)
        self.assertIsInstance(effects[0], CancelAttempt)
        self._check(effects, Outcome.UNKNOWN, 502)

    def test_deadline_ends_the_wait(self) -> None:
        """Guards against a caller without an answer, and work that continues after its deadline."""
        ingress = Ingress()
        ingress.forward(method="POST", timeout_ms=300.0)
        self.assertEqual(ingress.tick(1290.0), ())
        effects = ingress.tick(1300.0)
        self.assertIsInstance(effects[0], CancelAttempt)
        self._check(effects, Outcome.UNKNOWN, 504)
        refused = ingress.forward("r2", method="POST", timeout_ms=10.0)
        ingress.now_ms += 20
        self._check(ingress.refuse(refused, NOT_RUN, "deadline"), Outcome.NOT_RUN, 503)

    def test_deadline_stops_a_response(self) -> None:
        """Guards against responses that never end and count as requests in progress."""
        ingress = Ingress()
        ingress.respond(ingress.forward(timeout_ms=300.0))
        (cancel,) = ingress.tick(1300.0)
        self.assertIsInstance(cancel, CancelAttempt)
        self.assertFalse(ingress.state.requests)

    def test_newer_timeout_does_not_stop_a_response(self) -> None:
        """Guards against a response cut by a version whose route has a shorter timeout."""
        ingress = Ingress()
        attempt = ingress.forward()
        ingress.respond(attempt)
        routes = {name: {**route, "timeout_ms": 100} for name, route in ROUTES.items()}
        records = [make_record(f"n{number}", incarnation=5) for number in range(4)]
        ingress.table = make_table(*records, configuration=make_configuration(routes))
        self.assertEqual(ingress.forward("r2").deadline_ms, ingress.now_ms + 100)
        ingress.tick(attempt.deadline_ms - 1)
        self.assertIn("r", ingress.state.requests)
        self.assertNotIn("r2", ingress.state.requests)
        ingress.send(ResponseFinished(ingress.now_ms, "r", True))
        self.assertFalse(ingress.state.requests)

    def test_caller_that_leaves_cancels(self) -> None:
        """Guards against work that continues after its caller closed the connection."""
        ingress = Ingress()
        attempt = ingress.forward()
        (cancel,) = ingress.send(CallerGone(ingress.now_ms, "r"))
        self.assertEqual(cancel, CancelAttempt("r", attempt.attempt_id, attempt.owner_id))
        self.assertEqual(ingress.respond(attempt), ())
        self.assertEqual(sum(view.in_flight for view in ingress.state.views.values()), 0)

    def test_failures_eject_at_most_half(self) -> None:
        """Guards against an ingress that ejects every owner when all fail."""
        ingress = Ingress(owners=4)
        for number in range(40):
            effect: Effect = ingress.arrive(f"r{number}")
            while isinstance(effect, ForwardAttempt):
                (effect,) = ingress.reply(AttemptLost, effect, False)
        ejected = [item for item in ingress.state.views.values() if item.ejected_until_ms]
        self.assertEqual(len(ejected), 2)

    def test_store_outage_ejects_nobody(self) -> None:
        """Guards against the ejection of owners for claims that the store did not answer."""
        ingress = Ingress(owners=1)
        for number in range(9):
            attempt = ingress.forward(f"r{number}", "POST")
            ingress.refuse(attempt, UNKNOWN, "claim-unavailable")
        self.assertEqual(ingress.state.views["n0"].failures, 0)

    def test_views_of_owners_that_left_are_dropped(self) -> None:
        """Guards against memory that grows with each replaced VM."""
        ingress = Ingress()
        ingress.earn_tokens(20)
        self.assertTrue(ingress.state.views)
        ingress.table = make_table()
        ingress.tick(60_000.0)
        self.assertFalse(ingress.state.views)


class AttemptIdTest(unittest.TestCase):
    """The format of attempt ids."""

    def test_round_trip_and_malformed(self) -> None:
        """Guards against ids from other nodes that raise an error or are parsed wrongly."""
        name = parse_attempt_id(make_attempt_id("a.b", "tag", 12, 99))
        assert name is not None
        self.assertEqual((name.request_id, name.sequence, name.owner_incarnation), ("a.b", 12, 99))
        for bad in ("", "a.b.c", "r.t.1.x", "r.t.-1.2", "r.t.²." + "1", "r.t.1." + "9" * 30):
            self.assertIsNone(parse_attempt_id(bad), bad)

    def test_only_later_attempts_of_the_request_supersede(self) -> None:
        """Guards against a claim that another request takes over."""
        first = make_attempt_id("r", "tag", 1, 1)
        self.assertTrue(supersedes_attempt(make_attempt_id("r", "tag", 2, 7), first))
        self.assertFalse(supersedes_attempt(first, first))
        self.assertFalse(supersedes_attempt(make_attempt_id("s", "tag", 2, 7), first))
        self.assertFalse(supersedes_attempt(make_attempt_id("r", "other", 2, 7), first))
        self.assertFalse(supersedes_attempt("r", first))


if __name__ == "__main__":
    unittest.main()
