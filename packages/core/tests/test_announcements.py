"""Tests of the order of announcements, through the composed reducer."""

from __future__ import annotations

import itertools
import math
import unittest
from dataclasses import replace
from typing import Any

from bamboonotch_core.announcements import MAX_DEPARTURES
from bamboonotch_core.effects import Effect, KeepDeparture, Report
from bamboonotch_core.events import BackendServerAnnounced, DepartureRecalled, Event
from bamboonotch_core.reducer import reduce
from bamboonotch_core.state import make_node_state
from tests.routing.builders import make_settings


def _announce(
    instance_id: str, state: str, sequence: int | None, started: int = 1000
) -> BackendServerAnnounced:
    return BackendServerAnnounced(
        1.0, "orders", "10.0.0.1:80", 6, state, instance_id, started, sequence
    )


class AnnouncementOrderTest(unittest.TestCase):
    """Which of two announcements speaks of the present."""

    def setUp(self) -> None:
        """Start a node."""
        self.state = make_node_state(make_settings(), 1, 1, 0.0)

    def _hear(self, event: BackendServerAnnounced) -> str:
        self.state = reduce(self.state, event).state
        return f"{self.state.announcement.instance_id} {self.state.admission.backend.state}"

    def test_late_heartbeat_of_the_same_process(self) -> None:
        """Guards against a draining backend server that gets work again."""
        self.assertEqual(self._hear(_announce("a", "ready", 4)), "a ready")
        self.assertEqual(self._hear(_announce("a", "draining", 6)), "a draining")
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a draining")

    def test_late_heartbeat_of_a_former_process(self) -> None:
        """Guards against requests meant for a process that crashed."""
        self._hear(_announce("a", "ready", 40))
        self.assertEqual(self._hear(_announce("b", "ready", 1, started=2000)), "b ready")
        self.assertEqual(self._hear(_announce("a", "ready", 41)), "b ready")

    def test_reborn_under_the_same_id(self) -> None:
        """Guards against a restarted process whose count began anew and that gets no work."""
        self._hear(_announce("a", "draining", 40))
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=2000)), "a ready")

    def test_departure(self) -> None:
        """Guards against work for a process that said it leaves."""
        self._hear(_announce("a", "ready", 4))
        self.assertEqual(self._hear(_announce("a", "stopped", None)), "a stopped")

    def test_late_heartbeat_after_the_departure(self) -> None:
        """Guards against a heartbeat on its way that brings a departed process back."""
        self._hear(_announce("a", "ready", 4))
        self._hear(_announce("a", "stopped", None))
        self.assertEqual(self._hear(_announce("a", "ready", 5)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=2000)), "a ready")

    def test_without_start_times(self) -> None:
        """Guards against the departure of another process that takes the present one away."""
        self._hear(_announce("a", "ready", 4, started=0))
        self.assertEqual(self._hear(_announce("b", "stopped", None, started=0)), "a ready")
        self.assertEqual(self._hear(_announce("b", "ready", 1, started=0)), "a ready")
        self.assertEqual(self._hear(_announce("c", "ready", 1, started=0)), "c ready")


HUGE_INTEGER = 10**4000
ODD_ANNOUNCEMENTS: tuple[dict[str, Any], ...] = (
    {"service": ""},
    {"service": "zahlung\u00fc"},
    {"service": "x" * 1_000_000},
    {"slots": 0},
    {"slots": -1},
    {"slots": HUGE_INTEGER},
    {"address": ":80"},
    {"address": "10.0.0.1"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:99999999999"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1:\u0668\u0660"},
    {"address": "h" * 1_000_000 + ":80"},
    {"state": "joining"},
    {"instance_id": "i-\u00fc\u0394"},
    {"instance_id": "i-1\r\nX-Y: z"},
    {"instance_id": "i" * 1_000_000},
    {"started_unix_ms": HUGE_INTEGER},
    {"started_unix_ms": -1},
    {"started_unix_ms": 2**50, "heard_unix_ms": 1_700_000_000_000},
    {"sequence": HUGE_INTEGER},
    {"sequence": -HUGE_INTEGER},
    {"cold_ms": math.nan},
    {"cold_ms": math.inf},
    {"cold_ms": -1.0},
)


