"""What a node knows of orders and plans, and how it passes them on."""

from __future__ import annotations

from bamboonotch_core.replace import replace_fields
from bamboonotch_core.rollout_messages import (
    RolloutCounts,
    RolloutOrder,
    RolloutPlan,
    RolloutStatus,
)
from bamboonotch_core.rollouts._events import RolloutOrdersRead
from bamboonotch_core.rollouts._state import HeardCounts, KnownRollout, RolloutsState
from bamboonotch_core.rollouts._step import Step

__all__ = ["adopt", "barred_after", "take_counts", "take_orders", "take_plan"]

FINAL = frozenset({RolloutStatus.COMPLETED, RolloutStatus.ROLLED_BACK})
MAX_BARRED = 16


def barred_after(
    order: RolloutOrder, target_version: str, state: str, barred: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the versions that take no requests under a new order.

    :param order: the new order.
    :param target_version: target of the order before.
    :param state: state of the roll-out before.
    :param barred: versions that took no requests before.
    """
    if not order.target_version or not target_version:
        return ()
    kept = [version for version in barred if version != order.target_version]
    if state != RolloutStatus.COMPLETED and target_version != order.target_version:
        kept = [version for version in kept if version != target_version] + [target_version]
    return tuple(kept[-MAX_BARRED:])


def _is_newer(order: RolloutOrder, known: RolloutOrder) -> bool:
    return (order.epoch, order.revision) > (known.epoch, known.revision)


def take_orders(step: Step, event: RolloutOrdersRead) -> None:
    """Take over orders that the store brought."""
    for order in event.orders:
        _take_order(step, order)
    if not event.whole:
        return
    present = {order.service for order in event.orders}
    for service in [name for name in step.state.known if name not in present]:
        if step.state.known[service].order.target_version:
            withdrawn = RolloutOrder(service, "", 0, event.revision, event.epoch)
            _take_order(step, withdrawn)


def _take_order(step: Step, order: RolloutOrder) -> None:
    known = step.state.known.get(order.service)
    if known is None and not order.target_version:
        return
    if known is not None and not _is_newer(order, known.order):
        return
    if known is not None and order.target_version and known.order.key == order.key:
        plan = replace_fields(known.plan, order=order)
        adopt(step, replace_fields(known, plan=plan), "")
        return
    before = None if known is None else known.plan
    barred = (
        ()
        if before is None
        else barred_after(order, before.order.target_version, before.state, before.barred)
    )
    step.report(
        "rollout-ordered" if order.target_version else "rollout-withdrawn",
        service=order.service,
        target_version=order.target_version,
        duration_ms=order.duration_ms,
        revision=order.revision,
    )
    adopt(step, KnownRollout(RolloutPlan(order, barred=barred), step.now_ms, step.now_ms), "")


def take_plan(step: Step, plan: RolloutPlan, link_id: str) -> None:
    """Take over a plan that a peer sent, if it is newer than the one known."""
    known = step.state.known.get(plan.order.service)
    if known is None and not plan.order.target_version:
        return
    started_ms = step.now_ms - plan.elapsed_ms
    if known is None:
        adopt(step, KnownRollout(plan, started_ms, step.now_ms, plan.stopping), link_id)
        return
    if plan.rank <= known.plan.rank:
        return
    same = known.order.key == plan.order.key
    if same:
        started_ms = min(started_ms, known.started_ms)
    stopped = plan.stopping or (same and known.stopped)
    adopt(step, KnownRollout(plan, started_ms, step.now_ms, stopped), link_id)


def adopt(step: Step, known: KnownRollout, link_id: str) -> None:
    """Keep a plan and pass it on; reports where the state of the roll-out changes."""
    before = step.state.known.get(known.order.service)
    if known.plan.state in FINAL and (before is None or before.plan.state != known.plan.state):
        step.report(
            "rollout-state",
            service=known.order.service,
            target_version=known.order.target_version,
            state=known.plan.state,
            elapsed_ms=int(step.now_ms - known.started_ms),
            stopping=known.plan.stopping,
        )
    step.set_known(known)
    step.send_to_others(step.current_plan(known), link_id)
    if before is None or before.order.key != known.order.key:
        step.state = _without_counts(step.state, known)


def _without_counts(state: RolloutsState, known: KnownRollout) -> RolloutsState:
    counts = state.counts
    for place, heard in state.counts.items():
        if place[0] == known.order.service and heard.counts.order_key != known.order.key:
            counts = counts.delete(place)
    return replace_fields(state, counts=counts)


def take_counts(step: Step, counts: RolloutCounts, link_id: str) -> None:
    """Keep the counts of an owner and pass them on, if they are newer than those known."""
    known = step.state.known.get(counts.service)
    if known is None or known.order.key != counts.order_key:
        return
    place = (counts.service, counts.node_id, counts.software_version)
    heard = step.state.counts.get(place)
    if heard is not None:
        older = heard.counts
        if (counts.incarnation, counts.number) <= (older.incarnation, older.number):
            return
    changed = step.state.counts.set(place, HeardCounts(counts, step.now_ms))
    step.state = replace_fields(step.state, counts=changed)
    step.send_to_others(counts, link_id)
