"""Spreading of changed records over the open links."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace

from immutables import Map

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._state import Link, PendingUpdate
from bamboonotch_core.membership._work import Work
from bamboonotch_core.messages import MemberUpdate, Suspicion

__all__ = [
    "MAX_RECORDS_PER_UPDATE",
    "flush_updates",
    "flush_urgent_updates",
    "is_inter_region",
    "note_changed",
    "note_known",
    "send_records",
    "spread_suspicion",
]

# About 200 bytes a record, so that one message stays near 25 KiB.
MAX_RECORDS_PER_UPDATE = 128
# Between two ticks; when half a region refutes at once, batches cost less than they delay.
MAX_URGENT_FLUSHES = 8


def is_inter_region(work: Work, link: Link) -> bool:
    """Tell whether a link leads to another region.

    :param work: the event being handled.
    :param link: the link.
    """
    return link.peer.region != work.own_record.region


def note_changed(work: Work, node_id: str, link: Link | None, only_abroad: bool = False) -> None:
    """Queue a changed record for the next flush.

    :param work: the event being handled.
    :param node_id: the member.
    :param link: the link that the change came from, or ``None``.
    :param only_abroad: whether the members of this region know of the change by themselves.
    """
    pending = work.state.spreading.pending
    waiting = pending.get(node_id)
    if waiting is not None and not waiting.only_abroad:
        # This region has not been sent the state before this one.
        only_abroad = False
    update = PendingUpdate(only_abroad=only_abroad)
    if link is not None:
        update = PendingUpdate(frozenset((link.link_id,)), is_inter_region(work, link))
    work.change_spreading(pending=pending.set(node_id, update))


def note_known(work: Work, node_id: str, link: Link) -> None:
    """Note that a peer holds the record that waits to be sent, so that it need not be sent there.

    :param work: the event being handled.
    :param node_id: the member.
    :param link: the link to the peer.
    """
    pending = work.state.spreading.pending
    update = pending.get(node_id)
    if update is not None:
        known = replace(update, holders=update.holders | {link.link_id})
        work.change_spreading(pending=pending.set(node_id, known))


def flush_updates(work: Work) -> None:
    """Send all queued records, as few messages for each link as possible.

    :param work: the event being handled.
    """
    pending = work.state.spreading.pending
    if not pending:
        return
    for link in work.links:
        send_records(work, link, list(_records_for(work, link, pending)))
    work.change_spreading(pending=Map())


def flush_urgent_updates(work: Work) -> None:
    """Send all queued records at once if the event asks for it, within a limit for each tick.

    :param work: the event being handled.
    """
    flushes = work.state.spreading.urgent_flushes
    if not work.urgent or flushes >= MAX_URGENT_FLUSHES or not work.state.spreading.pending:
        return
    flush_updates(work)
    work.change_spreading(urgent_flushes=flushes + 1)


def send_records(work: Work, link: Link, records: Sequence[MemberRecord]) -> None:
    """Send records on one link in messages of bounded size.

    :param work: the event being handled.
    :param link: the link.
    :param records: the records.
    """
    for start in range(0, len(records), MAX_RECORDS_PER_UPDATE):
        work.send(link, MemberUpdate(tuple(records[start : start + MAX_RECORDS_PER_UPDATE])))


def spread_suspicion(work: Work, suspicion: Suspicion, regions: Iterable[str], source: str) -> None:
    """Send a suspicion on every link to some regions but the one it came from.

    :param work: the event being handled.
    :param suspicion: the suspicion.
    :param regions: the regions.
    :param source: link id that it came from, or empty.
    """
    chosen = frozenset(regions)
    for link in work.links:
        if link.link_id != source and link.peer.region in chosen:
            work.send(link, suspicion)


def _records_for(
    work: Work, link: Link, pending: Map[str, PendingUpdate]
) -> Iterator[MemberRecord]:
    records = work.state.directory.records
    for node_id, update in sorted(pending.items()):
        record = records.get(node_id)
        if record is not None and _is_needed(work, link, update, record):
            yield record


def _is_needed(work: Work, link: Link, update: PendingUpdate, record: MemberRecord) -> bool:
    if link.link_id in update.holders:
        return False
    if not is_inter_region(work, link):
        return not update.only_abroad
    # A second link to the member's own region exists only while that region is split; news of
    # the member must then pass between the parts, so that it can refute an accusation in time.
    return not update.from_abroad or record.region == link.peer.region
