"""Which peers the overlay wants, and the closing of links that it no longer needs."""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from bamboonotch_core.membership._dead_dials import adopt_dead_members
from bamboonotch_core.membership._directory import RegionMembers, choose_gateway
from bamboonotch_core.membership._ring import make_ring, predecessors, successors
from bamboonotch_core.membership._state import Link, MembershipState
from bamboonotch_core.membership._work import Work

__all__ = [
    "INTER_REGION_GRACE_MS",
    "LINK_GRACE_MS",
    "find_unneeded_links",
    "refresh_overlay",
    "wanted_peers",
]

# Time that a link outlives its use, so that the new ring has settled on both sides.
LINK_GRACE_MS = 3_000
# A new gateway needs to learn of its role and to dial the other regions first.
INTER_REGION_GRACE_MS = 6_000
# A link outlives its use by this factor at most while some wanted peer cannot be reached.
STUCK_GRACE_FACTOR = 10
LINKS_NEEDED_WHEN_STUCK = 2


def wanted_peers(state: MembershipState) -> frozenset[str]:
    """Return the node ids of all peers to which this node should have a link.

    :param state: the state.
    """
    overlay = state.overlay
    wanted = overlay.successors + overlay.predecessors
    own = state.own.record
    if overlay.gateways.get(own.region) == own.node_id:
        wanted += tuple(overlay.gateways.values())
    return frozenset(wanted) - {own.node_id}


def refresh_overlay(work: Work) -> None:
    """Recompute the gateways and the ring where the live members changed.

    :param work: the event being handled.
    """
    overlay = work.state.overlay
    if overlay.dirty_regions:
        _refresh_gateways(work)
    if overlay.ring_dirty:
        _refresh_ring(work)
        adopt_dead_members(work)


def find_unneeded_links(work: Work) -> list[Link]:
    """Note how long links have been unneeded; return those whose time is over.

    Only the end that dialled closes a link, because the other end may still want it.

    :param work: the event being handled.
    """
    overlay = work.state.overlay
    wanted = wanted_peers(work.state)
    links = overlay.links
    for link in work.links:
        unneeded = link.outbound and link.peer.node_id not in wanted
        unneeded = unneeded and not _is_only_contact(work, link)
        if unneeded == (link.unwanted_since_ms is not None):
            continue
        since_ms = work.now_ms if unneeded else None
        links = links.set(link.link_id, replace(link, unwanted_since_ms=since_ms))
    if links is not overlay.links:
        work.change_overlay(links=links)
    linked = sum(node_id in overlay.by_peer for node_id in wanted)
    _note_complete(work, 0 < linked == len(wanted))
    return [link for link in work.links if _is_over(work, link, linked)]


def _note_complete(work: Work, complete: bool) -> None:
    if complete != (work.state.overlay.complete_since_ms is not None):
        work.change_overlay(complete_since_ms=work.now_ms if complete else None)


def _is_over(work: Work, link: Link, linked: int) -> bool:
    if link.unwanted_since_ms is None:
        return False
    same_region = link.peer.region == work.own_record.region
    grace_ms = LINK_GRACE_MS if same_region else INTER_REGION_GRACE_MS
    complete_since_ms = work.state.overlay.complete_since_ms
    if complete_since_ms is not None:
        return work.now_ms - max(link.unwanted_since_ms, complete_since_ms) >= grace_ms
    if linked < LINKS_NEEDED_WHEN_STUCK:
        return False
    return work.now_ms - link.unwanted_since_ms >= STUCK_GRACE_FACTOR * grace_ms


def _is_only_contact(work: Work, link: Link) -> bool:
    """Tell whether this gateway reaches a region by a stand-in for its gateway."""
    overlay = work.state.overlay
    own = work.own_record
    if link.peer.region == own.region or overlay.gateways.get(own.region) != own.node_id:
        return False
    gateway = overlay.gateways.get(link.peer.region)
    return gateway is not None and gateway not in overlay.by_peer


def _refresh_gateways(work: Work) -> None:
    overlay = work.state.overlay
    gateways = overlay.gateways
    for region in sorted(overlay.dirty_regions):
        members = work.state.directory.regions.get(region)
        gateway = choose_gateway(members) if members is not None else ""
        if gateway == gateways.get(region, ""):
            continue
        gateways = gateways.set(region, gateway) if gateway else gateways.delete(region)
        work.report("gateway-changed", region=region, node_id=gateway)
    work.change_overlay(gateways=gateways, dirty_regions=frozenset())
    own = work.own_record
    if gateways.get(own.region) != own.node_id and overlay.failed_contacts:
        work.change_overlay(failed_contacts=Map())


def _refresh_ring(work: Work) -> None:
    own = work.own_record
    members = work.state.directory.regions.get(own.region, RegionMembers())
    ring = make_ring(iter(members.live.items()))
    work.change_overlay(
        ring=ring,
        ring_dirty=False,
        ring_recomputations=work.state.overlay.ring_recomputations + 1,
        successors=successors(ring, own.node_id),
        predecessors=predecessors(ring, own.node_id),
    )
