"""Stores witness records of other nodes, and decides which record a restarted node may trust."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from immutables import Map

from bamboonotch_core.distribution._witness_register import is_newer, majority
from bamboonotch_core.messages import WitnessRecord

__all__ = [
    "MAX_RECORDS",
    "StoredRecord",
    "WitnessStorage",
    "decide_recovery",
    "find_record",
    "newest_record",
    "record_fault",
    "see_incarnation",
    "write_record",
]

MAX_RECORDS = 256
"""A node has about 10 neighbours; the other places are for records of former neighbours."""

MAX_SEEN_NODES = 10_000
"""The number of member records that membership keeps by default."""

MAX_WITNESSES = 64


@dataclass(frozen=True)
class StoredRecord:
    """A record and the first later incarnation of its node that was seen.

    :param record: the newest record.
    :param successor: the first later incarnation seen, or ``None``.
    :param written: number of the write that stored the record; the lowest one is evicted first.
    """

    record: WitnessRecord
    successor: int | None
    written: int


@dataclass(frozen=True)
class WitnessStorage:
    """The records kept for other nodes.

    :param records: the newest record of each node, by node id.
    :param writes: number of writes so far.
    :param seen: highest incarnation seen of each node, by node id, with or without a record.
    """

    records: Map[str, StoredRecord] = Map()
    writes: int = 0
    seen: Map[str, int] = Map()


def record_fault(record: WitnessRecord, node_id: str) -> str:
    """Return why a received record is malformed, or an empty string if it is well-formed.

    :param node_id: id of the node that the record must be of.
    """
    if record.node_id != node_id:
        return f"record is of node {record.node_id[:100]!r}, not {node_id!r}"
    if min(record.incarnation, record.sequence, record.version) < 0:
        return (
            f"incarnation {record.incarnation}, sequence {record.sequence} or version"
            f" {record.version} is negative"
        )
    if not 1 <= len(record.witnesses) <= MAX_WITNESSES:
        return f"record has {len(record.witnesses)} witnesses, not 1 to {MAX_WITNESSES}"
    if len(set(record.witnesses)) != len(record.witnesses):
        return f"{len(set(record.witnesses))} different ids for {len(record.witnesses)} witnesses"
    return ""


def _evict_oldest(records: Map[str, StoredRecord]) -> Map[str, StoredRecord]:
    if len(records) < MAX_RECORDS:
        return records
    oldest = min(records, key=lambda name: records[name].written)
    return records.delete(oldest)


def write_record(
    storage: WitnessStorage, record: WitnessRecord
) -> tuple[WitnessStorage, WitnessRecord | None]:
    """Store a record unless a newer one is held.

    A record of a lower version than the held record is refused as well, even if it is of a later
    incarnation, because its node is about to run an older version than it has run. A record of an
    incarnation below the highest one seen is refused without an acknowledgement: it arrived late,
    and later processes of its node may have run newer versions.

    :returns: the new storage and the newest record held of the node, or ``None`` for a record that
        arrived late.
    """
    if record.incarnation < storage.seen.get(record.node_id, 0):
        return storage, None
    stored = storage.records.get(record.node_id)
    if stored is not None:
        lower = record.version < stored.record.version
        if lower or not is_newer(record, stored.record):
            return storage, stored.record
    records = storage.records if stored is not None else _evict_oldest(storage.records)
    writes = storage.writes + 1
    records = records.set(record.node_id, StoredRecord(record, None, writes))
    return replace(storage, records=records, writes=writes), record


def see_incarnation(storage: WitnessStorage, node_id: str, incarnation: int) -> WitnessStorage:
    """Note an incarnation of a node, and drop the node's record if that makes it obsolete.

    The first process after the record may still need the record to recover. Once a second one is
    seen, the first may have run newer versions without this witness, so the record proves nothing.

    :param incarnation: incarnation that a link or a member record showed.
    """
    if incarnation <= storage.seen.get(node_id, 0):
        return storage
    if node_id not in storage.seen and len(storage.seen) >= MAX_SEEN_NODES:
        return storage
    storage = replace(storage, seen=storage.seen.set(node_id, incarnation))
    stored = storage.records.get(node_id)
    if stored is None or incarnation <= stored.record.incarnation:
        return storage
    if stored.successor is None:
        records = storage.records.set(node_id, replace(stored, successor=incarnation))
    else:
        records = storage.records.delete(node_id)
    return replace(storage, records=records)


def find_record(storage: WitnessStorage, node_id: str) -> WitnessRecord | None:
    """Return the record held of a node, or ``None``."""
    stored = storage.records.get(node_id)
    return None if stored is None else stored.record


def newest_record(records: Iterable[WitnessRecord | None]) -> WitnessRecord | None:
    """Return the newest of the records that witnesses sent, or ``None`` if there is none.

    :param records: the records; ``None`` stands for a witness that holds none.
    """
    newest: WitnessRecord | None = None
    for record in records:
        if record is not None and (newest is None or is_newer(record, newest)):
            newest = record
    return newest


def decide_recovery(replies: Mapping[str, WitnessRecord | None]) -> WitnessRecord | None:
    """Return the record that a restarted node may trust, or ``None`` if it may not trust any yet.

    The newest record is trusted once a majority of its witnesses replied with some record.

    :param replies: the record that each node replied with, by node id; ``None`` if it holds none.
    """
    newest = newest_record(replies.values())
    if newest is None:
        return None
    holding = sum(replies.get(name) is not None for name in newest.witnesses)
    return newest if holding >= majority(len(newest.witnesses)) and holding else None
