"""Tests of what responses of a backend server say of itself, in the composed reducer."""

from __future__ import annotations

import unittest

from bamboonotch_core.admission import is_draining
from bamboonotch_core.effects import KeepDeparture
from bamboonotch_core.events import (
    BackendServerAnnounced,
    BackendServerStated,
    DepartureRecalled,
    Event,
)
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

    def test_departure_by_a_response(self) -> None:
        """Guards against work for a server whose responses say it before its heartbeats."""
        reports = self.send(BackendServerStated(1.0, "i-1", 1000, None, True))
        self.assertIn("backend-server-leaves", reports)
        self.assertTrue(is_draining(self.state.admission))

    def test_departure_is_kept(self) -> None:
        """Guards against a server that has left and is used again after its node restarted."""
        step = reduce(self.state, BackendServerStated(1.0, "i-1", 1000, None, True))
        kept = [item.announcement for item in step.effects if isinstance(item, KeepDeparture)]
        self.assertEqual([(item.state, item.leaving) for item in kept], [("draining", True)])
        self.state = make_node_state(make_settings("n0"), 2, 7, 0.0)
        self.send(DepartureRecalled(0.0, kept[0]))
        self.send(BackendServerAnnounced(1.0, "menu", "1.2.3.4:5", 6, "ready", "i-1", 1000, 9))
        self.assertTrue(is_draining(self.state.admission))

    def test_heartbeat_that_crosses_the_response(self) -> None:
        """Guards against a departure that a heartbeat from before it takes back."""
        self.send(BackendServerStated(1.0, "i-1", 1000, None, True))
        for sequence in (3, 5):
            self.send(
                BackendServerAnnounced(2.0, "menu", "1.2.3.4:5", 6, "ready", "i-1", 1000, sequence)
            )
            self.assertTrue(is_draining(self.state.admission))

    def test_next_process_is_ready(self) -> None:
        """Guards against a departure that outlives its process."""
        self.send(BackendServerStated(1.0, "i-1", 1000, None, True))
        self.send(BackendServerAnnounced(2.0, "menu", "1.2.3.4:5", 6, "ready", "i-2", 2000, 1))
        self.assertFalse(is_draining(self.state.admission))
        self.send(BackendServerStated(3.0, "i-1", 1000, None, True))
        self.assertFalse(is_draining(self.state.admission))

    def test_late_response_of_an_earlier_process(self) -> None:
        """Guards against the rate of a process that was replaced at its address."""
        self.send(BackendServerAnnounced(1.0, "menu", "1.2.3.4:5", 6, "ready", "i-2", 2000, 1))
        self.send(BackendServerStated(2.0, "i-1", 1000, 5.3))
        self.assertIsNone(self.state.admission.rate_limit)
        self.assertIsNone(own_record(self.state.membership).rate_limit_per_s)
