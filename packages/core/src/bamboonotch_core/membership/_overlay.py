"""The peers that the overlay wants, and the links that it no longer needs."""

from __future__ import annotations

from immutables import Map

from bamboonotch_core.membership._dead_dials import dial_adjacent_dead_members
from bamboonotch_core.membership._directory import RegionMembers, choose_gateway
from bamboonotch_core.membership._ring import make_ring, predecessors, successors
from bamboonotch_core.membership._state import Link, MembershipState
from bamboonotch_core.membership._work import Step
from bamboonotch_core.replace import replace_fields

__all__ = [
    "INTER_REGION_GRACE_MS",
    "LINK_GRACE_MS",
    "find_unneeded_links",
    "refresh_overlay",
    "wanted_peers",
]

# An unneeded link stays open for this long, so that both ends have recomputed their rings.
LINK_GRACE_MS = 3_000
# A new gateway must first learn of its role and dial the other regions.
INTER_REGION_GRACE_MS = 6_000
# While a wanted peer cannot be reached, unneeded links stay open for at most this many times as
# long.
INCOMPLETE_GRACE_FACTOR = 10
MIN_LINKS_WHEN_INCOMPLETE = 2


def wanted_peers(state: MembershipState) -> frozenset[str]:
    """Return the node ids of all peers to which this node should have a link."""
    overlay = state.overlay
    wanted = overlay.successors + overlay.predecessors
    own = state.own.record
    if overlay.gateways.get(own.region) == own.node_id:
        wanted += tuple(overlay.gateways.values())
    return frozenset(wanted) - {own.node_id}


def refresh_overlay(step: Step) -> None:
    """Recompute the gateways of changed regions, and the ring if its members changed."""
    overlay = step.state.overlay
    if overlay.dirty_regions:
        _refresh_gateways(step)
    if overlay.ring_dirty:
        _refresh_ring(step)
        dial_adjacent_dead_members(step)


def find_unneeded_links(step: Step) -> list[Link]:
    """Record since when links are unneeded, and return those whose grace time is over.

    Only the end that dialled a link closes it, because it may still be wanted by the other end.
    """
    overlay = step.state.overlay
    wanted = wanted_peers(step.state)
    links = overlay.links
    for link in step.links:
        unneeded = link.outbound and link.peer.node_id not in wanted
        unneeded = unneeded and not _is_only_contact(step, link)
        if unneeded == (link.unneeded_since_ms is not None):
            continue
        since_ms = step.now_ms if unneeded else None
        links = links.set(link.link_id, replace_fields(link, unneeded_since_ms=since_ms))
    if links is not overlay.links:
        step.change_overlay(links=links)
    linked = sum(node_id in overlay.by_peer for node_id in wanted)
    _record_completeness(step, 0 < linked == len(wanted))
    return [link for link in step.links if _is_grace_over(step, link, linked)]


def _record_completeness(step: Step, complete: bool) -> None:
    if complete != (step.state.overlay.complete_since_ms is not None):
        step.change_overlay(complete_since_ms=step.now_ms if complete else None)


def _is_grace_over(step: Step, link: Link, linked: int) -> bool:
    if link.unneeded_since_ms is None:
        return False
    same_region = link.peer.region == step.own_record.region
    grace_ms = LINK_GRACE_MS if same_region else INTER_REGION_GRACE_MS
    complete_since_ms = step.state.overlay.complete_since_ms
    if complete_since_ms is not None:
        return step.now_ms - max(link.unneeded_since_ms, complete_since_ms) >= grace_ms
    if linked < MIN_LINKS_WHEN_INCOMPLETE:
        return False
    return step.now_ms - link.unneeded_since_ms >= INCOMPLETE_GRACE_FACTOR * grace_ms


def _is_only_contact(step: Step, link: Link) -> bool:
    """Return whether this gateway reaches a region only by another member than its gateway."""
    overlay = step.state.overlay
    own = step.own_record
    if link.peer.region == own.region or overlay.gateways.get(own.region) != own.node_id:
        return False
    gateway = overlay.gateways.get(link.peer.region)
    return gateway is not None and gateway not in overlay.by_peer


def _refresh_gateways(step: Step) -> None:
    overlay = step.state.overlay
    gateways = overlay.gateways
    for region in sorted(overlay.dirty_regions):
        members = step.state.directory.regions.get(region)
        gateway = choose_gateway(members) if members is not None else ""
        if gateway == gateways.get(region, ""):
            continue
        gateways = gateways.set(region, gateway) if gateway else gateways.delete(region)
        step.report("gateway-changed", region=region, node_id=gateway)
    step.change_overlay(gateways=gateways, dirty_regions=frozenset())
    own = step.own_record
    if gateways.get(own.region) != own.node_id and overlay.failed_contacts:
        step.change_overlay(failed_contacts=Map())


def _refresh_ring(step: Step) -> None:
    own = step.own_record
    members = step.state.directory.regions.get(own.region, RegionMembers())
    ring = make_ring(iter(members.live.items()))
    step.change_overlay(
        ring=ring,
        ring_dirty=False,
        ring_recomputations=step.state.overlay.ring_recomputations + 1,
        successors=successors(ring, own.node_id),
        predecessors=predecessors(ring, own.node_id),
    )
