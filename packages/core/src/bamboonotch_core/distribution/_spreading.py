"""Offers versions to neighbours and asks neighbours for versions."""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from bamboonotch_core.distribution._snapshots import send_snapshot
from bamboonotch_core.distribution._state import PeerKnowledge, VersionWanted
from bamboonotch_core.distribution._step import Step, peer_source
from bamboonotch_core.distribution._versions import accept_entry
from bamboonotch_core.distribution._view import Neighbour
from bamboonotch_core.messages import VersionAnnounce, VersionPush, VersionRequest
from bamboonotch_core.settings import PushMode

__all__ = [
    "advance_requests",
    "answer_request",
    "forget_closed_links",
    "note_bad_copy",
    "note_peer_version",
    "offer_on_new_link",
    "receive_push",
    "spread",
]

MAX_EAGER_ENTRIES = 4
"""A node that caught up by more entries only announces them; most neighbours hold them already."""

REFUSED_RETRY_FACTOR = 10
"""A peer whose copy was bad is asked again, if no other has the version, this much more seldom."""

LONGEST_TRANSFER_FACTOR = 30
"""Retry times after which a transfer is given up even if it makes progress; 8 MiB take 2.3 s on
an inter-region link of 30 Mbit/s."""


def forget_closed_links(step: Step) -> None:
    """Drop what is known of links that are not open any more.

    :param step: the step.
    """
    state = step.state
    if any(link_id not in step.links for link_id in state.peers):
        kept = {key: value for key, value in state.peers.items() if key in step.links}
        step.update(peers=Map(kept))
    if any(link_id not in step.links for link_id in state.snapshots_sent):
        sent = {key: value for key, value in state.snapshots_sent.items() if key in step.links}
        step.update(snapshots_sent=Map(sent))
    if state.wanted is not None and state.wanted.link_id not in step.links:
        step.update(wanted=None, assembly=None)


def _knowledge(step: Step, link_id: str) -> PeerKnowledge:
    return step.state.peers.get(link_id, PeerKnowledge())


def _set_knowledge(step: Step, link_id: str, knowledge: PeerKnowledge) -> None:
    if step.state.peers.get(link_id) != knowledge:
        step.update(peers=step.state.peers.set(link_id, knowledge))


def note_peer_version(step: Step, peer: Neighbour, version: int, *, exact: bool = False) -> None:
    """Take note of the newest version that a peer holds.

    :param step: the step.
    :param peer: the peer.
    :param version: the version.
    :param exact: whether a lower version than known replaces it.
    """
    known = _knowledge(step, peer.link_id)
    if exact or version > known.held_version:
        _set_knowledge(step, peer.link_id, replace(known, held_version=version))


def note_bad_copy(step: Step, peer: Neighbour, version: int) -> None:
    """Take note that a peer's copy of a version is bad, so that another one is asked.

    :param step: the step.
    :param peer: the peer.
    :param version: the version.
    """
    known = _knowledge(step, peer.link_id)
    refused = max(version, known.refused_version)
    _set_knowledge(step, peer.link_id, replace(known, refused_version=refused))
    wanted = step.state.wanted
    if wanted is not None and wanted.link_id == peer.link_id:
        step.update(wanted=None, assembly=None)


def offer_on_new_link(step: Step, peer: Neighbour) -> None:
    """Tell a new neighbour the held version, so that it need not wait for a heartbeat.

    :param step: the step.
    :param peer: the neighbour.
    """
    if step.state.held_version:
        step.send(peer.link_id, VersionAnnounce(step.state.held_version))


def spread(step: Step, before: int) -> None:
    """Offer versions that have just been held to the neighbours that may lack them.

    What came from another region is not offered to a third one. The gateway of the store's region
    pushes at once to the other gateways, because no other node brings them a new version; every
    other link between regions announces first.

    :param step: the step.
    :param before: version held before.
    """
    state = step.state
    if state.held_version <= before:
        return
    region = state.settings.identity.region
    source = state.held_source
    came_from_afar = source.region not in ("", region)
    for peer in step.nodes.values():
        far = peer.region != region
        if peer.node_id == source.node_id or (far and came_from_afar):
            continue
        known = _knowledge(step, peer.link_id).held_version
        if known >= state.held_version:
            continue
        if far:
            push = peer.node_id in step.view.far_gateways
        else:
            push = state.settings.distribution.push is PushMode.EAGER
        _offer(step, peer, max(before, known), push=push)