class OddAnnouncementTest(unittest.TestCase):
    """Announcements of another writer, with values that no backend server has."""

    def setUp(self) -> None:
        """Start a node whose backend server is ready."""
        state = make_node_state(make_settings(), 1, 1, 0.0)
        self.state = reduce(state, _announce("a", "ready", 4)).state

    def test_odd_announcement_changes_nothing(self) -> None:
        """Guards against an odd announcement that replaces the present backend server."""
        valid = _announce("b", "ready", 1, started=2000)
        for change in ODD_ANNOUNCEMENTS:
            with self.subTest(repr(change)[:60]):
                transition = reduce(self.state, replace(valid, **change))
                names = [item.name for item in transition.effects if isinstance(item, Report)]
                self.assertEqual(names, ["announcement-refused"])
                self.assertEqual(transition.state, self.state)

    def test_odd_departure_changes_nothing(self) -> None:
        """Guards against a number without bound that ends the present backend server."""
        for change in ({"started_unix_ms": HUGE_INTEGER}, {"instance_id": "\u0394"}):
            with self.subTest(repr(change)[:60]):
                event = replace(_announce("a", "stopped", None), **change)
                self.assertEqual(reduce(self.state, event).state, self.state)

    def test_recalled_odd_departure_changes_nothing(self) -> None:
        """Guards against a damaged entry whose departure no later announcement can replace."""
        event = replace(_announce("a", "draining", 5), started_unix_ms=HUGE_INTEGER)
        state = make_node_state(make_settings(), 1, 1, 0.0)
        self.assertEqual(reduce(state, DepartureRecalled(1.0, event)).state, state)

    def test_clocks_that_differ(self) -> None:
        """Guards against a backend server that is refused because its clock is a little ahead."""
        event = replace(_announce("b", "ready", 1, started=61_000), heard_unix_ms=1000)
        self.assertEqual(reduce(self.state, event).state.announcement, event)


def _depart(instance_id: str, heard: int = 5000) -> BackendServerAnnounced:
    """Return a departure call, which names only the process."""
    return BackendServerAnnounced(
        1.0, "", "", 0, "stopped", instance_id, started_unix_ms=0, heard_unix_ms=heard
    )


