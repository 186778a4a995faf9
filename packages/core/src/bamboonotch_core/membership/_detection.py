"""Failure detection: suspicions, deaths and the retention of dead members.

A *suspicion* states that its *reporter* cannot reach a member, and counts as one report against
it. A member becomes suspect when enough reporters agree, and dead unless it refutes in time, which
means that it publishes a record with a higher sequence number.
"""

from __future__ import annotations

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._dials import add_dial
from bamboonotch_core.membership._directory import remove_record
from bamboonotch_core.membership._health import is_overloaded
from bamboonotch_core.membership._merge import (
    FORGOTTEN_RETENTION_FACTOR,
    refute_newer_claim,
    store_record,
)
from bamboonotch_core.membership._regions import handle_region_report
from bamboonotch_core.membership._ring import ring_neighbours, walk_from
from bamboonotch_core.membership._spreading import send_records, spread_suspicion
from bamboonotch_core.membership._state import (
    Dial,
    DialReason,
    ForgottenMember,
    Link,
    OwnReport,
    SuspicionReports,
)
from bamboonotch_core.membership._work import Step
from bamboonotch_core.messages import Suspicion
from bamboonotch_core.replace import replace_fields

__all__ = [
    "REPORTERS_NEEDED",
    "check_reports",
    "check_retention",
    "check_suspects",
    "handle_suspicion",
    "report_failed_verification",
    "reset_report_backoff",
    "restart_suspicion_clocks",
    "suspect_neighbour",
    "withdraw_suspicion",
]

REPORTERS_NEEDED = 2
# Members that dial a reported member when its ring neighbours are not enough reporters.
VERIFIERS_PER_SUSPECT = 2
# Wait before a neighbour that has refuted is reported again. It doubles up to 80 s.
REPORT_BACKOFF_MS = 5_000
MAX_REPORT_BACKOFF_DOUBLINGS = 4
# Must be longer than the longest wait between two dials.
OWN_REPORT_RETENTION_MS = 60_000


def suspect_neighbour(step: Step, node_id: str) -> None:
    """Report a neighbour in this region that does not answer.

    An overloaded node reports nobody.
    """
    record = step.state.directory.records.get(node_id)
    if record is None or record.state is MemberState.DEAD:
        return
    if record.region != step.own_record.region or is_overloaded(step):
        return
    if _may_report(step, record):
        own_id = step.own_record.node_id
        suspicion = Suspicion(node_id, record.incarnation, record.sequence, own_id)
        handle_suspicion(step, suspicion, None)


def reset_report_backoff(step: Step, node_id: str) -> None:
    """Reset the report backoff of a neighbour that has kept a link open for long enough."""
    own_reports = step.state.detection.own_reports
    if node_id in own_reports:
        step.change_detection(own_reports=own_reports.delete(node_id))


def withdraw_suspicion(step: Step, link: Link) -> None:
    """Withdraw the own report on a peer that has answered, and let it refute the other reports."""
    node_id = link.peer.node_id
    reports = step.state.detection.suspicion_reports.get(node_id)
    if reports is None:
        return
    if reports.reporters:
        reporter = min(reports.reporters)
        step.send(link, Suspicion(node_id, reports.incarnation, reports.sequence, reporter))
    own_id = step.own_record.node_id
    if own_id in reports.reporters:
        left = replace_fields(reports, reporters=reports.reporters.delete(own_id))
        step.change_detection(
            suspicion_reports=step.state.detection.suspicion_reports.set(node_id, left)
        )
        step.raise_routing_generation()


def handle_suspicion(step: Step, suspicion: Suspicion, link: Link | None) -> None:
    """Count and forward a suspicion; mark the member suspect when enough reporters agree.

    :param link: the link that it came from, or ``None`` if this node is the reporter.
    """
    own = step.own_record
    if suspicion.node_id == own.node_id:
        _refute_suspicion(step, suspicion, link)
        return
    records = step.state.directory.records
    record = records.get(suspicion.node_id)
    reporter = records.get(suspicion.reporter)
    if record is None or reporter is None:
        return
    if MemberState.DEAD in (record.state, reporter.state):
        return
    if record.region != own.region:
        if reporter.region == own.region:
            handle_region_report(step, suspicion, record, link)
        elif reporter.region == record.region:
            _verify_member(step, record, suspicion)
        return
    if record.state is MemberState.SUSPECT:
        # Enough reporters agree already. Further reports would only add traffic when many members
        # die at the same time.
        return
    if (suspicion.incarnation, suspicion.sequence) == (record.incarnation, record.sequence):
        _count_report(step, suspicion, record, link)


