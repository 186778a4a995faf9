"""The driver of a roll-out: one of the nodes that read the store.

A driver acts only through a conditional write of the entry of the roll-out, which names the order
and the entry that it was decided on. So of two drivers at most one succeeds in each step, and
what the nodes follow is always the result of a write. Only the decision to stop is passed on before
it is written, because stopping early does no harm.
"""

from __future__ import annotations

from hashlib import blake2b

from bamboonotch_core.replace import replace_fields
from bamboonotch_core.rollout_messages import RolloutPlan, RolloutStatus
from bamboonotch_core.rollouts._entry import Entry, decode_entry, encode_entry
from bamboonotch_core.rollouts._events import (
    ReadRollout,
    RolloutFailed,
    RolloutRead,
    RolloutWritten,
    WriteRollout,
)
from bamboonotch_core.rollouts._evidence import Evidence, find_fault, sum_evidence
from bamboonotch_core.rollouts._grants import grant_allowances
from bamboonotch_core.rollouts._knowledge import FINAL, adopt, barred_after
from bamboonotch_core.rollouts._state import Drive, HeardCounts, KnownRollout
from bamboonotch_core.rollouts._step import Step
from bamboonotch_core.rollouts._steps import (
    COMPLETE_AT,
    GIVE_UP_AT,
    HANDOVER_AT,
    SETTLE_AT,
    is_settling,
    share_at,
)

__all__ = ["advance_drivers", "note_failure", "note_read", "note_written"]

STEP_MS = 500.0
# A driver whose plans are missed for this long is replaced; it writes every STEP_MS.
TAKEOVER_MS = 1500.0
# Drivers step in at different times, so that mostly one does.
TAKEOVER_SPREAD_MS = 1000.0
RETRY_MS = 300.0
# A call of the store without any answer is given up; calls end by themselves much earlier.
CALL_LIMIT_MS = 10_000.0
# Counts older than this say nothing of what an owner runs now.
FRESH_COUNTS_MS = 1500.0
# Time in which all owners report after the last step has begun.
SETTLE_REPORT_MS = 1200.0
# Time in which the allowances of the hand-over reach their owners: a step and the way.
HANDOVER_MS = 600.0
RATE_INTERVAL_MS = 1000.0


