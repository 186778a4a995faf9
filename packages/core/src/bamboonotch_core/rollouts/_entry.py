"""The entry of the store in which drivers keep a plan."""

from __future__ import annotations

import json
from dataclasses import dataclass

from bamboonotch_core.rollout_messages import RolloutPlan, RolloutStatus

__all__ = ["Entry", "decode_entry", "encode_entry"]

STATES = frozenset({RolloutStatus.RUNNING, RolloutStatus.COMPLETED, RolloutStatus.ROLLED_BACK})


@dataclass(frozen=True)
class Entry:
    """A plan as the store keeps it, without the allowances of single owners.

    :param order_key: key of its order.
    :param target_version: target of its order.
    :param state: a value of :class:`RolloutStatus`.
    :param share: share of the target version.
    :param granted: sum of all allowances granted.
    :param elapsed_ms: time since the order when it was written, in milliseconds.
    :param barred: versions that take no requests.
    """

    order_key: str
    target_version: str
    state: str
    share: float
    granted: int
    elapsed_ms: float
    barred: tuple[str, ...]


def encode_entry(plan: RolloutPlan) -> bytes:
    """Encode a plan for the store."""
    fields = {
        "order": plan.order.key,
        "target": plan.order.target_version,
        "state": plan.state,
        "share": plan.share,
        "granted": plan.granted,
        "elapsed_ms": int(plan.elapsed_ms),
        "barred": list(plan.barred),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_entry(data: bytes) -> Entry | None:
    """Decode an entry, or return ``None`` when there is none or it is malformed."""
    try:
        raw = json.loads(data)
        entry = Entry(
            str(raw["order"]),
            str(raw["target"]),
            str(raw["state"]),
            float(raw["share"]),
            int(raw["granted"]),
            float(raw["elapsed_ms"]),
            tuple(str(version) for version in raw["barred"]),
        )
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return entry if entry.state in STATES else None
