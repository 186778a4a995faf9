"""Hashes of node ids and member records."""

from __future__ import annotations

from hashlib import blake2b

from bamboonotch_core.member_record import MemberRecord

__all__ = ["hash_node_id", "hash_record"]

HASH_BYTES = 8
_FIELD_SEPARATOR = "\x1f"


def _hash_text(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def hash_node_id(node_id: str) -> int:
    """Return a member's position on the ring: the 64-bit BLAKE2b hash of its node id."""
    return _hash_text(node_id)


def hash_record(record: MemberRecord) -> int:
    """Return the 64-bit BLAKE2b hash of all fields of a record."""
    fields = (
        record.node_id,
        str(record.incarnation),
        str(record.sequence),
        record.region,
        record.data_centre,
        record.peer_address,
        record.http_address,
        record.admin_address,
        record.service,
        str(record.slots),
        record.state.value,
        str(record.relay_slot),
        str(record.link_mbps),
        *(() if record.rate_limit_per_s is None else (str(record.rate_limit_per_s),)),
        *(f"shard {shard}" for shard in record.quota_shards),
        *((f"version={record.software_version}",) if record.software_version else ()),
    )
    return _hash_text(_FIELD_SEPARATOR.join(fields))