def _share_of_node(node_id: str, service: str) -> float:
    digest = blake2b(f"{node_id}\n{service}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


def advance_drivers(step: Step) -> None:
    """Let this node drive the roll-outs that are its turn, if it reads the store."""
    for service, known in step.state.known.items():
        if not known.order.target_version or _is_finished(known):
            continue
        drive = step.state.drives.get(service, Drive())
        if step.now_ms < drive.busy_until_ms:
            continue
        if drive.active:
            if step.now_ms >= drive.next_ms:
                _write_next(step, known, drive)
        elif step.view.is_store_reader and step.now_ms >= _due_ms(step, known, drive):
            busy = replace_fields(drive, busy_until_ms=step.now_ms + CALL_LIMIT_MS)
            step.set_drive(service, busy)
            step.effects.append(ReadRollout(service))


def _is_finished(known: KnownRollout) -> bool:
    if known.plan.state == RolloutStatus.COMPLETED:
        return True
    return known.plan.state in FINAL and not known.plan.stopping


def _due_ms(step: Step, known: KnownRollout, drive: Drive) -> float:
    spread_ms = TAKEOVER_SPREAD_MS * _share_of_node(step.state.node_id, known.order.service)
    missed_ms = TAKEOVER_MS if known.plan.number else 0.0
    return max(drive.next_ms, known.heard_ms + missed_ms + spread_ms)


def note_failure(step: Step, event: RolloutFailed) -> None:
    """Read the entry again after a call that failed or came too late."""
    drive = step.state.drives.get(event.service)
    if drive is None:
        return
    step.report("rollout-call-failed", service=event.service, reason=event.reason)
    retry_ms = RETRY_MS * (1 + _share_of_node(step.state.node_id, event.service))
    step.set_drive(event.service, Drive(next_ms=step.now_ms + retry_ms))


def note_written(step: Step, event: RolloutWritten) -> None:
    """Follow a plan that was written, and pass it on."""
    drive = step.state.drives.get(event.service)
    known = step.state.known.get(event.service)
    if drive is None or drive.pending is None or known is None:
        return
    plan = replace_fields(drive.pending, number=event.revision)
    step.set_drive(
        event.service,
        replace_fields(
            drive,
            busy_until_ms=0.0,
            next_ms=step.now_ms + STEP_MS,
            revision=event.revision,
            pending=None,
        ),
    )
    if plan.rank > known.plan.rank and plan.order.key == known.order.key:
        adopt(step, KnownRollout(plan, known.started_ms, step.now_ms, known.stopped), "")


def note_read(step: Step, event: RolloutRead) -> None:
    """Begin to drive from the entry in the store, or follow it when it is final."""
    known = step.state.known.get(event.service)
    drive = step.state.drives.get(event.service)
    if known is None or drive is None or not known.order.target_version:
        return
    entry = decode_entry(event.data) if event.data else None
    drive = replace_fields(drive, busy_until_ms=0.0, revision=event.revision, active=True)
    plan = _plan_from(known, entry, event.revision)
    if entry is not None and entry.order_key == known.order.key:
        started_ms = min(known.started_ms, step.now_ms - entry.elapsed_ms)
        known = replace_fields(known, started_ms=started_ms)
        if entry.state in FINAL and plan.rank > known.plan.rank:
            step.set_drive(event.service, replace_fields(drive, active=False))
            adopt(step, replace_fields(known, plan=plan, heard_ms=step.now_ms), "")
            return
    known = replace_fields(known, plan=replace_fields(known.plan, barred=plan.barred))
    step.set_known(known)
    step.set_drive(event.service, drive)
    step.report("rollout-driven", service=event.service, revision=event.revision)
    _write_next(step, replace_fields(known, plan=_with_spent(known, plan)), drive)


def _plan_from(known: KnownRollout, entry: Entry | None, revision: int) -> RolloutPlan:
    """Return the plan that an entry describes under the order in force."""
    order = known.order
    if entry is None:
        return RolloutPlan(order, revision, barred=known.plan.barred)
    if entry.order_key == order.key:
        return RolloutPlan(
            order, revision, entry.state, entry.share, entry.granted, barred=entry.barred
        )
    barred = barred_after(order, entry.target_version, entry.state, entry.barred)
    kept = entry.target_version == order.target_version and entry.state == RolloutStatus.COMPLETED
    state = RolloutStatus.COMPLETED if kept else RolloutStatus.PENDING
    return RolloutPlan(order, revision, state, barred=barred)


def _with_spent(known: KnownRollout, plan: RolloutPlan) -> RolloutPlan:
    """Return the plan of the entry with the stop that this node may know of."""
    return replace_fields(plan, stopping=known.plan.stopping)


def _write_next(step: Step, known: KnownRollout, drive: Drive) -> None:
    service = known.order.service
    drive = _measure_rate(step, known, drive)
    plan = _next_plan(step, known, drive)
    pending = replace_fields(plan, number=drive.revision, stopping=False)
    with_status = plan.state != known.plan.state or known.plan.stopping or not known.plan.number
    step.set_drive(
        service,
        replace_fields(drive, pending=pending, busy_until_ms=step.now_ms + CALL_LIMIT_MS),
    )
    step.effects.append(WriteRollout(pending, encode_entry(pending), with_status))


def _counts_of(step: Step, known: KnownRollout) -> list[HeardCounts]:
    return [
        heard
        for place, heard in step.state.counts.items()
        if place[0] == known.order.service and heard.counts.order_key == known.order.key
    ]


def _measure_rate(step: Step, known: KnownRollout, drive: Drive) -> Drive:
    arrivals = sum(heard.counts.arrivals for heard in _counts_of(step, known))
    passed_ms = step.now_ms - drive.rate_ms
    if drive.rate_ms and passed_ms < RATE_INTERVAL_MS:
        return drive
    rate = drive.rate_per_s
    if drive.rate_ms:
        rate = max(0.0, (arrivals - drive.rate_arrivals) * 1000.0 / passed_ms)
    return replace_fields(
        drive, rate_per_s=rate, rate_arrivals=arrivals, rate_ms=max(step.now_ms, 1.0)
    )


def _next_plan(step: Step, known: KnownRollout, drive: Drive) -> RolloutPlan:
    """Return what a driver decides now."""
    plan, order = known.plan, known.order
    elapsed_ms = step.now_ms - known.started_ms
    plan = replace_fields(plan, elapsed_ms=elapsed_ms)
    heard = _counts_of(step, known)
    target = [item for item in heard if item.counts.software_version == order.target_version]
    others = [
        item
        for item in heard
        if item.counts.software_version not in (*plan.barred, order.target_version)
    ]
    new = sum_evidence(item.counts for item in target)
    old = sum_evidence(item.counts for item in others)
    if known.stopped or plan.state == RolloutStatus.ROLLED_BACK:
        return _final(plan, RolloutStatus.ROLLED_BACK)
    if plan.state == RolloutStatus.COMPLETED:
        return _final(plan, RolloutStatus.COMPLETED)
    cause = find_fault(new, old) or _overdue_cause(step, plan, target)
    if cause:
        return _stop(step, known, plan, cause, new)
    if _may_complete(step, known, target, others, old):
        return _final(plan, RolloutStatus.COMPLETED)
    fresh = [
        item.counts
        for item in target
        if item.counts.ready and step.now_ms - item.heard_ms <= FRESH_COUNTS_MS
    ]
    share = share_at(elapsed_ms, order.duration_ms, drive.rate_per_s)
    granted, grants = grant_allowances(
        plan,
        fresh,
        share * drive.rate_per_s,
        new.arrivals + old.arrivals,
    )
    return replace_fields(
        plan, state=RolloutStatus.RUNNING, share=share, granted=granted, grants=grants
    )


def _final(plan: RolloutPlan, state: str) -> RolloutPlan:
    share = 1.0 if state == RolloutStatus.COMPLETED else 0.0
    return replace_fields(plan, state=state, share=share, grants=())


def _overdue_cause(step: Step, plan: RolloutPlan, target: list[HeardCounts]) -> str:
    """Return why a roll-out that has not been completed in time is rolled back."""
    if plan.elapsed_ms < GIVE_UP_AT * plan.order.duration_ms:
        return ""
    serving = any(
        item.counts.ready and step.now_ms - item.heard_ms <= FRESH_COUNTS_MS for item in target
    )
    if plan.elapsed_ms >= plan.order.duration_ms:
        return "its time limit has passed"
    return "" if serving else "no backend server of the version is ready"


def _stop(
    step: Step, known: KnownRollout, plan: RolloutPlan, cause: str, new: Evidence
) -> RolloutPlan:
    """Pass a decision to roll back on before it is written."""
    step.report(
        "rollout-stopped",
        service=known.order.service,
        target_version=known.order.target_version,
        reason=cause,
        arrivals=new.arrivals,
        granted=plan.granted,
        elapsed_ms=int(plan.elapsed_ms),
    )
    stopped = replace_fields(_final(plan, RolloutStatus.ROLLED_BACK), stopping=True)
    stopped = replace_fields(stopped, number=known.plan.number)
    adopt(step, KnownRollout(stopped, known.started_ms, step.now_ms, True), "")
    return stopped


def _may_complete(
    step: Step,
    known: KnownRollout,
    target: list[HeardCounts],
    others: list[HeardCounts],
    old: Evidence,
) -> bool:
    """Tell whether the version is good and the others are without work, or the time is short."""
    elapsed_ms = step.now_ms - known.started_ms
    duration_ms = known.order.duration_ms
    if not is_settling(elapsed_ms, duration_ms):
        return False
    serving = any(
        item.counts.ready and step.now_ms - item.heard_ms <= FRESH_COUNTS_MS for item in target
    )
    if not serving or known.plan.share < 1.0:
        return False
    handed_over_ms = HANDOVER_AT * duration_ms + HANDOVER_MS
    if elapsed_ms >= max(COMPLETE_AT * duration_ms, handed_over_ms):
        return True
    settled_ms = known.started_ms + SETTLE_AT * duration_ms + SETTLE_REPORT_MS
    reported = all(item.heard_ms >= settled_ms for item in others)
    return step.now_ms >= settled_ms and reported and not old.running
