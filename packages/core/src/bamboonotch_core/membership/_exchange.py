"""Heartbeats, and the anti-entropy exchange of records between two directories."""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState, state_rank
from bamboonotch_core.membership._merge import merge_record
from bamboonotch_core.membership._spreading import send_records
from bamboonotch_core.membership._state import Link
from bamboonotch_core.membership._validation import MAX_COUNTER
from bamboonotch_core.membership._work import Step
from bamboonotch_core.messages import (
    Heartbeat,
    MemberDigests,
    MemberRequest,
    MemberVersion,
)
from bamboonotch_core.replace import replace_fields

__all__ = [
    "answer_request",
    "compare_digests",
    "handle_heartbeat",
    "send_digests",
    "send_heartbeat",
    "send_heartbeats",
]

# Largest age that a heartbeat can state: the field has 32 bits.
MAX_AGE_MS = 2**32 - 1

_DEAD_RANK = state_rank(MemberState.DEAD)


def send_heartbeat(step: Step, link: Link) -> None:
    """Send a heartbeat on one link."""
    versions = step.versions
    digest = step.state.directory.digest
    heartbeat = Heartbeat(
        versions.held_version,
        versions.running_version,
        digest,
        versions.serving,
        versions.confirmed_revision,
        _age_ms(versions.confirmed_ms, step.now_ms),
        versions.store_epoch,
    )
    step.send(link, heartbeat)


def send_heartbeats(step: Step) -> None:
    """Send a heartbeat on every link when one is due."""
    due_ms = step.state.schedule.next_heartbeat_ms
    if step.now_ms < due_ms:
        return
    for link in step.links:
        send_heartbeat(step, link)
    interval_ms = step.settings.heartbeat_interval_ms
    next_ms = due_ms + interval_ms
    if next_ms <= step.now_ms:
        next_ms = step.now_ms + interval_ms
    step.change_schedule(next_heartbeat_ms=next_ms)


def _age_ms(since_ms: float | None, now_ms: float) -> int | None:
    if since_ms is None:
        return None
    return min(MAX_AGE_MS, max(0, round(now_ms - since_ms)))


def send_digests(step: Step, link: Link) -> None:
    """Send the digest of each data centre on one link."""
    step.send(link, MemberDigests(tuple(sorted(step.state.directory.digests.items()))))


def handle_heartbeat(step: Step, link: Link, heartbeat: Heartbeat) -> None:
    """Send digests when the peer's directory has differed for at least a heartbeat interval."""
    since_ms = link.digest_differs_since_ms
    differs = heartbeat.membership_digest != step.state.directory.digest
    if differs and since_ms is not None:
        if step.now_ms - since_ms < step.settings.heartbeat_interval_ms:
            return
        send_digests(step, link)
    if differs or since_ms is not None:
        changed = replace_fields(link, digest_differs_since_ms=step.now_ms if differs else None)
        step.change_overlay(links=step.state.overlay.links.set(link.link_id, changed))


def compare_digests(step: Step, link: Link, message: MemberDigests) -> None:
    """Request the records of the data centres whose digests differ from the peer's."""
    directory = step.state.directory
    requested = step.state.spreading.requested
    wanted = []
    for data_centre, digest in message.digests:
        if digest == directory.digests.get(data_centre, 0):
            continue
        asked_digest, asked_ms = requested.get(data_centre, (0, float("-inf")))
        age_ms = step.now_ms - asked_ms
        if asked_digest == digest and age_ms < step.settings.heartbeat_interval_ms:
            # Another peer with the same records has been asked and is about to answer.
            continue
        wanted.append(data_centre)
        requested = requested.set(data_centre, (digest, step.now_ms))
    if not wanted:
        return
    if len(requested) > step.settings.max_members:
        requested = Map()
    step.change_spreading(requested=requested)
    known = tuple(_version_of(record) for record in _records_in(step, wanted))
    step.send(link, MemberRequest(tuple(wanted), known))


def answer_request(step: Step, link: Link, message: MemberRequest) -> None:
    """Send the records that the peer lacks or holds in an older state."""
    known = {version.node_id: version for version in message.known}
    for version in message.known:
        if version.state_rank == _DEAD_RANK:
            _merge_death(step, link, version)
    answer = [
        record
        for record in _records_in(step, message.data_centres)
        if _is_newer(record, known.get(record.node_id))
    ]
    send_records(step, link, answer)


def _records_in(step: Step, data_centres: Iterable[str]) -> Iterable[MemberRecord]:
    directory = step.state.directory
    for data_centre in dict.fromkeys(data_centres):
        for node_id in sorted(directory.data_centres.get(data_centre, ())):
            yield directory.records[node_id]


def _version_of(record: MemberRecord) -> MemberVersion:
    return MemberVersion(
        record.node_id, record.incarnation, record.sequence, state_rank(record.state)
    )


def _is_newer(record: MemberRecord, known: MemberVersion | None) -> bool:
    if known is None:
        return record.state is not MemberState.DEAD
    held = (record.incarnation, record.sequence, state_rank(record.state))
    return held > (known.incarnation, known.sequence, known.state_rank)


def _merge_death(step: Step, link: Link, version: MemberVersion) -> None:
    """Merge a death that the peer knows of; its request holds all that its record would add."""
    held = step.state.directory.records.get(version.node_id)
    if held is None or version.incarnation >= MAX_COUNTER or version.sequence >= MAX_COUNTER:
        return
    death = replace_fields(
        held,
        incarnation=version.incarnation,
        sequence=version.sequence,
        state=MemberState.DEAD,
    )
    merge_record(step, death, link)