class UnknownDepartureTest(unittest.TestCase):
    """Departures of processes that this node knows too little of.

    Pattern: a node is restarted, acknowledges a departure call before it has heard a heartbeat, and
    a heartbeat from before the call comes late.
    """

    def setUp(self) -> None:
        """Start a node."""
        self.state = make_node_state(make_settings(), 1, 1, 0.0)

    def _hear(self, event: Event) -> str:
        self.state = reduce(self.state, event).state
        latest = self.state.announcement
        assert latest is not None
        return f"{latest.instance_id} {self.state.admission.backend.state}"

    def test_late_heartbeat_after_a_departure_without_start(self) -> None:
        """Guards against a late heartbeat that undoes a departure of a process not yet heard."""
        self.assertEqual(self._hear(_depart("a")), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 5, started=1000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 9, started=0)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "draining", 9, started=5000)), "a stopped")

    def test_later_process_after_a_departure_without_start(self) -> None:
        """Guards against a server that gets no work because one before it left unheard."""
        self._hear(_depart("a"))
        self.assertEqual(self._hear(_announce("b", "ready", 1, started=4000)), "b ready")
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=5001)), "a ready")
        self.assertEqual(self._hear(_depart("a", heard=7000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 2, started=5001)), "a stopped")

    def test_late_heartbeat_while_another_process_is_in_use(self) -> None:
        """Guards against a departure that is acknowledged and forgotten, as another is in use."""
        self._hear(_announce("b", "ready", 1, started=1000))
        self.assertEqual(self._hear(_depart("a")), "b ready")
        self.assertEqual(self._hear(_announce("a", "ready", 5, started=2000)), "b ready")
        self.assertEqual(self._hear(_announce("c", "ready", 1, started=3000)), "c ready")

    def test_departure_outlives_its_successor(self) -> None:
        """Guards against a late heartbeat of a server whose successor has left as well."""
        self._hear(_announce("a", "ready", 4, started=2000))
        self._hear(_announce("a", "draining", 5, started=2000))
        self._hear(_announce("b", "ready", 1, started=0))
        self.assertEqual(self._hear(_depart("b")), "b stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 4, started=2000)), "b stopped")

    def test_heartbeat_without_start_after_draining(self) -> None:
        """Guards against a heartbeat with fields missing that takes back an acknowledged drain."""
        self._hear(_announce("a", "draining", 6))
        self.assertEqual(self._hear(_announce("a", "ready", 7, started=0)), "a draining")

    def test_departures_in_any_order(self) -> None:
        """Guards against an order of messages in which a departed process gets ready again."""
        messages = (
            _depart("a"),
            _announce("a", "ready", 5, started=2000),
            _announce("b", "ready", 5, started=1000),
            _announce("a", "draining", 6, started=2000),
        )
        for order in itertools.permutations(messages):
            state = make_node_state(make_settings(), 1, 1, 0.0)
            departed = False
            for event in (*order, *order):
                state = reduce(state, event).state
                departed = departed or event is messages[0]
                in_use = state.announcement
                assert in_use is not None
                is_ready = state.admission.backend.state == "ready"
                self.assertFalse(departed and is_ready and in_use.instance_id == "a", order)

    def test_departure_of_a_process_before_its_first_heartbeat(self) -> None:
        """Guards against a departure that holds only for the process of the id that was heard."""
        self._hear(_announce("a", "ready", 4, started=1000))
        self.assertEqual(self._hear(_depart("a", heard=5000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=4000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 5, started=1000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=5001)), "a ready")

    def test_two_departures_before_a_heartbeat(self) -> None:
        """Guards against a second departure that is taken for the first one of its id."""
        self._hear(_depart("a", heard=5000))
        self._hear(_depart("a", heard=7000))
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=6000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=7001)), "a ready")

    def test_departure_after_a_drain_of_an_earlier_process(self) -> None:
        """Guards against a departure call that is taken for that of a process which drained."""
        self._hear(_announce("a", "draining", 6, started=1000))
        self._hear(_depart("a", heard=5000))
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=4000)), "a stopped")

    def test_clock_that_goes_back_before_a_departure(self) -> None:
        """Guards against a departure that does not hold for the process that is in use."""
        self._hear(_announce("a", "ready", 4, started=9000))
        self.assertEqual(self._hear(_depart("a", heard=5000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 5, started=9000)), "a stopped")
        self.assertEqual(self._hear(_announce("a", "ready", 1, started=9001)), "a ready")

    def test_departures_are_bounded(self) -> None:
        """Guards against a caller that fills the memory with departures of made-up processes."""
        for number in range(1000):
            self._hear(_depart(f"i-{number}"))
        self.assertEqual(len(self.state.departures), MAX_DEPARTURES)
        self.assertEqual(self._hear(_announce("i-999", "ready", 1)), "i-0 stopped")


