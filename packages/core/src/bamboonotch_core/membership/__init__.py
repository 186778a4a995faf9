"""Membership: member records, overlay links, failure detection, relay slots and gateways."""

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._directory import Directory
from bamboonotch_core.membership._exchange import heartbeat_sent_ms
from bamboonotch_core.membership._reducer import finish_shutdown, reduce_membership
from bamboonotch_core.membership._state import (
    LocalVersions,
    MembershipState,
    make_membership_state,
)
from bamboonotch_core.membership._validation import find_announcement_fault
from bamboonotch_core.membership._views import (
    STORE_READERS,
    LinkKind,
    Neighbour,
    backend_server_address,
    find_member,
    is_draining,
    is_lowest_slot,
    is_operator_drained,
    is_region_usable,
    is_store_reader,
    link_kind,
    live_members,
    members_of_service,
    misses_store_reader,
    neighbours,
    overlay_neighbours,
    own_record,
    ready_services,
    routing_generation,
    store_reader_share,
)

__all__ = [
    "STORE_READERS",
    "Directory",
    "LinkKind",
    "LocalVersions",
    "MemberRecord",
    "MemberState",
    "MembershipState",
    "Neighbour",
    "backend_server_address",
    "find_announcement_fault",
    "find_member",
    "finish_shutdown",
    "heartbeat_sent_ms",
    "is_draining",
    "is_lowest_slot",
    "is_operator_drained",
    "is_region_usable",
    "is_store_reader",
    "link_kind",
    "live_members",
    "make_membership_state",
    "members_of_service",
    "misses_store_reader",
    "neighbours",
    "overlay_neighbours",
    "own_record",
    "ready_services",
    "reduce_membership",
    "routing_generation",
    "store_reader_share",
]
