"""Merging of member records into the directory, and the updates that follow from a change."""

from __future__ import annotations

from bamboonotch_core.member_record import MemberRecord, MemberState, supersedes
from bamboonotch_core.membership._dead_dials import dial_dead_neighbour
from bamboonotch_core.membership._directory import put_record
from bamboonotch_core.membership._spreading import queue_record, record_holder, send_records
from bamboonotch_core.membership._state import ForgottenMember, Link, Suspect
from bamboonotch_core.membership._work import Step
from bamboonotch_core.replace import replace_fields

__all__ = ["merge_record", "publish_own", "refute_newer_claim", "store_record"]

# A region that was partitioned, at times for an hour, can send outdated records when it returns.
FORGOTTEN_RETENTION_FACTOR = 12

# Without this limit, two processes with one node id would raise their incarnations against each
# other as fast as the network allows. A claim that is ignored comes again with the next exchange.
MIN_INCARNATION_RAISE_INTERVAL_MS = 1_000

_SUSPECT_OR_DEAD = (MemberState.SUSPECT, MemberState.DEAD)
_LEAVING_STATES = (MemberState.DRAINING, MemberState.STOPPED)


def merge_record(step: Step, record: MemberRecord, link: Link | None) -> None:
    """Store a valid record from a peer if it is newer than the one held.

    :param link: the link that the record came from, or ``None``.
    """
    if record.node_id == step.own_record.node_id:
        if link is not None and record == step.own_record:
            record_holder(step, record.node_id, link)
        refute_newer_claim(step, record.incarnation, record.sequence, record)
        return
    held = step.state.directory.records.get(record.node_id)
    if held is None:
        _merge_unknown(step, record, link)
    elif supersedes(record, held):
        store_record(step, _downgrade_death(record, held), link)
    elif link is not None and record == held:
        record_holder(step, record.node_id, link)


def _downgrade_death(record: MemberRecord, held: MemberRecord) -> MemberRecord:
    """Return a record with the death of a member that is not suspect here turned into suspect.

    A partitioned part of a region declares the rest dead. When the partition heals, the rest gets
    the time to refute before rings are rebuilt without it.
    """
    if record.state is MemberState.DEAD and held.state not in _SUSPECT_OR_DEAD:
        return replace_fields(record, state=MemberState.SUSPECT)
    return record


def publish_own(step: Step, record: MemberRecord) -> None:
    """Replace the own record and queue it for sending."""
    step.change_own(record=record)
    store_record(step, record, None)


def refute_newer_claim(
    step: Step, incarnation: int, sequence: int, record: MemberRecord | None = None
) -> None:
    """Refute a claim about this node that would supersede the own record.

    The own record gets a higher sequence number, or a higher incarnation.

    :param incarnation: claimed incarnation of this node.
    :param sequence: claimed sequence number of this node.
    :param record: the claimed record, or ``None`` for a suspicion.
    """
    own = step.own_record
    if record == own or (incarnation, sequence) < (own.incarnation, own.sequence):
        return
    if incarnation > own.incarnation:
        if step.now_ms - step.state.own.incarnation_raised_ms < MIN_INCARNATION_RAISE_INTERVAL_MS:
            return
        raised = replace_fields(own, incarnation=incarnation + 1, sequence=0)
        step.change_own(incarnation_raised_ms=step.now_ms)
        step.report("incarnation-raised", incarnation=raised.incarnation)
    else:
        raised = replace_fields(own, sequence=sequence + 1)
        step.report("refuted", sequence=raised.sequence)
    publish_own(step, raised)
    step.urgent = True


def store_record(
    step: Step, record: MemberRecord, link: Link | None, other_regions_only: bool = False
) -> None:
    """Store a newer record, queue it for sending, and update the state that depends on it.

    :param link: the link that the record came from, or ``None``.
    :param other_regions_only: whether only other regions need the record, because the members of
        this region derive the change by themselves.
    """
    old = step.state.directory.records.get(record.node_id)
    _replace_in_directory(step, old, record)
    # Suspicions and refutations must cross the region within the suspicion time.
    urgent = _update_detection(step, old, record)
    step.urgent = step.urgent or urgent or _is_leaving(old, record)
    # Until a node knows the lender of a shard, it refuses the requests of its workspaces.
    step.urgent = step.urgent or (old is not None and old.quota_shards != record.quota_shards)
    _report_change(step, old, record)
    queue_record(step, record.node_id, link, other_regions_only)
    if record.state is MemberState.DEAD:
        dial_dead_neighbour(step, record)


def _merge_unknown(step: Step, record: MemberRecord, link: Link | None) -> None:
    forgotten = step.state.detection.forgotten.get(record.node_id)
    if forgotten is not None and (record.incarnation, record.sequence) <= (
        forgotten.incarnation,
        forgotten.sequence,
    ):
        if link is not None and record.state is not MemberState.DEAD:
            death = replace_fields(
                record,
                incarnation=forgotten.incarnation,
                sequence=forgotten.sequence,
                state=MemberState.DEAD,
            )
            send_records(step, link, [death])
        return
    if record.state is MemberState.DEAD:
        _remember_death(step, record)
    elif _has_directory_capacity(step):
        store_record(step, record, link)