class DepartureRecallTest(unittest.TestCase):
    """What a process that starts takes over from the one before.

    Pattern: a node acknowledges that its backend server leaves, is killed and starts again, and a
    heartbeat from before the acknowledgement comes late.
    """

    def setUp(self) -> None:
        """Start a node."""
        self.state = make_node_state(make_settings(), 1, 1, 0.0)

    def _reduce(self, event: Event) -> tuple[Effect, ...]:
        transition = reduce(self.state, event)
        self.state = transition.state
        return transition.effects

    def _recall(self, announcement: BackendServerAnnounced) -> None:
        self._reduce(DepartureRecalled(2.0, announcement))

    def _state(self) -> str:
        return f"{self.state.announcement.instance_id} {self.state.admission.backend.state}"

    def _kept(self, event: BackendServerAnnounced) -> list[str]:
        effects = self._reduce(event)
        return [item.announcement.state for item in effects if isinstance(item, KeepDeparture)]

    def test_departure_is_kept_once(self) -> None:
        """Guards against a departure that only the memory of one process holds."""
        self.assertEqual(self._kept(_announce("a", "ready", 4)), [])
        self.assertEqual(self._kept(_announce("a", "draining", 6)), ["draining"])
        self.assertEqual(self._kept(_announce("a", "draining", 7)), [])
        self.assertEqual(self._kept(_announce("a", "stopped", None)), [])
        self.assertEqual(self._kept(_announce("b", "ready", 1, started=2000)), [])
        self.assertEqual(self._kept(_announce("b", "stopped", None, started=2000)), ["stopped"])

    def test_late_heartbeat_after_a_restart(self) -> None:
        """Guards against a server that has left and is used again after a restart."""
        self._recall(_announce("a", "draining", 6))
        self._reduce(_announce("a", "ready", 5))
        self.assertEqual(self._state(), "a draining")

    def test_late_heartbeat_of_a_server_that_is_gone(self) -> None:
        """Guards against a server that never drained and is used again after a restart."""
        self._recall(_announce("a", "stopped", None))
        self._reduce(_announce("a", "ready", 9))
        self.assertEqual(self._state(), "a stopped")

    def test_departure_without_start_is_recalled(self) -> None:
        """Guards against a departure that the next process undoes, as its start is not known."""
        self._reduce(_announce("a", "ready", 4, started=1000))
        self._recall(_depart("a"))
        self.assertEqual(self._state(), "a stopped")
        self._reduce(_announce("a", "ready", 5, started=1000))
        self.assertEqual(self._state(), "a stopped")
        self._reduce(_announce("a", "ready", 1, started=6000))
        self._recall(_depart("a"))
        self.assertEqual(self._state(), "a ready")

    def test_departure_of_another_process_is_recalled(self) -> None:
        """Guards against a recalled departure that is forgotten, as a successor was heard first."""
        self._reduce(_announce("b", "ready", 4, started=0))
        self._recall(_announce("a", "draining", 6))
        self._reduce(_announce("a", "ready", 5))
        self.assertEqual(self._state(), "b ready")

    def test_departure_of_a_process_not_in_use_is_kept(self) -> None:
        """Guards against an acknowledged departure that only the memory of one process holds."""
        self._reduce(_announce("b", "ready", 4))
        self.assertEqual(self._kept(_depart("a")), ["stopped"])
        self.assertEqual(self._kept(_depart("a")), [])
        # A process that started between the two calls and was not heard may have sent the second.
        self.assertEqual(self._kept(_depart("a", heard=6000)), ["stopped"])
        self.assertEqual(self._kept(_depart("a", heard=6000)), [])
        self.assertEqual(self._kept(_depart("a", heard=4000)), [])

    def test_late_draining_of_a_former_process_is_kept(self) -> None:
        """Guards against an acknowledged drain that the next process of the node undoes.

        That process may hear the late heartbeat before any of the server in use.
        """
        self._reduce(_announce("b", "ready", 1, started=2000))
        self.assertEqual(self._kept(_announce("a", "draining", 6)), ["draining"])
        self.assertEqual(self._state(), "b ready")
        self.assertEqual(self._kept(_announce("a", "draining", 7)), [])
        self.assertEqual(self._kept(_announce("b", "draining", 0, started=2000)), [])

    def test_late_heartbeat_comes_before_the_recall(self) -> None:
        """Guards against a departure that is ignored because a heartbeat was faster."""
        self._reduce(_announce("a", "ready", 5))
        self._recall(_announce("a", "draining", 6))
        self.assertEqual(self._state(), "a draining")

    def test_later_heartbeat_comes_before_the_recall(self) -> None:
        """Guards against a departure in a response that a later heartbeat outdates for good.

        Such a server goes on saying that it is ready.
        """
        self._reduce(_announce("a", "ready", 9))
        effects = self._reduce(
            DepartureRecalled(2.0, replace(_announce("a", "draining", 6), leaving=True))
        )
        self.assertEqual(self._state(), "a draining")
        names = [item.name for item in effects if isinstance(item, Report)]
        self.assertIn("departure-recalled", names)
        self._reduce(_announce("a", "ready", 10))
        self.assertEqual(self._state(), "a draining")

    def test_later_process_is_used(self) -> None:
        """Guards against a new server that gets no work because its predecessor left."""
        self._recall(_announce("a", "stopped", None))
        self._reduce(_announce("b", "ready", 1, started=2000))
        self.assertEqual(self._state(), "b ready")
        self._recall(_announce("a", "stopped", None))
        self.assertEqual(self._state(), "b ready")
        self._reduce(_announce("a", "ready", 1, started=3000))
        self.assertEqual(self._state(), "a ready")
