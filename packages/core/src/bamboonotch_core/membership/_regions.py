"""Regions that cannot be reached, and the members tried before saying so."""

from __future__ import annotations

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._directory import LOWEST_KEPT
from bamboonotch_core.membership._spreading import spread_suspicion
from bamboonotch_core.membership._state import Link, RegionCut
from bamboonotch_core.membership._work import Work
from bamboonotch_core.messages import Suspicion

__all__ = [
    "CONTACTS_PER_REGION",
    "check_cuts",
    "find_contacts",
    "hear_cut",
    "is_gateway",
    "linked_regions",
    "note_failed_contact",
    "note_region_linked",
    "restart_cut_clocks",
]

# Members of a region that must all be out of reach before the region counts as unreachable.
CONTACTS_PER_REGION = LOWEST_KEPT


def is_gateway(work: Work) -> bool:
    """Tell whether this node is the gateway of its region.

    :param work: the event being handled.
    """
    own = work.own_record
    return work.state.overlay.gateways.get(own.region) == own.node_id


def linked_regions(work: Work) -> frozenset[str]:
    """Return the regions to which this node has a link.

    :param work: the event being handled.
    """
    return frozenset(link.peer.region for link in work.links)


def find_contacts(work: Work, region: str) -> tuple[str, ...]:
    """Return the members of another region to try, its gateway first.

    :param work: the event being handled.
    :param region: the region.
    """
    members = work.state.directory.regions.get(region)
    if members is None:
        return ()
    holders = sorted((slot, node_id) for node_id, slot in members.slot_holders.items())
    contacts = [node_id for _, node_id in holders[:CONTACTS_PER_REGION]]
    for node_id in members.lowest:
        if len(contacts) < CONTACTS_PER_REGION and node_id not in contacts:
            contacts.append(node_id)
    return tuple(contacts)


def note_failed_contact(work: Work, node_id: str) -> None:
    """Note that a member of another region could not be reached.

    :param work: the event being handled.
    :param node_id: the member.
    """
    record = work.state.directory.records.get(node_id)
    if record is None or record.region in linked_regions(work):
        return
    failed = work.state.overlay.failed_contacts
    contacts = failed.get(record.region, frozenset()) | {node_id}
    work.change_overlay(failed_contacts=failed.set(record.region, contacts))


def note_region_linked(work: Work, link: Link) -> None:
    """Let a region that was cut off clear itself with one refutation.

    :param work: the event being handled.
    :param link: a new link to the region.
    """
    region = link.peer.region
    failed = work.state.overlay.failed_contacts
    if region in failed:
        work.change_overlay(failed_contacts=failed.delete(region))
    cut = work.state.detection.cuts.get(region)
    if cut is not None:
        work.send(link, Suspicion(cut.node_id, cut.incarnation, cut.sequence, cut.reporter))


def check_cuts(work: Work) -> None:
    """As gateway, report the regions out of reach; drop cuts that are no longer reported.

    :param work: the event being handled.
    """
    if work.state.overlay.failed_contacts and is_gateway(work):
        _report_cuts(work)
    settings = work.settings
    # A new gateway takes over the reports after it has found the old one dead and dialled.
    valid_ms = 2 * (settings.silent_after_ms + settings.suspicion_ms)
    for region, cut in sorted(work.state.detection.cuts.items()):
        if work.now_ms - cut.reported_ms > valid_ms:
            work.change_detection(cuts=work.state.detection.cuts.delete(region))
            work.raise_routing_generation()
            work.report("region-reachable", region=region, reason="no longer reported")


def restart_cut_clocks(work: Work) -> None:
    """Keep cuts over a pause of this process, in which reports could not be heard.

    :param work: the event being handled.
    """
    cuts = work.state.detection.cuts
    for region, cut in cuts.items():
        renewed = RegionCut(cut.node_id, cut.incarnation, cut.sequence, cut.reporter, work.now_ms)
        cuts = cuts.set(region, renewed)
    work.change_detection(cuts=cuts)


def hear_cut(work: Work, suspicion: Suspicion, record: MemberRecord, link: Link | None) -> None:
    """Mark a region as unreachable on the report of this region's gateway.

    :param work: the event being handled.
    :param suspicion: the report, which names a member of the region.
    :param record: the record held of that member.
    :param link: the link that it came from, or ``None`` for an own one.
    """
    if (suspicion.incarnation, suspicion.sequence) < (record.incarnation, record.sequence):
        return
    cuts = work.state.detection.cuts
    cut = cuts.get(record.region)
    if cut is not None and work.now_ms - cut.reported_ms < work.settings.suspicion_ms:
        return
    new = RegionCut(
        suspicion.node_id,
        suspicion.incarnation,
        suspicion.sequence,
        suspicion.reporter,
        work.now_ms,
    )
    work.change_detection(cuts=cuts.set(record.region, new))
    if cut is None:
        work.raise_routing_generation()
        work.report("region-unreachable", region=record.region, reporter=suspicion.reporter)
    # A node that does reach the region passes the report on to it, which refutes it.
    regions = (work.own_record.region, record.region)
    spread_suspicion(work, suspicion, regions, "" if link is None else link.link_id)


def _report_cuts(work: Work) -> None:
    linked = linked_regions(work)
    for region, failed in sorted(work.state.overlay.failed_contacts.items()):
        contacts = find_contacts(work, region)
        if region in linked or not contacts or not failed.issuperset(contacts):
            continue
        record = work.state.directory.records[contacts[0]]
        own_id = work.own_record.node_id
        report = Suspicion(record.node_id, record.incarnation, record.sequence, own_id)
        hear_cut(work, report, record, None)
