"""Model of one request: ingress, owners, backend servers, fencing and retries (P5, P6).

Messages stay in flight once sent: each may be lost, delayed or repeated. An offer or a fence
reaches only the process it was sent to; an owner that restarts has another incarnation and knows
nothing, while work that it gave to its backend server goes on.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from tests.model.support import ModelTestCase, State, make_protocol

OWNERS = 2
MAX_ATTEMPTS = 2
MAX_RESTARTS = 2

QUEUED, DISPATCHED, DONE, NOT_RUN, UNKNOWN = "queued", "dispatched", "done", "not-run", "unknown"
WAITING, FENCING, GONE = "waiting", "fencing", "gone"


class Request(NamedTuple):
    """State of the model.

    :param phase: what the ingress does, or the outcome that the caller was told.
    :param attempt: number of the present attempt; it goes to the owner of the same number modulo
        the number of owners.
    :param offered_to: incarnation of the owner that the attempt was offered to.
    :param lives: incarnation of each owner.
    :param tables: (attempt, state) pairs that each owner knows.
    :param given: attempts at a backend server that have not run yet.
    :param runs: number of times that the work ran.
    :param flight: messages in flight.
    """

    phase: str = "new"
    attempt: int = 0
    offered_to: int = 0
    lives: tuple[int, ...] = (1,) * OWNERS
    tables: tuple[frozenset[tuple[int, str]], ...] = (frozenset(),) * OWNERS
    given: frozenset[int] = frozenset()
    runs: int = 0
    flight: frozenset[tuple[Any, ...]] = frozenset()


def owner_of(attempt: int) -> int:
    """Return the owner of an attempt."""
    return attempt % OWNERS


def known(request: Request, attempt: int) -> str:
    """Return what the owner knows of an attempt, or an empty text."""
    return dict(request.tables[owner_of(attempt)]).get(attempt, "")


def learn(request: Request, attempt: int, state: str) -> Request:
    """Set what the owner knows of an attempt."""
    owner = owner_of(attempt)
    table = dict(request.tables[owner])
    table[attempt] = state
    tables = list(request.tables)
    tables[owner] = frozenset(table.items())
    return request._replace(tables=tuple(tables))


def send(request: Request, *message: Any) -> Request:
    """Put a message in flight."""
    return request._replace(flight=request.flight | {message})


class OutcomeModel:
    """Transitions of the model.

    :param broken: name of a fault to build in.
    """

    def __init__(self, broken: str = "") -> None:
        self.broken = broken

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step."""
        request = Request(*state)
        yield from self.ingress_steps(request)
        for message in sorted(request.flight):
            yield from self.message_steps(request, message)
        for attempt in range(request.attempt + 1):
            yield from self.owner_steps(request, attempt)
        yield from self.failure_steps(request)

    def ingress_steps(self, request: Request) -> Iterator[tuple[str, Request]]:
        """Offer the work, lose the stream, give up at the deadline."""
        if request.phase == "new":
            yield "offer", self.offer(request)
        if request.phase == WAITING:
            yield "stream lost", self.fence(request)
        if request.phase in (WAITING, FENCING):
            yield "deadline", request._replace(phase=UNKNOWN)
            yield "ingress dies", request._replace(phase=GONE)
        if request.phase == FENCING and self.broken == "retry-on-loss":
            yield "retry", self.retry(request)
        if request.phase == FENCING and self.broken == "lost-is-not-run":
            yield "give up", request._replace(phase=NOT_RUN)

    def offer(self, request: Request) -> Request:
        """Offer the present attempt to its owner."""
        life = request.lives[owner_of(request.attempt)]
        request = request._replace(phase=WAITING, offered_to=life)
        return send(request, "offer", request.attempt, life)

    def fence(self, request: Request) -> Request:
        """Ask the owner's present process over a new stream."""
        life = request.lives[owner_of(request.attempt)]
        return send(request._replace(phase=FENCING), "fence", request.attempt, life)

    def retry(self, request: Request) -> Request:
        """Try another owner, or tell the caller that the work did not run."""
        if request.attempt + 1 == MAX_ATTEMPTS:
            return request._replace(phase=NOT_RUN)
        return self.offer(request._replace(attempt=request.attempt + 1))

    def message_steps(
        self, request: Request, message: tuple[Any, ...]
    ) -> Iterator[tuple[str, Request]]:
        """Deliver a message."""
        kind, attempt, value = message
        if kind in ("offer", "fence"):
            if request.lives[owner_of(attempt)] == value:
                handle = self.take_offer if kind == "offer" else self.take_fence
                yield f"{kind} {attempt} arrives", handle(request, attempt)
            return
        current = attempt == request.attempt or self.broken == "any-attempt"
        if request.phase in (WAITING, FENCING) and current:
            yield f"{kind} {attempt} {value} arrives", self.take_answer(request, kind, value)

    def take_offer(self, request: Request, attempt: int) -> Request:
        """Queue an attempt that the owner does not know."""
        state = known(request, attempt)
        if not state or (self.broken == "fence-not-kept" and state == NOT_RUN):
            return learn(request, attempt, QUEUED)
        return request

    def take_fence(self, request: Request, attempt: int) -> Request:
        """Answer what is known; what was not dispatched never will be."""
        state = known(request, attempt)
        if state == DISPATCHED and self.broken == "dispatched-is-not-run":
            state = ""
        if state in ("", QUEUED, NOT_RUN):
            request, state = learn(request, attempt, NOT_RUN), NOT_RUN
        life = request.lives[owner_of(attempt)]
        return send(request, "fence-answer", attempt, (state, life))

    def take_answer(self, request: Request, kind: str, value: Any) -> Request:
        """Take the owner's answer to the present attempt."""
        state = value
        if kind == "fence-answer":
            state, life = value
            if life != request.offered_to and self.broken != "incarnation-ignored":
                return request._replace(phase=UNKNOWN)
        if state == DISPATCHED:
            return request
        if state == NOT_RUN:
            return self.retry(request)
        return request._replace(phase=state)

    def owner_steps(self, request: Request, attempt: int) -> Iterator[tuple[str, Request]]:
        """Refuse, dispatch and finish an attempt."""
        state = known(request, attempt)
        life = request.lives[owner_of(attempt)]
        if state == QUEUED:
            refused = learn(request, attempt, NOT_RUN)
            yield f"owner refuses {attempt}", send(refused, "answer", attempt, NOT_RUN)
            given = learn(request, attempt, DISPATCHED)
            given = given._replace(given=given.given | {attempt})
            yield f"owner dispatches {attempt}", given
        if state == DISPATCHED and attempt in request.given:
            refused = learn(request, attempt, NOT_RUN)
            refused = refused._replace(given=refused.given - {attempt})
            yield f"backend refuses {attempt}", send(refused, "answer", attempt, NOT_RUN)
        if state == DISPATCHED:
            wrong = NOT_RUN if self.broken == "backend-loss-is-not-run" else UNKNOWN
            lost = learn(request, attempt, wrong)
            yield f"backend lost {attempt}", send(lost, "answer", attempt, wrong)
            if attempt not in request.given:
                done = learn(request, attempt, DONE)
                yield f"backend answers {attempt}", send(done, "answer", attempt, DONE)
        if state == DONE and self.broken == "forgets-finished":
            owner = owner_of(attempt)
            tables = list(request.tables)
            tables[owner] = tables[owner] - {(attempt, DONE)}
            yield f"owner forgets {attempt} of {life}", request._replace(tables=tuple(tables))

    def failure_steps(self, request: Request) -> Iterator[tuple[str, Request]]:
        """Run work at a backend server, whose owner may be gone; restart owners."""
        for attempt in sorted(request.given):
            ran = request._replace(given=request.given - {attempt}, runs=request.runs + 1)
            yield f"backend runs {attempt}", ran
        if sum(request.lives) - OWNERS == MAX_RESTARTS:
            return
        for owner in range(OWNERS):
            lives, tables = list(request.lives), list(request.tables)
            lives[owner] += 1
            tables[owner] = frozenset()
            restarted = request._replace(lives=tuple(lives), tables=tuple(tables))
            yield f"owner {owner} restarts", restarted

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return make_protocol(
            "outcomes",
            Request._fields,
            tuple(Request()),
            self.transitions,
            {
                "P5-not-run-is-true": lambda d: d["phase"] != NOT_RUN or d["runs"] == 0,
                "P6-at-most-once": lambda d: d["runs"] <= 1,
                "P4-done-has-run": lambda d: d["phase"] != DONE or d["runs"] >= 1,
            },
        )


