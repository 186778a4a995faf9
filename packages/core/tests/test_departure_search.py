"""Search for orders of messages in which a departure that was acknowledged is undone.

Backend servers follow each other on one VM, often under the same id. They crash, drain, or leave
with a call that names only their id. Heartbeats come late and twice, the node is killed, and the
store is away.
"""

from __future__ import annotations

import heapq
import itertools
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest import mock

from bamboonotch_core import reducer
from bamboonotch_core.announcements import complete_departure, is_remembered, with_departure
from bamboonotch_core.effects import KeepDeparture
from bamboonotch_core.events import BackendServerAnnounced, DepartureRecalled, Event
from bamboonotch_core.reducer import reduce
from bamboonotch_core.state import NodeState, make_node_state
from tests.routing.builders import make_settings

START_UNIX_MS = 1_700_000_000_000
HEARTBEAT_MS = 1500
LATE_MS = 4000
SERVES_ON_MS = 4000
SEEDS = 400

Process = tuple[str, int]


@dataclass
class _Server:
    """One process of a backend server."""

    instance_id: str
    started_unix_ms: int
    sequence: int = 0
    is_leaving: bool = False
    has_ended: bool = False

    @property
    def process(self) -> Process:
        return self.instance_id, self.started_unix_ms


@dataclass
class _World:
    """A VM with its node, the entry of the node in the store, and what is on its way.

    :param acknowledges_without_store: a fault to be found.
    """

    random: Random
    acknowledges_without_store: bool = False
    now_ms: int = START_UNIX_MS
    store_is_up: bool = True
    entry: tuple[BackendServerAnnounced, ...] = ()
    unwritten: list[BackendServerAnnounced] = field(default_factory=list)
    knows_entry: bool = True
    acknowledged: set[Process] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.state = self._start()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def _start(self) -> NodeState:
        return make_node_state(make_settings(), self.now_ms, 1, 0.0)

    def later(self, wait_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (self.now_ms + round(wait_ms), next(self._numbers), action))

    def run(self, span_ms: int) -> None:
        """Play everything that is due within a time."""
        end_ms = self.now_ms + span_ms
        while self._queue and self._queue[0][0] <= end_ms and not self.faults:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
            self._check()

    def reduce(self, event: Event) -> None:
        """Let the node take an event."""
        transition = reduce(self.state, event)
        self.state = transition.state
        self.unwritten += [
            item.announcement for item in transition.effects if isinstance(item, KeepDeparture)
        ]
        self._write()

    def _write(self) -> None:
        """Write the entry, after what an earlier process has kept in it was taken over."""
        if not self.store_is_up:
            return
        if not self.knows_entry:
            self.knows_entry = True
            for departure in self.entry:
                self.reduce(DepartureRecalled(self._monotonic_ms(), departure))
        for departure in self.unwritten:
            self.entry = with_departure(self.entry, departure)
        self.unwritten = []

    def _monotonic_ms(self) -> float:
        return float(self.now_ms - START_UNIX_MS)

    def announce(self, server: _Server, state: str, sequence: int | None) -> None:
        """Let the node hear a heartbeat, or a departure call, which names only the id."""
        is_call = state == "stopped"
        event = BackendServerAnnounced(
            self._monotonic_ms(),
            "" if is_call else "orders",
            "" if is_call else "10.0.0.1:80",
            0 if is_call else 6,
            state,
            server.instance_id,
            0 if is_call else server.started_unix_ms,
            sequence,
            heard_unix_ms=self.now_ms,
        )
        self.reduce(event)
        is_kept = not self.unwritten or self.acknowledges_without_store
        if state != "ready" and is_kept and is_remembered(self.state.departures, event):
            self.acknowledged.add(server.process)

    def kill(self) -> None:
        """Kill the node and start it again."""
        self.state = self._start()
        self.unwritten, self.knows_entry = [], False
        self._write()

    def turn_store(self, is_up: bool) -> None:
        """Let the store go away or come back."""
        self.store_is_up = is_up
        self._write()

    def in_use(self) -> Process | None:
        """Return the process that gets requests.

        A node that has started without the store has no configuration, and sends none.
        """
        latest = self.state.announcement
        if latest is None or self.state.admission.backend.state != "ready" or not self.knows_entry:
            return None
        return latest.instance_id, latest.started_unix_ms

    def _check(self) -> None:
        process = self.in_use()
        if process in self.acknowledged:
            self.faults.append(f"{process} is used after its departure was acknowledged")


