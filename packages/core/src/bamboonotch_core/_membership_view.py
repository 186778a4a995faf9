"""What distribution sees of the membership, recomputed only where it changed."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import (
    MembershipState,
    is_lowest_slot,
    is_store_reader,
    neighbours,
)

__all__ = ["refresh_view"]


def refresh_view(
    view: MembershipView, before: MembershipState, after: MembershipState
) -> MembershipView:
    """Return the view of a membership state.

    A heartbeat changes no record and no link, so it must not copy 1,600 node ids.

    :param view: the view of the state before.
    :param before: the state before the event.
    :param after: the state after the event.
    """
    if after is before:
        return view
    if after.directory is not before.directory or not view.live_node_ids:
        view = _with_members(view, after)
    if after.overlay.links is not before.overlay.links:
        open_links = _open_links(after)
        if open_links != view.neighbours:
            view = replace(view, neighbours=open_links)
    reader, lowest = is_store_reader(after), is_lowest_slot(after)
    if (reader, lowest) != (view.is_store_reader, view.is_lowest_slot):
        view = replace(view, is_store_reader=reader, is_lowest_slot=lowest)
    return view


def _with_members(view: MembershipView, state: MembershipState) -> MembershipView:
    addresses = {
        node_id: record.peer_address
        for node_id, record in state.directory.records.items()
        if record.state is not MemberState.DEAD
    }
    return replace(view, live_node_ids=frozenset(addresses), peer_addresses=addresses)


def _open_links(state: MembershipState) -> tuple[Neighbour, ...]:
    return tuple(
        Neighbour(link.link_id, link.node_id, link.incarnation, link.region, link.data_centre)
        for link in neighbours(state)
    )
