"""What distribution sees of the membership, recomputed only where it changed."""

from __future__ import annotations

from bamboonotch_core import membership
from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import (
    MembershipState,
    is_lowest_slot,
    is_region_usable,
    misses_store_reader,
    neighbours,
    overlay_neighbours,
    own_record,
    store_reader_share,
)
from bamboonotch_core.replace import replace_fields

__all__ = ["refresh_view"]


def refresh_view(
    view: MembershipView, before: MembershipState, after: MembershipState, with_members: bool
) -> MembershipView:
    """Return the view of a membership state.

    A heartbeat changes no record and no link, so it must not copy 1,600 node ids.

    :param view: the view of the state before.
    :param before: the state before the event.
    :param after: the state after the event.
    :param with_members: whether the live members and their addresses are wanted, which are copied
        whole when a record changes.
    """
    if after is before:
        return view
    if with_members:
        cuts_changed = after.detection.cuts is not before.detection.cuts
        if after.directory is not before.directory or cuts_changed or not view.live_node_ids:
            view = _with_members(view, after)
    if _may_change_neighbours(before, after):
        open_links = _open_links(after)
        if open_links != view.neighbours:
            view = replace_fields(view, neighbours=open_links)
    reader_share, lowest = store_reader_share(after), is_lowest_slot(after)
    missing = misses_store_reader(after)
    incarnation = own_record(after).incarnation
    if after.overlay.gateways is not before.overlay.gateways:
        view = replace_fields(view, far_gateways=_far_gateways(after))
    known = (
        view.reader_share,
        view.misses_store_reader,
        view.is_lowest_slot,
        view.own_incarnation,
    )
    if (reader_share, missing, lowest, incarnation) != known:
        view = replace_fields(
            view,
            is_store_reader=reader_share > 0.0,
            reader_share=reader_share,
            misses_store_reader=missing,
            is_lowest_slot=lowest,
            own_incarnation=incarnation,
        )
    return view


def _may_change_neighbours(before: MembershipState, after: MembershipState) -> bool:
    """Return whether links were opened or closed, or what decides on lasting ones has changed.

    A message only changes the time at which its link was last heard.
    """
    old, new = before.overlay, after.overlay
    return (
        new.by_peer is not old.by_peer
        or new.successors is not old.successors
        or new.predecessors is not old.predecessors
        or new.gateways is not old.gateways
        or after.directory is not before.directory
    )


def _far_gateways(state: MembershipState) -> frozenset[str]:
    own = own_record(state)
    gateways = state.overlay.gateways
    if own.region != state.settings.store.region or gateways.get(own.region) != own.node_id:
        return frozenset()
    return frozenset(gateways.values()) - {own.node_id}


def _with_members(view: MembershipView, state: MembershipState) -> MembershipView:
    """Take over the live members; those of a region that is cut off cannot be waited for."""
    addresses = {
        node_id: record.peer_address
        for node_id, record in state.directory.records.items()
        if record.state is not MemberState.DEAD and is_region_usable(state, record.region)
    }
    return replace_fields(view, live_node_ids=frozenset(addresses), peer_addresses=addresses)


def _open_links(state: MembershipState) -> tuple[Neighbour, ...]:
    opened_ms = {link_id: link.opened_ms for link_id, link in state.overlay.links.items()}
    links = tuple(sorted(neighbours(state), key=lambda link: opened_ms[link.link_id]))
    lasting = _lasting_peers(state, links)
    return tuple(
        Neighbour(
            link.link_id,
            link.node_id,
            link.incarnation,
            link.region,
            link.data_centre,
            link.node_id in lasting,
        )
        for link in links
    )


def _lasting_peers(
    state: MembershipState, links: tuple[membership.Neighbour, ...]
) -> frozenset[str]:
    """Return the peers that may become witnesses.

    Those of other regions may only if there is no other, because a cut between regions would
    otherwise keep a gateway from its witnesses.
    """
    wanted = overlay_neighbours(state)
    lasting = [link for link in links if link.node_id in wanted]
    region = own_record(state).region
    near = [link for link in lasting if link.region == region]
    return frozenset(link.node_id for link in near or lasting)