def report_failed_verification(step: Step, node_id: str) -> None:
    """Report a member that others suspect and that this node has dialled in vain."""
    record = step.state.directory.records.get(node_id)
    if record is None or record.region == step.own_record.region:
        suspect_neighbour(step, node_id)
        return
    if is_overloaded(step):
        return
    own_id = step.own_record.node_id
    suspicion = Suspicion(node_id, record.incarnation, record.sequence, own_id)
    spread_suspicion(step, suspicion, (record.region,), "")


def check_reports(step: Step) -> None:
    """Drop reports that were not renewed, and seek more reporters where there are too few."""
    _drop_old_own_reports(step)
    for node_id, reports in sorted(step.state.detection.suspicion_reports.items()):
        if step.now_ms < reports.check_ms:
            continue
        kept = _drop_old_reports(step, node_id, reports)
        record = step.state.directory.records[node_id]
        if kept is not None and record.state is not MemberState.SUSPECT:
            _seek_confirmation(step, record, kept)


def check_suspects(step: Step) -> None:
    """Declare the suspects dead that have not refuted within the suspicion time."""
    for node_id, suspect in sorted(step.state.detection.suspects.items()):
        if step.now_ms - suspect.since_ms >= step.settings.suspicion_ms:
            record = step.state.directory.records[node_id]
            store_record(step, replace_fields(record, state=MemberState.DEAD), None)


def restart_suspicion_clocks(step: Step) -> None:
    """Restart the suspicion time of every suspect after a pause of this process."""
    suspects = step.state.detection.suspects
    restarted = {
        name: replace_fields(item, since_ms=step.now_ms) for name, item in suspects.items()
    }
    step.change_detection(suspects=Map(restarted))


def check_retention(step: Step) -> None:
    """Drop the records of dead members after their retention, and later their last versions."""
    if step.now_ms < step.state.detection.next_expiry_ms:
        return
    detection = step.state.detection
    retention_ms = step.settings.dead_retention_ms
    for node_id, since_ms in detection.dead_since.items():
        if step.now_ms - since_ms >= retention_ms:
            _forget_member(step, node_id)
    forgotten = step.state.detection.forgotten
    for node_id, entry in forgotten.items():
        if step.now_ms >= entry.until_ms:
            forgotten = forgotten.delete(node_id)
    dead_since = step.state.detection.dead_since
    expiries = [since_ms + retention_ms for since_ms in dead_since.values()]
    expiries += [entry.until_ms for entry in forgotten.values()]
    step.change_detection(forgotten=forgotten, next_expiry_ms=min(expiries, default=float("inf")))


def _may_report(step: Step, record: MemberRecord) -> bool:
    """Return whether to report a neighbour now, and record the report.

    A neighbour that keeps refuting is reported with exponential backoff. Otherwise a path that is
    broken for a long time, while other paths to the neighbour work, would cost the whole fleet a
    report and a refutation at each failed dial.
    """
    own_reports = step.state.detection.own_reports
    last = own_reports.get(record.node_id)
    refutations = 0
    if last is not None and last.incarnation == record.incarnation:
        if last.sequence == record.sequence:
            return True
        if step.now_ms < last.next_report_ms:
            return False
        refutations = min(last.refutations + 1, MAX_REPORT_BACKOFF_DOUBLINGS)
    next_report_ms = step.now_ms + REPORT_BACKOFF_MS * 2**refutations
    entry = OwnReport(record.incarnation, record.sequence, next_report_ms, refutations)
    step.change_detection(own_reports=own_reports.set(record.node_id, entry))
    return True


def _drop_old_own_reports(step: Step) -> None:
    own_reports = step.state.detection.own_reports
    for node_id, entry in own_reports.items():
        if step.now_ms > entry.next_report_ms + OWN_REPORT_RETENTION_MS:
            own_reports = own_reports.delete(node_id)
    if own_reports is not step.state.detection.own_reports:
        step.change_detection(own_reports=own_reports)


def _refute_suspicion(step: Step, suspicion: Suspicion, link: Link | None) -> None:
    own = step.own_record
    claimed = (suspicion.incarnation, suspicion.sequence)
    if claimed >= (own.incarnation, own.sequence):
        refute_newer_claim(step, suspicion.incarnation, suspicion.sequence)
    elif link is not None:
        send_records(step, link, [own])


