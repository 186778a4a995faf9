"""Queries on the membership state for other parts of the program."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._overlay import wanted_peers
from bamboonotch_core.membership._state import Link, MembershipState

__all__ = [
    "LinkKind",
    "Neighbour",
    "backend_server_address",
    "find_member",
    "is_draining",
    "is_lowest_slot",
    "is_operator_drained",
    "is_region_usable",
    "is_store_reader",
    "link_kind",
    "live_members",
    "members_of_service",
    "misses_store_reader",
    "neighbours",
    "overlay_neighbours",
    "own_record",
    "ready_services",
    "routing_generation",
]

# When the region has no live slot holder, this many members read the store. Two may be lost at the
# same moment, together with others, right before a new version.
STORE_READERS = 3


class LinkKind(Enum):
    """How far a link reaches. The value is the name of the kind in metrics."""

    LOCAL = "local"
    DATA_CENTRE = "data-centre"
    INTER_REGION = "inter-region"


@dataclass(frozen=True)
class Neighbour:
    """An open link and the peer at its other end.

    :param node_id: the peer.
    :param incarnation: highest known incarnation of the peer.
    :param region: region of the peer.
    :param data_centre: data centre of the peer.
    :param kind: how far the link reaches.
    """

    link_id: str
    node_id: str
    incarnation: int
    region: str
    data_centre: str
    kind: LinkKind


def own_record(state: MembershipState) -> MemberRecord:
    """Return this node's record."""
    return state.own.record


def backend_server_address(state: MembershipState) -> str:
    """Return ``ip:port`` of the backend server beside this node, or an empty string."""
    server = state.own.backend_server
    return "" if server is None else server.address


def is_draining(state: MembershipState) -> bool:
    """Return whether this node drains, for any reason."""
    own = state.own
    if own.operator_drain or own.shutting_down:
        return True
    return own.backend_server is not None and own.backend_server.state is MemberState.DRAINING


def is_operator_drained(state: MembershipState) -> bool:
    """Return whether an operator has drained this node, whatever its backend server announces."""
    return state.own.operator_drain


def find_member(state: MembershipState, node_id: str) -> MemberRecord | None:
    """Return the record of a live or dead member, or ``None`` if it is unknown."""
    return state.directory.records.get(node_id)


def live_members(state: MembershipState) -> tuple[MemberRecord, ...]:
    """Return the records of all members that are not dead, in the order of their node ids."""
    records = state.directory.records.values()
    live = [record for record in records if record.state is not MemberState.DEAD]
    return tuple(sorted(live, key=lambda record: record.node_id))


def is_region_usable(state: MembershipState, region: str) -> bool:
    """Return whether a region is reachable, according to the reports of this region's gateway."""
    return region not in state.detection.cuts


def members_of_service(state: MembershipState, service: str) -> tuple[MemberRecord, ...]:
    """Return the members that may get requests of a service, in the order of their node ids.

    These are the ready members in usable regions, without those that this node itself reports as
    unreachable. If there are none, suspects that were ready are returned instead, because false
    suspicions of many members must not leave a service without any.
    """
    members = state.directory.services.get(service, Map())
    usable = [record for record in members.values() if _is_usable(state, record)]
    if not usable:
        usable = _ready_suspects(state, service)
    return tuple(sorted(usable, key=lambda record: record.node_id))


def ready_services(state: MembershipState) -> tuple[str, ...]:
    """Return the services for which :func:`members_of_service` finds any, sorted."""
    records = state.directory.records
    services = set(state.directory.services)
    services.update(records[node_id].service for node_id in state.detection.suspects)
    return tuple(sorted(name for name in services if members_of_service(state, name)))


def routing_generation(state: MembershipState) -> int:
    """Return a number that rises whenever the result of :func:`members_of_service` may change."""
    return state.routing_generation


def overlay_neighbours(state: MembershipState) -> tuple[str, ...]:
    """Return the sorted node ids of the peers to which this node should have links."""
    return tuple(sorted(wanted_peers(state)))


def neighbours(state: MembershipState) -> tuple[Neighbour, ...]:
    """Return the open links, in the order of the peers' node ids."""
    found = [
        Neighbour(
            link.link_id,
            link.peer.node_id,
            _incarnation_of(state, link),
            link.peer.region,
            link.peer.data_centre,
            _kind_of(state, link.peer.region, link.peer.data_centre),
        )
        for link in state.overlay.links.values()
    ]
    return tuple(sorted(found, key=lambda neighbour: neighbour.node_id))


