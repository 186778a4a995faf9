"""Scheduling of dials, their limits, and the handling of failed dials."""

from __future__ import annotations

from bamboonotch_core.effects import OpenLink
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership._detection import report_failed_verification, suspect_neighbour
from bamboonotch_core.membership._dials import add_dial
from bamboonotch_core.membership._health import timeout_factor
from bamboonotch_core.membership._overlay import wanted_peers
from bamboonotch_core.membership._regions import (
    find_contacts,
    is_gateway,
    linked_regions,
    record_failed_contact,
)
from bamboonotch_core.membership._state import Dial, DialReason, Link
from bamboonotch_core.membership._work import Step
from bamboonotch_core.replace import replace_fields

__all__ = [
    "MAX_PENDING_DIALS",
    "handle_dial_failure",
    "redial_peer",
    "resolve_dials",
    "restart_dial_clocks",
    "schedule_dials",
    "start_due_dials",
]

MAX_PENDING_DIALS = 16
# A dial to a dead VM stays in flight until it times out, so such dials must not use all places.
MAX_PENDING_DEAD_DIALS = 8
# After a short-lived link, the backoff starts as if this many dials had failed.
SHORT_LIVED_LINK_FAILURES = 3

_MAX_BACKOFF_DOUBLINGS = 16
_REASON_PRIORITY = {
    DialReason.OVERLAY: 0,
    DialReason.GATEWAY: 1,
    DialReason.VERIFY: 2,
    DialReason.RENDEZVOUS: 3,
    DialReason.DEAD: 4,
}

# Addresses with these reasons are dialled once and then dropped.
_SINGLE_ATTEMPT_REASONS = (DialReason.VERIFY, DialReason.RENDEZVOUS)


def redial_peer(step: Step, node_id: str, short_lived: bool) -> None:
    """Schedule a dial to a peer whose link ended, if the overlay wants the peer.

    :param short_lived: whether the link ended soon after it opened.
    """
    record = step.state.directory.records.get(node_id)
    if record is None or node_id not in wanted_peers(step.state):
        return
    if node_id in step.state.overlay.by_peer or record.peer_address in step.state.overlay.dials:
        return
    failures = SHORT_LIVED_LINK_FAILURES if short_lived else 0
    due_ms = step.now_ms + (_draw_backoff(step, failures) if short_lived else 0.0)
    reason = _reason_for(step, record.region)
    add_dial(step, Dial(record.peer_address, node_id, reason, due_ms, failures=failures))


def schedule_dials(step: Step) -> None:
    """Schedule dials to the wanted peers without a link, and drop the dials no longer needed."""
    missing = _find_unlinked_peers(step)
    _drop_stale_dials(step, missing)
    overlay = step.state.overlay
    dialled = {dial.node_id for dial in overlay.dials.values()}
    for node_id in missing:
        if node_id not in dialled:
            _schedule_peer(step, node_id)


def start_due_dials(step: Step) -> None:
    """Fail the dials that have timed out, and start those that are due."""
    for dial in step.dials:
        if dial.in_flight and step.now_ms >= dial.due_ms:
            handle_dial_failure(step, dial)
    dials = step.dials
    free = MAX_PENDING_DIALS - sum(dial.in_flight for dial in dials)
    due = [dial for dial in dials if not dial.in_flight and dial.due_ms <= step.now_ms]
    due.sort(key=lambda dial: (_REASON_PRIORITY[dial.reason], dial.due_ms, dial.address))
    dead_in_flight = sum(dial.in_flight and dial.reason == DialReason.DEAD for dial in dials)
    # Dials to dead members have the lowest priority and a limit of their own.
    live_dials = [dial for dial in due if dial.reason != DialReason.DEAD]
    dead_dials = [dial for dial in due if dial.reason == DialReason.DEAD]
    chosen = live_dials + dead_dials[: max(MAX_PENDING_DEAD_DIALS - dead_in_flight, 0)]
    for dial in chosen[: max(free, 0)]:
        deadline_ms = step.now_ms + step.settings.silent_after_ms * timeout_factor(step)
        add_dial(step, replace_fields(dial, in_flight=True, due_ms=deadline_ms))
        step.emit(OpenLink(dial.address))