class OutcomeModelTest(ModelTestCase):
    """Outcome and fencing of a request that is not idempotent and has no key."""

    def refute(self, broken: str, invariant: str, steps: int) -> None:
        """Search a broken variant."""
        self.assert_refuted(OutcomeModel(broken).protocol(), invariant, steps)

    def test_outcomes(self) -> None:
        """Guards against a false not-run and against work that runs twice."""
        self.assert_holds(OutcomeModel().protocol(), 13_346)

    def test_lost_stream_taken_as_not_run(self) -> None:
        """Guards against a not-run without a proof (P5)."""
        self.refute("lost-is-not-run", "P5-not-run-is-true", 6)

    def test_dispatched_taken_as_not_run(self) -> None:
        """Guards against fencing work that is already at the backend server (P5)."""
        self.refute("dispatched-is-not-run", "P5-not-run-is-true", 10)

    def test_restarted_owner_believed(self) -> None:
        """Guards against the not-run of an owner that has forgotten everything (P5)."""
        self.refute("incarnation-ignored", "P5-not-run-is-true", 11)

    def test_fence_not_kept(self) -> None:
        """Guards against an offer that arrives after its fence and is dispatched (P5)."""
        self.refute("fence-not-kept", "P5-not-run-is-true", 10)

    def test_lost_backend_taken_as_not_run(self) -> None:
        """Guards against calling work not run once its bytes were written (P5)."""
        self.refute("backend-loss-is-not-run", "P5-not-run-is-true", 9)

    def test_finished_work_forgotten(self) -> None:
        """Guards against an owner that forgets an attempt and then fences it (P5)."""
        self.refute("forgets-finished", "P5-not-run-is-true", 12)

    def test_retry_without_proof(self) -> None:
        """Guards against a retry elsewhere while the first attempt may run (P6)."""
        self.refute("retry-on-loss", "P6-at-most-once", 9)

    def test_answer_of_another_attempt(self) -> None:
        """Guards against taking a late answer of an earlier attempt for the present one (P5)."""
        self.refute("any-attempt", "P5-not-run-is-true", 8)
