"""The lender's side: shards held, buckets of their workspaces, answers to asks."""

from __future__ import annotations

import math
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.configuration import EMPTY_CONFIGURATION, Configuration, Workspace
from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.quota_events import (
    QuotaAsked,
    QuotaResult,
    SendQuotaGrant,
    ShardHeld,
    ShardLost,
)
from bamboonotch_core.quotas._bucket import (
    MS_PER_S,
    TokenBucket,
    fill_bucket,
    make_limits,
    start_bucket,
)
from bamboonotch_core.quotas._shards import shard_of
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.settings import QuotaSettings
from bamboonotch_core.transition import Transition

__all__ = ["HeldShard", "LenderState", "expire_shards", "hold_shard", "lend_tokens", "lose_shard"]

# Longest time that a refused asker is told because others were refused before it. Traffic that has
# moved away must not keep promises on tokens for much longer.
MAX_PROMISE_MS = 1000.0
# Refused askers of one lender come back at most this often, whatever the number of nodes.
RETURN_SPACING_MS = 2.0
# An asker told less than this would ask for nearly each request.
MIN_WAIT_MS = 50.0


@dataclass(frozen=True)
class HeldShard:
    """A shard that this node lends tokens for.

    :param since_ms: when it began to, in milliseconds.
    :param until_ms: when the lease ends, in milliseconds.
    """

    since_ms: float
    until_ms: float


@dataclass(frozen=True)
class LenderState:
    """What a node knows as a lender; lost with the process.

    :param shards: shards held.
    :param buckets: bucket of each workspace that tokens were asked for.
    :param next_return_ms: time that the next refused asker is told at the earliest.
    :param configuration: configuration as of which the buckets were last pruned.
    :param pruned_ms: when a bucket was last dropped with its workspace.
    :param granted: tokens granted so far, by shard.
    """

    shards: Map[int, HeldShard] = Map()
    buckets: Map[str, TokenBucket] = Map()
    next_return_ms: float = -math.inf
    configuration: Configuration = EMPTY_CONFIGURATION
    pruned_ms: float = -math.inf
    granted: Map[int, int] = Map()


Step = Transition[LenderState]


def _drop_shard(state: LenderState, shard: int, settings: QuotaSettings) -> LenderState:
    buckets = state.buckets
    for name in state.buckets:
        if shard_of(name, settings.shards) == shard:
            buckets = buckets.delete(name)
    shards = state.shards.delete(shard) if shard in state.shards else state.shards
    return replace_fields(state, buckets=buckets, shards=shards)


def hold_shard(state: LenderState, event: ShardHeld, settings: QuotaSettings) -> Step:
    """Begin to lend, or go on after a renewal.

    A renewal that comes after the end of the lease begins anew, with empty buckets.

    :param settings: section ``[quotas]``.
    """
    held = state.shards.get(event.shard)
    if event.until_ms <= event.now_ms:
        return Transition(state)
    if held is not None and event.now_ms < held.until_ms:
        longer = replace_fields(held, until_ms=max(held.until_ms, event.until_ms))
        return Transition(replace_fields(state, shards=state.shards.set(event.shard, longer)))
    state = _drop_shard(state, event.shard, settings)
    shards = state.shards.set(event.shard, HeldShard(event.now_ms, event.until_ms))
    lease_ms = event.until_ms - event.now_ms
    report = Report("quota-shard-gained", (("shard", event.shard), ("lease_ms", lease_ms)))
    return Transition(replace_fields(state, shards=shards), (report,))


def lose_shard(state: LenderState, event: ShardLost, settings: QuotaSettings) -> Step:
    """Stop lending for a shard.

    :param settings: section ``[quotas]``.
    """
    held = state.shards.get(event.shard)
    if held is None:
        return Transition(state)
    fields = (
        ("shard", event.shard),
        ("cause", event.cause),
        ("held_ms", event.now_ms - held.since_ms),
    )
    return Transition(
        _drop_shard(state, event.shard, settings), (Report("quota-shard-lost", fields),)
    )


