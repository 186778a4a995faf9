"""Heartbeats, and the anti-entropy exchange of records between two directories."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState, state_rank
from bamboonotch_core.membership._merge import merge_record
from bamboonotch_core.membership._spreading import send_records
from bamboonotch_core.membership._state import Link, LinkHeartbeats, MembershipState
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
    "heartbeat_sent_ms",
    "send_digests",
    "send_heartbeat",
    "send_heartbeats",
]

# Largest age that a heartbeat can state: the field has 32 bits.
MAX_AGE_MS = 2**32 - 1
# Times of sent heartbeats kept for each link, 16 s at the usual interval. A peer echoes one of the
# last few, and an echo of an earlier one would prove a confirmation that is of no use any more.
MAX_SENT_TIMES = 32
# With strict revocation, a peer whose confirmation is older than the own one by at least this gets
# a heartbeat at once.
FRESHER_MS = 500.0
# With strict revocation, a confirmation that is fresher than the one stated last by at least this
# does not wait for the next heartbeat. It is as long as a watch, so that it seldom happens at rest,
# and less than what a node gains that had to read the store itself.
MUCH_FRESHER_MS = 1000.0
# Numbers beyond this are not of a peer that counts its heartbeats.
MAX_NUMBER = 2**63 - 1

_DEAD_RANK = state_rank(MemberState.DEAD)


def send_heartbeat(step: Step, link: Link) -> None:
    """Send a heartbeat on one link, and keep its number and time."""
    link = step.state.overlay.links[link.link_id]
    versions = step.versions
    number = link.heartbeats.sent + 1
    digest = step.state.directory.digest
    heartbeat = Heartbeat(
        versions.held_version,
        versions.running_version,
        digest,
        versions.serving,
        versions.confirmed_revision,
        _age_ms(versions.confirmed_ms, step.now_ms),
        versions.store_epoch,
        number,
        link.heartbeats.received,
        versions.confirmed_version,
        versions.lost_store,
    )
    step.send(link, heartbeat)
    sent_ms = (*link.heartbeats.sent_ms, step.now_ms)[-MAX_SENT_TIMES:]
    _change_heartbeats(step, link, replace_fields(link.heartbeats, sent=number, sent_ms=sent_ms))


def heartbeat_sent_ms(state: MembershipState, link_id: str, number: int) -> float | None:
    """Return when a heartbeat was sent on a link, in milliseconds, or ``None`` if not known.

    :param link_id: the link.
    :param number: number of the heartbeat, as its receiver states it.
    """
    link = state.overlay.links.get(link_id)
    if link is None or not 0 < number <= link.heartbeats.sent:
        return None
    index = len(link.heartbeats.sent_ms) - 1 - (link.heartbeats.sent - number)
    return link.heartbeats.sent_ms[index] if index >= 0 else None


def _change_heartbeats(step: Step, link: Link, heartbeats: LinkHeartbeats) -> None:
    changed = replace_fields(link, heartbeats=heartbeats)
    step.change_overlay(links=step.state.overlay.links.set(link.link_id, changed))


def _note_received(step: Step, link: Link, heartbeat: Heartbeat) -> Link:
    """Note the number of a heartbeat and return the changed link."""
    number = heartbeat.number
    if link.heartbeats.received < number <= MAX_NUMBER:
        _change_heartbeats(step, link, replace_fields(link.heartbeats, received=number))
    return step.state.overlay.links[link.link_id]


def send_heartbeats(step: Step) -> None:
    """Send a heartbeat on every link when one is due, or when it states much that is new."""
    due_ms = step.state.schedule.next_heartbeat_ms
    lost_store = step.versions.lost_store
    is_news = lost_store != step.state.schedule.stated_lost_store or _is_much_fresher(step)
    if step.now_ms < due_ms and not is_news:
        return
    for link in step.links:
        send_heartbeat(step, link)
    step.change_schedule(
        stated_confirmed_ms=step.versions.confirmed_ms, stated_lost_store=lost_store
    )
    if step.now_ms < due_ms:
        return
    interval_ms = step.settings.heartbeat_interval_ms
    next_ms = due_ms + interval_ms
    if next_ms <= step.now_ms:
        next_ms = step.now_ms + interval_ms
    step.change_schedule(next_heartbeat_ms=next_ms)


def _is_much_fresher(step: Step) -> bool:
    """Return whether the confirmation is much fresher than the one that was stated last."""
    confirmed_ms = step.versions.confirmed_ms
    if confirmed_ms is None or not step.state.settings.access.revocation_ms:
        return False
    stated_ms = step.state.schedule.stated_confirmed_ms
    return stated_ms is None or confirmed_ms - stated_ms >= MUCH_FRESHER_MS


def _age_ms(since_ms: float | None, now_ms: float) -> int | None:
    if since_ms is None:
        return None
    # Rounded up and left out when too large, so that the receiver takes it for no younger.
    age_ms = max(0, ceil(now_ms - since_ms))
    return age_ms if age_ms <= MAX_AGE_MS else None


def send_digests(step: Step, link: Link) -> None:
    """Send the digest of each data centre on one link."""
    step.send(link, MemberDigests(tuple(sorted(step.state.directory.digests.items()))))


def handle_heartbeat(step: Step, link: Link, heartbeat: Heartbeat) -> None:
    """Send digests when the peer's directory has differed for at least a heartbeat interval."""
    link = _note_received(step, link, heartbeat)
    if _must_answer(step, heartbeat):
        send_heartbeat(step, link)
        link = step.state.overlay.links[link.link_id]
    since_ms = link.digest_differs_since_ms
    differs = heartbeat.membership_digest != step.state.directory.digest
    if differs and since_ms is not None:
        if step.now_ms - since_ms < step.settings.heartbeat_interval_ms:
            return
        send_digests(step, link)
    if differs or since_ms is not None:
        changed = replace_fields(link, digest_differs_since_ms=step.now_ms if differs else None)
        step.change_overlay(links=step.state.overlay.links.set(link.link_id, changed))


def _must_answer(step: Step, heartbeat: Heartbeat) -> bool:
    """Return whether a peer is to hear at once of a fresher confirmation than it has.

    Its heartbeat is the newest that an answer can echo, so the answer dates the confirmation best.
    """
    if not heartbeat.number or not step.state.settings.access.revocation_ms:
        return False
    own_age_ms = _age_ms(step.versions.confirmed_ms, step.now_ms)
    if own_age_ms is None:
        return False
    stated_ms = heartbeat.confirmed_age_ms
    return stated_ms is None or stated_ms - own_age_ms >= FRESHER_MS


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
