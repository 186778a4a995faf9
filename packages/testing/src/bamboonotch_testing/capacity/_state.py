"""Node states filled through the reducer, as messages of peers would fill them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bamboonotch_core.effects import Effect, ReadNewest, SendMessage
from bamboonotch_core.events import (
    BackendServerAnnounced,
    Event,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
    SlotObtained,
    StoreNewestRead,
    Tick,
)
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership import neighbours, overlay_neighbours
from bamboonotch_core.messages import Heartbeat, MemberUpdate, Message, WitnessAck, WitnessWrite
from bamboonotch_core.reducer import reduce
from bamboonotch_core.settings import IdentitySettings, NodeSettings, StoreSettings
from bamboonotch_core.state import NodeState, make_node_state
from bamboonotch_testing.capacity._document import BASE_VERSION, Documents
from bamboonotch_testing.capacity._sizes import DATA_CENTRES, REGIONS, SERVICES

__all__ = ["Driver", "OWN_ID", "TICK_MS", "fill_state", "make_records"]

OWN_ID = "node-00000"
TICK_MS = 100.0
INCARNATION = 1_700_000_000_000
UPDATE_RECORDS = 128
START_TICKS = 200


def _place(number: int) -> tuple[str, str]:
    centre = number % DATA_CENTRES
    return f"region-{centre % REGIONS}", f"region-{centre % REGIONS}-dc-{centre}"


def _address(number: int, port: int) -> str:
    return f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:{port}"


def make_records(count: int) -> tuple[MemberRecord, ...]:
    """Return the records of other members, spread over all services and data centres.

    Three members of each data centre hold its relay slots.

    :param count: how many.
    """
    records = []
    for number in range(1, count + 1):
        region, centre = _place(number)
        rank = number // DATA_CENTRES
        records.append(
            MemberRecord(
                node_id=f"node-{number:05d}",
                incarnation=INCARNATION + number,
                sequence=7,
                region=region,
                data_centre=centre,
                peer_address=_address(number, 7100),
                http_address=_address(number, 7101),
                admin_address=_address(number, 7102),
                service=f"service-{number % SERVICES}",
                slots=6,
                state=MemberState.READY,
                relay_slot=rank if rank < 3 else -1,
            )
        )
    return tuple(records)


@dataclass
class Driver:
    """Feeds events to one node state.

    :param state: the state.
    :param now_ms: the clock, in milliseconds.
    :param effects: effects of the last event.
    """

    state: NodeState
    now_ms: float = 0.0
    effects: tuple[Effect, ...] = ()

    def feed(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event.

        :param event: the event.
        """
        transition = reduce(self.state, event)
        self.state, self.effects = transition.state, transition.effects
        return self.effects

    def tick(self) -> tuple[Effect, ...]:
        """Let 100 ms pass."""
        self.now_ms += TICK_MS
        return self.feed(Tick(self.now_ms))

    def hear(self, link_id: str, message: Message) -> tuple[Effect, ...]:
        """Receive a message.

        :param link_id: the stream.
        :param message: the message.
        """
        return self.feed(MessageReceived(self.now_ms, link_id, message))

    def announce(self) -> tuple[Effect, ...]:
        """Let the local backend server announce itself."""
        event = BackendServerAnnounced(self.now_ms, "service-0", "127.0.0.1:7103", 6, "ready")
        return self.feed(event)

    def link_ids(self) -> tuple[str, ...]:
        """Return the open streams."""
        return tuple(link.link_id for link in neighbours(self.state.membership))

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat of a peer that agrees with this node."""
        distribution = self.state.distribution
        membership_digest = self.state.membership.directory.digest
        return Heartbeat(
            distribution.held_version, distribution.running_version, membership_digest, True
        )

    def keep_links(self) -> None:
        """Receive a heartbeat on every stream."""
        heartbeat = self.heartbeat()
        for link_id in self.link_ids():
            self.hear(link_id, heartbeat)

    def acknowledge(self, effects: Sequence[Effect]) -> None:
        """Answer every witness write among some effects.

        :param effects: the effects.
        """
        for effect in effects:
            if isinstance(effect, SendMessage) and isinstance(effect.message, WitnessWrite):
                self.hear(effect.link_id, WitnessAck(effect.message.record))


def _open_link(driver: Driver, record: MemberRecord, outbound: bool) -> str:
    link_id = f"link-{record.node_id}"
    identity = PeerIdentity(
        record.node_id,
        record.incarnation,
        record.region,
        record.data_centre,
        record.peer_address,
    )
    driver.feed(LinkOpened(driver.now_ms, link_id, identity, outbound))
    return link_id


def _read_store(driver: Driver, documents: Documents) -> None:
    """Tick until the node has read the store and serves."""
    for _ in range(START_TICKS):
        driver.keep_links()
        effects = driver.tick()
        driver.acknowledge(effects)
        if any(isinstance(effect, ReadNewest) for effect in effects):
            answer = StoreNewestRead(
                driver.now_ms, BASE_VERSION, documents.digest, documents.snapshot, ()
            )
            driver.acknowledge(driver.feed(answer))
        if driver.state.distribution.serving:
            return
    reason = driver.state.distribution.not_serving_reason
    raise AssertionError(f"the node does not serve: {reason}")


def fill_state(
    records: Sequence[MemberRecord], documents: Documents, *, relay: bool = False
) -> Driver:
    """Return a serving node that knows all members and is linked to its neighbours.

    :param records: the other members.
    :param documents: what the store holds.
    :param relay: whether the node holds relay slot 0 of its data centre, which makes it the
        gateway of its region.
    """
    region, centre = _place(0)
    identity = IdentitySettings(
        OWN_ID,
        "himal-thali",
        region,
        centre,
        _address(0, 7100),
        _address(0, 7101),
        _address(0, 7102),
    )
    settings = NodeSettings(identity, StoreSettings("10.9.9.9:8500", "region-0"))
    driver = Driver(make_node_state(settings, INCARNATION, 1, 0.0))
    same_region = next(record for record in records if record.region == region)
    first = _open_link(driver, same_region, True)
    for start in range(0, len(records), UPDATE_RECORDS):
        driver.hear(first, MemberUpdate(tuple(records[start : start + UPDATE_RECORDS])))
    if relay:
        driver.feed(SlotObtained(driver.now_ms, 0))
    driver.announce()
    # The overlay is computed with the next tick.
    driver.tick()
    by_id = {record.node_id: record for record in records}
    for node_id in overlay_neighbours(driver.state.membership):
        if node_id != same_region.node_id:
            _open_link(driver, by_id[node_id], True)
    _read_store(driver, documents)
    return driver