def _count_report(
    step: Step, suspicion: Suspicion, record: MemberRecord, link: Link | None
) -> None:
    node_id = suspicion.node_id
    reports = step.state.detection.suspicion_reports.get(node_id)
    version = (suspicion.incarnation, suspicion.sequence)
    if reports is None or (reports.incarnation, reports.sequence) != version:
        reports = SuspicionReports(*version, check_ms=step.now_ms + step.settings.suspicion_ms)
    last_ms = reports.reporters.get(suspicion.reporter)
    if last_ms is not None and step.now_ms - last_ms < step.settings.suspicion_ms:
        return
    if last_ms is None and len(reports.reporters) < REPORTERS_NEEDED:
        step.report("member-suspected", node_id=node_id, reporter=suspicion.reporter)
    reporters = reports.reporters.set(suspicion.reporter, step.now_ms)
    reports = replace_fields(reports, reporters=reporters)
    step.change_detection(
        suspicion_reports=step.state.detection.suspicion_reports.set(node_id, reports)
    )
    if suspicion.reporter == step.own_record.node_id:
        step.raise_routing_generation()
    spread_suspicion(step, suspicion, (record.region,), "" if link is None else link.link_id)
    if _is_agreed(step, node_id, reports):
        # The reports reach the whole region, and each of its members marks the suspect by itself.
        store_record(
            step, replace_fields(record, state=MemberState.SUSPECT), None, other_regions_only=True
        )


def _is_agreed(step: Step, node_id: str, reports: SuspicionReports) -> bool:
    if len(reports.reporters) >= REPORTERS_NEEDED:
        return True
    neighbours = ring_neighbours(step.state.overlay.ring, node_id)
    if not 0 < len(neighbours) < REPORTERS_NEEDED:
        return False
    return all(neighbour in reports.reporters for neighbour in neighbours)


def _report_valid_ms(step: Step) -> float:
    """Return how long a report counts, in milliseconds.

    A reporter repeats its report at each failed dial.
    """
    settings = step.settings
    return settings.backoff_max_ms + 2 * settings.silent_after_ms + settings.suspicion_ms


def _drop_old_reports(
    step: Step, node_id: str, reports: SuspicionReports
) -> SuspicionReports | None:
    reporters = reports.reporters
    for reporter, time_ms in reporters.items():
        if step.now_ms - time_ms > _report_valid_ms(step):
            reporters = reporters.delete(reporter)
    all_reports = step.state.detection.suspicion_reports
    if len(reporters) < len(reports.reporters):
        step.raise_routing_generation()
    if not reporters:
        step.change_detection(suspicion_reports=all_reports.delete(node_id))
        return None
    check_ms = step.now_ms + step.settings.suspicion_ms
    kept = replace_fields(reports, reporters=reporters, check_ms=check_ms)
    step.change_detection(suspicion_reports=all_reports.set(node_id, kept))
    return kept


def _seek_confirmation(step: Step, record: MemberRecord, reports: SuspicionReports) -> None:
    """Have further members dial a reported member whose other neighbours may be dead as well."""
    own_id = step.own_record.node_id
    verifiers = _find_verifiers(step, record.node_id, reports)
    suspicion = Suspicion(record.node_id, record.incarnation, record.sequence, own_id)
    if own_id in verifiers:
        _verify_member(step, record, suspicion)
    elif own_id not in reports.reporters:
        return
    elif verifiers:
        # The verifiers may be dead as well, without a neighbour left to report them.
        for verifier in verifiers:
            if verifier not in step.state.overlay.by_peer:
                _dial_once(step, step.state.directory.records[verifier])
    else:
        regions = frozenset(step.state.directory.regions) - {record.region}
        spread_suspicion(step, suspicion, regions, "")


def _find_verifiers(step: Step, node_id: str, reports: SuspicionReports) -> list[str]:
    """Return the next members on the ring that are neither reported nor reporters."""
    suspected = step.state.detection.suspicion_reports
    verifiers: list[str] = []
    for other in walk_from(step.state.overlay.ring, node_id):
        if other not in suspected and other not in reports.reporters:
            verifiers.append(other)
            if len(verifiers) == VERIFIERS_PER_SUSPECT:
                break
    return verifiers


def _verify_member(step: Step, record: MemberRecord, suspicion: Suspicion) -> None:
    """Dial a member that others suspect, or forward the suspicion to it if it is linked."""
    link_id = step.state.overlay.by_peer.get(record.node_id)
    if link_id is not None:
        step.send(step.state.overlay.links[link_id], suspicion)
    else:
        _dial_once(step, record)


def _dial_once(step: Step, record: MemberRecord) -> None:
    if record.peer_address not in step.state.overlay.dials:
        dial = Dial(record.peer_address, record.node_id, DialReason.VERIFY, step.now_ms)
        add_dial(step, dial)


def _forget_member(step: Step, node_id: str) -> None:
    record = step.state.directory.records[node_id]
    detection = step.state.detection
    until_ms = step.now_ms + FORGOTTEN_RETENTION_FACTOR * step.settings.dead_retention_ms
    entry = ForgottenMember(record.incarnation, record.sequence, until_ms)
    step.set_directory(remove_record(step.state.directory, node_id))
    step.change_detection(
        dead_since=detection.dead_since.delete(node_id),
        forgotten=detection.forgotten.set(node_id, entry),
    )
