"""A simulated fleet: reducers, a store with outages and a network with message faults.

The network loses, delays, repeats and reorders messages.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bamboonotch_core.configuration import (
    Configuration,
    digest_document,
    encode_snapshot,
    parse_configuration,
)
from bamboonotch_core.distribution import (
    DistributionState,
    MembershipView,
    Neighbour,
    make_distribution_state,
    reduce_distribution,
)
from bamboonotch_core.effects import Effect, ReadNewest, SendMessage, WatchEntry, WriteSnapshot
from bamboonotch_core.events import (
    Event,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
    StoreEntryRead,
    StoreNewestRead,
    StoreOperation,
    StoreReadFailed,
    Tick,
)
from bamboonotch_core.messages import Heartbeat, Message
from bamboonotch_core.settings import DistributionSettings, PushMode
from tests.distribution.support import entry_of, make_settings, make_version

RECONNECT_MS = 1000.0
HEARTBEAT_MS = 500.0


@dataclass
class Process:
    """One node and its present process.

    :param state: state of the reducer, or ``None`` while no process runs.
    :param highest_run: highest version that any process of the node has run.
    :param reads: store reads without an answer, oldest first.
    :param heartbeat_ms: when the node last sent heartbeats, in simulated milliseconds.
    """

    node_id: str
    region: str
    incarnation: int = 0
    state: DistributionState | None = None
    highest_run: int = 0
    reads: list[Effect] = field(default_factory=list)
    heartbeat_ms: float = 0.0


@dataclass
class Link:
    """A link between two processes, with the receiver and content of each message in flight."""

    link_id: str
    ends: tuple[str, str]
    in_flight: list[tuple[str, Message]] = field(default_factory=list)


class Fleet:
    """Drives the reducers, and checks the safety properties of a node after each of its events."""

    def __init__(self, regions: dict[str, str], push: PushMode, seed: int) -> None:
        self.random = random.Random(seed)
        self.push = push
        self.processes = {name: Process(name, region) for name, region in regions.items()}
        self.now_ms = 0.0
        self.newest = 0
        self.snapshot = 0
        self.store_up = True
        self.links: dict[str, Link] = {}
        self.closed_ms: dict[frozenset[str], float] = {}
        self.listed_live = set(regions)
        self.link_count = 0
        self.violations: list[str] = []
        for name in regions:
            self.start(name)
        self.connect_all()

    def start(self, name: str) -> None:
        """Start a process of a node without any state; the caller opens its links."""
        process = self.processes[name]
        process.incarnation += 1
        # A low limit of log entries makes nodes send snapshots in short runs too.
        distribution = DistributionSettings(push=self.push, max_delta_versions=2, witness_count=3)
        settings = make_settings(name, process.region, distribution)
        process.state = make_distribution_state(settings, process.incarnation)
        process.reads = []
        self.listed_live.add(name)
        for key in list(self.closed_ms):
            if name in key:
                del self.closed_ms[key]

    def kill(self, name: str) -> None:
        """End a process and close its links, which is how its peers notice."""
        self.processes[name].state = None
        for link in list(self.links.values()):
            if name in link.ends:
                self.close(link)

    def detect_deaths(self) -> None:
        """Let membership list the ended processes as dead."""
        self.listed_live = {
            name for name, process in self.processes.items() if process.state is not None
        }

    def close(self, link: Link) -> None:
        """Close a link and lose its messages in flight."""
        del self.links[link.link_id]
        self.closed_ms[frozenset(link.ends)] = self.now_ms
        for name in link.ends:
            self.feed(name, LinkClosed(self.now_ms, link.link_id, "test"))

    def connect_all(self, after_ms: float = 0.0) -> None:
        """Open all missing links between running processes, except recently closed ones.

        :param after_ms: shortest time since a link was closed, in milliseconds.
        """
        names = sorted(
            name for name, process in self.processes.items() if process.state is not None
        )
        linked = {frozenset(link.ends) for link in self.links.values()}
        for index, first in enumerate(names):
            for second in names[index + 1 :]:
                pair = frozenset((first, second))
                closed_ms = self.closed_ms.get(pair, float("-inf"))
                if pair not in linked and self.now_ms - closed_ms >= after_ms:
                    self.open(first, second)

    def open(self, first: str, second: str) -> None:
        """Open a link between two processes."""
        self.link_count += 1
        link = Link(f"l{self.link_count}", (first, second))
        self.links[link.link_id] = link
        for name, other in ((first, second), (second, first)):
            peer = self.processes[other]
            identity = PeerIdentity(other, peer.incarnation, peer.region, f"{peer.region}-1", "a")
            self.feed(name, LinkOpened(self.now_ms, link.link_id, identity, name == first))

    def view(self, name: str) -> MembershipView:
        """Return a node's view of the membership."""
        neighbours = []
        for link in self.links.values():
            if name in link.ends:
                other = link.ends[1] if link.ends[0] == name else link.ends[0]
                peer = self.processes[other]
                neighbours.append(
                    Neighbour(
                        link.link_id, other, peer.incarnation, peer.region, f"{peer.region}-1"
                    )
                )
        readers = sorted(n for n, p in self.processes.items() if p.region == "east")[:2]
        return MembershipView(
            neighbours=tuple(neighbours),
            live_node_ids=frozenset(self.listed_live),
            is_store_reader=name in readers,
            is_lowest_slot=name == readers[0],
        )

    def feed(self, name: str, event: Event) -> None:
        """Reduce one event at a node and check the node."""
        process = self.processes[name]
        if process.state is None:
            return
        before = process.state
        transition = reduce_distribution(before, event, self.view(name))
        process.state = transition.state
        for effect in transition.effects:
            self.carry_out(process, effect)
        self.check(process, before, transition.state)

    def carry_out(self, process: Process, effect: Effect) -> None:
        """Carry out one effect."""
        if isinstance(effect, SendMessage) and effect.link_id in self.links:
            link = self.links[effect.link_id]
            other = link.ends[1] if link.ends[0] == process.node_id else link.ends[0]
            link.in_flight.append((other, effect.message))
        elif isinstance(effect, ReadNewest | WatchEntry):
            process.reads.append(effect)
        elif isinstance(effect, WriteSnapshot) and self.store_up:
            self.snapshot = max(self.snapshot, effect.version)

    def check(self, process: Process, before: DistributionState, after: DistributionState) -> None:
        """Check that a node keeps serving and runs complete versions, never an older one."""
        name = process.node_id
        if before.serving and not after.serving:
            self.violations.append(f"{name} stopped serving")
        if not after.serving:
            return
        if after.running_version < process.highest_run:
            self.violations.append(
                f"{name} runs version {after.running_version} after {process.highest_run}"
            )
        process.highest_run = max(process.highest_run, after.running_version)
        if after.running_configuration != expected_configuration(after.running_version):
            self.violations.append(
                f"{name} runs version {after.running_version} with a wrong configuration"
            )

    def accept(self) -> None:
        """Let the store accept the next version, up to version 12."""
        if self.store_up and self.newest < 12:
            self.newest += 1

    def answer_read(self, process: Process, *, fail: bool) -> None:
        """Answer the oldest read of a process from the present state of the store."""
        if not process.reads:
            return
        effect = process.reads.pop(0)
        self.feed(process.node_id, self.answer(effect, fail=fail or not self.store_up))

    def answer(self, effect: Effect, *, fail: bool) -> Event:
        """Return the event that answers a read."""
        if isinstance(effect, ReadNewest):
            if fail:
                return StoreReadFailed(self.now_ms, StoreOperation("read-newest"), "down")
            return self.newest_answer()
        assert isinstance(effect, WatchEntry)
        if fail:
            operation = StoreOperation("watch-entry", effect.version)
            return StoreReadFailed(self.now_ms, operation, "down")
        data = entry_of(effect.version) if effect.version <= self.newest else None
        return StoreEntryRead(self.now_ms, effect.version, data)

    def newest_answer(self) -> StoreNewestRead:
        """Return the answer to a read of the newest version."""
        digest, data = "", b""
        if self.snapshot:
            document = make_version(self.snapshot)[1]
            digest, data = digest_document(document), encode_snapshot(document)
        entries = tuple(entry_of(number) for number in range(self.snapshot + 1, self.newest + 1))
        return StoreNewestRead(self.now_ms, self.snapshot, digest, data, entries)

    def deliver(self, *, lose: bool = False, repeat: bool = False, reorder: bool = False) -> None:
        """Deliver one message in flight, in the order of sending on its link unless reordered.

        :param lose: whether the message is dropped instead.
        :param repeat: whether the message stays in flight too.
        :param reorder: whether any message of the link may be taken.
        """
        links = [link for link in self.links.values() if link.in_flight]
        if not links:
            return
        link = self.random.choice(links)
        index = self.random.randrange(len(link.in_flight)) if reorder else 0
        receiver, message = link.in_flight[index]
        if not repeat:
            del link.in_flight[index]
        if not lose:
            self.feed(receiver, MessageReceived(self.now_ms, link.link_id, message))

    def tick(self, after_ms: float) -> None:
        """Advance the clock: reopen links, feed ticks and send heartbeats that are due."""
        self.now_ms += after_ms
        self.connect_all(RECONNECT_MS)
        for process in self.processes.values():
            if process.state is None:
                continue
            self.feed(process.node_id, Tick(self.now_ms))
            if self.now_ms - process.heartbeat_ms >= HEARTBEAT_MS:
                process.heartbeat_ms = self.now_ms
                self.send_heartbeats(process)

    def send_heartbeats(self, process: Process) -> None:
        """Send a heartbeat over every link of a node."""
        state = process.state
        assert state is not None
        heartbeat = Heartbeat(state.held_version, state.running_version, 0, state.serving)
        for link in self.links.values():
            if process.node_id in link.ends:
                other = link.ends[1] if link.ends[0] == process.node_id else link.ends[0]
                link.in_flight.append((other, heartbeat))

    def heal(self) -> None:
        """Restore the store, all processes and links, and run until the fleet has converged."""
        self.store_up = True
        for process in self.processes.values():
            if process.state is None:
                self.start(process.node_id)
        self.detect_deaths()
        self.connect_all()
        for _ in range(300):
            self.settle(1)
            if self.has_converged():
                return

    def settle(self, rounds: int) -> None:
        """Advance the clock without faults: answer every read and deliver every message.

        :param rounds: number of steps of 100 ms.
        """
        for _ in range(rounds):
            self.tick(100.0)
            for process in self.processes.values():
                while process.reads and not self.is_waiting(process.reads[0]):
                    self.answer_read(process, fail=False)
            while any(link.in_flight for link in self.links.values()):
                self.deliver()

    def is_waiting(self, effect: Effect) -> bool:
        """Return whether a read is a watch whose version the store does not have yet."""
        waits = isinstance(effect, WatchEntry) and effect.wait_ms > 0
        return self.store_up and waits and effect.version > self.newest

    def has_converged(self) -> bool:
        """Return whether every node serves the newest version."""
        states = [process.state for process in self.processes.values()]
        return all(
            state is not None and state.serving and state.running_version == self.newest
            for state in states
        )


def expected_configuration(version: int) -> Configuration:
    """Return the configuration that every node must run at a version."""
    return parse_configuration(make_version(version)[1])
