"""Token buckets of the lender."""

from __future__ import annotations

import math
from dataclasses import dataclass

from bamboonotch_core.configuration import Workspace
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.settings import QuotaSettings

__all__ = ["BucketLimits", "TokenBucket", "fill_bucket", "make_limits", "start_bucket"]

MS_PER_S = 1000.0
# A bucket smaller than this loses tokens between asks that come at random.
MIN_CAPACITY_SHARE_OF_SLACK = 0.5


@dataclass(frozen=True)
class BucketLimits:
    """How a bucket is filled.

    :param rate_per_s: tokens that come in a second.
    :param capacity: tokens that it holds at most; at least 1.
    """

    rate_per_s: float
    capacity: float


@dataclass(frozen=True)
class TokenBucket:
    """Tokens of one workspace at the lender.

    :param tokens: tokens at ``updated_ms``.
    :param updated_ms: when the tokens were last counted, in milliseconds.
    :param limits: how it was filled until now.
    :param promised_ms: time that the last refused asker was told, in milliseconds.
    """

    tokens: float
    updated_ms: float
    limits: BucketLimits
    promised_ms: float = -math.inf


def make_limits(workspace: Workspace, settings: QuotaSettings) -> BucketLimits:
    """Return the limits of a workspace's bucket that keep its quota in every window.

    Tokens used in a window were issued in it or up to the validity of a token before it. What they
    exceed the quota by must fit into overage and slack; if it does not, the bucket gets smaller,
    and once it cannot get smaller, tokens come more slowly.

    :param workspace: the workspace, with a limit.
    :param settings: section ``[quotas]``.
    """
    window_s = settings.window_ms / MS_PER_S
    issuing_s = window_s + settings.validity_ms / MS_PER_S
    quota = workspace.rate_per_s * window_s + workspace.burst
    allowed = quota * (1.0 + settings.overage) + settings.slack
    wanted = max(1.0, workspace.burst, MIN_CAPACITY_SHARE_OF_SLACK * settings.slack)
    capacity = max(1.0, min(wanted, allowed - workspace.rate_per_s * issuing_s))
    rate_per_s = min(workspace.rate_per_s, max(0.0, allowed - capacity) / issuing_s)
    return BucketLimits(rate_per_s, capacity)


def start_bucket(since_ms: float, limits: BucketLimits) -> TokenBucket:
    """Return the bucket of a workspace for which nothing has been lent since a time.

    It was empty then, because a former lender may have emptied its bucket right before.

    :param since_ms: when this node became the lender, in milliseconds.
    :param limits: how it is filled.
    """
    return TokenBucket(0.0, since_ms, limits)


def fill_bucket(bucket: TokenBucket, limits: BucketLimits, now_ms: float) -> TokenBucket:
    """Return a bucket with the tokens that have come until now.

    :param bucket: the bucket.
    :param limits: how it is filled from now on; for the time before, the lower rate holds.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    now_ms = max(now_ms, bucket.updated_ms)
    rate_per_s = min(bucket.limits.rate_per_s, limits.rate_per_s)
    come = (now_ms - bucket.updated_ms) / MS_PER_S * rate_per_s
    tokens = min(limits.capacity, bucket.tokens + come)
    return replace_fields(bucket, tokens=tokens, updated_ms=now_ms, limits=limits)
