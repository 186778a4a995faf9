"""Tests of the detection of the own overload."""

from __future__ import annotations

import unittest

from bamboonotch_core import events
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import find_member
from bamboonotch_core.messages import MemberUpdate, Suspicion
from tests.membership.fleet import SingleNode, address_of, make_record, make_settings, messages_of

LATE_MS = 400.0
IN_TIME_MS = 100.0


class OverloadTest(unittest.TestCase):
    """A node with one linked neighbour, whose dials to other members fail."""

    def setUp(self) -> None:
        """Link the neighbour and let the node know of the other member."""
        self.node = SingleNode(make_settings("a"))
        self.link = self.node.link("b")
        names = ("b", "c", "d", "e", "x")
        self.node.receive(self.link, MemberUpdate(tuple(make_record(name) for name in names)))

    def suspicions_after(self, tick_ms: float) -> list[Suspicion]:
        """Fail every dial for two seconds of ticks that come a given time apart."""
        out: list[Suspicion] = []
        for _ in range(int(2000 / tick_ms)):
            self.node.now_ms += tick_ms
            effects = list(self.node.handle(events.Tick))
            for name in ("c", "d", "e", "x"):
                effects.extend(self.node.handle(events.LinkFailed, address_of(name), "timeout"))
            out.extend(message for _, message in messages_of(effects, Suspicion))
        return out

    def test_node_in_time_reports(self) -> None:
        """Guards against dead neighbours that nobody reports."""
        self.assertTrue(self.suspicions_after(IN_TIME_MS))

    def test_late_node_reports_nobody(self) -> None:
        """Guards against an overloaded node that reports neighbours because it is slow itself."""
        self.assertEqual(self.suspicions_after(LATE_MS), [])
        record = find_member(self.node.state, "x")
        assert record is not None
        self.assertIs(record.state, MemberState.READY)
