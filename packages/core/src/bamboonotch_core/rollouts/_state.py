"""State of the roll-outs at one node."""

from __future__ import annotations

import math
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.rollout_messages import RolloutCounts, RolloutOrder, RolloutPlan

__all__ = ["Drive", "HeardCounts", "KnownRollout", "RolloutsState", "Tally", "Traffic"]


@dataclass(frozen=True)
class KnownRollout:
    """What this node knows of the roll-out of a service; times are on the monotonic clock.

    :param plan: the newest plan.
    :param started_ms: when the order was given at the latest, in milliseconds.
    :param heard_ms: when this node learned of the plan, in milliseconds.
    :param stopped: whether any driver has decided to roll the order back.
    """

    plan: RolloutPlan
    started_ms: float
    heard_ms: float
    stopped: bool = False

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self.plan.order


@dataclass(frozen=True)
class Traffic:
    """How an ingress divides the requests of a service.

    :param target_version: the version that a roll-out shifts to.
    :param share: share of the target version, 0 to 1.
    :param completed: whether no other version takes requests.
    :param barred: versions that take no requests.
    """

    target_version: str
    share: float
    completed: bool = False
    barred: tuple[str, ...] = ()


@dataclass(frozen=True)
class Tally:
    """What the backend server of one version has run since this node learned of the order.

    :param arrivals: requests taken.
    :param failures: failures by route.
    :param latencies: responses that are no failures, by route and latency bucket.
    """

    arrivals: int = 0
    failures: Map[str, int] = Map()
    latencies: Map[tuple[str, int], int] = Map()


@dataclass(frozen=True)
class HeardCounts:
    """Counts of an owner, and when they were heard.

    :param heard_ms: monotonic clock, in milliseconds.
    """

    counts: RolloutCounts
    heard_ms: float


@dataclass(frozen=True)
class Drive:
    """The part of a driver in one roll-out; times are on the monotonic clock.

    :param active: whether this node wrote or read the entry last, as far as it knows.
    :param busy_until_ms: until when a call of the store is in progress at most, in milliseconds; 0
        without one.
    :param next_ms: when the next step is due, in milliseconds.
    :param revision: revision of the entry that the next write replaces.
    :param pending: the plan being written, or ``None``.
    :param rate_per_s: requests of the service a second.
    :param rate_arrivals: requests of the service when the rate was measured.
    :param rate_ms: when it was measured, in milliseconds.
    """

    active: bool = False
    busy_until_ms: float = 0.0
    next_ms: float = 0.0
    revision: int = 0
    pending: RolloutPlan | None = None
    rate_per_s: float = 0.0
    rate_arrivals: int = 0
    rate_ms: float = 0.0


@dataclass(frozen=True)
class RolloutsState:
    """State of the roll-outs at one node; empty without an order.

    :param node_id: this node.
    :param known: roll-outs by service, with those that were withdrawn.
    :param counts: counts heard, by service, node and version.
    :param drives: parts as a driver, by service.
    :param tallies: what the backend server beside this node has run, by version.
    :param tally_key: key of the order that the tallies belong to.
    :param live: version and route of each attempt in progress at this node.
    :param lost_ms: when a lost response was last counted, on the monotonic clock in milliseconds.
    :param counts_number: number of the last counts sent.
    :param counts_due_ms: when the next counts are due, on the monotonic clock in milliseconds.
    """

    node_id: str
    known: Map[str, KnownRollout] = Map()
    counts: Map[tuple[str, str, str], HeardCounts] = Map()
    drives: Map[str, Drive] = Map()
    tallies: Map[str, Tally] = Map()
    tally_key: str = ""
    live: Map[str, tuple[str, str]] = Map()
    lost_ms: float = -math.inf
    counts_number: int = 0
    counts_due_ms: float = 0.0
