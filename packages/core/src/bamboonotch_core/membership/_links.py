"""Opening, monitoring and closing of links."""

from __future__ import annotations

from immutables import Map

from bamboonotch_core.effects import CloseLink
from bamboonotch_core.events import LinkOpened
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership._detection import (
    reset_report_backoff,
    suspect_neighbour,
    withdraw_suspicion,
)
from bamboonotch_core.membership._dialling import redial_peer, resolve_dials
from bamboonotch_core.membership._exchange import send_digests, send_heartbeat
from bamboonotch_core.membership._health import timeout_factor
from bamboonotch_core.membership._merge import refute_newer_claim
from bamboonotch_core.membership._regions import handle_region_linked
from bamboonotch_core.membership._spreading import send_records
from bamboonotch_core.membership._state import Link
from bamboonotch_core.membership._validation import find_peer_fault
from bamboonotch_core.membership._work import Step
from bamboonotch_core.replace import replace_fields

__all__ = [
    "MAX_LINKS",
    "check_silence",
    "close_link",
    "mark_link_active",
    "open_link",
    "remove_link",
    "restart_silence_clocks",
]

# A relay-slot holder is the first contact of many nodes when a large part of the fleet restarts.
MAX_LINKS = 256
# A link that has been open for this many times ``silent_after_ms`` counts as stable.
STABLE_LINK_FACTOR = 2


def open_link(step: Step, event: LinkOpened) -> None:
    """Add a new link, or close it if it is refused or a duplicate."""
    link = Link(event.link_id, event.peer, event.outbound, event.now_ms, event.now_ms)
    resolve_dials(step, link)
    refusal = _find_refusal(step, link)
    if refusal:
        step.report("link-refused", node_id=link.peer.node_id, reason=refusal)
        step.emit(CloseLink(link.link_id, refusal))
        return
    held_id = step.state.overlay.by_peer.get(link.peer.node_id)
    if held_id is not None:
        held = step.state.overlay.links[held_id]
        if not _is_new_link_preferred(step, held, link):
            step.emit(CloseLink(link.link_id, "duplicate"))
            return
        step.report("link-replaced", node_id=link.peer.node_id, link_id=held_id)
        close_link(step, held, "duplicate")
    _add_link(step, link)
    _send_initial_messages(step, link)


def mark_link_active(step: Step, link: Link) -> Link:
    """Record that a message was received on a link.

    :returns: the updated link.
    """
    updated = replace_fields(link, last_received_ms=step.now_ms, has_received=True)
    _store_link(step, updated)
    if step.now_ms - link.opened_ms >= STABLE_LINK_FACTOR * step.settings.silent_after_ms:
        reset_report_backoff(step, link.peer.node_id)
    return updated


def remove_link(step: Step, link: Link) -> None:
    """Remove a link that has ended, and dial its peer again if the overlay wants the peer."""
    overlay = step.state.overlay
    by_peer = overlay.by_peer
    if by_peer.get(link.peer.node_id) == link.link_id:
        by_peer = by_peer.delete(link.peer.node_id)
    step.change_overlay(links=overlay.links.delete(link.link_id), by_peer=by_peer)
    lived_ms = step.now_ms - link.opened_ms
    short_lived = not link.has_received or lived_ms < step.settings.silent_after_ms
    redial_peer(step, link.peer.node_id, short_lived)


def close_link(step: Step, link: Link, reason: str) -> None:
    """Close a link and remove it.

    :param reason: why the link is closed; for the log.
    """
    step.emit(CloseLink(link.link_id, reason))
    remove_link(step, link)


def check_silence(step: Step) -> None:
    """Close the links on which nothing was received for too long, and suspect silent peers."""
    for link in step.links:
        if step.now_ms - link.last_received_ms < step.settings.silent_after_ms * timeout_factor(
            step
        ):
            continue
        step.report("link-silent", node_id=link.peer.node_id, link_id=link.link_id)
        close_link(step, link, "silent")
        if not link.has_received:
            suspect_neighbour(step, link.peer.node_id)


def restart_silence_clocks(step: Step) -> None:
    """Restart the silence time of every link after a pause of this process."""
    links = step.state.overlay.links
    restarted = {
        name: replace_fields(link, last_received_ms=step.now_ms) for name, link in links.items()
    }
    step.change_overlay(links=Map(restarted))


def _find_refusal(step: Step, link: Link) -> str:
    fault = find_peer_fault(link.peer)
    if fault:
        return fault
    own = step.own_record
    if link.peer.node_id == own.node_id:
        if link.peer.incarnation > own.incarnation:
            refute_newer_claim(step, link.peer.incarnation, 0)
        return f"peer {link.peer.node_id!r} uses the node id of this node"
    if not link.outbound and len(step.state.overlay.links) >= MAX_LINKS:
        return f"limit of {MAX_LINKS} links is reached"
    return ""


def _is_new_link_preferred(step: Step, held: Link, new: Link) -> bool:
    """Return whether to keep the new one of two links to a peer; both ends must decide alike."""
    if new.peer.incarnation != held.peer.incarnation:
        return new.peer.incarnation > held.peer.incarnation
    if new.outbound == held.outbound:
        return True
    if new.opened_ms - held.opened_ms >= step.settings.silent_after_ms:
        # The peer would not have dialled if it still had the older link, so that one is broken.
        return True
    return new.outbound == (step.own_record.node_id < new.peer.node_id)


def _add_link(step: Step, link: Link) -> None:
    _store_link(step, link)
    by_peer = step.state.overlay.by_peer.set(link.peer.node_id, link.link_id)
    step.change_overlay(by_peer=by_peer)
    step.report(
        "link-opened",
        node_id=link.peer.node_id,
        link_id=link.link_id,
        outbound=link.outbound,
    )


def _store_link(step: Step, link: Link) -> None:
    step.change_overlay(links=step.state.overlay.links.set(link.link_id, link))


def _send_initial_messages(step: Step, link: Link) -> None:
    send_heartbeat(step, link)
    records = [step.own_record]
    held = step.state.directory.records.get(link.peer.node_id)
    if held is not None and held.state in (MemberState.SUSPECT, MemberState.DEAD):
        records.append(held)
    send_records(step, link, records)
    send_digests(step, link)
    withdraw_suspicion(step, link)
    if link.peer.region != step.own_record.region:
        handle_region_linked(step, link)
