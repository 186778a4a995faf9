"""Exchange of documents with peers."""

from __future__ import annotations

from bamboonotch_core.configuration import decode_snapshot, digest_document, encode_snapshot
from bamboonotch_core.distribution import Neighbour
from bamboonotch_core.documents._state import EncodedDocument
from bamboonotch_core.documents._step import Step
from bamboonotch_core.errors import BamboonotchError, ConfigurationError
from bamboonotch_core.messages import SnapshotChunk, VersionAnnounce, VersionRequest

__all__ = [
    "announce_held_version",
    "answer_request",
    "note_peer_version",
    "request_from_peer",
    "take_chunk",
]

# How long a store reader waits for the store to bring a newer version before it requests it from a
# peer, and the shortest time between two requests.
PEER_REQUEST_DELAY_MS = 300.0


def note_peer_version(step: Step, peer: Neighbour, version: int) -> None:
    """Record the version that a peer states."""
    if step.state.peer_versions.get(peer.link_id) != version:
        step.update(peer_versions=step.state.peer_versions.set(peer.link_id, version))


def announce_held_version(step: Step) -> None:
    """Announce a version that was just taken to every peer that is not known to hold it."""
    version = step.state.held_version
    for link_id in step.links:
        if step.state.peer_versions.get(link_id, 0) < version:
            step.send(link_id, VersionAnnounce(version, step.state.store_epoch))


def answer_request(step: Step, peer: Neighbour, request: VersionRequest) -> None:
    """Send the held document to a peer that holds an older one."""
    if step.state.held_version <= request.after_version:
        return
    encoded = _encode_held_document(step)
    step.send(peer.link_id, SnapshotChunk(encoded.version, encoded.digest, 0, 1, encoded.data))


def take_chunk(step: Step, peer: Neighbour, message: SnapshotChunk) -> None:
    """Run the document of a peer if it is newer and whole."""
    if message.version <= step.state.held_version:
        return
    if message.count != 1:
        reason = f"snapshot has {message.count} chunks instead of 1"
        step.report("message-refused", peer=peer.node_id, reason=reason)
        return
    try:
        document, configuration = decode_snapshot(message.data, message.digest, step.held)
    except ConfigurationError as error:
        step.refuse_version(message.version, peer.node_id, error)
        return
    except BamboonotchError as error:
        # The bytes are damaged, which says nothing of the version.
        step.report("message-refused", peer=peer.node_id, reason=str(error))
        return
    step.hold(message.version, document, configuration, "peer", peer.node_id)
    # The peer's encoding is passed on as it is, so that each version is compressed once.
    step.update(encoded=EncodedDocument(message.version, message.digest, message.data))


def request_from_peer(step: Step) -> None:
    """Request a newer version from a peer that holds one, unless the store is to bring it."""
    state = step.state
    newer = {
        link_id: version
        for link_id, version in state.peer_versions.items()
        if version > state.held_version and version not in state.refused
    }
    if newer:
        newer = {link_id: version for link_id, version in newer.items() if link_id in step.links}
    if not newer:
        if state.behind_since_ms is not None:
            step.update(behind_since_ms=None)
        return
    if state.behind_since_ms is None:
        step.update(behind_since_ms=step.now_ms)
    if _waits_for_store(step) or step.now_ms - state.last_request_ms < PEER_REQUEST_DELAY_MS:
        return
    link_id = _choose_peer(step, newer)
    step.update(last_request_ms=step.now_ms, last_request_link=link_id)
    step.send(link_id, VersionRequest(state.held_version))


def _waits_for_store(step: Step) -> bool:
    state = step.state
    if not (step.is_store_reader and state.store_reachable and state.serving):
        return False
    since_ms = step.now_ms if state.behind_since_ms is None else state.behind_since_ms
    # A planned pause between two reads does not count as a delay of the store.
    grace_ms = PEER_REQUEST_DELAY_MS + max(0.0, state.reading.not_before_ms - since_ms)
    return step.now_ms - since_ms < grace_ms


def _choose_peer(step: Step, newer: dict[str, int]) -> str:
    """Choose a peer of this region that holds the newest version, and another one each time."""
    region = step.state.settings.identity.region
    last = step.state.last_request_link
    return max(
        newer, key=lambda link: (step.links[link].region == region, link != last, newer[link], link)
    )


def _encode_held_document(step: Step) -> EncodedDocument:
    """Return the held document compressed; the result is kept for the next peers that ask."""
    state = step.state
    if state.encoded.version != state.held_version:
        digest = digest_document(state.held_document)
        data = encode_snapshot(state.held_document)
        step.update(encoded=EncodedDocument(state.held_version, digest, data))
    return step.state.encoded
