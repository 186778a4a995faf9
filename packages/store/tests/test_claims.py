"""Tests of the claims of idempotency keys."""

from __future__ import annotations

import unittest
import uuid

from twisted.internet.defer import Deferred

from bamboonotch_core.request_events import ClaimResult
from bamboonotch_store.claims import (
    MAX_AGE_MS,
    MAX_AHEAD_MS,
    MINUTE_MS,
    RETENTION_MS,
    Claims,
    parse_claim_key,
)
from bamboonotch_store.errors import ClaimKeyError
from tests.support import StoreTestCase

NOW_MS = 1_800_000_000_000
RACERS = 20


def make_key(unix_ms: int, tail: int = 5) -> str:
    """Return a UUID of version 7 with a given time."""
    return str(uuid.UUID(int=unix_ms << 80 | 7 << 76 | 2 << 62 | tail))


class ClaimKeyTest(unittest.TestCase):
    """Parsing of keys."""

    def test_window_bounds(self) -> None:
        """Guards against a key accepted after its claim may have been deleted (P6)."""
        for unix_ms in (NOW_MS, NOW_MS - MAX_AGE_MS, NOW_MS + MAX_AHEAD_MS):
            self.assertEqual(parse_claim_key(make_key(unix_ms), NOW_MS).unix_ms, unix_ms)
        for unix_ms in (NOW_MS - MAX_AGE_MS - 1, NOW_MS + MAX_AHEAD_MS + 1):
            with self.assertRaises(ClaimKeyError):
                parse_claim_key(make_key(unix_ms), NOW_MS)

    def test_spelling_does_not_make_another_claim(self) -> None:
        """Guards against two claims for two spellings of one key (P6)."""
        key = make_key(NOW_MS, 0xABCDEF)
        lower = parse_claim_key(key, NOW_MS)
        self.assertEqual(parse_claim_key(key.upper(), NOW_MS), lower)

    def test_other_texts_are_refused(self) -> None:
        """Guards against a malformed key reaching the store."""
        key = make_key(NOW_MS)
        texts = ("", "x" * 36, f"{{{key}}}", key.replace("-", ""), key + "\n", str(uuid.uuid4()))
        wrong_variant = str(uuid.UUID(int=NOW_MS << 80 | 7 << 76 | 5))
        for text in (*texts, wrong_variant, "１" * 36):
            with self.assertRaises(ClaimKeyError):
                parse_claim_key(text, NOW_MS)


class ClaimsTest(StoreTestCase):
    """Claims in the store."""

    def setUp(self) -> None:
        """Set the clock."""
        super().setUp()
        self.now_ms = NOW_MS
        self.claims = Claims(self.client, lambda: self.now_ms)

    async def test_one_attempt_of_many_claims(self) -> None:
        """Guards against a payment dispatched by two owners (P6)."""
        key = make_key(NOW_MS)
        running = [
            Deferred.fromCoroutine(
                Claims(self.make_client(), lambda: NOW_MS).create(key, f"attempt-{n}")
            )
            for n in range(RACERS)
        ]
        results = [await result for result in running]
        self.assertEqual(results.count(ClaimResult.CREATED), 1)
        self.assertEqual(results.count(ClaimResult.TAKEN), RACERS - 1)

    async def test_lost_answer_is_resolved(self) -> None:
        """Guards against an own claim taken for another's after a lost answer."""
        self.drop_answers(1)
        result = await self.claims.create(make_key(NOW_MS), "own")
        self.assertEqual(result, ClaimResult.CREATED)
        self.drop_answers(1)
        result = await self.claims.create(make_key(NOW_MS), "other")
        self.assertEqual(result, ClaimResult.TAKEN)

    async def test_store_down_is_unavailable(self) -> None:
        """Guards against a claim believed without the store, or an untyped failure."""
        for fault in ({"refuse": "error"}, {"refuse": "abort"}, {"hold": True}):
            self.server.change_faults(clear=True, **fault)
            result = await self.claims.create(make_key(NOW_MS), "own")
            self.assertEqual(result, ClaimResult.UNAVAILABLE)

    async def test_takeover_needs_a_proof_about_the_holder(self) -> None:
        """Guards against a takeover of a claim whose attempt may have run (P6)."""
        key = make_key(NOW_MS)
        await self.claims.create(key, "first")
        taken = await self.claims.create(key, "second", lambda new, old: old == "not-first")
        self.assertEqual(taken, ClaimResult.TAKEN)
        racing = [
            Deferred.fromCoroutine(self.claims.create(key, name, lambda new, old: old == "first"))
            for name in ("second", "third")
        ]
        results = {await result for result in racing}
        self.assertEqual(results, {ClaimResult.CREATED, ClaimResult.TAKEN})

    async def test_takeover_with_lost_answer(self) -> None:
        """Guards against a lost answer that makes a takeover forget its own claim."""
        key = make_key(NOW_MS)
        await self.claims.create(key, "first")
        self.drop_answers(2)
        result = await self.claims.create(key, "second", lambda new, old: old == "first")
        self.assertEqual(result, ClaimResult.CREATED)

    async def test_released_claim_is_free_for_one(self) -> None:
        """Guards against a refused order that can never be repeated, or two runs after it (P6)."""
        key = make_key(NOW_MS)
        await self.claims.create(key, "first")
        await self.claims.release(key, "first")
        racing = [
            Deferred.fromCoroutine(self.claims.create(key, name)) for name in ("second", "third")
        ]
        results = sorted([(await result).value for result in racing])
        self.assertEqual(results, [ClaimResult.CREATED.value, ClaimResult.TAKEN.value])

    async def test_release_of_another_claim_does_nothing(self) -> None:
        """Guards against a late release that frees the claim of an attempt that runs (P6)."""
        key = make_key(NOW_MS)
        await self.claims.create(key, "first")
        await self.claims.release(key, "other")
        self.assertEqual(await self.claims.create(key, "second"), ClaimResult.TAKEN)

    async def test_only_old_minutes_are_deleted(self) -> None:
        """Guards against deleting a claim that a key still accepted could need (P6)."""
        ages_ms = (0, MAX_AGE_MS, RETENTION_MS, RETENTION_MS + 2 * MINUTE_MS)
        for age_ms in ages_ms:
            self.now_ms = NOW_MS - age_ms
            await self.claims.create(make_key(self.now_ms), "a")
        self.now_ms = NOW_MS
        self.put("claim/malformed/x", b"")
        self.assertEqual(await self.claims.delete_old(), 1)
        self.assertEqual(len(self.keys()), 4)

    async def test_claim_after_long_pause_is_void(self) -> None:
        """Guards against a paused owner that claims a key again after its claim was deleted."""
        times = iter((NOW_MS, NOW_MS + RETENTION_MS))
        claims = Claims(self.client, lambda: next(times))
        result = await claims.create(make_key(NOW_MS), "paused")
        self.assertEqual(result, ClaimResult.UNAVAILABLE)
