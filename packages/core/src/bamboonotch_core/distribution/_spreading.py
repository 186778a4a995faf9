"""Disseminates versions: offers them to neighbours and requests them from neighbours."""

from __future__ import annotations

from dataclasses import replace

from immutables import Map

from bamboonotch_core.distribution._snapshots import send_snapshot
from bamboonotch_core.distribution._state import PeerVersions, PendingRequest
from bamboonotch_core.distribution._step import Step, peer_source
from bamboonotch_core.distribution._versions import accept_entry
from bamboonotch_core.distribution._view import Neighbour
from bamboonotch_core.messages import VersionAnnounce, VersionPush, VersionRequest
from bamboonotch_core.settings import PushMode

__all__ = [
    "advance_requests",
    "answer_request",
    "disseminate",
    "forget_closed_links",
    "note_invalid_copy",
    "note_peer_version",
    "offer_on_new_link",
    "receive_push",
]

MAX_EAGER_ENTRIES = 4
"""A node that caught up by more entries only announces its version, because most neighbours hold
the entries already."""

INVALID_COPY_RETRY_FACTOR = 10
"""Multiple of ``distribution.retry_ms`` after which a peer that sent an invalid copy is asked
again, if no other peer has the version."""

MAX_TRANSFER_FACTOR = 30
"""Multiple of ``distribution.retry_ms`` after which a transfer is abandoned even if it makes
progress; 8 MiB take 2.3 s on an inter-region link of 30 Mbit/s."""


def forget_closed_links(step: Step) -> None:
    """Drop the state of links that are no longer open."""
    state = step.state
    if any(link_id not in step.links for link_id in state.peers):
        kept = {key: value for key, value in state.peers.items() if key in step.links}
        step.update(peers=Map(kept))
    if any(link_id not in step.links for link_id in state.snapshots_sent):
        sent = {key: value for key, value in state.snapshots_sent.items() if key in step.links}
        step.update(snapshots_sent=Map(sent))
    if state.wanted is not None and state.wanted.link_id not in step.links:
        step.update(wanted=None, assembly=None)


def _peer_versions(step: Step, link_id: str) -> PeerVersions:
    return step.state.peers.get(link_id, PeerVersions())


def _set_peer_versions(step: Step, link_id: str, versions: PeerVersions) -> None:
    if step.state.peers.get(link_id) != versions:
        step.update(peers=step.state.peers.set(link_id, versions))


def note_peer_version(step: Step, peer: Neighbour, version: int, *, exact: bool = False) -> None:
    """Note the newest version that a peer holds.

    :param version: the version that the peer stated or sent.
    :param exact: whether the version replaces a higher one known before.
    """
    known = _peer_versions(step, peer.link_id)
    if exact or version > known.held_version:
        _set_peer_versions(step, peer.link_id, replace(known, held_version=version))


def note_invalid_copy(step: Step, peer: Neighbour, version: int) -> None:
    """Note that a peer's copy of a version is invalid, so that another peer is asked."""
    known = _peer_versions(step, peer.link_id)
    refused = max(version, known.refused_version)
    _set_peer_versions(step, peer.link_id, replace(known, refused_version=refused))
    wanted = step.state.wanted
    if wanted is not None and wanted.link_id == peer.link_id:
        step.update(wanted=None, assembly=None)


def offer_on_new_link(step: Step, peer: Neighbour) -> None:
    """Announce the held version to a new neighbour, which need not wait for a heartbeat then."""
    if step.state.held_version:
        step.send(peer.link_id, VersionAnnounce(step.state.held_version))


