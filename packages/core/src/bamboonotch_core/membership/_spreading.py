"""Sending of changed records and forwarding of suspicions over the open links."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from immutables import Map

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._state import Link, PendingUpdate
from bamboonotch_core.membership._work import Step
from bamboonotch_core.messages import MemberUpdate, Suspicion
from bamboonotch_core.replace import replace_fields

__all__ = [
    "MAX_RECORDS_PER_UPDATE",
    "flush_updates",
    "flush_urgent_updates",
    "is_inter_region",
    "queue_record",
    "record_holder",
    "send_records",
    "spread_suspicion",
]

# A record takes about 200 bytes, so one message stays near 25 KiB.
MAX_RECORDS_PER_UPDATE = 128
# Limit between two ticks. When half a region refutes at the same time, sending the remaining
# records together saves more than their delay costs.
MAX_URGENT_FLUSHES = 8


def is_inter_region(step: Step, link: Link) -> bool:
    """Return whether a link leads to another region."""
    return link.peer.region != step.own_record.region


def queue_record(
    step: Step, node_id: str, link: Link | None, other_regions_only: bool = False
) -> None:
    """Queue a changed record to be sent with the next flush.

    :param link: the link that the change came from, or ``None``.
    :param other_regions_only: whether only other regions need the record, because the members of
        this region derive the change by themselves.
    """
    pending = step.state.spreading.pending
    waiting = pending.get(node_id)
    if waiting is not None and not waiting.other_regions_only:
        # The previous change has not been sent in this region yet.
        other_regions_only = False
    update = PendingUpdate(other_regions_only=other_regions_only)
    if link is not None:
        update = PendingUpdate(frozenset((link.link_id,)), is_inter_region(step, link))
    step.change_spreading(pending=pending.set(node_id, update))


def record_holder(step: Step, node_id: str, link: Link) -> None:
    """Record that a peer holds a queued record, so that it need not be sent there."""
    pending = step.state.spreading.pending
    update = pending.get(node_id)
    if update is not None:
        known = replace_fields(update, holders=update.holders | {link.link_id})
        step.change_spreading(pending=pending.set(node_id, known))


def flush_updates(step: Step) -> None:
    """Send all queued records, in as few messages for each link as possible."""
    pending = step.state.spreading.pending
    if not pending:
        return
    for link in step.links:
        send_records(step, link, list(_records_for(step, link, pending)))
    step.change_spreading(pending=Map())


def flush_urgent_updates(step: Step) -> None:
    """Send all queued records at once if the event is urgent, within a limit for each tick."""
    flushes = step.state.spreading.urgent_flushes
    if not step.urgent or flushes >= MAX_URGENT_FLUSHES or not step.state.spreading.pending:
        return
    flush_updates(step)
    step.change_spreading(urgent_flushes=flushes + 1)


def send_records(step: Step, link: Link, records: Sequence[MemberRecord]) -> None:
    """Send records on one link in messages of bounded size."""
    for start in range(0, len(records), MAX_RECORDS_PER_UPDATE):
        step.send(link, MemberUpdate(tuple(records[start : start + MAX_RECORDS_PER_UPDATE])))


def spread_suspicion(step: Step, suspicion: Suspicion, regions: Iterable[str], source: str) -> None:
    """Send a suspicion on every link to the given regions except the one that it came from.

    :param source: id of the link that the suspicion came from, or empty.
    """
    chosen = frozenset(regions)
    for link in step.links:
        if link.link_id != source and link.peer.region in chosen:
            step.send(link, suspicion)


def _records_for(
    step: Step, link: Link, pending: Map[str, PendingUpdate]
) -> Iterator[MemberRecord]:
    records = step.state.directory.records
    for node_id, update in sorted(pending.items()):
        record = records.get(node_id)
        if record is not None and _is_needed(step, link, update, record):
            yield record


def _is_needed(step: Step, link: Link, update: PendingUpdate, record: MemberRecord) -> bool:
    if link.link_id in update.holders:
        return False
    if not is_inter_region(step, link):
        return not update.other_regions_only
    # A second link to the member's own region exists only while that region is partitioned. Its
    # records must then pass between the parts, so that the member can refute a suspicion in time.
    return not update.from_other_region or record.region == link.peer.region