class _Play:
    """A random sequence of backend servers in a world."""

    def __init__(self, world: _World) -> None:
        self._world = world
        self._random = world.random
        self._server: _Server | None = None
        self._boot()
        for _ in range(self._random.randrange(3)):
            world.later(self._random.uniform(0, 20_000), world.kill)
        for _ in range(self._random.randrange(3)):
            away_ms = self._random.uniform(0, 20_000)
            world.later(away_ms, lambda: world.turn_store(False))
            world.later(away_ms + self._random.uniform(500, 6000), lambda: world.turn_store(True))

    def _boot(self) -> None:
        instance_id = self._random.choice(("a", "a", "b"))
        server = self._server = _Server(instance_id, self._world.now_ms)
        self._beat(server)
        end = self._random.choice((self._crash, self._drain, self._call))
        self._world.later(self._random.uniform(200, 6000), lambda: end(server))

    def _beat(self, server: _Server) -> None:
        if server.has_ended or server.is_leaving:
            return
        server.sequence += 1
        self._send(server, "ready", server.sequence)
        self._world.later(HEARTBEAT_MS, lambda: self._beat(server))

    def _send(self, server: _Server, state: str, sequence: int) -> None:
        """Send a heartbeat, which may come late, and twice."""
        is_late = self._random.random() < 0.4
        if is_late:
            delay_ms = self._random.uniform(1, LATE_MS)
            self._world.later(delay_ms, lambda: self._world.announce(server, state, sequence))
        if not is_late or self._random.random() < 0.3:
            self._world.later(0, lambda: self._arrive_in_time(server, state, sequence))

    def _arrive_in_time(self, server: _Server, state: str, sequence: int) -> None:
        self._world.announce(server, state, sequence)
        if state != "ready" or server.is_leaving or server is not self._server:
            return
        if self._world.knows_entry and self._world.in_use() != server.process:
            self._world.faults.append(f"{server.process} is not used after its heartbeat")

    def _crash(self, server: _Server) -> None:
        server.has_ended = True
        self._world.later(self._random.uniform(10, 2000), self._boot)

    def _drain(self, server: _Server) -> None:
        server.is_leaving = True
        server.sequence += 1
        self._world.announce(server, "draining", server.sequence)
        self._world.later(self._random.uniform(0, 2000), lambda: self._call(server))

    def _call(self, server: _Server) -> None:
        """Leave with a call that is repeated until it is acknowledged, and exit."""
        server.is_leaving = True
        if server.has_ended:
            return
        self._world.announce(server, "stopped", None)
        if server.process not in self._world.acknowledged:
            self._world.later(1000, lambda: self._call(server))
        if server is self._server:
            self._server = None
            self._world.later(SERVES_ON_MS, lambda: self._exit(server))

    def _exit(self, server: _Server) -> None:
        server.has_ended = True
        self._boot()


def _search(**options: Any) -> list[str]:
    """Return the faults of all seeds, at most one of each."""
    faults = []
    for seed in range(SEEDS):
        world = _World(Random(seed), **options)
        _Play(world)
        world.run(25_000)
        faults += [f"seed {seed}: {fault}" for fault in world.faults]
    return faults


class DepartureSearchTest(unittest.TestCase):
    """The search, and the faults that it must find."""

    def test_departures_hold_and_servers_are_used(self) -> None:
        """Guards against departures that are undone, and against servers that are shut out."""
        self.assertEqual(_search(), [])

    def test_departure_of_the_process_that_was_heard(self) -> None:
        """Guards against a search that misses a departure held against one process of its id."""
        with mock.patch.object(reducer, "widen_departure", complete_departure):
            self.assertTrue(_search())

    def test_acknowledgement_without_the_store(self) -> None:
        """Guards against a search that misses a promise which ends with the process."""
        self.assertTrue(_search(acknowledges_without_store=True))

    def test_departures_that_are_not_remembered(self) -> None:
        """Guards against a search that misses late heartbeats."""
        with mock.patch.object(reducer, "has_departed", lambda departures, event: False):
            self.assertTrue(_search())