def handle_dial_failure(step: Step, dial: Dial) -> None:
    """Schedule the next dial after a failed one, and report the member where its reason asks so."""
    dials = step.state.overlay.dials
    linked = dial.node_id in step.state.overlay.by_peer
    if linked or dial.reason in _SINGLE_ATTEMPT_REASONS:
        step.change_overlay(dials=dials.delete(dial.address))
        if dial.reason == DialReason.VERIFY and not linked:
            report_failed_verification(step, dial.node_id)
        return
    failures = dial.failures + 1
    due_ms = step.now_ms + _draw_backoff(step, failures)
    failed = replace_fields(dial, in_flight=False, failures=failures, due_ms=due_ms)
    step.change_overlay(dials=dials.set(dial.address, failed))
    if dial.reason == DialReason.OVERLAY:
        suspect_neighbour(step, dial.node_id)
    elif dial.reason == DialReason.GATEWAY:
        record_failed_contact(step, dial.node_id)


def resolve_dials(step: Step, link: Link) -> None:
    """Remove or fail the dials that are decided by a new link."""
    peer = link.peer
    for dial in step.dials:
        same_address = link.outbound and dial.address == peer.peer_address
        if dial.node_id == peer.node_id or (same_address and not dial.node_id):
            dials = step.state.overlay.dials.delete(dial.address)
            step.change_overlay(dials=dials)
        elif same_address:
            # Another member uses the address now, so the expected member is no longer there.
            handle_dial_failure(step, dial)


def restart_dial_clocks(step: Step) -> None:
    """Restart the time-out of every dial in flight after a pause of this process."""
    dials = step.state.overlay.dials
    deadline_ms = step.now_ms + step.settings.silent_after_ms
    for dial in dials.values():
        if dial.in_flight:
            dials = dials.set(dial.address, replace_fields(dial, due_ms=deadline_ms))
    step.change_overlay(dials=dials)


def _find_unlinked_peers(step: Step) -> list[str]:
    """Return the wanted peers without a link, and further contacts of unreachable regions."""
    state = step.state
    linked_peers = state.overlay.by_peer
    missing = [node_id for node_id in sorted(wanted_peers(state)) if node_id not in linked_peers]
    if state.overlay.failed_contacts and is_gateway(step):
        linked = linked_regions(step)
        for region in sorted(state.overlay.failed_contacts):
            if region not in linked:
                contacts = find_contacts(step, region)
                missing.extend(node_id for node_id in contacts if node_id not in missing)
    return missing


def _drop_stale_dials(step: Step, missing: list[str]) -> None:
    overlay = step.state.overlay
    kept = overlay.dials
    for dial in step.dials:
        if not dial.in_flight and not _is_needed(step, dial, missing):
            kept = kept.delete(dial.address)
    if kept is not overlay.dials:
        step.change_overlay(dials=kept)


def _is_needed(step: Step, dial: Dial, missing: list[str]) -> bool:
    record = step.state.directory.records.get(dial.node_id)
    if dial.reason in _SINGLE_ATTEMPT_REASONS:
        return True
    if dial.reason == DialReason.DEAD:
        dead = record is not None and record.state is MemberState.DEAD
        return dead and dial.expires_ms is not None and step.now_ms < dial.expires_ms
    return dial.node_id in missing and record is not None and record.peer_address == dial.address


def _schedule_peer(step: Step, node_id: str) -> None:
    record = step.state.directory.records.get(node_id)
    if record is None:
        return
    overlay = step.state.overlay
    due_ms = step.now_ms
    if node_id in overlay.predecessors and node_id not in overlay.successors:
        # The other end should dial. If it has not done so in time, it may be dead, and this node
        # dials it to find out.
        due_ms += step.settings.silent_after_ms
    reason = _reason_for(step, record.region)
    known = overlay.dials.get(record.peer_address)
    if known is None:
        add_dial(step, Dial(record.peer_address, node_id, reason, due_ms))
    elif known.reason == DialReason.DEAD or known.reason in _SINGLE_ATTEMPT_REASONS:
        add_dial(step, replace_fields(known, node_id=node_id, reason=reason, expires_ms=None))


def _reason_for(step: Step, region: str) -> str:
    same = region == step.own_record.region
    return DialReason.OVERLAY if same else DialReason.GATEWAY


def _draw_backoff(step: Step, failures: int) -> float:
    """Return a random wait by exponential backoff with full jitter, in milliseconds."""
    settings = step.settings
    limit_ms = settings.backoff_min_ms * 2 ** min(failures, _MAX_BACKOFF_DOUBLINGS)
    return step.draw_ms(min(limit_ms * timeout_factor(step), settings.backoff_max_ms))
