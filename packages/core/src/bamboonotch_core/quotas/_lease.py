"""Rules by which a node may believe that it is the only lender of a shard.

They hold whatever the store, the links and the process do; see ``docs/design/quotas.md``.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict, dataclass

__all__ = ["ShardEntry", "lease_end_ms", "lend_from_ms", "may_take_over", "parse_entry"]

# The clocks of a node and of the store may differ in speed by this share.
CLOCK_MARGIN_SHARE = 0.02


@dataclass(frozen=True)
class ShardEntry:
    """Value of a shard's entry in the store.

    :param node_id: the lender.
    :param epoch: epoch of the store in which the lender wrote it.
    :param settled: whether every lease of an earlier epoch had ended by then.
    """

    node_id: str
    epoch: int
    settled: bool

    def encode(self) -> bytes:
        """Return the value as it is in the store."""
        return json.dumps(asdict(self)).encode()


def parse_entry(value: bytes) -> ShardEntry | None:
    """Return the entry, or ``None`` if it is malformed.

    :param value: the value in the store.
    """
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError):
        return None
    if not isinstance(raw, dict):
        return None
    node_id, epoch, settled = raw.get("node_id"), raw.get("epoch"), raw.get("settled")
    if not isinstance(node_id, str) or type(epoch) is not int or type(settled) is not bool:
        return None
    return ShardEntry(node_id, epoch, settled)


def lease_end_ms(sent_ms: float, answered_ms: float, lifetime_ms: float) -> float:
    """Return until when this node may lend on a lease.

    The store restarts the lifetime between the sending and the answer, so only the time of sending
    is never too late.

    :param sent_ms: when the last call that was answered was sent, on the node's clock.
    :param answered_ms: when it was answered.
    :param lifetime_ms: lifetime of the lease, in milliseconds.
    """
    del answered_ms
    return sent_ms + lifetime_ms * (1.0 - CLOCK_MARGIN_SHARE)


def may_take_over(entry: ShardEntry | None, node_id: str) -> bool:
    """Tell whether a node may replace the entry that it has found.

    Only its own: the process that wrote it has ended, because a VM runs one process of a node.

    :param entry: the entry found; ``None`` if it is malformed.
    :param node_id: the node.
    """
    return entry is not None and entry.node_id == node_id


def lend_from_ms(
    found: ShardEntry | None, epoch: int, epoch_since_ms: float, lifetime_ms: float
) -> float:
    """Return from when a node that has written the entry of a shard may lend.

    A store that was restored from a copy has forgotten the leases after that copy. Their holders
    lend until their leases end, which is within one lifetime after the new epoch has begun.

    :param found: the entry of this node that was replaced; ``None`` if there was none.
    :param epoch: epoch of the store; 0 if it states none, then it is never restored.
    :param epoch_since_ms: when this node first heard of that epoch.
    :param lifetime_ms: lifetime of a lease, in milliseconds.
    """
    settled = found is not None and found.settled and found.epoch == epoch
    if not epoch or settled:
        return -math.inf
    return epoch_since_ms + lifetime_ms
