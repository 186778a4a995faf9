"""Tests of the recognition of callers that were refused before, and of what they are told."""

from __future__ import annotations

import unittest

from bamboonotch_core.outcomes._patience import (
    PATIENCE_MEMORY_MS,
    Patience,
    is_returning,
    note_timeout,
)
from bamboonotch_core.request_effects import ForwardAttempt, RespondToCaller
from bamboonotch_core.request_events import BackendResult
from bamboonotch_core.settings import RequestSettings
from tests.outcomes.test_reducer import Ingress


class PatienceTest(unittest.TestCase):
    """What is learned from the timeouts of callers."""

    def test_shorter_timeouts_return(self) -> None:
        """Guards against first requests of less patient callers that count as repeats."""
        patience = note_timeout(None, 2500.0, 0.0)
        for timeout_ms, returning in ((2500.0, False), (2125.0, False), (1650.0, True)):
            self.assertEqual(is_returning(patience, timeout_ms), returning, timeout_ms)
            patience = note_timeout(patience, timeout_ms, 1.0)
        self.assertEqual(patience.longest_ms, 2500.0)

    def test_longest_timeout_is_forgotten(self) -> None:
        """Guards against one patient caller after which all others count as repeats for good."""
        patience = Patience(10_000.0, 0.0)
        patience = note_timeout(patience, 2500.0, PATIENCE_MEMORY_MS)
        self.assertTrue(is_returning(patience, 2500.0))
        patience = note_timeout(patience, 2500.0, PATIENCE_MEMORY_MS + 1.0)
        self.assertFalse(is_returning(patience, 2500.0))


class ReturningTest(unittest.TestCase):
    """Requests whose caller was refused."""

    def test_owner_is_told(self) -> None:
        """Guards against a repeat that takes the slot of a request that can meet its target."""
        ingress = Ingress()
        first = ingress.forward("a", timeout_ms=2500.0)
        second = ingress.forward("b", timeout_ms=1600.0)
        untold = ingress.forward("c")
        self.assertEqual([first.returning, second.returning], [False, True])
        self.assertFalse(untold.returning)

    def test_refusal_for_overload_names_a_longer_wait(self) -> None:
        """Guards against callers that come back within the same overload."""
        requests = RequestSettings(
            retry_after_ms=200, overload_retry_share=0.33, max_owners_tried=1
        )
        waits = {}
        for reason in ("cannot-start-in-time", "queue-timeout", "draining", "not-ready"):
            ingress = Ingress(requests=requests)
            attempt = ingress.forward("r", timeout_ms=2400.0)
            (answer,) = ingress.refuse(attempt, BackendResult.NOT_RUN, reason)
            assert isinstance(answer, RespondToCaller)
            waits[reason] = answer.retry_after_ms
        self.assertEqual(
            waits,
            {
                "cannot-start-in-time": 792,
                "queue-timeout": 792,
                "draining": 200,
                "not-ready": 200,
            },
        )

    def test_short_wait_is_kept_for_impatient_callers(self) -> None:
        """Guards against a wait below the setting."""
        requests = RequestSettings(
            retry_after_ms=200, overload_retry_share=0.33, max_owners_tried=1
        )
        ingress = Ingress(requests=requests)
        attempt = ingress.forward("r", timeout_ms=300.0)
        self.assertIsInstance(attempt, ForwardAttempt)
        (answer,) = ingress.refuse(attempt, BackendResult.NOT_RUN, "queue-full")
        assert isinstance(answer, RespondToCaller)
        self.assertEqual(answer.retry_after_ms, 200)
