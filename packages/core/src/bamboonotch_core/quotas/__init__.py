"""Quotas of workspaces: lenders of tokens, borrowers, and who becomes a lender."""

from bamboonotch_core.quotas._borrower import (
    AskResult,
    BorrowerState,
    Closing,
    Decision,
    RefusalCause,
    drop_workspaces,
    expire_asks,
    forget_waiting,
    request_token,
    take_answer,
    take_loss,
)
from bamboonotch_core.quotas._bucket import BucketLimits, make_limits
from bamboonotch_core.quotas._election import Lender, choose_shards, find_lenders, note_vacant
from bamboonotch_core.quotas._lease import (
    ShardEntry,
    lease_end_ms,
    lend_from_ms,
    may_take_over,
    parse_entry,
)
from bamboonotch_core.quotas._lender import (
    HeldShard,
    LenderState,
    expire_shards,
    hold_shard,
    lend_tokens,
    lose_shard,
)
from bamboonotch_core.quotas._shards import find_limited, has_limits, shard_of

__all__ = [
    "AskResult",
    "BorrowerState",
    "BucketLimits",
    "Closing",
    "Decision",
    "HeldShard",
    "Lender",
    "LenderState",
    "RefusalCause",
    "ShardEntry",
    "choose_shards",
    "drop_workspaces",
    "expire_asks",
    "expire_shards",
    "find_lenders",
    "find_limited",
    "forget_waiting",
    "has_limits",
    "hold_shard",
    "lease_end_ms",
    "lend_from_ms",
    "lend_tokens",
    "lose_shard",
    "make_limits",
    "may_take_over",
    "note_vacant",
    "parse_entry",
    "request_token",
    "shard_of",
    "take_answer",
    "take_loss",
]
