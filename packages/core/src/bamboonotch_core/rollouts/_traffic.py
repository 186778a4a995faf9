"""How an ingress divides the requests of a service between versions."""

from __future__ import annotations

from bamboonotch_core.rollout_messages import RolloutStatus
from bamboonotch_core.rollouts._owner import PLAN_LIFETIME_MS
from bamboonotch_core.rollouts._state import RolloutsState, Traffic

__all__ = ["decide_traffic"]


def decide_traffic(state: RolloutsState, service: str, now_ms: float) -> Traffic | None:
    """Return how the requests of a service are divided, or ``None`` without an order.

    :param now_ms: monotonic clock, in milliseconds.
    """
    known = state.known.get(service)
    if known is None or not known.order.target_version:
        return None
    plan = known.plan
    if plan.state == RolloutStatus.COMPLETED:
        return Traffic(plan.order.target_version, 1.0, True, plan.barred)
    valid = now_ms - known.heard_ms <= PLAN_LIFETIME_MS and not known.stopped
    running = plan.state == RolloutStatus.RUNNING and valid
    return Traffic(plan.order.target_version, plan.share if running else 0.0, False, plan.barred)