def expire_shards(
    state: LenderState, configuration: Configuration, settings: QuotaSettings, now_ms: float
) -> Step:
    """Stop lending for shards whose lease has ended, and drop buckets of removed workspaces.

    :param configuration: the running configuration.
    :param settings: section ``[quotas]``.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    effects: list[Effect] = []
    for shard, held in state.shards.items():
        if now_ms >= held.until_ms:
            step = lose_shard(state, ShardLost(now_ms, shard, "lease-not-renewed"), settings)
            state = step.state
            effects.extend(step.effects)
    if configuration is not state.configuration:
        buckets = state.buckets
        for name in state.buckets:
            if name not in configuration.workspaces:
                buckets = buckets.delete(name)
        pruned_ms = state.pruned_ms if buckets is state.buckets else now_ms
        state = replace_fields(
            state, buckets=buckets, configuration=configuration, pruned_ms=pruned_ms
        )
    return Transition(state, tuple(effects))


def lend_tokens(
    state: LenderState, event: QuotaAsked, configuration: Configuration, settings: QuotaSettings
) -> Step:
    """Answer an ask; tokens leave the bucket before the answer and never return.

    :param configuration: the running configuration, which decides on the quota.
    :param settings: section ``[quotas]``.
    """
    held = state.shards.get(event.shard)
    right_shard = shard_of(event.workspace, settings.shards) == event.shard
    if held is None or event.now_ms >= held.until_ms or not right_shard:
        return _answer(state, event, QuotaResult.NOT_LENDER, 0, 0.0)
    workspace = configuration.workspaces.get(event.workspace)
    if workspace is None:
        return _answer(state, event, QuotaResult.UNKNOWN_WORKSPACE, 0, 0.0)
    if not workspace.rate_per_s > 0:
        return _answer(state, event, QuotaResult.GRANTED, event.tokens, 0.0)
    return _lend_from_bucket(state, event, workspace, held, settings)


def _lend_from_bucket(
    state: LenderState,
    event: QuotaAsked,
    workspace: Workspace,
    held: HeldShard,
    settings: QuotaSettings,
) -> Step:
    limits = make_limits(workspace, settings)
    bucket = state.buckets.get(event.workspace)
    if bucket is None:
        bucket = start_bucket(max(held.since_ms, state.pruned_ms), limits)
    bucket = fill_bucket(bucket, limits, event.now_ms)
    tokens = min(event.tokens, int(bucket.tokens))
    bucket = replace_fields(bucket, tokens=bucket.tokens - tokens)
    wait_ms = 0.0
    if tokens < event.tokens:
        bucket, wait_ms = _promise(state, bucket)
        return_ms = max(state.next_return_ms, bucket.updated_ms) + RETURN_SPACING_MS
        state = replace_fields(state, next_return_ms=return_ms)
    state = replace_fields(state, buckets=state.buckets.set(event.workspace, bucket))
    result = QuotaResult.GRANTED if tokens else QuotaResult.EXHAUSTED
    return _answer(state, event, result, tokens, wait_ms)


def _promise(state: LenderState, bucket: TokenBucket) -> tuple[TokenBucket, float]:
    """Return the time after which a refused asker may find a token, and note it in the bucket.

    Each refused asker is told the time of a token of its own, so that not all come for the same.
    """
    now_ms, limits = bucket.updated_ms, bucket.limits
    if not limits.rate_per_s > 0:
        return bucket, MAX_PROMISE_MS
    interval_ms = MS_PER_S / limits.rate_per_s
    token_ms = now_ms + (1.0 - bucket.tokens) * interval_ms
    own_ms = max(token_ms, min(bucket.promised_ms + interval_ms, now_ms + MAX_PROMISE_MS))
    # Half of the time in which the bucket fills, lest it overflow before the asker returns.
    least_ms = now_ms + min(MIN_WAIT_MS, 0.5 * limits.capacity * interval_ms)
    promised_ms = max(own_ms, least_ms, state.next_return_ms)
    return replace_fields(bucket, promised_ms=own_ms), promised_ms - now_ms


def _answer(
    state: LenderState, event: QuotaAsked, result: QuotaResult, tokens: int, wait_ms: float
) -> Step:
    if tokens:
        granted = state.granted.get(event.shard, 0) + tokens
        state = replace_fields(state, granted=state.granted.set(event.shard, granted))
    return Transition(state, (SendQuotaGrant(event.asker, event.ask_id, result, tokens, wait_ms),))
