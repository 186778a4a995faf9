"""Allowances of the owners of a target version, whose sum stays inside the bound on exposure."""

from __future__ import annotations

from collections.abc import Iterable

from bamboonotch_core.rollout_messages import RolloutCounts, RolloutGrant, RolloutPlan
from bamboonotch_core.rollouts._steps import budget

__all__ = ["grant_allowances"]

# Time for which an allowance lasts at the expected rate: a step of the driver, the report of the
# owner, and the way of both through the fleet.
AHEAD_S = 1.5
MIN_AHEAD = 2


def grant_allowances(
    plan: RolloutPlan,
    owners: Iterable[RolloutCounts],
    rate_per_s: float,
    requests: int,
) -> tuple[int, tuple[RolloutGrant, ...]]:
    """Return the sum of all allowances, and the allowance of each owner.

    An allowance bounds the count of one process, so a message that is lost or late only leaves the
    owner with an earlier one, and no owner runs more without being heard again. An owner that this
    driver has given nothing yet starts from its count; what an earlier driver gave and was not
    used counts as spent.

    :param plan: the plan before, with the time since the order.
    :param owners: recent counts of the owners of the target version.
    :param rate_per_s: requests a second that the target version is to take.
    :param requests: requests that the service has taken since the order.
    """
    before = {(item.node_id, item.incarnation): item.allowance for item in plan.grants}
    ordered = sorted(owners, key=lambda item: (item.arrivals, item.node_id))
    ahead = MIN_AHEAD + int(AHEAD_S * rate_per_s / max(1, len(ordered)))
    room = budget(requests, plan.elapsed_ms, plan.order.duration_ms) - plan.granted
    granted = 0
    grants = []
    for owner in ordered:
        held = before.get((owner.node_id, owner.incarnation), owner.arrivals)
        more = max(0, min(owner.arrivals + ahead - held, room - granted))
        granted += more
        grants.append(RolloutGrant(owner.node_id, owner.incarnation, held + more))
    return plan.granted + granted, tuple(grants)
