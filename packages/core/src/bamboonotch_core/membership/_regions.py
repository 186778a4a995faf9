"""Unreachable regions, and the contacts that a gateway tries before it reports a region."""

from __future__ import annotations

from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._directory import LOWEST_KEPT
from bamboonotch_core.membership._spreading import spread_suspicion
from bamboonotch_core.membership._state import Link, UnreachableRegion
from bamboonotch_core.membership._work import Step
from bamboonotch_core.messages import Suspicion

__all__ = [
    "CONTACTS_PER_REGION",
    "check_unreachable_regions",
    "find_contacts",
    "handle_region_linked",
    "handle_region_report",
    "is_gateway",
    "linked_regions",
    "record_failed_contact",
    "restart_unreachable_region_clocks",
]

# A region counts as unreachable when none of this many of its members can be reached.
CONTACTS_PER_REGION = LOWEST_KEPT


def is_gateway(step: Step) -> bool:
    """Return whether this node is the gateway of its region."""
    own = step.own_record
    return step.state.overlay.gateways.get(own.region) == own.node_id


def linked_regions(step: Step) -> frozenset[str]:
    """Return the regions to which this node has a link."""
    return frozenset(link.peer.region for link in step.links)


def find_contacts(step: Step, region: str) -> tuple[str, ...]:
    """Return the members of another region to dial, its gateway first."""
    members = step.state.directory.regions.get(region)
    if members is None:
        return ()
    holders = sorted((slot, node_id) for node_id, slot in members.slot_holders.items())
    contacts = [node_id for _, node_id in holders[:CONTACTS_PER_REGION]]
    for node_id in members.lowest:
        if len(contacts) < CONTACTS_PER_REGION and node_id not in contacts:
            contacts.append(node_id)
    return tuple(contacts)


def record_failed_contact(step: Step, node_id: str) -> None:
    """Record that a member of another region could not be reached."""
    record = step.state.directory.records.get(node_id)
    if record is None or record.region in linked_regions(step):
        return
    failed = step.state.overlay.failed_contacts
    contacts = failed.get(record.region, frozenset()) | {node_id}
    step.change_overlay(failed_contacts=failed.set(record.region, contacts))


def handle_region_linked(step: Step, link: Link) -> None:
    """Clear the failed contacts of a region, and forward the report on it for refutation.

    :param link: a new link to the region.
    """
    region = link.peer.region
    failed = step.state.overlay.failed_contacts
    if region in failed:
        step.change_overlay(failed_contacts=failed.delete(region))
    entry = step.state.detection.cuts.get(region)
    if entry is not None:
        step.send(link, Suspicion(entry.node_id, entry.incarnation, entry.sequence, entry.reporter))


def check_unreachable_regions(step: Step) -> None:
    """Report unreachable regions if this node is a gateway, and expire the reports of others."""
    if step.state.overlay.failed_contacts and is_gateway(step):
        _report_unreachable_regions(step)
    settings = step.settings
    # A new gateway repeats the reports after it has found the old one dead and has dialled.
    valid_ms = 2 * (settings.silent_after_ms + settings.suspicion_ms)
    for region, entry in sorted(step.state.detection.cuts.items()):
        if step.now_ms - entry.reported_ms > valid_ms:
            step.change_detection(cuts=step.state.detection.cuts.delete(region))
            step.raise_routing_generation()
            step.report("region-reachable", region=region, reason="no longer reported")


def restart_unreachable_region_clocks(step: Step) -> None:
    """Restart the validity of all region reports after a pause, in which none was received."""
    unreachable_regions = step.state.detection.cuts
    for region, entry in unreachable_regions.items():
        renewed = UnreachableRegion(
            entry.node_id, entry.incarnation, entry.sequence, entry.reporter, step.now_ms
        )
        unreachable_regions = unreachable_regions.set(region, renewed)
    step.change_detection(cuts=unreachable_regions)


def handle_region_report(
    step: Step, suspicion: Suspicion, record: MemberRecord, link: Link | None
) -> None:
    """Mark a region as unreachable after a report from this region's gateway.

    :param suspicion: the report, which names a member of the region.
    :param record: the record that this node holds of that member.
    :param link: the link that the report came from, or ``None`` if this node is the reporter.
    """
    if (suspicion.incarnation, suspicion.sequence) < (record.incarnation, record.sequence):
        return
    unreachable_regions = step.state.detection.cuts
    entry = unreachable_regions.get(record.region)
    if entry is not None and step.now_ms - entry.reported_ms < step.settings.suspicion_ms:
        return
    new = UnreachableRegion(
        suspicion.node_id,
        suspicion.incarnation,
        suspicion.sequence,
        suspicion.reporter,
        step.now_ms,
    )
    step.change_detection(cuts=unreachable_regions.set(record.region, new))
    if entry is None:
        step.raise_routing_generation()
        step.report("region-unreachable", region=record.region, reporter=suspicion.reporter)
    # A node that has a link to the region forwards the report, and the region refutes it.
    regions = (step.own_record.region, record.region)
    spread_suspicion(step, suspicion, regions, "" if link is None else link.link_id)


def _report_unreachable_regions(step: Step) -> None:
    linked = linked_regions(step)
    for region, failed in sorted(step.state.overlay.failed_contacts.items()):
        contacts = find_contacts(step, region)
        if region in linked or not contacts or not failed.issuperset(contacts):
            continue
        record = step.state.directory.records[contacts[0]]
        own_id = step.own_record.node_id
        report = Suspicion(record.node_id, record.incarnation, record.sequence, own_id)
        handle_region_report(step, report, record, None)
