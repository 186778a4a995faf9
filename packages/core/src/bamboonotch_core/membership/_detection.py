"""Suspicion, death and the retention of dead members."""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._dials import add_dial
from bamboonotch_core.membership._directory import remove_record
from bamboonotch_core.membership._health import is_overloaded
from bamboonotch_core.membership._merge import (
    FORGOTTEN_RETENTION_FACTOR,
    hear_of_self,
    store_record,
)
from bamboonotch_core.membership._regions import hear_cut
from bamboonotch_core.membership._ring import ring_neighbours, walk_from
from bamboonotch_core.membership._spreading import send_records, spread_suspicion
from bamboonotch_core.membership._state import (
    Accusation,
    Dial,
    DialReason,
    Forgotten,
    Link,
    Reported,
)
from bamboonotch_core.membership._work import Work
from bamboonotch_core.messages import Suspicion

__all__ = [
    "REPORTERS_NEEDED",
    "check_reports",
    "check_retention",
    "check_suspects",
    "confirm_suspicion",
    "forgive_neighbour",
    "hear_suspicion",
    "restart_suspicion_clocks",
    "suspect_neighbour",
    "withdraw_suspicion",
]

REPORTERS_NEEDED = 2
# Members that dial a suspect when its own neighbours do not make up enough reporters.
HELPERS = 2
# Wait before a neighbour that has refuted is reported again; doubles up to 80 s.
QUIET_MS = 5_000
MAX_QUIET_DOUBLINGS = 4
# Longer than the longest wait between two dials.
ACCUSATION_RETENTION_MS = 60_000


def suspect_neighbour(work: Work, node_id: str) -> None:
    """Report that a neighbour of the own region does not answer.

    :param work: the event being handled.
    :param node_id: the neighbour.
    """
    record = work.state.directory.records.get(node_id)
    if record is None or record.state is MemberState.DEAD:
        return
    if record.region != work.own_record.region or is_overloaded(work):
        return
    if _may_accuse(work, record):
        own_id = work.own_record.node_id
        suspicion = Suspicion(node_id, record.incarnation, record.sequence, own_id)
        hear_suspicion(work, suspicion, None)


def forgive_neighbour(work: Work, node_id: str) -> None:
    """Forget the refutations of a neighbour that has kept a link for some time.

    :param work: the event being handled.
    :param node_id: the neighbour.
    """
    accusations = work.state.detection.accusations
    if node_id in accusations:
        work.change_detection(accusations=accusations.delete(node_id))


def withdraw_suspicion(work: Work, link: Link) -> None:
    """Drop the own report on a peer that has answered, and let it refute those of others.

    :param work: the event being handled.
    :param link: the link to the peer.
    """
    node_id = link.peer.node_id
    reported = work.state.detection.reported.get(node_id)
    if reported is None:
        return
    if reported.reporters:
        reporter = min(reported.reporters)
        work.send(link, Suspicion(node_id, reported.incarnation, reported.sequence, reporter))
    own_id = work.own_record.node_id
    if own_id in reported.reporters:
        left = replace(reported, reporters=reported.reporters.delete(own_id))
        work.change_detection(reported=work.state.detection.reported.set(node_id, left))
        work.raise_routing_generation()


def hear_suspicion(work: Work, suspicion: Suspicion, link: Link | None) -> None:
    """Count and spread a suspicion; mark the suspect when enough reporters agree.

    :param work: the event being handled.
    :param suspicion: the suspicion.
    :param link: the link that it came from, or ``None`` for an own one.
    """
    own = work.own_record
    if suspicion.node_id == own.node_id:
        _answer_suspicion(work, suspicion, link)
        return
    records = work.state.directory.records
    record = records.get(suspicion.node_id)
    reporter = records.get(suspicion.reporter)
    if record is None or reporter is None:
        return
    if MemberState.DEAD in (record.state, reporter.state):
        return
    if record.region != own.region:
        if reporter.region == own.region:
            hear_cut(work, suspicion, record, link)
        elif reporter.region == record.region:
            _verify(work, record, suspicion)
        return
    if record.state is MemberState.SUSPECT:
        # Agreed already; further reports would only add traffic when many die at once.
        return
    if (suspicion.incarnation, suspicion.sequence) == (record.incarnation, record.sequence):
        _count_report(work, suspicion, record, link)


