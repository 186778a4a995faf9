"""Model of start-up and witnesses, driving the real reducer of one node.

One node takes versions from the store and from peers, dies and returns with nothing. Its witnesses
run the real storage functions. Messages stay in flight once they are sent, so each may be lost,
delayed, repeated or delivered out of order. A store read takes its answer at one moment and
delivers it at another, as for a paused relay reader. Every event comes long after the one before,
so that every retry is due: times are erased from the state after each event.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import replace
from typing import Any, NamedTuple

from immutables import Map
from minicheck import Protocol

from bamboonotch_core.distribution import (
    DistributionState,
    MembershipView,
    Neighbour,
    _recovery,
    make_distribution_state,
    reduce_distribution,
)
from bamboonotch_core.distribution._state import Source
from bamboonotch_core.distribution._witness_storage import (
    WitnessStorage,
    find_record,
)
from bamboonotch_core.effects import SendMessage
from bamboonotch_core.events import (
    Event,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
    StoreEntryRead,
    StoreOperation,
    StoreReadFailed,
    Tick,
)
from bamboonotch_core.messages import (
    Message,
    VersionPush,
    WitnessAck,
    WitnessRecord,
    WitnessReply,
    WitnessWrite,
)
from bamboonotch_core.settings import DistributionSettings
from tests.distribution.support import entry_of, make_settings, newest_read
from tests.model.support import Interner, State, make_protocol

NOW_MS = 1e6
NODE = "n"
Flight = frozenset[tuple[str, int, int]]
Reduction = tuple[int, bool, int, Flight]


class Bounds(NamedTuple):
    """Size of a model.

    :param witnesses: nodes that may be witnesses.
    :param witness_count: size of a full witness set.
    :param versions: versions accepted at most.
    :param lives: processes of the node.
    :param witness_restarts: deaths of witnesses; each may return with nothing.
    :param link_changes: links opened or closed, besides those of a process that starts.
    :param mortal: witnesses that may die; where two are alike, one stands for both.
    :param restart_links: sets of witnesses that a new process of the node may be linked to.
    """

    witnesses: int = 2
    witness_count: int = 2
    versions: int = 2
    lives: int = 2
    witness_restarts: int = 1
    link_changes: int = 1
    restart_links: tuple[tuple[int, ...], ...] = ((), (0,), (1,), (0, 1))
    mortal: tuple[int, ...] = (0, 1)


class World(NamedTuple):
    """State of the model; numbers stand for interned values."""

    node: int
    life: int
    highest: int
    newest: int
    born: int
    links: frozenset[int]
    lives: tuple[int, ...]
    storages: tuple[int, ...]
    flight: Flight
    witness_restarts: int
    link_changes: int


def erase_times(state: DistributionState) -> DistributionState:
    """Return the state without times and without what does not bear on running a version."""
    links = state.witness_links
    sent = Map({k: replace(v, sent_ms=0.0) for k, v in links.sent.items()})
    links = replace(
        links,
        sent=sent,
        unlinked_ms=Map(dict.fromkeys(links.unlinked_ms, 0.0)),
        dialled_ms=Map(),
    )
    store = replace(
        state.store,
        pending_since_ms=NOW_MS,
        not_before_ms=0.0,
        failures=min(state.store.failures, 1),
    )
    recovery = replace(state.recovery, asked=Map(dict.fromkeys(state.recovery.asked, 0.0)))
    if state.proven_version is not None:
        store = replace(store, failures=0)
        recovery = replace(recovery, asked=Map(), replies=Map())
        state = replace(state, store_reachable=True)
    if state.serving and state.proven_version is not None:
        state = replace(state, proven_version=0, witnessed_version=0)
    candidate = state.candidate
    if candidate is not None:
        candidate = replace(
            candidate, since_ms=0.0, held_ms=0.0, reported=False, source=Source("x")
        )
    return replace(
        state,
        seed=0,
        started_ms=0.0,
        held_ms=0.0,
        held_source=Source("x"),
        not_serving_reason="",
        entries=Map(),
        peers=Map(),
        wanted=None,
        refused=(),
        store=store,
        recovery=recovery,
        witness_links=links,
        candidate=candidate,
    )


def key_of(state: DistributionState) -> tuple[Any, ...]:
    """Return what tells two states apart; the documents follow from the version numbers."""
    return (
        state.held_version,
        state.running_version,
        len(state.running_configuration.services),
        state.serving,
        state.store_reachable,
        state.proven_version,
        state.witnessed_version,
        state.register,
        state.store,
        state.recovery,
        state.witness_links,
        state.candidate and state.candidate.version,
    )


class WitnessModel:
    """Transitions of the model.

    :param gossip: whether witnesses have heard of a life before the next one begins.
    :param true_deaths: whether membership lists only ended processes as dead.
    """

    def __init__(self, bounds: Bounds, *, gossip: bool = True, true_deaths: bool = True) -> None:
        self.bounds = bounds
        self.gossip = gossip
        self.true_deaths = true_deaths
        self.pushed_ahead = 0
        self.nodes = Interner()
        self.states: dict[int, DistributionState] = {}
        self.storages = Interner()
        self.records = Interner()
        self.reductions: dict[Hashable, Reduction] = {}
        self.settings = make_settings(
            NODE, distribution=DistributionSettings(witness_count=bounds.witness_count)
        )

    def initial(self) -> World:
        """Return the world before the first event."""
        count = self.bounds.witnesses
        empty = self.storages.number(WitnessStorage())
        return World(
            node=self.keep(self.newborn(1)),
            life=1,
            highest=-1,
            newest=1,
            born=1,
            links=frozenset(range(self.bounds.witness_count)),
            lives=(1,) * count,
            storages=(empty,) * count,
            flight=frozenset(),
            witness_restarts=0,
            link_changes=0,
        )

    def newborn(self, life: int) -> DistributionState:
        """Return the state of a new process."""
        state = make_distribution_state(self.settings, life * 10)
        return replace(state, seed=0, started_ms=0.0)

    def keep(self, state: DistributionState) -> int:
        """Number a state of the node."""
        number = self.nodes.number(key_of(state))
        self.states.setdefault(number, state)
        return number

    def view(self, world: World) -> MembershipView:
        """Return the node's view."""
        neighbours = tuple(
            Neighbour(f"l{w}", f"w{w}", world.lives[w], "east", "east-1")
            for w in sorted(world.links)
        )
        alive = [w for w in range(self.bounds.witnesses) if world.lives[w] > 0]
        listed = alive if self.true_deaths else world.links
        live = frozenset(f"w{w}" for w in listed)
        return MembershipView(neighbours, live, is_store_reader=True)

    def feed(self, world: World, event: Event, name: Hashable) -> World:
        """Let the node reduce an event and put what it sends in flight.

        :param world: the world.
        :param event: the event.
        :param name: names the event among those that this state of the node may get.
        """
        key = (world.node, name, world.links, world.lives)
        known = self.reductions.get(key)
        if known is None:
            known = self.reductions[key] = self.reduce(world, event)
        number, serving, running, sent = known
        flight = world.flight.union(sent)
        if self.states[number].proven_version is not None:
            flight = frozenset(item for item in flight if item[0] == "write")
        highest = max(world.highest, running) if serving else world.highest
        return world._replace(node=number, flight=flight, highest=highest)

    def reduce(self, world: World, event: Event) -> Reduction:
        """Call the reducer and translate its effects."""
        transition = reduce_distribution(self.states[world.node], event, self.view(world))
        sent = frozenset(
            ("write", int(effect.link_id[1:]), self.records.number(effect.message.record))
            for effect in transition.effects
            if isinstance(effect, SendMessage) and isinstance(effect.message, WitnessWrite)
        )
        state = transition.state
        return self.keep(erase_times(state)), state.serving, state.running_version, sent

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Return every step from a state of the model."""
        world = World(*state)
        for label, following in self.steps(world):
            if following != world:
                yield label, tuple(following)

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Return every step from a world."""
        yield "tick", self.feed(world, Tick(NOW_MS), "tick")
        yield from self.store_steps(world)
        yield from self.message_steps(world)
        yield from self.link_steps(world)
        yield from self.process_steps(world)

    def store_steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Accept versions, answer reads or let them fail."""
        if world.newest < self.bounds.versions:
            yield "accept", world._replace(newest=world.newest + 1)
        pending = self.states[world.node].store.pending
        if pending is None:
            return
        yield "read fails", self.feed(world, StoreReadFailed(NOW_MS, pending, "down"), "fail")
        for seen in range(world.born, world.newest + 1):
            event = self.read_event(pending, seen)
            yield f"read sees {seen}", self.feed(world, event, seen)

    def read_event(self, pending: StoreOperation, newest: int) -> Event:
        """Return the answer to a read that saw the given newest version."""
        if pending.name == "read-newest":
            return newest_read(NOW_MS, newest)
        data = entry_of(pending.version) if pending.version <= newest else None
        return StoreEntryRead(NOW_MS, pending.version, data)

    def message_steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Deliver messages; a write or reply in flight stays there and may come again."""
        node = self.states[world.node]
        if world.links and node.held_version < world.newest + self.pushed_ahead:
            version = node.held_version + 1
            push = VersionPush(version, entry_of(version))
            yield "push", self.receive(world, min(world.links), push, "push")
        for kind, w, number in sorted(world.flight):
            value = self.records.values[number]
            if kind == "write":
                yield f"write at w{w}", self.write(world, w, value)
            elif w in world.links and node.proven_version is None:
                yield f"reply of w{w}", self.receive(world, w, value, number)
        for w in sorted(world.links):
            record = find_record(self.storages.values[world.storages[w]], NODE)
            number = self.records.number(WitnessReply(NODE, record, 0))
            if record is not None and f"w{w}" in node.witness_links.sent:
                ack = WitnessAck(record)
                yield f"ack of w{w}", self.receive(world, w, ack, ("ack", number))
            if f"w{w}" in node.recovery.asked:
                flight = world.flight | {("reply", w, number)}
                yield f"query at w{w}", world._replace(flight=flight)

    def receive(self, world: World, w: int, message: Message, name: Hashable) -> World:
        """Let the node receive a message of a witness."""
        return self.feed(world, MessageReceived(NOW_MS, f"l{w}", message), (w, name))

    def write(self, world: World, w: int, record: WitnessRecord) -> World:
        """Let a witness take a write; its answer is what it then holds, see ``message_steps``."""
        storage, _ = _recovery.write_record(self.storages.values[world.storages[w]], record)
        return world._replace(storages=self.with_storage(world, w, storage))

    def with_storage(self, world: World, w: int, storage: WitnessStorage) -> tuple[int, ...]:
        """Return the storages with one replaced; the order of writing does not matter here."""
        stored = storage.records.get(NODE)
        if stored is not None:
            storage = replace(storage, records=Map({NODE: replace(stored, written=0)}), writes=0)
        storages = list(world.storages)
        storages[w] = self.storages.number(storage)
        return tuple(storages)

    def see(self, world: World, w: int, life: int) -> World:
        """Let a witness hear of a life of the node."""
        storage = _recovery.see_incarnation(
            self.storages.values[world.storages[w]], NODE, life * 10
        )
        return world._replace(storages=self.with_storage(world, w, storage))

    def link_steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Open and close links."""
        if world.link_changes == self.bounds.link_changes:
            return
        for w in range(self.bounds.witnesses):
            if w in world.links:
                closed = self.forget_flight(world, w, ("reply",))
                closed = closed._replace(
                    links=world.links - {w}, link_changes=world.link_changes + 1
                )
                yield f"close w{w}", self.feed(closed, LinkClosed(NOW_MS, f"l{w}", ""), "close")
            elif world.lives[w] > 0:
                opened = world._replace(link_changes=world.link_changes + 1)
                yield f"open w{w}", self.open(opened, w)

    def open(self, world: World, w: int) -> World:
        """Open a link; the witness hears the node's incarnation."""
        world = self.see(world._replace(links=world.links | {w}), w, world.life)
        peer = PeerIdentity(f"w{w}", world.lives[w], "east", "east-1", "a")
        return self.feed(world, LinkOpened(NOW_MS, f"l{w}", peer, True), ("open", w))

    def forget_flight(self, world: World, w: int, kinds: tuple[str, ...]) -> World:
        """Lose messages between the node and a witness."""
        flight = frozenset(m for m in world.flight if m[1] != w or m[0] not in kinds)
        return world._replace(flight=flight)

    def process_steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Restart the node; end a witness or let it return."""
        if world.life < self.bounds.lives:
            for links in self.bounds.restart_links:
                if all(world.lives[w] > 0 for w in links):
                    yield f"restart with {list(links)}", self.restart(world, links)
        for w in range(self.bounds.witnesses):
            if world.lives[w] < 0:
                yield f"w{w} returns", self.open(self.with_life(world, w, 1 - world.lives[w]), w)
            elif w in self.bounds.mortal and (
                world.witness_restarts < self.bounds.witness_restarts
            ):
                yield f"w{w} dies", self.end_witness(world, w)

    def with_life(self, world: World, w: int, life: int) -> World:
        """Set a witness's life; a negative one has ended."""
        lives = list(world.lives)
        lives[w] = life
        return world._replace(lives=tuple(lives))

    def end_witness(self, world: World, w: int) -> World:
        """End a witness's process; membership lists it as dead."""
        was_linked = w in world.links
        world = self.forget_flight(world, w, ("write", "reply"))
        world = self.with_life(world, w, -world.lives[w])._replace(
            links=world.links - {w},
            storages=self.with_storage(world, w, WitnessStorage()),
            witness_restarts=world.witness_restarts + 1,
        )
        if was_linked:
            world = self.feed(world, LinkClosed(NOW_MS, f"l{w}", ""), "close")
        return world

    def restart(self, world: World, links: tuple[int, ...]) -> World:
        """End the node's process and start one that knows nothing.

        What the old process wrote may still reach a witness.
        """
        flight = frozenset(m for m in world.flight if m[0] == "write")
        if self.gossip:
            for w in range(self.bounds.witnesses):
                world = self.see(world, w, world.life)
        world = world._replace(
            node=self.keep(self.newborn(world.life + 1)),
            life=world.life + 1,
            born=world.newest,
            links=frozenset(),
            flight=flight,
        )
        for w in links:
            world = self.open(world, w)
        return world

    def invariants(self) -> dict[str, Callable[[Any], bool]]:
        """Return the invariants by name."""

        def node(d: Any) -> DistributionState:
            return self.states[d["node"]]

        return {
            "P1-never-backwards": lambda d: not node(d).serving
            or node(d).running_version >= d["highest"],
            "P3-whole-version": lambda d: len(node(d).running_configuration.services)
            == node(d).running_version,
            "P9-accepted-only": lambda d: node(d).running_version <= d["newest"],
            "serves-after-proof": lambda d: not node(d).serving
            or node(d).proven_version is not None,
        }

    def is_converged(self, d: Any) -> bool:
        """Tell whether the node serves the last version."""
        state = self.states[d["node"]]
        newest = state.running_version == d["newest"] == self.bounds.versions
        return state.serving and newest

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return make_protocol(
            "witnesses",
            World._fields,
            tuple(self.initial()),
            self.transitions,
            self.invariants(),
            goal=self.is_converged,
        )
