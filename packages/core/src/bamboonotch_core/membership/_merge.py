"""Merging of a member record into the directory, and everything that follows from a change."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.member_record import MemberRecord, MemberState, supersedes
from bamboonotch_core.membership._dead_dials import dial_dead_neighbour
from bamboonotch_core.membership._directory import put_record
from bamboonotch_core.membership._spreading import note_changed, note_known, send_records
from bamboonotch_core.membership._state import Forgotten, Link, Suspect
from bamboonotch_core.membership._work import Work

__all__ = ["hear_of_self", "merge_record", "publish_own", "store_record"]

# Old gossip can come back from a region that was cut off, which lasts an hour now and then.
FORGOTTEN_RETENTION_FACTOR = 12

# Two processes with one node id would otherwise outbid each other as fast as the network allows.
# What is passed over comes again with the next exchange.
MIN_RAISE_INTERVAL_MS = 1_000

_CONDEMNED = (MemberState.SUSPECT, MemberState.DEAD)
_LEAVING = (MemberState.DRAINING, MemberState.STOPPED)


def merge_record(work: Work, record: MemberRecord, link: Link | None) -> None:
    """Take a valid record from a peer if it is newer than the one held.

    :param work: the event being handled.
    :param record: the record.
    :param link: the link that it came from, or ``None``.
    """
    if record.node_id == work.own_record.node_id:
        if link is not None and record == work.own_record:
            note_known(work, record.node_id, link)
        hear_of_self(work, record.incarnation, record.sequence, record)
        return
    held = work.state.directory.records.get(record.node_id)
    if held is None:
        _merge_unknown(work, record, link)
    elif supersedes(record, held):
        store_record(work, _soften_death(record, held), link)
    elif link is not None and record == held:
        note_known(work, record.node_id, link)


def _soften_death(record: MemberRecord, held: MemberRecord) -> MemberRecord:
    """Turn a death heard of a member that is not even suspect here into a suspicion.

    A part of a region that was cut off declares the rest dead. When it comes back, the rest gets
    the time to refute before rings are rebuilt without it.
    """
    if record.state is MemberState.DEAD and held.state not in _CONDEMNED:
        return replace(record, state=MemberState.SUSPECT)
    return record


def publish_own(work: Work, record: MemberRecord) -> None:
    """Make a record the node's own and queue it for spreading.

    :param work: the event being handled.
    :param record: the new own record.
    """
    work.change_own(record=record)
    store_record(work, record, None)


def hear_of_self(
    work: Work, incarnation: int, sequence: int, record: MemberRecord | None = None
) -> None:
    """Refute what others say of this node when it would replace the own record.

    :param work: the event being handled.
    :param incarnation: incarnation heard.
    :param sequence: sequence number heard.
    :param record: the record heard, or ``None`` for a suspicion.
    """
    own = work.own_record
    if record == own or (incarnation, sequence) < (own.incarnation, own.sequence):
        return
    if incarnation > own.incarnation:
        if work.now_ms - work.state.own.raised_ms < MIN_RAISE_INTERVAL_MS:
            return
        raised = replace(own, incarnation=incarnation + 1, sequence=0)
        work.change_own(raised_ms=work.now_ms)
        work.report("incarnation-raised", incarnation=raised.incarnation)
    else:
        raised = replace(own, sequence=sequence + 1)
        work.report("refuted", sequence=raised.sequence)
    publish_own(work, raised)
    work.urgent = True


def store_record(
    work: Work, record: MemberRecord, link: Link | None, only_abroad: bool = False
) -> None:
    """Put a newer record into the directory, queue it, and bring all that depends on it up to date.

    :param work: the event being handled.
    :param record: the record.
    :param link: the link that it came from, or ``None``.
    :param only_abroad: whether the members of this region know of the change by themselves.
    """
    old = work.state.directory.records.get(record.node_id)
    _replace_in_directory(work, old, record)
    # Accusations and refutations must cross the region within the suspicion time.
    urgent = _settle_detection(work, old, record)
    work.urgent = work.urgent or urgent or _is_leaving(old, record)
    _report_change(work, old, record)
    note_changed(work, record.node_id, link, only_abroad)
    if record.state is MemberState.DEAD:
        dial_dead_neighbour(work, record)


def _merge_unknown(work: Work, record: MemberRecord, link: Link | None) -> None:
    forgotten = work.state.detection.forgotten.get(record.node_id)
    if forgotten is not None and (record.incarnation, record.sequence) <= (
        forgotten.incarnation,
        forgotten.sequence,
    ):
        if link is not None and record.state is not MemberState.DEAD:
            death = replace(
                record,
                incarnation=forgotten.incarnation,
                sequence=forgotten.sequence,
                state=MemberState.DEAD,
            )
            send_records(work, link, [death])
        return
    if record.state is MemberState.DEAD:
        _remember_death(work, record)
    elif _has_room(work):
        store_record(work, record, link)


def _remember_death(work: Work, record: MemberRecord) -> None:
    detection = work.state.detection
    if len(detection.forgotten) >= work.settings.max_members:
        return
    until_ms = work.now_ms + FORGOTTEN_RETENTION_FACTOR * work.settings.dead_retention_ms
    entry = Forgotten(record.incarnation, record.sequence, until_ms)
    work.change_detection(
        forgotten=detection.forgotten.set(record.node_id, entry),
        next_expiry_ms=min(detection.next_expiry_ms, until_ms),
    )


def _has_room(work: Work) -> bool:
    if len(work.state.directory.records) < work.settings.max_members:
        return True
    schedule = work.state.schedule
    if work.now_ms >= schedule.full_report_ms:
        work.report("members-full", max_members=work.settings.max_members)
        work.change_schedule(full_report_ms=work.now_ms + work.settings.redial_ms)
    return False


def _replace_in_directory(work: Work, old: MemberRecord | None, record: MemberRecord) -> None:
    before = work.state.directory.regions
    work.set_directory(put_record(work.state.directory, record))
    after = work.state.directory.regions
    for region in {record.region, record.region if old is None else old.region}:
        members_before, members_after = before.get(region), after.get(region)
        if members_before is members_after:
            continue
        live_changed = (
            members_before is None
            or members_after is None
            or members_before.live is not members_after.live
        )
        work.mark_region(region, live_changed)


def _settle_detection(work: Work, old: MemberRecord | None, record: MemberRecord) -> bool:
    """Bring suspicions and cuts in line with a new record; tell whether it is urgent news."""
    node_id = record.node_id
    urgent = _settle_cut(work, record)
    detection = work.state.detection
    suspects, dead_since = detection.suspects, detection.dead_since
    if record.state not in _CONDEMNED:
        urgent = urgent or node_id in suspects or node_id in dead_since
    if record.state is MemberState.SUSPECT:
        urgent = True
        was = MemberState.STOPPED if old is None else old.state
        if node_id in suspects:
            was = suspects[node_id].was
        suspects = suspects.set(node_id, Suspect(work.now_ms, was))
    elif node_id in suspects:
        suspects = suspects.delete(node_id)
    if record.state is MemberState.DEAD:
        expiry_ms = work.now_ms + work.settings.dead_retention_ms
        work.change_detection(next_expiry_ms=min(detection.next_expiry_ms, expiry_ms))
        dead_since = dead_since.set(node_id, work.now_ms)
    elif node_id in dead_since:
        dead_since = dead_since.delete(node_id)
    if suspects is not detection.suspects:
        work.raise_routing_generation()
    if suspects is not detection.suspects or dead_since is not detection.dead_since:
        work.change_detection(suspects=suspects, dead_since=dead_since)
    if record.state is not MemberState.SUSPECT and node_id in detection.reported:
        urgent = urgent or record.state is not MemberState.DEAD
        work.change_detection(reported=detection.reported.delete(node_id))
        work.raise_routing_generation()
    if node_id in detection.forgotten:
        work.change_detection(forgotten=detection.forgotten.delete(node_id))
    return urgent


def _is_leaving(old: MemberRecord | None, record: MemberRecord) -> bool:
    """Tell whether a ready member has begun to leave, which must be known everywhere soon (P7)."""
    return old is not None and old.state is MemberState.READY and record.state in _LEAVING


def _settle_cut(work: Work, record: MemberRecord) -> bool:
    """End the cut of a region when the member that it was reported by has a newer record."""
    cut = work.state.detection.cuts.get(record.region)
    if cut is None or cut.node_id != record.node_id:
        return False
    work.change_detection(cuts=work.state.detection.cuts.delete(record.region))
    failed = work.state.overlay.failed_contacts
    if record.region in failed:
        work.change_overlay(failed_contacts=failed.delete(record.region))
    work.raise_routing_generation()
    work.report("region-reachable", region=record.region, reason="news of its member")
    return True


def _report_change(work: Work, old: MemberRecord | None, record: MemberRecord) -> None:
    if old is None or (old.state is MemberState.DEAD and record.state is not MemberState.DEAD):
        work.report("member-joined", node_id=record.node_id, incarnation=record.incarnation)
    if record.state is MemberState.DEAD:
        work.report(
            "member-dead",
            node_id=record.node_id,
            incarnation=record.incarnation,
            sequence=record.sequence,
        )
    elif old is None or old.state is not record.state:
        work.report("member-state", node_id=record.node_id, state=record.state.value)
