"""Tests of announcements by other writers than the backend server, through the composed reducer."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.effects import CountEvent, KeepDeparture, Report
from bamboonotch_core.events import (
    BackendServerAnnounced,
    DepartureRecalled,
    Event,
    IdentityChanged,
)
from bamboonotch_core.reducer import reduce
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.state import NodeState, make_node_state
from tests.routing.builders import make_configuration, make_settings


def _announce(
    instance_id: str, state: str, sequence: int | None, started: int = 1000, service: str = "orders"
) -> BackendServerAnnounced:
    return BackendServerAnnounced(
        1.0, service, "10.0.0.1:80", 6, state, instance_id, started, sequence, heard_unix_ms=9000
    )


def _make_state(service: str) -> NodeState:
    settings = make_settings()
    identity = replace(settings.identity, service=service)
    return make_node_state(replace(settings, identity=identity), 1, 1, 0.0)


def _configure(state: NodeState, *services: str) -> NodeState:
    """Return a state whose running configuration names only these services."""
    named = {
        name: {"tenant": "himal-thali", "slots_per_backend_server": 6, "ramp_ms": 0}
        for name in services
    }
    configuration = make_configuration(routes={}, services=named)
    distribution = replace_fields(state.distribution, running_configuration=configuration)
    return replace_fields(state, distribution=distribution)


class OtherWriterTest(unittest.TestCase):
    """Announcements of another service than the one that the settings name.

    Pattern: another writer sends a well-formed announcement with a later start time, and those of
    the backend server beside the node are then taken for those of an earlier process.
    """

    def setUp(self) -> None:
        """Start a node whose backend server is ready."""
        self.state = _configure(_make_state("orders"), "orders", "menu")
        self._hear(_announce("a", "ready", 4))

    def _hear(self, event: Event) -> str:
        self.state = reduce(self.state, event).state
        latest = self.state.announcement
        if latest is None:
            return "none"
        return f"{latest.instance_id} {latest.service} {self.state.admission.backend.state}"

    def _strays(self) -> list[BackendServerAnnounced]:
        return [
            _announce(instance_id, state, sequence, started, service)
            for instance_id in ("a", "x")
            for state in ("ready", "draining")
            for sequence in (1, 99)
            for started in (0, 1000, 8000)
            for service in ("menu", "unknown")
        ]

    def test_own_server_stays_in_use(self) -> None:
        """Guards against a heartbeat of another service that shuts the own server out."""
        for stray in self._strays():
            with self.subTest(repr(stray)):
                self.setUp()
                self.assertEqual(self._hear(stray), "a orders ready")
                self.assertEqual(self.state.departures, ())
                self._hear(stray)
                self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders ready")
                self.assertEqual(self._hear(_announce("a", "draining", 6)), "a orders draining")
                self._hear(stray)
                self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders draining")
                self.assertEqual(self._hear(_announce("b", "ready", 1, 2000)), "b orders ready")

    def test_other_writer_comes_first(self) -> None:
        """Guards against a node that has just started and uses a server of another service."""
        for stray in self._strays():
            with self.subTest(repr(stray)):
                self.state = _make_state("orders")
                self.assertEqual(self._hear(stray), "none")
                self.assertEqual(self._hear(_announce("a", "ready", 4)), "a orders ready")

    def test_departure_of_another_writer_is_not_kept(self) -> None:
        """Guards against departures of other writers that push those of servers out."""
        self._hear(_announce("a", "draining", 5))
        for number in range(20):
            transition = reduce(self.state, _announce(f"x{number}", "draining", 1, 8000, "menu"))
            self.assertFalse([e for e in transition.effects if isinstance(e, KeepDeparture)])
            self.state = transition.state
        self.assertEqual([item.instance_id for item in self.state.departures], ["a"])

    def test_recalled_departure_of_another_writer(self) -> None:
        """Guards against an entry of an earlier release with a departure of another service."""
        stray = _announce("a", "draining", 1, 8000, "menu")
        self.assertEqual(self._hear(DepartureRecalled(2.0, stray)), "a orders ready")
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders ready")

    def test_reported_once_and_counted(self) -> None:
        """Guards against a line in the log for each heartbeat of another writer."""
        stray = _announce("x", "ready", 1, 8000, "menu")
        effects = [reduce(self.state, stray).effects]
        for _ in range(3):
            transition = reduce(self.state, stray)
            self.state = transition.state
            effects.append(transition.effects)
        (report,) = effects[1]
        assert isinstance(report, Report)
        self.assertEqual(report.name, "announcement-set-aside")
        self.assertEqual(effects[2:], [(CountEvent("announcement-set-aside"),)] * 2)

    def test_settings_that_change(self) -> None:
        """Guards against a server that is dropped, or never used, after a change of settings."""
        identity = replace(self.state.identity, service="menu")
        self._hear(IdentityChanged(2.0, identity))
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders ready")
        self.assertEqual(self._hear(_announce("m", "ready", 1, 500, "menu")), "m menu ready")
        self.assertEqual(self._hear(_announce("a", "ready", 6)), "m menu ready")


class UnnamedServiceTest(unittest.TestCase):
    """Announcements where the settings name no service, judged by the configuration."""

    def setUp(self) -> None:
        """Start a node without a configuration."""
        self.state = _make_state("")

    def _hear(self, event: Event) -> str:
        self.state = reduce(self.state, event).state
        latest = self.state.announcement
        assert latest is not None
        return f"{latest.instance_id} {latest.service} {self.state.admission.backend.state}"

    def test_configuration_comes_later(self) -> None:
        """Guards against a server that stays shut out by what came before the configuration."""
        self._hear(_announce("a", "ready", 4))
        self._hear(_announce("x", "ready", 1, 8000, "unknown"))
        self.state = _configure(self.state, "orders")
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders ready")
        self.assertEqual(self._hear(_announce("x", "ready", 2, 8000, "unknown")), "a orders ready")

    def test_service_that_is_not_named_yet(self) -> None:
        """Guards against a server that gets no work when a later version names its service."""
        self.state = _configure(self.state, "menu")
        self.assertEqual(self._hear(_announce("a", "ready", 4)), "a orders ready")
        self.state = _configure(self.state, "menu", "orders")
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders ready")

    def test_name_is_taken_away_and_comes_back(self) -> None:
        """Guards against a server that gets no work after its service was named again."""
        self.state = _configure(self.state, "orders")
        self._hear(_announce("a", "ready", 4))
        self.state = _configure(self.state, "menu")
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a orders ready")
        self._hear(_announce("x", "ready", 1, 8000, "unknown"))
        self.state = _configure(self.state, "orders")
        self.assertEqual(self._hear(_announce("a", "ready", 6)), "a orders ready")