def link_kind(state: MembershipState, link_id: str) -> LinkKind | None:
    """Return how far a link reaches, or ``None`` if it is not open."""
    link = state.overlay.links.get(link_id)
    if link is None:
        return None
    return _kind_of(state, link.peer.region, link.peer.data_centre)


def is_store_reader(state: MembershipState) -> bool:
    """Return whether this node watches the store for new versions."""
    return store_reader_share(state) > 0.0


def store_reader_share(state: MembershipState) -> float:
    """Return the place of this node among those that watch the store, as a share of their number.

    These are the relay-slot holders in the store's region or, without any, some members that nobody
    suspects.

    :returns: above 0 for the first one, 1 for the last one; 0 for a node that does not watch.
    """
    own = state.own.record
    if own.region != state.settings.store.region:
        return 0.0
    holders = state.directory.regions[own.region].slot_holders
    if own.relay_slot >= 0:
        readers = sorted({*holders, own.node_id})
    elif holders:
        return 0.0
    else:
        readers = _fallback_readers(state)
    if own.node_id not in readers:
        return 0.0
    return (readers.index(own.node_id) + 1) / len(readers)


def misses_store_reader(state: MembershipState) -> bool:
    """Return whether this node should have a link to a member that reads the store, but has none.

    A VM that lost its power is suspected only seconds after its links went silent.
    """
    own = state.own.record
    if own.region != state.settings.store.region:
        return False
    if state.directory.regions[own.region].slot_holders:
        return False
    return any(_is_missing_neighbour(state, node_id) for node_id in _fallback_readers(state))


def _fallback_readers(state: MembershipState) -> list[str]:
    """Return the members with the fastest links, those of lowest hash among equal ones.

    A whole document takes the link of a small VM for longer than a short call may last, and a burst
    of versions takes all of it.
    """
    records = state.directory.records
    return heapq.nsmallest(
        STORE_READERS,
        _unsuspected_ring_members(state),
        key=lambda node_id: -records[node_id].link_mbps,
    )


def _unsuspected_ring_members(state: MembershipState) -> Iterator[str]:
    """Yield the members of the region in ring order, without those that others suspect."""
    own_id, detection = state.own.record.node_id, state.detection
    for _, node_id in state.overlay.ring:
        suspected = node_id in detection.suspicion_reports or node_id in detection.suspects
        if node_id == own_id or not suspected:
            yield node_id


def _is_missing_neighbour(state: MembershipState, node_id: str) -> bool:
    """Return whether the overlay wants a link to a member that is not open."""
    overlay = state.overlay
    wanted = node_id in overlay.successors or node_id in overlay.predecessors
    return wanted and node_id not in overlay.by_peer


def is_lowest_slot(state: MembershipState) -> bool:
    """Return whether this node holds the lowest relay slot of the store's region."""
    own = state.own.record
    if own.region != state.settings.store.region or own.relay_slot < 0:
        return False
    holders = state.directory.regions[own.region].slot_holders
    return min((slot, node_id) for node_id, slot in holders.items())[1] == own.node_id


def _is_usable(state: MembershipState, record: MemberRecord) -> bool:
    if record.region in state.detection.cuts:
        return False
    reports = state.detection.suspicion_reports.get(record.node_id)
    return reports is None or state.own.record.node_id not in reports.reporters


def _ready_suspects(state: MembershipState, service: str) -> list[MemberRecord]:
    records = state.directory.records
    return [
        records[node_id]
        for node_id, suspect in state.detection.suspects.items()
        if suspect.previous_state is MemberState.READY
        and records[node_id].service == service
        and _is_usable(state, records[node_id])
    ]


def _incarnation_of(state: MembershipState, link: Link) -> int:
    """Return the incarnation of a linked peer, which may have raised it since the link opened."""
    record = state.directory.records.get(link.peer.node_id)
    if record is None:
        return link.peer.incarnation
    return max(link.peer.incarnation, record.incarnation)


def _kind_of(state: MembershipState, region: str, data_centre: str) -> LinkKind:
    own = state.own.record
    if region != own.region:
        return LinkKind.INTER_REGION
    return LinkKind.LOCAL if data_centre == own.data_centre else LinkKind.DATA_CENTRE