def confirm_suspicion(work: Work, node_id: str) -> None:
    """Add the own report on a member that was dialled on the word of others.

    :param work: the event being handled.
    :param node_id: the member.
    """
    record = work.state.directory.records.get(node_id)
    if record is None or record.region == work.own_record.region:
        suspect_neighbour(work, node_id)
        return
    if is_overloaded(work):
        return
    own_id = work.own_record.node_id
    suspicion = Suspicion(node_id, record.incarnation, record.sequence, own_id)
    spread_suspicion(work, suspicion, (record.region,), "")


def check_reports(work: Work) -> None:
    """Drop reports that were not upheld, and look for more reporters where there are too few.

    :param work: the event being handled.
    """
    _drop_old_accusations(work)
    for node_id, reported in sorted(work.state.detection.reported.items()):
        if work.now_ms < reported.check_ms:
            continue
        kept = _drop_old_reports(work, node_id, reported)
        record = work.state.directory.records[node_id]
        if kept is not None and record.state is not MemberState.SUSPECT:
            _seek_confirmation(work, record, kept)


def check_suspects(work: Work) -> None:
    """Declare dead the suspects that have not refuted in time.

    :param work: the event being handled.
    """
    for node_id, suspect in sorted(work.state.detection.suspects.items()):
        if work.now_ms - suspect.since_ms >= work.settings.suspicion_ms:
            record = work.state.directory.records[node_id]
            store_record(work, replace(record, state=MemberState.DEAD), None)


def restart_suspicion_clocks(work: Work) -> None:
    """Give every suspect its full time again after a pause of this process.

    :param work: the event being handled.
    """
    suspects = work.state.detection.suspects
    restarted = {name: replace(item, since_ms=work.now_ms) for name, item in suspects.items()}
    work.change_detection(suspects=Map(restarted))


def check_retention(work: Work) -> None:
    """Drop the records of members dead for long, and later the memory of them.

    :param work: the event being handled.
    """
    if work.now_ms < work.state.detection.next_expiry_ms:
        return
    detection = work.state.detection
    retention_ms = work.settings.dead_retention_ms
    for node_id, since_ms in detection.dead_since.items():
        if work.now_ms - since_ms >= retention_ms:
            _forget(work, node_id)
    forgotten = work.state.detection.forgotten
    for node_id, entry in forgotten.items():
        if work.now_ms >= entry.until_ms:
            forgotten = forgotten.delete(node_id)
    dead_since = work.state.detection.dead_since
    expiries = [since_ms + retention_ms for since_ms in dead_since.values()]
    expiries += [entry.until_ms for entry in forgotten.values()]
    work.change_detection(forgotten=forgotten, next_expiry_ms=min(expiries, default=float("inf")))


def _may_accuse(work: Work, record: MemberRecord) -> bool:
    """Tell whether to report a neighbour; one that keeps refuting is reported ever less often.

    A path that is broken for long while others work would otherwise cost the whole fleet a
    report and a refutation at each failed dial.
    """
    accusations = work.state.detection.accusations
    last = accusations.get(record.node_id)
    refutations = 0
    if last is not None and last.incarnation == record.incarnation:
        if last.sequence == record.sequence:
            return True
        if work.now_ms < last.quiet_until_ms:
            return False
        refutations = min(last.refutations + 1, MAX_QUIET_DOUBLINGS)
    quiet_until_ms = work.now_ms + QUIET_MS * 2**refutations
    entry = Accusation(record.incarnation, record.sequence, quiet_until_ms, refutations)
    work.change_detection(accusations=accusations.set(record.node_id, entry))
    return True


def _drop_old_accusations(work: Work) -> None:
    accusations = work.state.detection.accusations
    for node_id, entry in accusations.items():
        if work.now_ms > entry.quiet_until_ms + ACCUSATION_RETENTION_MS:
            accusations = accusations.delete(node_id)
    if accusations is not work.state.detection.accusations:
        work.change_detection(accusations=accusations)


def _answer_suspicion(work: Work, suspicion: Suspicion, link: Link | None) -> None:
    own = work.own_record
    heard = (suspicion.incarnation, suspicion.sequence)
    if heard >= (own.incarnation, own.sequence):
        hear_of_self(work, suspicion.incarnation, suspicion.sequence)
    elif link is not None:
        send_records(work, link, [own])


