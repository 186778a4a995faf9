"""Builders of test data, and a driver of one reducer, for the tests of distribution."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from typing import TypeVar

from bamboonotch_core.configuration import (
    EMPTY_DOCUMENT,
    Document,
    digest_document,
    encode_entry,
    encode_snapshot,
    make_entry,
    parse_patch,
)
from bamboonotch_core.distribution import (
    DistributionState,
    MembershipView,
    Neighbour,
    make_distribution_state,
    reduce_distribution,
)
from bamboonotch_core.effects import Effect, ReadNewest, Report, SendMessage
from bamboonotch_core.events import (
    Event,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
    StoreNewestRead,
    Tick,
)
from bamboonotch_core.messages import Message, WitnessAck, WitnessWrite
from bamboonotch_core.settings import (
    DistributionSettings,
    IdentitySettings,
    NodeSettings,
    StoreSettings,
)

SomeEffect = TypeVar("SomeEffect", bound=Effect)
SomeMessage = TypeVar("SomeMessage", bound=Message)


def make_settings(
    node_id: str = "n", region: str = "east", distribution: DistributionSettings | None = None
) -> NodeSettings:
    """Return the settings of a node whose store is in region ``east``."""
    identity = IdentitySettings(node_id, "t", region, f"{region}-1", "a:1", "a:2", "a:3")
    store = StoreSettings(address="a:4", region="east", watch_ms=30_000)
    return NodeSettings(identity, store, distribution or DistributionSettings())


@cache
def make_version(version: int) -> tuple[bytes, Document]:
    """Return the encoded log entry and the document of a version; each version adds a service."""
    if version == 0:
        return b"", EMPTY_DOCUMENT
    patch = parse_patch(
        b'[{"op": "add", "path": "/services/s%d",'
        b' "value": {"tenant": "t", "slots_per_backend_server": 1}}]' % version
    )
    entry, document = make_entry(
        version - 1,
        make_version(version - 1)[1],
        patch,
        patch_id=f"p{version}",
        author="a",
        comment="c",
        now_unix_ms=version,
    )
    return encode_entry(entry), document


def entry_of(version: int) -> bytes:
    """Return the encoded log entry of a version."""
    return make_version(version)[0]


def newest_read(now_ms: float, version: int, snapshot_version: int = 0) -> StoreNewestRead:
    """Return the answer of a store to a read of its newest version.

    :param now_ms: time of the answer, in simulated milliseconds.
    :param version: newest version in the store.
    :param snapshot_version: version of the stored snapshot; 0 for none.
    """
    digest, snapshot = "", b""
    if snapshot_version:
        document = make_version(snapshot_version)[1]
        digest, snapshot = digest_document(document), encode_snapshot(document)
    entries = tuple(entry_of(number) for number in range(snapshot_version + 1, version + 1))
    return StoreNewestRead(now_ms, snapshot_version, digest, snapshot, entries)


def neighbour(node_id: str, region: str = "east", incarnation: int = 1) -> Neighbour:
    """Return a neighbour whose link id is ``link-`` and its node id."""
    return Neighbour(f"link-{node_id}", node_id, incarnation, region, f"{region}-1")


class Driver:
    """Feeds events to one reducer and keeps the effects of the last event."""

    def __init__(self, settings: NodeSettings | None = None, incarnation: int = 10) -> None:
        self.state: DistributionState = make_distribution_state(
            settings or make_settings(), incarnation
        )
        self.view = MembershipView()
        self.now_ms = 0.0
        self.effects: tuple[Effect, ...] = ()

    def feed(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event."""
        transition = reduce_distribution(self.state, event, self.view)
        self.state, self.effects = transition.state, transition.effects
        return self.effects

    def tick(self, after_ms: float = 100.0) -> tuple[Effect, ...]:
        """Advance the clock by a time in milliseconds and feed a tick."""
        self.now_ms += after_ms
        return self.feed(Tick(self.now_ms))

    def connect(self, *peers: Neighbour) -> tuple[Effect, ...]:
        """Open links, one event for each; the effects of all are kept."""
        effects: list[Effect] = []
        for peer in peers:
            self.view = replace(
                self.view,
                neighbours=(*self.view.neighbours, peer),
                live_node_ids=self.view.live_node_ids | {peer.node_id},
            )
            identity = PeerIdentity(
                peer.node_id, peer.incarnation, peer.region, peer.data_centre, "a:1"
            )
            effects.extend(self.feed(LinkOpened(self.now_ms, peer.link_id, identity, True)))
        self.effects = tuple(effects)
        return self.effects

    def receive(self, node_id: str, message: Message) -> tuple[Effect, ...]:
        """Receive a message from a neighbour."""
        return self.feed(MessageReceived(self.now_ms, f"link-{node_id}", message))

    def start(self, version: int = 0, *peers: Neighbour) -> None:
        """Start while the store answers with a version, and run it with all peers as witnesses."""
        self.connect(*peers)
        self.tick(0.0)
        while not self.of_type(ReadNewest):
            self.tick()
        self.feed(newest_read(self.now_ms, version))
        self.acknowledge()

    def acknowledge(self, *names: str) -> None:
        """Acknowledge the last witness writes; those to all witnesses if none is named."""
        effects: list[Effect] = []
        for send in self.sends():
            node_id = send.link_id.removeprefix("link-")
            if isinstance(send.message, WitnessWrite) and (not names or node_id in names):
                effects.extend(self.receive(node_id, WitnessAck(send.message.record)))
        self.effects = tuple(effects)

    def of_type(self, kind: type[SomeEffect]) -> list[SomeEffect]:
        """Return the last effects of one type."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def sends(self) -> list[SendMessage]:
        """Return the messages sent by the last event."""
        return self.of_type(SendMessage)

    def sent(self, kind: type[SomeMessage]) -> list[tuple[str, SomeMessage]]:
        """Return the receivers and messages of one type that the last event sent."""
        return [
            (send.link_id.removeprefix("link-"), send.message)
            for send in self.sends()
            if isinstance(send.message, kind)
        ]

    def reports(self) -> list[str]:
        """Return the names of the reports that the last event made."""
        return [report.name for report in self.of_type(Report)]
