"""A simulated fleet for the tests of membership: reducers, a clock and a network."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

from bamboonotch_core import effects, events
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership import (
    LocalVersions,
    MembershipState,
    live_members,
    make_membership_state,
    reduce_membership,
)
from bamboonotch_core.messages import Message
from bamboonotch_core.settings import IdentitySettings, NodeSettings, StoreSettings

TICK_MS = 100.0
LOCAL_MS = 2.0
INTER_REGION_MS = 10.0
CONNECT_TIMEOUT_MS = 3000.0
LEASE_MS = 10_000.0
SLOT_RETRY_MS = 1000.0
SLOTS = 3
SERVING = LocalVersions(3, 3, True)


def make_settings(
    node_id: str, region: str = "east", data_centre: str = "east-1", seeds: tuple[str, ...] = ()
) -> NodeSettings:
    """Return the settings of one node; its addresses follow from its id."""
    addresses = (address_of(node_id), f"{node_id}:81", f"{node_id}:82")
    identity = IdentitySettings(node_id, "himal-thali", region, data_centre, *addresses, seeds)
    return NodeSettings(identity, StoreSettings("store:8500", "east"))


def address_of(node_id: str) -> str:
    """Return the peer address of a test node."""
    return f"{node_id}:80"


def make_record(node_id: str, **changes: object) -> MemberRecord:
    """Return a valid record of a ready member."""
    addresses = (address_of(node_id), f"{node_id}:81", f"{node_id}:82")
    place = ("east", "east-1")
    record = MemberRecord(node_id, 1, 1, *place, *addresses, "menu", 6, MemberState.READY, -1)
    return replace(record, **changes)  # type: ignore[arg-type]


def make_peer(node_id: str, region: str = "east", incarnation: int = 1) -> events.PeerIdentity:
    """Return the identity of a test node."""
    return events.PeerIdentity(node_id, incarnation, region, f"{region}-1", address_of(node_id))


class SingleNode:
    """One reducer to which the tests pass events directly."""

    def __init__(self, settings: NodeSettings, versions: LocalVersions = SERVING) -> None:
        self.versions = versions
        self.now_ms = 0.0
        self.state = make_membership_state(settings, 1, 7, 0.0)
        self.out: tuple[effects.Effect, ...] = ()

    def handle(self, event_type: type[events.Event], *fields: object) -> tuple[effects.Effect, ...]:
        """Reduce one event at the current time and return its effects."""
        transition = reduce_membership(
            self.state, event_type(self.now_ms, *fields), self.versions  # type: ignore[call-arg]
        )
        self.state = transition.state
        self.out = transition.effects
        return self.out

    def receive(self, link_id: str, message: Message) -> tuple[effects.Effect, ...]:
        """Reduce one received message and return its effects."""
        return self.handle(events.MessageReceived, link_id, message)

    def advance(self, duration_ms: float) -> list[effects.Effect]:
        """Advance the clock by ticks and return all effects."""
        collected: list[effects.Effect] = []
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            collected.extend(self.handle(events.Tick))
        return collected

    def link(self, node_id: str, region: str = "east", outbound: bool = True) -> str:
        """Open a link to a peer and return the id of the link."""
        link_id = f"link-{node_id}"
        self.handle(events.LinkOpened, link_id, make_peer(node_id, region), outbound)
        return link_id


def messages_of(
    out: tuple[effects.Effect, ...] | list[effects.Effect], kind: type[Message]
) -> list[tuple[str, Message]]:
    """Return the link id and the message for each sent message of a type."""
    return [
        (effect.link_id, effect.message)
        for effect in out
        if isinstance(effect, effects.SendMessage) and isinstance(effect.message, kind)
    ]


def reports_of(out: tuple[effects.Effect, ...] | list[effects.Effect], name: str) -> list[dict]:
    """Return the fields of each report with a name."""
    return [
        dict(effect.fields)
        for effect in out
        if isinstance(effect, effects.Report) and effect.name == name
    ]


@dataclass
class _Process:
    """One node's process."""

    state: MembershipState
    alive: bool = True
    paused: bool = False
    generation: int = 0
    backlog: list[tuple[type[events.Event], tuple[object, ...]]] = field(default_factory=list)


