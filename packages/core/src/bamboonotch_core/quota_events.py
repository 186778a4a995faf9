"""Events and effects of the part that lends and borrows tokens of workspaces' quotas."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bamboonotch_core.effects import Effect
from bamboonotch_core.events import Event

__all__ = [
    "CompeteForShards",
    "QuotaAnswered",
    "QuotaAskLost",
    "QuotaAsked",
    "QuotaResult",
    "QuotaShardsChanged",
    "SendQuotaAsk",
    "SendQuotaGrant",
    "ShardHeld",
    "ShardLost",
]


class QuotaResult(Enum):
    """A lender's answer to an ask, with its name in logs as the value."""

    GRANTED = "granted"
    EXHAUSTED = "exhausted"
    UNKNOWN_WORKSPACE = "unknown-workspace"
    NOT_LENDER = "not-lender"


@dataclass(frozen=True)
class QuotaAsked(Event):
    """Lender: a node asks for tokens.

    :param asker: names the stream that takes the answer; empty when this node itself asks.
    :param ask_id: names the ask for the answer.
    :param shard: shard that the asker takes the workspace for.
    :param workspace: the workspace.
    :param tokens: tokens wanted, at least 1.
    """

    asker: str
    ask_id: int
    shard: int
    workspace: str
    tokens: int


@dataclass(frozen=True)
class QuotaAnswered(Event):
    """Borrower: the lender answered an ask.

    :param ask_id: the ask.
    :param result: the answer.
    :param tokens: tokens granted.
    :param wait_ms: time until another ask makes sense, in milliseconds; 0 when nothing was refused.
    """

    ask_id: int
    result: QuotaResult
    tokens: int
    wait_ms: float


@dataclass(frozen=True)
class QuotaAskLost(Event):
    """Borrower: the stream of an ask closed, or could not be opened.

    :param ask_id: the ask.
    """

    ask_id: int


@dataclass(frozen=True)
class ShardHeld(Event):
    """Lender: this node holds the entry of a shard in the store, or has renewed its lease.

    :param shard: the shard.
    :param until_ms: end of the lease on this node's clock, see
        :func:`bamboonotch_core.quotas.lease_end_ms`.
    """

    shard: int
    until_ms: float


@dataclass(frozen=True)
class ShardLost(Event):
    """Lender: this node no longer holds the entry of a shard.

    :param shard: the shard.
    :param cause: why, lower case with dashes.
    """

    shard: int
    cause: str


@dataclass(frozen=True)
class QuotaShardsChanged(Event):
    """Membership: the shards that this node lends tokens for have changed.

    :param shards: the shards, in order.
    """

    shards: tuple[int, ...]


@dataclass(frozen=True)
class SendQuotaAsk(Effect):
    """Borrower: ask a lender for tokens; answered by ``QuotaAnswered`` or ``QuotaAskLost``.

    :param ask_id: names the ask.
    :param lender_id: node id of the lender, which may be this node.
    :param lender_address: ``ip:port`` of the lender's peer port.
    :param shard: shard of the workspace.
    :param workspace: the workspace.
    :param tokens: tokens wanted.
    """

    ask_id: int
    lender_id: str
    lender_address: str
    shard: int
    workspace: str
    tokens: int


@dataclass(frozen=True)
class SendQuotaGrant(Effect):
    """Lender: answer an ask.

    :param asker: names the stream that takes the answer.
    :param ask_id: the ask.
    :param result: the answer.
    :param tokens: tokens granted.
    :param wait_ms: time until another ask makes sense, in milliseconds.
    """

    asker: str
    ask_id: int
    result: QuotaResult
    tokens: int
    wait_ms: float


@dataclass(frozen=True)
class CompeteForShards(Effect):
    """Hold these shards or keep trying to; give up all of them when there are none.

    Answered by ``ShardHeld`` and ``ShardLost`` as they happen.

    :param shards: the shards.
    """

    shards: tuple[int, ...]