def _offer(step: Step, peer: Neighbour, after: int, *, push: bool) -> None:
    state = step.state
    versions = range(after + 1, state.held_version + 1)
    few = len(versions) <= MAX_EAGER_ENTRIES
    if push and few and all(version in state.entries for version in versions):
        for version in versions:
            step.send(peer.link_id, VersionPush(version, state.entries[version]))
        return
    step.send(peer.link_id, VersionAnnounce(state.held_version))


def receive_push(step: Step, peer: Neighbour, message: VersionPush) -> None:
    """Take in a log entry from a peer.

    :param step: the step.
    :param peer: the peer.
    :param message: the message.
    """
    before = step.state.held_version
    note_peer_version(step, peer, message.version)
    if message.version != before + 1:
        return
    if not accept_entry(step, message.entry, peer_source("delta", peer)):
        note_bad_copy(step, peer, message.version)
        return
    note_progress(step, peer)
    spread(step, before)


def note_progress(step: Step, peer: Neighbour) -> None:
    """Take note that a peer sent something of use.

    :param step: the step.
    :param peer: the peer.
    """
    _set_knowledge(step, peer.link_id, replace(_knowledge(step, peer.link_id), unanswered=0))
    wanted = step.state.wanted
    if wanted is not None and wanted.link_id == peer.link_id:
        step.update(wanted=replace(wanted, asked_ms=step.now_ms))


def answer_request(step: Step, peer: Neighbour, message: VersionRequest) -> None:
    """Send a peer what it lacks.

    :param step: the step.
    :param peer: the peer.
    :param message: the request.
    """
    state = step.state
    after = message.after_version
    if after >= state.held_version:
        return
    versions = range(after + 1, state.held_version + 1)
    few = len(versions) <= state.settings.distribution.max_delta_versions
    if few and all(version in state.entries for version in versions):
        for version in versions:
            step.send(peer.link_id, VersionPush(version, state.entries[version]))
        return
    send_snapshot(step, peer)


def advance_requests(step: Step) -> None:
    """Ask a neighbour that holds more, and ask another one when it does not answer.

    :param step: the step.
    """
    wanted = step.state.wanted
    if wanted is not None:
        if step.state.held_version >= wanted.target_version:
            step.update(wanted=None, assembly=None)
        elif _has_expired(step, wanted):
            _give_up_request(step, wanted)
        else:
            return
    _ask_best(step)


def _has_expired(step: Step, wanted: VersionWanted) -> bool:
    retry_ms = step.state.settings.distribution.retry_ms
    too_long = step.now_ms - wanted.sent_ms >= retry_ms * LONGEST_TRANSFER_FACTOR
    return too_long or step.now_ms - wanted.asked_ms >= retry_ms


def _give_up_request(step: Step, wanted: VersionWanted) -> None:
    known = _knowledge(step, wanted.link_id)
    _set_knowledge(step, wanted.link_id, replace(known, unanswered=known.unanswered + 1))
    step.update(wanted=None, assembly=None)
    peer = step.links[wanted.link_id].node_id
    step.report("request-unanswered", version=wanted.target_version, peer=peer)


def _ask_best(step: Step) -> None:
    state = step.state
    held = state.held_version
    region = state.settings.identity.region

    def rank(peer: Neighbour) -> tuple[bool, int, bool, bool, int, str]:
        known = _knowledge(step, peer.link_id)
        return (
            known.refused_version > held,
            known.unanswered,
            peer.link_id == state.last_asked,
            peer.region != region,
            -known.held_version,
            peer.node_id,
        )

    ahead = [p for p in step.nodes.values() if _knowledge(step, p.link_id).held_version > held]
    if not ahead:
        return
    best = min(ahead, key=rank)
    known = _knowledge(step, best.link_id)
    pause_ms = state.settings.distribution.retry_ms * REFUSED_RETRY_FACTOR
    if known.refused_version > held and step.now_ms - state.last_asked_ms < pause_ms:
        return
    step.send(best.link_id, VersionRequest(held))
    step.update(
        wanted=VersionWanted(best.link_id, known.held_version, step.now_ms, step.now_ms),
        last_asked=best.link_id,
        last_asked_ms=step.now_ms,
        assembly=None,
    )
