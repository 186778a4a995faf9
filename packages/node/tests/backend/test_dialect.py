"""Tests of the rules that classify a response of a backend server."""

from __future__ import annotations

import unittest
from dataclasses import replace

from twisted.web.http_headers import Headers

from bamboonotch_core.errors import RateLimitError
from bamboonotch_node.dialect import OWN_DIALECT

OTHER_DIALECT = replace(
    OWN_DIALECT,
    request_id=b"attempt-id",
    not_run=b"not-executed",
    not_run_values=frozenset(),
    not_run_status=0,
    misdirected_status=421,
    proof=b"signature",
    echoes_request_id=True,
)


class NotRunTest(unittest.TestCase):
    """Responses that prove that a request was not run."""

    def test_own_interface(self) -> None:
        """Guards against "not run" when only the status or only the header says so."""
        headers = Headers({"Bamboonotch-Outcome": ["not-run"]})
        self.assertTrue(OWN_DIALECT.is_not_run(503, headers))
        self.assertFalse(OWN_DIALECT.is_not_run(500, headers))
        self.assertFalse(OWN_DIALECT.is_not_run(503, Headers()))
        self.assertFalse(OWN_DIALECT.is_not_run(421, Headers()))
        two_values = Headers({"Bamboonotch-Outcome": ["not-run", "done"]})
        self.assertFalse(OWN_DIALECT.is_not_run(503, two_values))

    def test_any_value_and_misdirected(self) -> None:
        """Guards against a refused request that counts as run."""
        for status in (400, 429, 503):
            self.assertTrue(OTHER_DIALECT.is_not_run(status, Headers({"Not-Executed": ["1"]})))
            self.assertFalse(OTHER_DIALECT.is_not_run(status, Headers()))
        self.assertTrue(OTHER_DIALECT.is_not_run(421, Headers()))


class RateLimitTest(unittest.TestCase):
    """Values of the header in which a backend server names a rate."""

    def read(self, *values: str) -> float | None:
        """Read a response with such headers."""
        return OWN_DIALECT.read_rate_limit(Headers({"Bamboonotch-Rate-Limit": list(values)}))

    def test_numbers(self) -> None:
        """Guards against a named rate that is misread or overlooked."""
        self.assertEqual(self.read("18.6"), 18.6)
        self.assertEqual(self.read(" 0 "), 0.0)
        self.assertIsNone(OWN_DIALECT.read_rate_limit(Headers()))
        self.assertIsNone(replace(OWN_DIALECT, rate_limit=b"").read_rate_limit(Headers()))

    def test_malformed(self) -> None:
        """Guards against a rate that is no number and stops or frees all work."""
        for value in ("-1", "nan", "inf", "1e999", "9" * 1000, "a few", "", "1.", "0x10", "1,5"):
            with self.subTest(value=value[:20]), self.assertRaises(RateLimitError):
                self.read(value)
        with self.assertRaises(RateLimitError):
            self.read("5", "7")


class LeavingTest(unittest.TestCase):
    """The header of a backend server that leaves."""

    def test_values(self) -> None:
        """Guards against a departure that is overlooked, or seen in an odd header."""
        self.assertTrue(OWN_DIALECT.says_leaving(Headers({"Bamboonotch-Leaving": ["1"]})))
        for headers in (Headers(), Headers({"Bamboonotch-Leaving": ["0"]})):
            self.assertFalse(OWN_DIALECT.says_leaving(headers))


class BelongingTest(unittest.TestCase):
    """Responses that belong to another request, or to none."""

    def test_other_request(self) -> None:
        """Guards against passing on the response to another caller's request."""
        self.assertTrue(OTHER_DIALECT.is_of_other_request("a", Headers({"Attempt-Id": ["b"]})))
        self.assertTrue(OTHER_DIALECT.is_of_other_request("a", Headers({"Attempt-Id": ["a", "b"]})))
        self.assertFalse(OTHER_DIALECT.is_of_other_request("a", Headers({"Attempt-Id": ["a"]})))
        self.assertFalse(OTHER_DIALECT.is_of_other_request("a", Headers()))
        self.assertFalse(OWN_DIALECT.is_of_other_request("a", Headers({"X-Request-Id": ["b"]})))

    def test_proof(self) -> None:
        """Guards against a response that does not carry the header of a backend server's work."""
        self.assertFalse(OTHER_DIALECT.has_proof(Headers()))
        self.assertTrue(OTHER_DIALECT.has_proof(Headers({"Signature": ["s"]})))
        self.assertTrue(OWN_DIALECT.has_proof(Headers()))
