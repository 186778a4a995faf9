"""Tests of the log lines about requests."""

from __future__ import annotations

import unittest
from typing import Any

from bamboonotch_core.request_effects import OwnerLoad, RefuseWork
from bamboonotch_core.request_events import BackendResult, WorkOffered
from bamboonotch_node.logs import RequestLog
from bamboonotch_node.metrics import NodeMetrics
from bamboonotch_node.runtime._request_observer import RequestObserver


class RefusalTest(unittest.TestCase):
    """What an owner logs when it refuses work."""

    def test_names_what_decided(self) -> None:
        """Guards against a refusal that cannot be explained from its log line."""
        lines: list[tuple[str, dict[str, Any]]] = []
        observer = RequestObserver(
            NodeMetrics(),
            lambda service: "mesh",
            lambda attempt_id: None,
            lambda: 7,
            RequestLog(lambda name, **fields: lines.append((name, fields))),
        )
        for attempt_id, returning in (("a", True), ("b", False)):
            observer.see_event(
                WorkOffered(0.0, "r", attempt_id, "orders", "order", 9.0, True, "", returning)
            )
            observer.see_effect(
                RefuseWork(
                    attempt_id,
                    BackendResult.NOT_RUN,
                    "cannot-start-in-time",
                    6,
                    OwnerLoad(slots_held=3, limit_slots=3.0, queued=3, service_ms=120.0),
                )
            )
        self.assertEqual([name for name, _ in lines], ["work-refused"] * 2)
        self.assertEqual([fields["returning"] for _, fields in lines], [True, False])
        for _, fields in lines:
            self.assertEqual(
                (fields["service"], fields["reason"], fields["load"], fields["not_run"]),
                ("orders", "cannot-start-in-time", 6, True),
            )
            self.assertGreater(fields["waited_ms"], 0.0)
            self.assertEqual(
                (fields["slots_held"], fields["limit_slots"], fields["queued"]), (3, 3.0, 3)
            )
            self.assertEqual(fields["service_ms"], 120.0)
