"""The member records with their indexes and digests, which are updated incrementally."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._hashing import hash_node_id, hash_record
from bamboonotch_core.replace import replace_fields

__all__ = [
    "EMPTY_DIRECTORY",
    "LOWEST_KEPT",
    "Directory",
    "RegionMembers",
    "choose_gateway",
    "put_record",
    "remove_record",
]


@dataclass(frozen=True)
class RegionMembers:
    """Live members of one region.

    :param live: hash of each live member.
    :param slot_holders: data centre and number of the relay slot of each live holder.
    :param lowest: live members of lowest hash, lowest first, up to ``LOWEST_KEPT``.
    """

    live: Map[str, int] = Map()
    slot_holders: Map[str, tuple[str, int]] = Map()
    lowest: tuple[str, ...] = ()


@dataclass(frozen=True)
class Directory:
    """All member records.

    :param records: record of each member, dead ones included.
    :param regions: live members of each region.
    :param services: ready members of each service.
    :param data_centres: members of each data centre, dead ones included.
    :param digests: XOR of the hashes of the live records of each data centre. Dead records are
        left out, because nodes drop them at different times.
    :param digest: XOR of the hashes of all live records.
    """

    records: Map[str, MemberRecord] = Map()
    regions: Map[str, RegionMembers] = Map()
    services: Map[str, Map[str, MemberRecord]] = Map()
    data_centres: Map[str, Map[str, None]] = Map()
    digests: Map[str, int] = Map()
    digest: int = 0


# A gateway tries this many members of another region before it reports the region unreachable.
LOWEST_KEPT = 3

EMPTY_DIRECTORY = Directory()


def put_record(directory: Directory, record: MemberRecord) -> Directory:
    """Return the directory with a record added or replaced."""
    old = directory.records.get(record.node_id)
    regions = directory.regions
    data_centres = directory.data_centres
    if old is not None and old.region != record.region:
        regions = _remove_from_region(regions, old)
    if old is not None and old.data_centre != record.data_centre:
        data_centres = _remove_key(data_centres, old.data_centre, old.node_id)
    if record.state is MemberState.DEAD:
        regions = _remove_from_region(regions, record)
    else:
        regions = _add_to_region(regions, record)
    changed = replace_fields(
        directory,
        records=directory.records.set(record.node_id, record),
        regions=regions,
        services=_index_service(directory.services, old, record),
        data_centres=_add_key(data_centres, record.data_centre, record.node_id),
    )
    return _update_digests(changed, old, record)


def remove_record(directory: Directory, node_id: str) -> Directory:
    """Return the directory without a member."""
    old = directory.records[node_id]
    changed = replace_fields(
        directory,
        records=directory.records.delete(node_id),
        regions=_remove_from_region(directory.regions, old),
        services=_index_service(directory.services, old, None),
        data_centres=_remove_key(directory.data_centres, old.data_centre, node_id),
    )
    return _update_digests(changed, old, None)


def choose_gateway(members: RegionMembers) -> str:
    """Return the gateway of a region: its lowest slot holder or its live member of lowest hash."""
    if not members.slot_holders:
        return members.lowest[0]
    return min((slot, node_id) for node_id, slot in members.slot_holders.items())[1]


def _add_to_region(
    regions: Map[str, RegionMembers], record: MemberRecord
) -> Map[str, RegionMembers]:
    members = regions.get(record.region, RegionMembers())
    live, lowest = members.live, members.lowest
    if record.node_id not in live:
        live = live.set(record.node_id, hash_node_id(record.node_id))
        lowest = _find_lowest(live, (*lowest, record.node_id))
    slot_holders = members.slot_holders
    slot = (record.data_centre, record.relay_slot)
    if record.relay_slot < 0:
        if record.node_id in slot_holders:
            slot_holders = slot_holders.delete(record.node_id)
    elif slot_holders.get(record.node_id) != slot:
        slot_holders = slot_holders.set(record.node_id, slot)
    if live is members.live and slot_holders is members.slot_holders:
        return regions
    return regions.set(record.region, RegionMembers(live, slot_holders, lowest))


def _remove_from_region(
    regions: Map[str, RegionMembers], record: MemberRecord
) -> Map[str, RegionMembers]:
    members = regions.get(record.region)
    if members is None or record.node_id not in members.live:
        return regions
    live = members.live.delete(record.node_id)
    if not live:
        return regions.delete(record.region)
    slot_holders = members.slot_holders
    if record.node_id in slot_holders:
        slot_holders = slot_holders.delete(record.node_id)
    lowest = members.lowest
    if record.node_id in lowest:
        # Only the removal of one of these few members costs a pass over its region.
        lowest = _find_lowest(live, live)
    return regions.set(record.region, RegionMembers(live, slot_holders, lowest))


def _find_lowest(live: Map[str, int], node_ids: Iterable[str]) -> tuple[str, ...]:
    return tuple(nsmallest(LOWEST_KEPT, node_ids, key=lambda node_id: (live[node_id], node_id)))


def _index_service(
    services: Map[str, Map[str, MemberRecord]],
    old: MemberRecord | None,
    new: MemberRecord | None,
) -> Map[str, Map[str, MemberRecord]]:
    new_service = _ready_service(new)
    old_service = _ready_service(old)
    if old is not None and old_service and old_service != new_service:
        members = services[old_service].delete(old.node_id)
        services = services.set(old_service, members) if members else services.delete(old_service)
    if new is not None and new_service:
        members = services.get(new_service, Map())
        services = services.set(new_service, members.set(new.node_id, new))
    return services


def _ready_service(record: MemberRecord | None) -> str:
    if record is None or record.state is not MemberState.READY:
        return ""
    return record.service


def _add_key(index: Map[str, Map[str, None]], name: str, node_id: str) -> Map[str, Map[str, None]]:
    members = index.get(name, Map())
    if node_id in members:
        return index
    return index.set(name, members.set(node_id, None))


def _remove_key(
    index: Map[str, Map[str, None]], name: str, node_id: str
) -> Map[str, Map[str, None]]:
    members = index[name].delete(node_id)
    return index.set(name, members) if members else index.delete(name)


def _update_digests(
    directory: Directory, old: MemberRecord | None, new: MemberRecord | None
) -> Directory:
    digests = directory.digests
    digest = directory.digest
    for record in (old, new):
        if record is None or record.state is MemberState.DEAD:
            continue
        record_hash = hash_record(record)
        digest ^= record_hash
        combined = digests.get(record.data_centre, 0) ^ record_hash
        if combined:
            digests = digests.set(record.data_centre, combined)
        else:
            digests = digests.delete(record.data_centre)
    return replace_fields(directory, digests=digests, digest=digest)
