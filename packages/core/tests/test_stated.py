"""Tests of what responses of a backend server say of itself, in the composed reducer."""

from __future__ import annotations

import unittest

from bamboonotch_core.events import BackendServerAnnounced, BackendServerStated, Event
from bamboonotch_core.membership import own_record
from bamboonotch_core.reducer import reduce
from bamboonotch_core.state import make_node_state
from tests.routing.builders import make_settings


class StatedTest(unittest.TestCase):
    """A node whose backend server has announced itself."""

    def setUp(self) -> None:
        """Take the first announcement."""
        self.state = make_node_state(make_settings("n0"), 1, 7, 0.0)
        self.send(BackendServerAnnounced(0.0, "menu", "1.2.3.4:5", 6, "ready", "i-1", 1000, 4))

    def send(self, event: Event) -> list[str]:
        """Reduce one event and return the names of the reports."""
        step = reduce(self.state, event)
        self.state = step.state
        return [effect.name for effect in step.effects if hasattr(effect, "name")]

    def test_rate_is_published(self) -> None:
        """Guards against a named rate that only the owner knows, and that operators cannot see."""
        reports = self.send(BackendServerStated(1.0, "i-1", 1000, 5.3))
        self.assertIn("rate-limit-named", reports)
        self.assertEqual(own_record(self.state.membership).rate_limit_per_s, 5.3)
        self.send(BackendServerAnnounced(2.0, "menu", "1.2.3.4:5", 6, "ready", "i-1", 1000, 5))
        self.assertEqual(own_record(self.state.membership).rate_limit_per_s, 5.3)
        self.send(BackendServerStated(3.0, "i-1", 1000, None))
        self.assertIsNone(own_record(self.state.membership).rate_limit_per_s)

    def test_late_response_of_an_earlier_process(self) -> None:
        """Guards against the rate of a process that was replaced at its address."""
        self.send(BackendServerAnnounced(1.0, "menu", "1.2.3.4:5", 6, "ready", "i-2", 2000, 1))
        self.send(BackendServerStated(2.0, "i-1", 1000, 5.3))
        self.assertIsNone(self.state.admission.rate_limit)
        self.assertIsNone(own_record(self.state.membership).rate_limit_per_s)
