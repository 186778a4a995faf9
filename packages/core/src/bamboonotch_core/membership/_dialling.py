"""Addresses that are dialled: when, how many at once, and what a failure means."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.effects import OpenLink
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership._detection import confirm_suspicion, suspect_neighbour
from bamboonotch_core.membership._dials import add_dial
from bamboonotch_core.membership._health import patience
from bamboonotch_core.membership._overlay import wanted_peers
from bamboonotch_core.membership._regions import (
    find_contacts,
    is_gateway,
    linked_regions,
    note_failed_contact,
)
from bamboonotch_core.membership._state import Dial, DialReason, Link
from bamboonotch_core.membership._work import Work

__all__ = [
    "MAX_PENDING_DIALS",
    "dial_again",
    "fail_dial",
    "launch_dials",
    "plan_dials",
    "restart_dial_clocks",
    "settle_dials",
]

MAX_PENDING_DIALS = 16
# A dial to a dead VM is in flight until it times out.
MAX_PENDING_DEAD_DIALS = 8
# A link that ended at once is dialled again as if this many dials had failed.
BRIEF_LINK_FAILURES = 3

_MAX_DOUBLINGS = 16
_REASON_ORDER = {
    DialReason.OVERLAY: 0,
    DialReason.GATEWAY: 1,
    DialReason.VERIFY: 2,
    DialReason.RENDEZVOUS: 3,
    DialReason.DEAD: 4,
}


# Addresses that are dialled once and then dropped.
_ONE_SHOT = (DialReason.VERIFY, DialReason.RENDEZVOUS)


def dial_again(work: Work, node_id: str, brief: bool) -> None:
    """Dial a peer whose link ended, if the overlay wants it.

    :param work: the event being handled.
    :param node_id: the peer.
    :param brief: whether the link ended soon after it opened.
    """
    record = work.state.directory.records.get(node_id)
    if record is None or node_id not in wanted_peers(work.state):
        return
    if node_id in work.state.overlay.by_peer or record.peer_address in work.state.overlay.dials:
        return
    failures = BRIEF_LINK_FAILURES if brief else 0
    due_ms = work.now_ms + (_draw_backoff(work, failures) if brief else 0.0)
    reason = _reason_for(work, record.region)
    add_dial(work, Dial(record.peer_address, node_id, reason, due_ms, failures=failures))


def plan_dials(work: Work) -> None:
    """Add the wanted peers without link, drop addresses that are no longer needed.

    :param work: the event being handled.
    """
    missing = _find_missing(work)
    _drop_stale(work, missing)
    overlay = work.state.overlay
    dialled = {dial.node_id for dial in overlay.dials.values()}
    for node_id in missing:
        if node_id not in dialled:
            _plan_peer(work, node_id)


def launch_dials(work: Work) -> None:
    """Fail the dials that took too long and start those that are due.

    :param work: the event being handled.
    """
    for dial in work.dials:
        if dial.in_flight and work.now_ms >= dial.due_ms:
            fail_dial(work, dial)
    dials = work.dials
    free = MAX_PENDING_DIALS - sum(dial.in_flight for dial in dials)
    due = [dial for dial in dials if not dial.in_flight and dial.due_ms <= work.now_ms]
    due.sort(key=lambda dial: (_REASON_ORDER[dial.reason], dial.due_ms, dial.address))
    dead = sum(dial.in_flight and dial.reason == DialReason.DEAD for dial in dials)
    # Reasons come in the order of their weight, so dead members take only what is left over.
    wanted = [dial for dial in due if dial.reason != DialReason.DEAD]
    spare = [dial for dial in due if dial.reason == DialReason.DEAD]
    chosen = wanted + spare[: max(MAX_PENDING_DEAD_DIALS - dead, 0)]
    for dial in chosen[: max(free, 0)]:
        deadline_ms = work.now_ms + work.settings.silent_after_ms * patience(work)
        add_dial(work, replace(dial, in_flight=True, due_ms=deadline_ms))
        work.emit(OpenLink(dial.address))


def fail_dial(work: Work, dial: Dial) -> None:
    """Plan the next dial after a failed one, and draw the conclusion on the member.

    :param work: the event being handled.
    :param dial: the failed dial.
    """
    dials = work.state.overlay.dials
    linked = dial.node_id in work.state.overlay.by_peer
    if linked or dial.reason in _ONE_SHOT:
        work.change_overlay(dials=dials.delete(dial.address))
        if dial.reason == DialReason.VERIFY and not linked:
            confirm_suspicion(work, dial.node_id)
        return
    failures = dial.failures + 1
    due_ms = work.now_ms + _draw_backoff(work, failures)
    failed = replace(dial, in_flight=False, failures=failures, due_ms=due_ms)
    work.change_overlay(dials=dials.set(dial.address, failed))
    if dial.reason == DialReason.OVERLAY:
        suspect_neighbour(work, dial.node_id)
    elif dial.reason == DialReason.GATEWAY:
        note_failed_contact(work, dial.node_id)


def settle_dials(work: Work, link: Link) -> None:
    """Settle the dials that a new link answers.

    :param work: the event being handled.
    :param link: the link.
    """
    peer = link.peer
    for dial in work.dials:
        same_address = link.outbound and dial.address == peer.peer_address
        if dial.node_id == peer.node_id or (same_address and not dial.node_id):
            dials = work.state.overlay.dials.delete(dial.address)
            work.change_overlay(dials=dials)
        elif same_address:
            # Another member has taken the address, so the one expected there is gone.
            fail_dial(work, dial)


def restart_dial_clocks(work: Work) -> None:
    """Give every dial in flight its full time again after a pause of this process.

    :param work: the event being handled.
    """
    dials = work.state.overlay.dials
    deadline_ms = work.now_ms + work.settings.silent_after_ms
    for dial in dials.values():
        if dial.in_flight:
            dials = dials.set(dial.address, replace(dial, due_ms=deadline_ms))
    work.change_overlay(dials=dials)


def _find_missing(work: Work) -> list[str]:
    """Return the wanted peers without link, and further contacts of regions out of reach."""
    state = work.state
    linked_peers = state.overlay.by_peer
    missing = [node_id for node_id in sorted(wanted_peers(state)) if node_id not in linked_peers]
    if state.overlay.failed_contacts and is_gateway(work):
        linked = linked_regions(work)
        for region in sorted(state.overlay.failed_contacts):
            if region not in linked:
                contacts = find_contacts(work, region)
                missing.extend(node_id for node_id in contacts if node_id not in missing)
    return missing


def _drop_stale(work: Work, missing: list[str]) -> None:
    overlay = work.state.overlay
    kept = overlay.dials
    for dial in work.dials:
        if not dial.in_flight and not _is_needed(work, dial, missing):
            kept = kept.delete(dial.address)
    if kept is not overlay.dials:
        work.change_overlay(dials=kept)


def _is_needed(work: Work, dial: Dial, missing: list[str]) -> bool:
    record = work.state.directory.records.get(dial.node_id)
    if dial.reason in _ONE_SHOT:
        return True
    if dial.reason == DialReason.DEAD:
        dead = record is not None and record.state is MemberState.DEAD
        return dead and dial.expires_ms is not None and work.now_ms < dial.expires_ms
    return dial.node_id in missing and record is not None and record.peer_address == dial.address


def _plan_peer(work: Work, node_id: str) -> None:
    record = work.state.directory.records.get(node_id)
    if record is None:
        return
    overlay = work.state.overlay
    due_ms = work.now_ms
    if node_id in overlay.predecessors and node_id not in overlay.successors:
        # The other end dials; if it does not, it may be dead and has to be watched all the same.
        due_ms += work.settings.silent_after_ms
    reason = _reason_for(work, record.region)
    known = overlay.dials.get(record.peer_address)
    if known is None:
        add_dial(work, Dial(record.peer_address, node_id, reason, due_ms))
    elif known.reason == DialReason.DEAD or known.reason in _ONE_SHOT:
        add_dial(work, replace(known, node_id=node_id, reason=reason, expires_ms=None))


def _reason_for(work: Work, region: str) -> str:
    same = region == work.own_record.region
    return DialReason.OVERLAY if same else DialReason.GATEWAY


def _draw_backoff(work: Work, failures: int) -> float:
    """Return a wait by exponential backoff with full jitter, in milliseconds."""
    settings = work.settings
    limit_ms = settings.backoff_min_ms * 2 ** min(failures, _MAX_DOUBLINGS)
    return work.draw_ms(min(limit_ms * patience(work), settings.backoff_max_ms))