def disseminate(step: Step, before: int) -> None:
    """Offer the versions added by this event to the neighbours that may lack them.

    A version that came from another region is offered within the own region only. The gateway of
    the store's region pushes to the other gateways at once, because no other node brings them a new
    version; over every other link between regions a version is announced first.

    :param before: the version that this node held before the event.
    """
    state = step.state
    if state.held_version <= before:
        return
    region = state.settings.identity.region
    source = state.held_source
    from_other_region = source.region not in ("", region)
    for peer in step.nodes.values():
        is_remote = peer.region != region
        if peer.node_id == source.node_id or (is_remote and from_other_region):
            continue
        known = _peer_versions(step, peer.link_id).held_version
        if known >= state.held_version:
            continue
        if is_remote:
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
    """Accept a log entry from a peer if it follows the held version."""
    before = step.state.held_version
    note_peer_version(step, peer, message.version)
    if message.version != before + 1:
        return
    if not accept_entry(step, message.entry, peer_source("delta", peer)):
        note_invalid_copy(step, peer, message.version)
        return
    note_useful_answer(step, peer)
    disseminate(step, before)


def note_useful_answer(step: Step, peer: Neighbour) -> None:
    """Note that a peer sent a valid version, and restart the retry time of a request to it."""
    _set_peer_versions(
        step, peer.link_id, replace(_peer_versions(step, peer.link_id), unanswered=0)
    )
    wanted = step.state.wanted
    if wanted is not None and wanted.link_id == peer.link_id:
        step.update(wanted=replace(wanted, asked_ms=step.now_ms))


def answer_request(step: Step, peer: Neighbour, message: VersionRequest) -> None:
    """Send a peer the versions that it lacks, as log entries or as a snapshot."""
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
    """Request newer versions from a neighbour, and from another one when it does not answer."""
    wanted = step.state.wanted
    if wanted is not None:
        if step.state.held_version >= wanted.target_version:
            step.update(wanted=None, assembly=None)
        elif _has_expired(step, wanted):
            _abandon_request(step, wanted)
        else:
            return
    _request_from_best_peer(step)


def _has_expired(step: Step, wanted: PendingRequest) -> bool:
    """Return whether a request made no progress for a retry time or takes too long in all."""
    retry_ms = step.state.settings.distribution.retry_ms
    too_long = step.now_ms - wanted.sent_ms >= retry_ms * MAX_TRANSFER_FACTOR
    return too_long or step.now_ms - wanted.asked_ms >= retry_ms


def _abandon_request(step: Step, wanted: PendingRequest) -> None:
    known = _peer_versions(step, wanted.link_id)
    _set_peer_versions(step, wanted.link_id, replace(known, unanswered=known.unanswered + 1))
    step.update(wanted=None, assembly=None)
    peer = step.links[wanted.link_id].node_id
    step.report("request-unanswered", version=wanted.target_version, peer=peer)


def _request_from_best_peer(step: Step) -> None:
    """Request versions from the best peer that holds newer ones.

    Peers are ranked by these criteria, in this order: no invalid copy sent, fewer unanswered
    requests, not asked last, in the own region, and a higher version.
    """
    state = step.state
    held = state.held_version
    region = state.settings.identity.region

    def rank(peer: Neighbour) -> tuple[bool, int, bool, bool, int, str]:
        known = _peer_versions(step, peer.link_id)
        return (
            known.refused_version > held,
            known.unanswered,
            peer.link_id == state.last_asked,
            peer.region != region,
            -known.held_version,
            peer.node_id,
        )

    ahead = [
        item
        for item in step.nodes.values()
        if _peer_versions(step, item.link_id).held_version > held
    ]
    if not ahead:
        return
    best = min(ahead, key=rank)
    known = _peer_versions(step, best.link_id)
    pause_ms = state.settings.distribution.retry_ms * INVALID_COPY_RETRY_FACTOR
    if known.refused_version > held and step.now_ms - state.last_asked_ms < pause_ms:
        return
    step.send(best.link_id, VersionRequest(held))
    step.update(
        wanted=PendingRequest(best.link_id, known.held_version, step.now_ms, step.now_ms),
        last_asked=best.link_id,
        last_asked_ms=step.now_ms,
        assembly=None,
    )
