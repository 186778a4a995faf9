"""Heartbeats and the repair of differences between two maps."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState, state_rank
from bamboonotch_core.membership._merge import merge_record
from bamboonotch_core.membership._spreading import send_records
from bamboonotch_core.membership._state import Link
from bamboonotch_core.membership._validation import MAX_COUNTER
from bamboonotch_core.membership._work import Work
from bamboonotch_core.messages import (
    Heartbeat,
    MemberDigests,
    MemberRequest,
    MemberVersion,
)

__all__ = [
    "answer_request",
    "compare_digests",
    "hear_heartbeat",
    "send_digests",
    "send_heartbeat",
    "send_heartbeats",
]

_DEAD_RANK = state_rank(MemberState.DEAD)


def send_heartbeat(work: Work, link: Link) -> None:
    """Send a heartbeat on one link.

    :param work: the event being handled.
    :param link: the link.
    """
    versions = work.versions
    digest = work.state.directory.digest
    heartbeat = Heartbeat(versions.held_version, versions.running_version, digest, versions.serving)
    work.send(link, heartbeat)


def send_heartbeats(work: Work) -> None:
    """Send a heartbeat on every link when it is time.

    :param work: the event being handled.
    """
    due_ms = work.state.schedule.heartbeat_ms
    if work.now_ms < due_ms:
        return
    for link in work.links:
        send_heartbeat(work, link)
    interval_ms = work.settings.heartbeat_interval_ms
    next_ms = due_ms + interval_ms
    if next_ms <= work.now_ms:
        next_ms = work.now_ms + interval_ms
    work.change_schedule(heartbeat_ms=next_ms)


def send_digests(work: Work, link: Link) -> None:
    """Send the digest of each data centre on one link.

    :param work: the event being handled.
    :param link: the link.
    """
    work.send(link, MemberDigests(tuple(sorted(work.state.directory.digests.items()))))


def hear_heartbeat(work: Work, link: Link, heartbeat: Heartbeat) -> None:
    """Start an exchange when the peer's map has differed for longer than a heartbeat interval.

    :param work: the event being handled.
    :param link: the link.
    :param heartbeat: the heartbeat.
    """
    since_ms = link.differs_since_ms
    differs = heartbeat.membership_digest != work.state.directory.digest
    if differs and since_ms is not None:
        if work.now_ms - since_ms < work.settings.heartbeat_interval_ms:
            return
        send_digests(work, link)
    if differs or since_ms is not None:
        changed = replace(link, differs_since_ms=work.now_ms if differs else None)
        work.change_overlay(links=work.state.overlay.links.set(link.link_id, changed))


def compare_digests(work: Work, link: Link, message: MemberDigests) -> None:
    """Ask for the records of the data centres that differ.

    :param work: the event being handled.
    :param link: the link.
    :param message: the peer's digests.
    """
    directory = work.state.directory
    requested = work.state.spreading.requested
    wanted = []
    for data_centre, digest in message.digests:
        if digest == directory.digests.get(data_centre, 0):
            continue
        asked_digest, asked_ms = requested.get(data_centre, (0, float("-inf")))
        age_ms = work.now_ms - asked_ms
        if asked_digest == digest and age_ms < work.settings.heartbeat_interval_ms:
            # Another peer with the same map is about to answer.
            continue
        wanted.append(data_centre)
        requested = requested.set(data_centre, (digest, work.now_ms))
    if not wanted:
        return
    if len(requested) > work.settings.max_members:
        requested = Map()
    work.change_spreading(requested=requested)
    known = tuple(_name_version(record) for record in _records_in(work, wanted))
    work.send(link, MemberRequest(tuple(wanted), known))


def answer_request(work: Work, link: Link, message: MemberRequest) -> None:
    """Send the records that the peer lacks or holds in an older state.

    :param work: the event being handled.
    :param link: the link.
    :param message: the request.
    """
    known = {version.node_id: version for version in message.known}
    for version in message.known:
        if version.state_rank == _DEAD_RANK:
            _hear_of_death(work, link, version)
    answer = [
        record
        for record in _records_in(work, message.data_centres)
        if _is_news(record, known.get(record.node_id))
    ]
    send_records(work, link, answer)


def _records_in(work: Work, data_centres: Iterable[str]) -> Iterable[MemberRecord]:
    directory = work.state.directory
    for data_centre in dict.fromkeys(data_centres):
        for node_id in sorted(directory.data_centres.get(data_centre, ())):
            yield directory.records[node_id]


def _name_version(record: MemberRecord) -> MemberVersion:
    return MemberVersion(
        record.node_id, record.incarnation, record.sequence, state_rank(record.state)
    )


def _is_news(record: MemberRecord, known: MemberVersion | None) -> bool:
    if known is None:
        return record.state is not MemberState.DEAD
    held = (record.incarnation, record.sequence, state_rank(record.state))
    return held > (known.incarnation, known.sequence, known.state_rank)


def _hear_of_death(work: Work, link: Link, version: MemberVersion) -> None:
    """Take over a death that the peer knows of; its request names all that a record would add."""
    held = work.state.directory.records.get(version.node_id)
    if held is None or version.incarnation >= MAX_COUNTER or version.sequence >= MAX_COUNTER:
        return
    death = replace(
        held,
        incarnation=version.incarnation,
        sequence=version.sequence,
        state=MemberState.DEAD,
    )
    merge_record(work, death, link)
