"""Model of keyed requests: the caller repeats one key at several owners (P6).

Each submission is an attempt with its own id. Calls to the store stay in flight: each may take
effect late, even after its caller's owner has died, and its answer may be lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from tests.model.support import ModelTestCase, State, make_protocol

OWNERS = 2
MAX_ATTEMPTS = 3
MAX_RESTARTS = 1
NOBODY = -1

CLAIMING, DISPATCHED, DONE, NOT_RUN, UNKNOWN = (
    "claiming",
    "dispatched",
    "done",
    "not-run",
    "unknown",
)


class Keyed(NamedTuple):
    """State of the model.

    :param claim: attempt that the claim names, or ``NOBODY``.
    :param owners: owner of each attempt so far.
    :param restarts: restarts of owners so far.
    :param tables: (attempt, state) pairs that each owner knows.
    :param calls: store calls in flight as (attempt, expected claim).
    :param answers: answers in flight as (attempt, whether the claim is its own).
    :param ran: attempts that ran, with repeats.
    :param told: (attempt, outcome) pairs that the caller was told.
    """

    claim: int = NOBODY
    owners: tuple[int, ...] = ()
    restarts: int = 0
    tables: tuple[frozenset[tuple[int, str]], ...] = (frozenset(),) * OWNERS
    calls: frozenset[tuple[int, int]] = frozenset()
    answers: frozenset[tuple[int, bool]] = frozenset()
    ran: tuple[int, ...] = ()
    told: frozenset[tuple[int, str]] = frozenset()


def learn(keyed: Keyed, attempt: int, state: str) -> Keyed:
    """Set what the owner knows of an attempt."""
    owner = keyed.owners[attempt]
    table = dict(keyed.tables[owner])
    table[attempt] = state
    tables = (*keyed.tables[:owner], frozenset(table.items()), *keyed.tables[owner + 1 :])
    return keyed._replace(tables=tables)


class ClaimModel:
    """Transitions of the model.

    :param broken: name of a fault to build in.
    """

    def __init__(self, broken: str = "") -> None:
        self.broken = broken

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step."""
        keyed = Keyed(*state)
        yield from self.caller_steps(keyed)
        yield from self.store_steps(keyed)
        for owner, table in enumerate(keyed.tables):
            for attempt, known in sorted(table):
                yield from self.owner_steps(keyed, attempt, known)
            if keyed.restarts < MAX_RESTARTS:
                tables = (*keyed.tables[:owner], frozenset(), *keyed.tables[owner + 1 :])
                restarted = keyed._replace(tables=tables, restarts=keyed.restarts + 1)
                yield f"owner {owner} restarts", restarted

    def caller_steps(self, keyed: Keyed) -> Iterator[tuple[str, Keyed]]:
        """Submit the key at an owner, again at any time."""
        attempt = len(keyed.owners)
        if attempt == MAX_ATTEMPTS:
            return
        for owner in range(OWNERS):
            submitted = keyed._replace(owners=(*keyed.owners, owner))
            if self.broken == "dispatch-first":
                yield f"submit at {owner}", self.dispatch(submitted, attempt)
                continue
            submitted = learn(submitted, attempt, CLAIMING)
            calls = submitted.calls | {(attempt, NOBODY)}
            yield f"submit at {owner}", submitted._replace(calls=calls)

    def store_steps(self, keyed: Keyed) -> Iterator[tuple[str, Keyed]]:
        """Let a call take effect once; its answer stays in flight."""
        for attempt, expected in sorted(keyed.calls):
            calls = keyed.calls - {(attempt, expected)}
            free = keyed.claim in (expected, attempt)
            if self.broken == "plain-write":
                free = True
            answer = (attempt, free)
            claim = attempt if free else keyed.claim
            after = keyed._replace(calls=calls, claim=claim, answers=keyed.answers | {answer})
            yield f"store takes call of {attempt}", after
        if self.broken == "claim-deleted" and keyed.claim != NOBODY:
            yield "claim deleted", keyed._replace(claim=NOBODY)

    def owner_steps(self, keyed: Keyed, attempt: int, known: str) -> Iterator[tuple[str, Keyed]]:
        """Take the store's answer, dispatch, finish, fence."""
        if known == CLAIMING:
            yield f"fence {attempt}", self.end(keyed, attempt, NOT_RUN)
            late = self.dispatch(keyed, attempt) if self.broken == "store-down" else None
            yield f"store silent for {attempt}", late or self.end(keyed, attempt, UNKNOWN)
            if (attempt, True) in keyed.answers:
                yield f"{attempt} has the claim", self.dispatch(keyed, attempt)
            if (attempt, False) in keyed.answers:
                yield f"{attempt} finds a claim", self.taken(keyed, attempt)
        if known == DISPATCHED:
            yield f"backend answers {attempt}", self.end(keyed, attempt, DONE)
            yield f"backend lost {attempt}", self.end(keyed, attempt, UNKNOWN)

    def dispatch(self, keyed: Keyed, attempt: int) -> Keyed:
        """Give the work to the backend server, which runs it."""
        return learn(keyed, attempt, DISPATCHED)._replace(ran=(*keyed.ran, attempt))

    def end(self, keyed: Keyed, attempt: int, outcome: str) -> Keyed:
        """End an attempt and tell the caller."""
        return learn(keyed, attempt, outcome)._replace(told=keyed.told | {(attempt, outcome)})

    def taken(self, keyed: Keyed, attempt: int) -> Keyed:
        """Answer when another attempt has the claim.

        The same node repeats a result that it knows, and takes the claim over when it knows that
        the earlier attempt never will run.
        """
        keyed = keyed._replace(answers=keyed.answers - {(attempt, False)})
        other = keyed.claim
        if other in (NOBODY, attempt):
            return self.end(keyed, attempt, UNKNOWN)
        earlier = dict(keyed.tables[keyed.owners[attempt]]).get(other)
        if earlier == DONE:
            return self.end(keyed, attempt, DONE)
        if earlier == NOT_RUN or self.broken == "take-over-always":
            return keyed._replace(calls=keyed.calls | {(attempt, other)})
        return self.end(keyed, attempt, UNKNOWN)

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return make_protocol(
            "claims",
            Keyed._fields,
            tuple(Keyed()),
            self.transitions,
            {
                "P6-at-most-once": lambda d: len(d["ran"]) <= 1,
                "P5-not-run-is-true": lambda d: all(
                    (attempt, NOT_RUN) not in d["told"] for attempt in d["ran"]
                ),
            },
        )


class ClaimModelTest(ModelTestCase):
    """One key runs at most once, wherever and how often it is submitted."""

    def refute(self, broken: str, steps: int) -> None:
        """Search a broken variant."""
        self.assert_refuted(ClaimModel(broken).protocol(), "P6-at-most-once", steps)

    def test_claims(self) -> None:
        """Guards against a key that runs twice (P6)."""
        self.assert_holds(ClaimModel().protocol(), 44_832)

    def test_dispatch_before_claim(self) -> None:
        """Guards against work that starts before its claim is known."""
        self.refute("dispatch-first", 2)

    def test_dispatch_with_store_down(self) -> None:
        """Guards against dispatching when the store does not say who has the claim."""
        self.refute("store-down", 4)

    def test_plain_write(self) -> None:
        """Guards against a claim or a take-over without compare-and-swap."""
        self.refute("plain-write", 6)

    def test_take_over_without_fence(self) -> None:
        """Guards against taking over the claim of an attempt that may run."""
        self.refute("take-over-always", 8)

    def test_claim_deleted_early(self) -> None:
        """Guards against deleting a claim while its key is still accepted."""
        self.refute("claim-deleted", 7)
