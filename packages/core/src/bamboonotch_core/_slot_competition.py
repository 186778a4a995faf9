"""Which nodes compete for the relay slots of their data centre.

If every node without a slot looked for a free one, calls of the store would grow with the fleet.
"""

from __future__ import annotations

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership import MembershipState, find_member, neighbours, own_record

__all__ = ["wants_slot"]

# One more candidate than free slots, in case the first is dead and not yet known to be.
SPARE_CANDIDATES = 1


def wants_slot(membership: MembershipState) -> bool | None:
    """Tell whether this node should hold a relay slot or compete for one.

    :param membership: the state of the membership.
    :returns: ``None`` while the node knows no neighbour, and so cannot tell.
    """
    own = own_record(membership)
    if own.relay_slot >= 0:
        return True
    if not neighbours(membership):
        return None
    free = membership.settings.store.slots_per_data_centre - _held_slots(membership, own)
    if free <= 0:
        return False
    return own.node_id in _candidates(membership, own)[: free + SPARE_CANDIDATES]


def _held_slots(membership: MembershipState, own: MemberRecord) -> int:
    holders = membership.directory.regions[own.region].slot_holders
    return sum(data_centre == own.data_centre for data_centre, _ in holders.values())


def _candidates(membership: MembershipState, own: MemberRecord) -> list[str]:
    """Return the live members of the data centre that hold no slot, lowest hash first."""
    region = membership.directory.regions[own.region]
    hashes = [
        (node_hash, node_id)
        for node_id, node_hash in region.live.items()
        if node_id not in region.slot_holders and _is_in(membership, node_id, own.data_centre)
    ]
    return [node_id for _, node_id in sorted(hashes)]


def _is_in(membership: MembershipState, node_id: str, data_centre: str) -> bool:
    record = find_member(membership, node_id)
    return record is not None and record.data_centre == data_centre
