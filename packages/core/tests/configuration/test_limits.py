"""Tests of the limits for callers' requests in a configuration document."""

from __future__ import annotations

import unittest
from typing import Any

from bamboonotch_core.configuration import EMPTY_DOCUMENT, CallerLimits, parse_configuration
from bamboonotch_core.errors import ConfigurationError
from bamboonotch_core.settings import RequestSettings


def _document(limits: Any) -> dict[str, Any]:
    return {**EMPTY_DOCUMENT, "limits": limits}


class LimitsTest(unittest.TestCase):
    """Limits of a document that replace a node's settings."""

    def test_absent_limits_are_the_settings(self) -> None:
        """Guards against a document without limits that changes a node's settings."""
        settings = RequestSettings(max_body_bytes=2048)
        for document in (EMPTY_DOCUMENT, _document({})):
            limits = parse_configuration(document).limits
            self.assertEqual(limits, CallerLimits())
            self.assertEqual(limits.apply(settings), settings)

    def test_limits_go_before_the_settings(self) -> None:
        """Guards against a node that refuses a request which the document's limits allow."""
        limits = {"max_body_bytes": 67_108_864, "idle_timeout_ms": 15_000}
        applied = parse_configuration(_document(limits)).limits.apply(RequestSettings())
        self.assertEqual(
            applied, RequestSettings(max_body_bytes=67_108_864, idle_timeout_ms=15_000)
        )

    def test_faulty_limits(self) -> None:
        """Guards against treating an invalid limit as an absent one."""
        for limits in (
            None,
            [],
            {"max_body_bytes": 0},
            {"max_header_bytes": "16384"},
            {"header_timeout_ms": True},
            {"max_bodies": 3},
        ):
            with self.assertRaises(ConfigurationError, msg=limits):
                parse_configuration(_document(limits))
