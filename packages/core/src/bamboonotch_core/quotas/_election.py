"""Which nodes lend, and which compete for shards without a lender.

If every node without a shard looked for a free one, calls of the store would grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState

__all__ = ["Lender", "choose_shards", "find_lenders", "note_vacant"]

COMPETITORS = 2
# Every so often one more member competes for a shard that nobody takes.
STEP_IN_MS = 3000.0
# Members that compete for one shard at the same time, at most.
MAX_COMPETITORS = 6
# A node that has just started knows only itself; many would compete at the start of a fleet.
ALONE_MS = 2000.0
UNFIT_STATES = frozenset({MemberState.DEAD, MemberState.SUSPECT, MemberState.JOINING})


@dataclass(frozen=True)
class Lender:
    """A member that says that it lends tokens of a shard.

    :param sequence: sequence number of the record that says so.
    :param suspect: whether a neighbour reports that the node does not answer.
    """

    node_id: str
    peer_address: str
    incarnation: int
    sequence: int
    suspect: bool


def find_lenders(records: Iterable[MemberRecord]) -> Map[int, tuple[Lender, ...]]:
    """Return the members that lend tokens of each shard, those not suspected first.

    :param records: all member records.
    """
    found: dict[int, list[Lender]] = {}
    for record in records:
        if not record.quota_shards or record.state is MemberState.DEAD:
            continue
        lender = Lender(
            record.node_id,
            record.peer_address,
            record.incarnation,
            record.sequence,
            record.state is MemberState.SUSPECT,
        )
        for shard in record.quota_shards:
            found.setdefault(shard, []).append(lender)
    return Map(
        {
            shard: tuple(sorted(lenders, key=lambda item: (item.suspect, item.node_id)))
            for shard, lenders in found.items()
        }
    )


def note_vacant(
    vacant: Map[int, float], lenders: Map[int, tuple[Lender, ...]], shards: int, now_ms: float
) -> Map[int, float]:
    """Return since when each shard is without a lender that is not suspected.

    :param vacant: the same as known before.
    :param lenders: lenders by shard.
    :param shards: number of shards.
    :param now_ms: monotonic clock, in milliseconds.
    """
    for shard in range(shards):
        served = any(not lender.suspect for lender in lenders.get(shard, ()))
        if served and shard in vacant:
            vacant = vacant.delete(shard)
        elif not served and shard not in vacant:
            vacant = vacant.set(shard, now_ms)
    return vacant


def choose_shards(
    vacant: Map[int, float],
    records: Iterable[MemberRecord],
    own_id: str,
    is_alone: bool,
    now_ms: float,
) -> tuple[int, ...]:
    """Return the shards without a lender that this node competes for.

    :param vacant: since when each shard is without a lender.
    :param records: all member records; that of this node counts as fit.
    :param own_id: this node.
    :param is_alone: whether this node has no link to another.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not vacant:
        return ()
    fit = [item for item in records if item.state not in UNFIT_STATES or item.node_id == own_id]
    chosen = []
    for shard, since_ms in vacant.items():
        vacant_ms = now_ms - since_ms
        if is_alone and vacant_ms < ALONE_MS:
            continue
        ranked = sorted(fit, key=lambda item: (-item.link_mbps, _hash(item.node_id, shard)))
        last = COMPETITORS + int(vacant_ms / STEP_IN_MS)
        window = {
            ranked[place % len(ranked)].node_id
            for place in range(max(0, last - MAX_COMPETITORS), last)
        }
        if own_id in window:
            chosen.append(shard)
    return tuple(sorted(chosen))


@lru_cache(maxsize=16_384)
def _hash(node_id: str, shard: int) -> bytes:
    return blake2b(f"{shard}/{node_id}".encode(), digest_size=8).digest()