def _remember_death(step: Step, record: MemberRecord) -> None:
    detection = step.state.detection
    if len(detection.forgotten) >= step.settings.max_members:
        return
    until_ms = step.now_ms + FORGOTTEN_RETENTION_FACTOR * step.settings.dead_retention_ms
    entry = ForgottenMember(record.incarnation, record.sequence, until_ms)
    step.change_detection(
        forgotten=detection.forgotten.set(record.node_id, entry),
        next_expiry_ms=min(detection.next_expiry_ms, until_ms),
    )


def _has_directory_capacity(step: Step) -> bool:
    if len(step.state.directory.records) < step.settings.max_members:
        return True
    schedule = step.state.schedule
    if step.now_ms >= schedule.next_full_report_ms:
        step.report("members-full", max_members=step.settings.max_members)
        step.change_schedule(next_full_report_ms=step.now_ms + step.settings.redial_ms)
    return False


def _replace_in_directory(step: Step, old: MemberRecord | None, record: MemberRecord) -> None:
    before = step.state.directory.regions
    step.set_directory(put_record(step.state.directory, record))
    after = step.state.directory.regions
    for region in {record.region, record.region if old is None else old.region}:
        members_before, members_after = before.get(region), after.get(region)
        if members_before is members_after:
            continue
        live_changed = (
            members_before is None
            or members_after is None
            or members_before.live is not members_after.live
        )
        step.mark_region(region, live_changed)


def _update_detection(step: Step, old: MemberRecord | None, record: MemberRecord) -> bool:
    """Update the detection state for a new record.

    :returns: whether the record must be sent without waiting for the next tick.
    """
    node_id = record.node_id
    urgent = _clear_unreachable_region(step, record)
    detection = step.state.detection
    suspects, dead_since = detection.suspects, detection.dead_since
    if record.state not in _SUSPECT_OR_DEAD:
        urgent = urgent or node_id in suspects or node_id in dead_since
    if record.state is MemberState.SUSPECT:
        urgent = True
        previous_state = MemberState.STOPPED if old is None else old.state
        if node_id in suspects:
            previous_state = suspects[node_id].previous_state
        suspects = suspects.set(node_id, Suspect(step.now_ms, previous_state))
    elif node_id in suspects:
        suspects = suspects.delete(node_id)
    if record.state is MemberState.DEAD:
        expiry_ms = step.now_ms + step.settings.dead_retention_ms
        step.change_detection(next_expiry_ms=min(detection.next_expiry_ms, expiry_ms))
        dead_since = dead_since.set(node_id, step.now_ms)
    elif node_id in dead_since:
        dead_since = dead_since.delete(node_id)
    if suspects is not detection.suspects:
        step.raise_routing_generation()
    if suspects is not detection.suspects or dead_since is not detection.dead_since:
        step.change_detection(suspects=suspects, dead_since=dead_since)
    if record.state is not MemberState.SUSPECT and node_id in detection.suspicion_reports:
        urgent = urgent or record.state is not MemberState.DEAD
        step.change_detection(suspicion_reports=detection.suspicion_reports.delete(node_id))
        step.raise_routing_generation()
    if node_id in detection.forgotten:
        step.change_detection(forgotten=detection.forgotten.delete(node_id))
    return urgent


def _is_leaving(old: MemberRecord | None, record: MemberRecord) -> bool:
    """Return whether a ready member has begun to leave.

    The other members must learn of it soon (P7).
    """
    return old is not None and old.state is MemberState.READY and record.state in _LEAVING_STATES


def _clear_unreachable_region(step: Step, record: MemberRecord) -> bool:
    """Mark a region reachable when the member named in the report on it has a new record.

    :returns: whether the region was unreachable until now.
    """
    entry = step.state.detection.cuts.get(record.region)
    if entry is None or entry.node_id != record.node_id:
        return False
    step.change_detection(cuts=step.state.detection.cuts.delete(record.region))
    failed = step.state.overlay.failed_contacts
    if record.region in failed:
        step.change_overlay(failed_contacts=failed.delete(record.region))
    step.raise_routing_generation()
    step.report(
        "region-reachable", region=record.region, reason="new record of the reported member"
    )
    return True


def _report_change(step: Step, old: MemberRecord | None, record: MemberRecord) -> None:
    if old is None or (old.state is MemberState.DEAD and record.state is not MemberState.DEAD):
        step.report("member-joined", node_id=record.node_id, incarnation=record.incarnation)
    if record.state is MemberState.DEAD:
        step.report(
            "member-dead",
            node_id=record.node_id,
            incarnation=record.incarnation,
            sequence=record.sequence,
        )
    elif old is None or old.state is not record.state:
        step.report("member-state", node_id=record.node_id, state=record.state.value)
