"""Witness records that this node keeps for others, and what a restarted node makes of its own."""

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
"""A node has about 10 neighbours; the rest is room for records of former neighbours."""

MAX_SEEN = 10_000
"""As many as membership keeps records by default."""

MAX_WITNESSES = 64


@dataclass(frozen=True)
class StoredRecord:
    """One record and the first later life of its node that was seen.

    :param record: the newest record.
    :param successor: incarnation of a later life, or ``None``.
    :param written: order of writing, for eviction.
    """

    record: WitnessRecord
    successor: int | None
    written: int


@dataclass(frozen=True)
class WitnessStorage:
    """Records by node id.

    :param records: the records.
    :param writes: number of writes so far.
    :param seen: highest incarnation seen of each node, with a record here or without.
    """

    records: Map[str, StoredRecord] = Map()
    writes: int = 0
    seen: Map[str, int] = Map()


def record_fault(record: WitnessRecord, node_id: str) -> str:
    """Return what is wrong with a received record by itself, or an empty text.

    :param record: the record.
    :param node_id: the node that it has to be of.
    """
    if record.node_id != node_id:
        return "record of another node"
    if min(record.incarnation, record.sequence, record.version) < 0:
        return "negative number"
    if not 1 <= len(record.witnesses) <= MAX_WITNESSES:
        return "number of witnesses out of range"
    if len(set(record.witnesses)) != len(record.witnesses):
        return "witness named twice"
    return ""


def _evict(records: Map[str, StoredRecord]) -> Map[str, StoredRecord]:
    if len(records) < MAX_RECORDS:
        return records
    oldest = min(records, key=lambda name: records[name].written)
    return records.delete(oldest)


def write_record(
    storage: WitnessStorage, record: WitnessRecord
) -> tuple[WitnessStorage, WitnessRecord | None]:
    """Keep a record unless a newer one is held, and return the newest one.

    A record of a lower version than the one held is refused as well, even if it is of a later
    life: its node is about to run an older version than it has run. A record of a life that has
    ended gets no answer: it came late, and lives in between may have run newer versions.

    :param storage: the storage.
    :param record: the record written.
    """
    if record.incarnation < storage.seen.get(record.node_id, 0):
        return storage, None
    stored = storage.records.get(record.node_id)
    if stored is not None:
        lower = record.version < stored.record.version
        if lower or not is_newer(record, stored.record):
            return storage, stored.record
    records = storage.records if stored is not None else _evict(storage.records)
    writes = storage.writes + 1
    records = records.set(record.node_id, StoredRecord(record, None, writes))
    return replace(storage, records=records, writes=writes), record


def see_incarnation(storage: WitnessStorage, node_id: str, incarnation: int) -> WitnessStorage:
    """Note that a life of a node exists, and drop the node's record when it has become obsolete.

    The first life after the record may still need it to recover. Once a second one appears, the
    first may have run newer versions without this witness, and the record proves nothing.

    :param storage: the storage.
    :param node_id: the node.
    :param incarnation: the incarnation seen.
    """
    if incarnation <= storage.seen.get(node_id, 0):
        return storage
    if node_id not in storage.seen and len(storage.seen) >= MAX_SEEN:
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
    """Return the record held of a node.

    :param storage: the storage.
    :param node_id: the node.
    """
    stored = storage.records.get(node_id)
    return None if stored is None else stored.record


def newest_record(records: Iterable[WitnessRecord | None]) -> WitnessRecord | None:
    """Return the newest of the records that witnesses sent.

    :param records: the records; ``None`` stands for a witness that holds none.
    """
    newest: WitnessRecord | None = None
    for record in records:
        if record is not None and (newest is None or is_newer(record, newest)):
            newest = record
    return newest


def decide_recovery(replies: Mapping[str, WitnessRecord | None]) -> WitnessRecord | None:
    """Return the record that a restarted node may believe, or ``None`` when it may not yet.

    :param replies: replies by node id.
    """
    newest = newest_record(replies.values())
    if newest is None:
        return None
    holding = sum(replies.get(name) is not None for name in newest.witnesses)
    return newest if holding >= majority(len(newest.witnesses)) and holding else None
