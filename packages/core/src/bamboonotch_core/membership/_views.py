"""What other parts read from the membership state."""

from __future__ import annotations

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
    "neighbours",
    "overlay_neighbours",
    "own_record",
    "ready_services",
    "routing_generation",
]

# Without a live slot holder, this many members of lowest hash read the store.
STAND_IN_READERS = 2


class LinkKind(Enum):
    """How far a link reaches, with its name in metrics as the value."""

    LOCAL = "local"
    DATA_CENTRE = "data-centre"
    INTER_REGION = "inter-region"


@dataclass(frozen=True)
class Neighbour:
    """An open link and who is at the other end.

    :param link_id: the link.
    :param node_id: the peer.
    :param incarnation: its incarnation.
    :param region: its region.
    :param data_centre: its data centre.
    :param kind: how far the link reaches.
    """

    link_id: str
    node_id: str
    incarnation: int
    region: str
    data_centre: str
    kind: LinkKind


def own_record(state: MembershipState) -> MemberRecord:
    """Return this node's record.

    :param state: the state.
    """
    return state.own.record


def backend_server_address(state: MembershipState) -> str:
    """Return ``ip:port`` of the backend server beside this node, or an empty string.

    :param state: the state.
    """
    server = state.own.backend_server
    return "" if server is None else server.address


def is_draining(state: MembershipState) -> bool:
    """Tell whether this node drains, for whichever reason.

    :param state: the state.
    """
    own = state.own
    if own.operator_drain or own.shutting_down:
        return True
    return own.backend_server is not None and own.backend_server.state is MemberState.DRAINING


def is_operator_drained(state: MembershipState) -> bool:
    """Tell whether an operator drained this node, whatever its backend server announces.

    :param state: the state.
    """
    return state.own.operator_drain


def find_member(state: MembershipState, node_id: str) -> MemberRecord | None:
    """Return the record of a member, dead or not, or ``None``.

    :param state: the state.
    :param node_id: the member.
    """
    return state.directory.records.get(node_id)


def live_members(state: MembershipState) -> tuple[MemberRecord, ...]:
    """Return the records of all members that are not dead, in the order of their node ids.

    :param state: the state.
    """
    records = state.directory.records.values()
    live = [record for record in records if record.state is not MemberState.DEAD]
    return tuple(sorted(live, key=lambda record: record.node_id))


def is_region_usable(state: MembershipState, region: str) -> bool:
    """Tell whether members of a region can be used, as far as this region's gateway knows.

    :param state: the state.
    :param region: the region.
    """
    return region not in state.detection.cuts


def members_of_service(state: MembershipState, service: str) -> tuple[MemberRecord, ...]:
    """Return the members that may get work of a service, in the order of their node ids.

    These are the ready members in usable regions that this node has not itself found unreachable.
    When there are none, suspects that were ready take their place: a false alarm about many
    members must not leave a service without any.

    :param state: the state.
    :param service: the service.
    """
    members = state.directory.services.get(service, Map())
    usable = [record for record in members.values() if _is_usable(state, record)]
    if not usable:
        usable = _ready_suspects(state, service)
    return tuple(sorted(usable, key=lambda record: record.node_id))


def ready_services(state: MembershipState) -> tuple[str, ...]:
    """Return the services for which :func:`members_of_service` finds any, sorted.

    :param state: the state.
    """
    records = state.directory.records
    services = set(state.directory.services)
    services.update(records[node_id].service for node_id in state.detection.suspects)
    return tuple(sorted(name for name in services if members_of_service(state, name)))


def routing_generation(state: MembershipState) -> int:
    """Return a number that is raised whenever :func:`members_of_service` may answer differently.

    :param state: the state.
    """
    return state.routing_generation


def overlay_neighbours(state: MembershipState) -> tuple[str, ...]:
    """Return the node ids that this node should be linked to, as last computed, sorted.

    :param state: the state.
    """
    return tuple(sorted(wanted_peers(state)))


def neighbours(state: MembershipState) -> tuple[Neighbour, ...]:
    """Return the open links, in the order of the peers' node ids.

    :param state: the state.
    """
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
    """Return how far an open link reaches, or ``None`` when it is not open.

    :param state: the state.
    :param link_id: the link.
    """
    link = state.overlay.links.get(link_id)
    if link is None:
        return None
    return _kind_of(state, link.peer.region, link.peer.data_centre)


def is_store_reader(state: MembershipState) -> bool:
    """Tell whether this node watches the store for new versions.

    Holders of relay slots in the store's region do; without any, its two members of lowest hash.

    :param state: the state.
    """
    own = state.own.record
    if own.region != state.settings.store.region:
        return False
    if own.relay_slot >= 0:
        return True
    if state.directory.regions[own.region].slot_holders:
        return False
    readers = [node_id for _, node_id in state.overlay.ring[:STAND_IN_READERS]]
    return own.node_id in readers


def is_lowest_slot(state: MembershipState) -> bool:
    """Tell whether this node holds the lowest relay slot of the store's region.

    :param state: the state.
    """
    own = state.own.record
    if own.region != state.settings.store.region or own.relay_slot < 0:
        return False
    holders = state.directory.regions[own.region].slot_holders
    return min((slot, node_id) for node_id, slot in holders.items())[1] == own.node_id


def _is_usable(state: MembershipState, record: MemberRecord) -> bool:
    if record.region in state.detection.cuts:
        return False
    reported = state.detection.reported.get(record.node_id)
    return reported is None or state.own.record.node_id not in reported.reporters


def _ready_suspects(state: MembershipState, service: str) -> list[MemberRecord]:
    records = state.directory.records
    return [
        records[node_id]
        for node_id, suspect in state.detection.suspects.items()
        if suspect.was is MemberState.READY
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
