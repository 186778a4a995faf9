"""Opening, keeping and closing of links."""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from bamboonotch_core.effects import CloseLink
from bamboonotch_core.events import LinkOpened
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership._detection import (
    forgive_neighbour,
    suspect_neighbour,
    withdraw_suspicion,
)
from bamboonotch_core.membership._dialling import dial_again, settle_dials
from bamboonotch_core.membership._exchange import send_digests, send_heartbeat
from bamboonotch_core.membership._health import patience
from bamboonotch_core.membership._merge import hear_of_self
from bamboonotch_core.membership._regions import note_region_linked
from bamboonotch_core.membership._spreading import send_records
from bamboonotch_core.membership._state import Link
from bamboonotch_core.membership._validation import find_peer_fault
from bamboonotch_core.membership._work import Work

__all__ = [
    "MAX_LINKS",
    "check_silence",
    "close_link",
    "forget_link",
    "hear_link",
    "open_link",
    "restart_silence_clocks",
]

# A relay-slot holder is the first contact of many newcomers after a herd restart.
MAX_LINKS = 256
# A link that has lived for this many silence times is taken to work.
PROVEN_FACTOR = 2


def open_link(work: Work, event: LinkOpened) -> None:
    """Take a new link, or close it when it is refused or superfluous.

    :param work: the event being handled.
    :param event: the opened link.
    """
    link = Link(event.link_id, event.peer, event.outbound, event.now_ms, event.now_ms)
    settle_dials(work, link)
    refusal = _find_refusal(work, link)
    if refusal:
        work.report("link-refused", node_id=link.peer.node_id, reason=refusal)
        work.emit(CloseLink(link.link_id, refusal))
        return
    held_id = work.state.overlay.by_peer.get(link.peer.node_id)
    if held_id is not None:
        held = work.state.overlay.links[held_id]
        if not _prefer_new(work, held, link):
            work.emit(CloseLink(link.link_id, "duplicate"))
            return
        work.report("link-replaced", node_id=link.peer.node_id, link_id=held_id)
        close_link(work, held, "duplicate")
    _add_link(work, link)
    _greet(work, link)


def hear_link(work: Work, link: Link) -> Link:
    """Note that a message came on a link; return the link as it is now.

    :param work: the event being handled.
    :param link: the link.
    """
    heard = replace(link, heard_ms=work.now_ms, proven=True)
    _put_link(work, heard)
    if work.now_ms - link.opened_ms >= PROVEN_FACTOR * work.settings.silent_after_ms:
        forgive_neighbour(work, link.peer.node_id)
    return heard


def forget_link(work: Work, link: Link) -> None:
    """Drop a link that has ended, and dial its peer again if the overlay wants it.

    :param work: the event being handled.
    :param link: the link.
    """
    overlay = work.state.overlay
    by_peer = overlay.by_peer
    if by_peer.get(link.peer.node_id) == link.link_id:
        by_peer = by_peer.delete(link.peer.node_id)
    work.change_overlay(links=overlay.links.delete(link.link_id), by_peer=by_peer)
    lived_ms = work.now_ms - link.opened_ms
    brief = not link.proven or lived_ms < work.settings.silent_after_ms
    dial_again(work, link.peer.node_id, brief)


def close_link(work: Work, link: Link, reason: str) -> None:
    """Close a link and forget it.

    :param work: the event being handled.
    :param link: the link.
    :param reason: why, for the log.
    """
    work.emit(CloseLink(link.link_id, reason))
    forget_link(work, link)


def check_silence(work: Work) -> None:
    """Replace the links on which nothing came for too long.

    :param work: the event being handled.
    """
    for link in work.links:
        if work.now_ms - link.heard_ms < work.settings.silent_after_ms * patience(work):
            continue
        work.report("link-silent", node_id=link.peer.node_id, link_id=link.link_id)
        close_link(work, link, "silent")
        if not link.proven:
            suspect_neighbour(work, link.peer.node_id)


def restart_silence_clocks(work: Work) -> None:
    """Count the silence of every link from now, after a pause of this process.

    :param work: the event being handled.
    """
    links = work.state.overlay.links
    restarted = {name: replace(link, heard_ms=work.now_ms) for name, link in links.items()}
    work.change_overlay(links=Map(restarted))


def _find_refusal(work: Work, link: Link) -> str:
    fault = find_peer_fault(link.peer)
    if fault:
        return fault
    own = work.own_record
    if link.peer.node_id == own.node_id:
        if link.peer.incarnation > own.incarnation:
            hear_of_self(work, link.peer.incarnation, 0)
        return "own node id"
    if not link.outbound and len(work.state.overlay.links) >= MAX_LINKS:
        return "too many links"
    return ""


def _prefer_new(work: Work, held: Link, new: Link) -> bool:
    """Choose between two links to one peer, so that both ends choose alike."""
    if new.peer.incarnation != held.peer.incarnation:
        return new.peer.incarnation > held.peer.incarnation
    if new.outbound == held.outbound:
        return True
    if new.opened_ms - held.opened_ms >= work.settings.silent_after_ms:
        # The peer would not have dialled if it still had the older link.
        return True
    return new.outbound == (work.own_record.node_id < new.peer.node_id)


def _add_link(work: Work, link: Link) -> None:
    _put_link(work, link)
    by_peer = work.state.overlay.by_peer.set(link.peer.node_id, link.link_id)
    work.change_overlay(by_peer=by_peer)
    work.report(
        "link-opened",
        node_id=link.peer.node_id,
        link_id=link.link_id,
        outbound=link.outbound,
    )


def _put_link(work: Work, link: Link) -> None:
    work.change_overlay(links=work.state.overlay.links.set(link.link_id, link))


def _greet(work: Work, link: Link) -> None:
    send_heartbeat(work, link)
    records = [work.own_record]
    held = work.state.directory.records.get(link.peer.node_id)
    if held is not None and held.state in (MemberState.SUSPECT, MemberState.DEAD):
        records.append(held)
    send_records(work, link, records)
    send_digests(work, link)
    withdraw_suspicion(work, link)
    if link.peer.region != work.own_record.region:
        note_region_linked(work, link)