class Fleet:
    """Nodes, the network between them, and the relay slots in the store.

    :param places: region and data centre of each node.
    :param seed: seed of latencies, losses and the nodes.
    """

    def __init__(self, places: dict[str, tuple[str, str]], seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.places = places
        self.now_ms = 0.0
        self.store_up = True
        self.cuts: set[tuple[str, str]] = set()
        self.losses: dict[tuple[str, str], float] = {}
        self.jitter_ms = 0.0
        self.processes: dict[str, _Process] = {}
        self.reports: list[tuple[float, str, str, dict[str, object]]] = []
        self._links: dict[str, tuple[str, str]] = {}
        self._slots: dict[tuple[str, int], str] = {}
        self._queue: list[tuple[float, int, str, int, type[events.Event], tuple[object, ...]]] = []
        self._count = 0

    def start(self, node_id: str) -> None:
        """Start a node's process, or restart it with a higher incarnation."""
        old = self.processes.get(node_id)
        generation = 1 if old is None else old.generation + 1
        settings = self.make_settings(node_id)
        state = make_membership_state(
            settings, 1000 * generation, self.random.getrandbits(64), self.now_ms
        )
        self.processes[node_id] = _Process(state, generation=generation)
        self._post(self.random.uniform(1.0, TICK_MS), node_id, events.Tick)

    def make_settings(self, node_id: str) -> NodeSettings:
        """Return the settings that a node starts with."""
        return make_settings(node_id, *self.places[node_id])

    def start_all(self) -> None:
        """Start every node."""
        for node_id in self.places:
            self.start(node_id)

    def kill(self, node_id: str, silently: bool = False) -> None:
        """End a node's process.

        Its peers see closed streams, unless ``silently`` is set as if the VM had died.
        """
        process = self.processes[node_id]
        process.alive = False
        for link_id in [name for name, ends in self._links.items() if node_id in ends]:
            first, second = self._links[link_id]
            other = second if first == node_id else first
            if not silently:
                del self._links[link_id]
                self._deliver(node_id, other, events.LinkClosed, link_id, "reset")
        for slot in [name for name, holder in self._slots.items() if holder == node_id]:
            self._post(LEASE_MS, node_id, _FreeSlot, slot)

    def pause(self, node_id: str) -> None:
        """Suspend a process; its events wait until it is resumed."""
        self.processes[node_id].paused = True

    def resume(self, node_id: str) -> None:
        """Resume a process; a tick comes before the events that arrived in the meantime."""
        process = self.processes[node_id]
        process.paused = False
        backlog, process.backlog = process.backlog, []
        self._post(0.0, node_id, events.Tick)
        for event_type, fields in backlog:
            if event_type is not events.Tick:
                self._post(1.0, node_id, event_type, *fields)

    def cut(self, first: str, second: str, both: bool = True) -> None:
        """Lose all messages from one node to another, and back if ``both`` is set."""
        self.cuts.add((first, second))
        if both:
            self.cuts.add((second, first))

    def cut_groups(self, first: list[str], second: list[str]) -> None:
        """Lose all messages between two groups of nodes."""
        for one in first:
            for other in second:
                self.cut(one, other)

    def heal(self) -> None:
        """End all cuts, losses and delays."""
        self.cuts.clear()
        self.losses.clear()
        self.jitter_ms = 0.0

    def run(self, duration_ms: float) -> None:
        """Advance the clock and handle the events that are due."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, node_id, generation, event_type, fields = heapq.heappop(self._queue)
            if event_type is _FreeSlot:
                self._slots.pop(fields[0], None)  # type: ignore[call-overload]
            elif event_type is _TrySlot:
                process = self.processes[node_id]
                if process.alive and process.generation == generation:
                    self._compete_for_slot(node_id)
            else:
                self._handle_event(node_id, generation, event_type, fields)
        self.now_ms = end_ms

    def alive(self) -> list[str]:
        """Return the nodes whose processes run."""
        return [node_id for node_id, process in self.processes.items() if process.alive]

    def state(self, node_id: str) -> MembershipState:
        """Return a node's state."""
        return self.processes[node_id].state

    def seen(self, node_id: str) -> list[str]:
        """Return the node ids of the members that are live in a node's directory."""
        return [record.node_id for record in live_members(self.state(node_id))]

    def maps_equal(self) -> bool:
        """Return whether all running nodes hold the same live records, only those of running nodes.

        A region without any running node is left out, because it looks like an unreachable one.
        """
        alive = self.alive()
        regions = {self.places[node_id][0] for node_id in alive}
        maps = {
            tuple(
                record for record in live_members(self.state(node_id)) if record.region in regions
            )
            for node_id in alive
        }
        return len(maps) == 1 and [record.node_id for record in maps.pop()] == sorted(alive)

    def is_connected(self) -> bool:
        """Return whether the open links connect all running nodes."""
        alive = set(self.alive())
        reached = {min(alive)}
        waiting = list(reached)
        while waiting:
            node_id = waiting.pop()
            for peer in self.state(node_id).overlay.by_peer:
                mutual = peer in alive and node_id in self.state(peer).overlay.by_peer
                if mutual and peer not in reached:
                    reached.add(peer)
                    waiting.append(peer)
        return reached == alive

    def reported(self, name: str, since_ms: float = 0.0, **wanted: object) -> list[str]:
        """Return the nodes that reported an event with some field values."""
        return [
            node_id
            for time_ms, node_id, reported, fields in self.reports
            if reported == name and time_ms >= since_ms and wanted.items() <= fields.items()
        ]

    def _post(
        self, delay_ms: float, node_id: str, event_type: type[events.Event], *fields: object
    ) -> None:
        self._count += 1
        generation = self.processes[node_id].generation
        entry = (self.now_ms + delay_ms, self._count, node_id, generation, event_type, fields)
        heapq.heappush(self._queue, entry)

    def _deliver(
        self, source: str, target: str, event_type: type[events.Event], *fields: object
    ) -> bool:
        """Post an event over the network and return whether it was delivered."""
        path = (source, target)
        if path in self.cuts or self.random.random() < self.losses.get(path, 0.0):
            return False
        self._post(self._latency_ms(source, target), target, event_type, *fields)
        return True

    def _latency_ms(self, source: str, target: str) -> float:
        same = self.places[source][0] == self.places[target][0]
        base_ms = LOCAL_MS if same else INTER_REGION_MS
        return base_ms + self.random.uniform(0.0, self.jitter_ms)

    def _handle_event(
        self,
        node_id: str,
        generation: int,
        event_type: type[events.Event],
        fields: tuple[object, ...],
    ) -> None:
        process = self.processes[node_id]
        if not process.alive or process.generation != generation:
            return
        if process.paused:
            process.backlog.append((event_type, fields))
            return
        event = event_type(self.now_ms, *fields)  # type: ignore[call-arg]
        transition = reduce_membership(process.state, event, SERVING)
        process.state = transition.state
        if event_type is events.Tick:
            self._post(TICK_MS, node_id, events.Tick)
        for effect in transition.effects:
            self._apply_effect(node_id, effect)

    def _apply_effect(self, node_id: str, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Report):
            self.reports.append((self.now_ms, node_id, effect.name, dict(effect.fields)))
        elif isinstance(effect, effects.SendMessage):
            ends = self._links.get(effect.link_id)
            if ends is not None:
                other = ends[1] if ends[0] == node_id else ends[0]
                self._deliver(
                    node_id, other, events.MessageReceived, effect.link_id, effect.message
                )
        elif isinstance(effect, effects.OpenLink):
            self._open(node_id, effect.address)
        elif isinstance(effect, effects.CloseLink):
            self._close(node_id, effect.link_id, effect.reason)
        elif isinstance(effect, effects.CompeteForSlot):
            self._compete_for_slot(node_id)
        elif isinstance(effect, effects.ReadSlots):
            self._read_slots(node_id)

    def _open(self, node_id: str, address: str) -> None:
        target = address.removesuffix(":80")
        process = self.processes.get(target)
        broken = (node_id, target) in self.cuts or (target, node_id) in self.cuts
        lossy = self.random.random() < self.losses.get((node_id, target), 0.0)
        if broken or lossy or (process is not None and process.paused):
            self._post(CONNECT_TIMEOUT_MS, node_id, events.LinkFailed, address, "timeout")
            return
        if process is None or not process.alive:
            self._post(LOCAL_MS, node_id, events.LinkFailed, address, "refused")
            return
        link_id = f"{node_id}>{target}#{self._count}"
        self._links[link_id] = (node_id, target)
        delay_ms = 2 * self._latency_ms(node_id, target)
        self._post(delay_ms, node_id, events.LinkOpened, link_id, self._identity(target), True)
        self._post(delay_ms, target, events.LinkOpened, link_id, self._identity(node_id), False)

    def _identity(self, node_id: str) -> events.PeerIdentity:
        own = self.state(node_id).own.record
        return events.PeerIdentity(
            node_id, own.incarnation, own.region, own.data_centre, own.peer_address
        )

    def _close(self, node_id: str, link_id: str, reason: str) -> None:
        ends = self._links.pop(link_id, None)
        if ends is None:
            return
        other = ends[1] if ends[0] == node_id else ends[0]
        self._post(0.0, node_id, events.LinkClosed, link_id, reason)
        self._deliver(node_id, other, events.LinkClosed, link_id, reason)

    def _compete_for_slot(self, node_id: str) -> None:
        data_centre = self.places[node_id][1]
        for slot in range(SLOTS):
            if self.store_up and (data_centre, slot) not in self._slots:
                self._slots[data_centre, slot] = node_id
                self._post(5.0, node_id, events.SlotObtained, slot)
                return
        self._post(SLOT_RETRY_MS, node_id, _TrySlot)

    def _read_slots(self, node_id: str) -> None:
        if not self.store_up:
            operation = events.StoreOperation("read-slots")
            self._post(5.0, node_id, events.StoreReadFailed, operation, "down")
            return
        holders = tuple(
            events.SlotHolder(data_centre, slot, address_of(holder))
            for (data_centre, slot), holder in sorted(self._slots.items())
        )
        self._post(5.0, node_id, events.SlotsRead, holders)


class _FreeSlot(events.Event):
    """Expiry of a lease in the store, which the fleet handles itself."""


class _TrySlot(events.Event):
    """Another attempt of a node to get a slot, which the fleet handles itself."""


def make_places(per_data_centre: dict[str, tuple[str, int]]) -> dict[str, tuple[str, str]]:
    """Return the places of nodes, given the region and number of nodes of each data centre."""
    return {
        f"{data_centre}-{number}": (region, data_centre)
        for data_centre, (region, count) in per_data_centre.items()
        for number in range(count)
    }