def _count_report(
    work: Work, suspicion: Suspicion, record: MemberRecord, link: Link | None
) -> None:
    node_id = suspicion.node_id
    reported = work.state.detection.reported.get(node_id)
    version = (suspicion.incarnation, suspicion.sequence)
    if reported is None or (reported.incarnation, reported.sequence) != version:
        reported = Reported(*version, check_ms=work.now_ms + work.settings.suspicion_ms)
    last_ms = reported.reporters.get(suspicion.reporter)
    if last_ms is not None and work.now_ms - last_ms < work.settings.suspicion_ms:
        return
    if last_ms is None and len(reported.reporters) < REPORTERS_NEEDED:
        work.report("member-suspected", node_id=node_id, reporter=suspicion.reporter)
    reporters = reported.reporters.set(suspicion.reporter, work.now_ms)
    reported = replace(reported, reporters=reporters)
    work.change_detection(reported=work.state.detection.reported.set(node_id, reported))
    if suspicion.reporter == work.own_record.node_id:
        work.raise_routing_generation()
    spread_suspicion(work, suspicion, (record.region,), "" if link is None else link.link_id)
    if _is_agreed(work, node_id, reported):
        # The reports have reached the whole region, where everybody draws the same conclusion.
        store_record(work, replace(record, state=MemberState.SUSPECT), None, only_abroad=True)


def _is_agreed(work: Work, node_id: str, reported: Reported) -> bool:
    if len(reported.reporters) >= REPORTERS_NEEDED:
        return True
    neighbours = ring_neighbours(work.state.overlay.ring, node_id)
    if not 0 < len(neighbours) < REPORTERS_NEEDED:
        return False
    return all(neighbour in reported.reporters for neighbour in neighbours)


def _report_valid_ms(work: Work) -> float:
    """Return how long a report counts; a reporter repeats it at each failed dial."""
    settings = work.settings
    return settings.backoff_max_ms + 2 * settings.silent_after_ms + settings.suspicion_ms


def _drop_old_reports(work: Work, node_id: str, reported: Reported) -> Reported | None:
    reporters = reported.reporters
    for reporter, time_ms in reporters.items():
        if work.now_ms - time_ms > _report_valid_ms(work):
            reporters = reporters.delete(reporter)
    everyone = work.state.detection.reported
    if len(reporters) < len(reported.reporters):
        work.raise_routing_generation()
    if not reporters:
        work.change_detection(reported=everyone.delete(node_id))
        return None
    check_ms = work.now_ms + work.settings.suspicion_ms
    kept = replace(reported, reporters=reporters, check_ms=check_ms)
    work.change_detection(reported=everyone.set(node_id, kept))
    return kept


def _seek_confirmation(work: Work, record: MemberRecord, reported: Reported) -> None:
    """Have further members dial a suspect whose other neighbours may be dead as well."""
    own_id = work.own_record.node_id
    helpers = _find_helpers(work, record.node_id, reported)
    suspicion = Suspicion(record.node_id, record.incarnation, record.sequence, own_id)
    if own_id in helpers:
        _verify(work, record, suspicion)
    elif own_id not in reported.reporters:
        return
    elif helpers:
        # They may be dead themselves without any neighbour left to say so.
        for helper in helpers:
            if helper not in work.state.overlay.by_peer:
                _dial_once(work, work.state.directory.records[helper])
    else:
        regions = frozenset(work.state.directory.regions) - {record.region}
        spread_suspicion(work, suspicion, regions, "")


def _find_helpers(work: Work, node_id: str, reported: Reported) -> list[str]:
    """Return the next members on the ring that are not suspected themselves."""
    suspected = work.state.detection.reported
    helpers: list[str] = []
    for other in walk_from(work.state.overlay.ring, node_id):
        if other not in suspected and other not in reported.reporters:
            helpers.append(other)
            if len(helpers) == HELPERS:
                break
    return helpers


def _verify(work: Work, record: MemberRecord, suspicion: Suspicion) -> None:
    """Dial a member that others suspect, or pass the suspicion on to it if it is linked."""
    link_id = work.state.overlay.by_peer.get(record.node_id)
    if link_id is not None:
        work.send(work.state.overlay.links[link_id], suspicion)
    else:
        _dial_once(work, record)


def _dial_once(work: Work, record: MemberRecord) -> None:
    if record.peer_address not in work.state.overlay.dials:
        dial = Dial(record.peer_address, record.node_id, DialReason.VERIFY, work.now_ms)
        add_dial(work, dial)


def _forget(work: Work, node_id: str) -> None:
    record = work.state.directory.records[node_id]
    detection = work.state.detection
    until_ms = work.now_ms + FORGOTTEN_RETENTION_FACTOR * work.settings.dead_retention_ms
    entry = Forgotten(record.incarnation, record.sequence, until_ms)
    work.set_directory(remove_record(work.state.directory, node_id))
    work.change_detection(
        dead_since=detection.dead_since.delete(node_id),
        forgotten=detection.forgotten.set(node_id, entry),
    )
