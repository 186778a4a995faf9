"""Tests of the recognition of callers that were refused before, and of their retry wait."""

from __future__ import annotations

import unittest

from bamboonotch_core.outcomes._patience import (
    LONGEST_TIMEOUT_RETENTION_MS,
    CallerTimeouts,
    is_returning,
    record_timeout,
)
from bamboonotch_core.request_effects import ForwardAttempt, RespondToCaller
from bamboonotch_core.request_events import BackendResult
from bamboonotch_core.settings import RequestSettings
from tests.outcomes.test_reducer import Ingress


class CallerTimeoutsTest(unittest.TestCase):
    """Recognition of repeats from the timeouts of callers."""

    def test_shorter_timeouts_return(self) -> None:
        """Guards against first requests with a slightly shorter timeout that count as repeats."""
        caller_timeouts = record_timeout(None, 2500.0, 0.0)
        for timeout_ms, returning in ((2500.0, False), (2125.0, False), (1650.0, True)):
            self.assertEqual(is_returning(caller_timeouts, timeout_ms), returning, timeout_ms)
            caller_timeouts = record_timeout(caller_timeouts, timeout_ms, 1.0)
        self.assertEqual(caller_timeouts.longest_timeout_ms, 2500.0)

    def test_longest_timeout_is_forgotten(self) -> None:
        """Guards against one long timeout after which all other requests count as repeats."""
        caller_timeouts = CallerTimeouts(10_000.0, 0.0)
        caller_timeouts = record_timeout(caller_timeouts, 2500.0, LONGEST_TIMEOUT_RETENTION_MS)
        self.assertTrue(is_returning(caller_timeouts, 2500.0))
        caller_timeouts = record_timeout(
            caller_timeouts, 2500.0, LONGEST_TIMEOUT_RETENTION_MS + 1.0
        )
        self.assertFalse(is_returning(caller_timeouts, 2500.0))


class ReturningTest(unittest.TestCase):
    """Requests whose caller was refused before, and the wait that a refusal names."""

    def test_owner_is_told(self) -> None:
        """Guards against a repeat that takes the slot of a request that can meet its target."""
        ingress = Ingress()
        first = ingress.forward("a", timeout_ms=2500.0)
        second = ingress.forward("b", timeout_ms=1600.0)
        without_timeout = ingress.forward("c")
        self.assertEqual([first.returning, second.returning], [False, True])
        self.assertFalse(without_timeout.returning)

    def test_refusal_for_overload_names_a_longer_wait(self) -> None:
        """Guards against callers that repeat a request during the same overload."""
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

    def test_wait_is_not_below_the_setting(self) -> None:
        """Guards against a wait below the setting for callers with a short timeout."""
        requests = RequestSettings(
            retry_after_ms=200, overload_retry_share=0.33, max_owners_tried=1
        )
        ingress = Ingress(requests=requests)
        attempt = ingress.forward("r", timeout_ms=300.0)
        self.assertIsInstance(attempt, ForwardAttempt)
        (answer,) = ingress.refuse(attempt, BackendResult.NOT_RUN, "queue-full")
        assert isinstance(answer, RespondToCaller)
        self.assertEqual(answer.retry_after_ms, 200)
