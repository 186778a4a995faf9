"""Follows the newest document of the source and of the peers.

Documents are ordered by their version numbers, and a node holds the highest version that it has
received. Versions may therefore arrive late, repeatedly or out of order.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from bamboonotch_core.configuration import (
    Configuration,
    Document,
    decode_snapshot,
    digest_document,
    encode_snapshot,
    parse_configuration,
)
from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.documents._state import DocumentReading, DocumentState, EncodedDocument
from bamboonotch_core.effects import Effect, Report, SendMessage, WatchDocument
from bamboonotch_core.errors import BamboonotchError
from bamboonotch_core.events import (
    DocumentRead,
    DocumentRefused,
    DocumentUnchanged,
    Event,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    StoreReadFailed,
)
from bamboonotch_core.messages import (
    Heartbeat,
    Message,
    SnapshotChunk,
    VersionAnnounce,
    VersionRequest,
)
from bamboonotch_core.transition import Transition

__all__ = ["WATCH_DOCUMENT", "reduce_documents"]

WATCH_DOCUMENT = "watch-document"
# Delay before the read after the first failure; it doubles with each consecutive failure.
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 800.0
# Pause between reads while the source has no document or has dropped its history.
ABSENT_DOCUMENT_PAUSE_MS = 100.0
# How long a node that reaches the store waits for a newer version before it requests it from a
# peer, and the shortest time between two requests.
PEER_REQUEST_DELAY_MS = 300.0
# A watch answers with the whole document at each change. When BURST_CHANGES versions come within
# BURST_MS, the next read is delayed and skips versions in between, so that the watches of many
# nodes do not saturate the link to the store.
BURST_CHANGES = 3
BURST_MS = 2000.0
# Less than a quarter of 3 s, the shortest time limit within which a version must take effect.
BURST_PAUSE_MS = 700.0
MAX_REFUSED_VERSIONS = 64


class _Step:
    """Changes and effects of one event, used within one call of the reducer only."""

    def __init__(self, state: DocumentState, view: MembershipView, now_ms: float) -> None:
        self.state = state
        self.now_ms = now_ms
        self.effects: list[Effect] = []
        self.links = {item.link_id: item for item in view.neighbours}

    def update(self, **changes: object) -> None:
        """Replace fields of the state."""
        self.state = replace(self.state, **changes)  # type: ignore[arg-type]

    def update_reading(self, **changes: object) -> None:
        """Replace fields of the read in progress."""
        self.update(reading=replace(self.state.reading, **changes))  # type: ignore[arg-type]

    def report(self, name: str, **fields: str | int | float | bool) -> None:
        """Report an event to the operator's log."""
        self.effects.append(Report(name, tuple(fields.items())))


def reduce_documents(
    state: DocumentState, event: Event, view: MembershipView
) -> Transition[DocumentState]:
    """Return the state after an event and the effects to be carried out.

    :param view: the membership after the same event.
    """
    step = _Step(state, view, event.now_ms)
    _handle(event, step)
    _advance_reading(step)
    _request_from_peer(step)
    return Transition(step.state, tuple(step.effects))


@singledispatch
def _handle(event: Event, step: _Step) -> None:
    """Handle one event; an event of another type changes nothing here."""


@_handle.register
def _(event: DocumentRead, step: _Step) -> None:
    _note_store_answer(step, event.revision)
    if event.version > step.state.held_version:
        _accept_document(step, event.version, event.document)
        _delay_read_in_burst(step)


@_handle.register
def _(event: DocumentRefused, step: _Step) -> None:
    _note_store_answer(step, event.revision)
    step.report("version-refused", source="store", reason=event.reason)


@_handle.register
def _(event: DocumentUnchanged, step: _Step) -> None:
    _note_store_answer(step, event.revision)


@_handle.register
def _(event: StoreReadFailed, step: _Step) -> None:
    if event.operation.name != WATCH_DOCUMENT:
        return
    failures = step.state.reading.failures + 1
    wait_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failures - 1))
    # The source may have dropped the history after the revision, so the next read does not wait.
    reading = DocumentReading(0, False, failures, step.now_ms + wait_ms)
    if step.state.store_reachable:
        step.report("store-lost", reason=event.reason, held_version=step.state.held_version)
    step.update(reading=reading, store_reachable=False)


@_handle.register
def _(event: LinkOpened, step: _Step) -> None:
    if event.link_id in step.links and step.state.held_version:
        message = VersionAnnounce(step.state.held_version)
        step.effects.append(SendMessage(event.link_id, message))


@_handle.register
def _(event: LinkClosed, step: _Step) -> None:
    if event.link_id in step.state.peer_versions:
        step.update(peer_versions=step.state.peer_versions.delete(event.link_id))


@_handle.register
def _(event: MessageReceived, step: _Step) -> None:
    peer = step.links.get(event.link_id)
    if peer is not None:
        _receive(event.message, step, peer)


@singledispatch
def _receive(message: Message, step: _Step, peer: Neighbour) -> None:
    """Handle one message; a message of another type changes nothing here."""


@_receive.register
def _(message: Heartbeat, step: _Step, peer: Neighbour) -> None:
    _note_peer_version(step, peer, message.held_version)


@_receive.register
def _(message: VersionAnnounce, step: _Step, peer: Neighbour) -> None:
    _note_peer_version(step, peer, message.version)


@_receive.register
def _(message: VersionRequest, step: _Step, peer: Neighbour) -> None:
    if step.state.held_version <= message.after_version:
        return
    encoded = _encode_held_document(step)
    chunk = SnapshotChunk(encoded.version, encoded.digest, 0, 1, encoded.data)
    step.effects.append(SendMessage(peer.link_id, chunk))


@_receive.register
def _(message: SnapshotChunk, step: _Step, peer: Neighbour) -> None:
    if message.version <= step.state.held_version:
        return
    if message.count != 1:
        step.report(
            "message-refused",
            peer=peer.node_id,
            reason=f"snapshot has {message.count} chunks instead of 1",
        )
        return
    try:
        document, configuration = decode_snapshot(message.data, message.digest)
    except BamboonotchError as error:
        _refuse_version(step, message.version, peer.node_id, error)
        return
    _hold(step, message.version, document, configuration, "peer", peer.node_id)


def _note_peer_version(step: _Step, peer: Neighbour, version: int) -> None:
    if step.state.peer_versions.get(peer.link_id) != version:
        step.update(peer_versions=step.state.peer_versions.set(peer.link_id, version))


def _note_store_answer(step: _Step, revision: int) -> None:
    if not step.state.store_reachable:
        step.report("store-regained", held_version=step.state.held_version)
        step.update(store_reachable=True)
    # Without a revision a read does not wait for a change, so a pause separates the reads.
    not_before_ms = 0.0 if revision else step.now_ms + ABSENT_DOCUMENT_PAUSE_MS
    step.update(reading=DocumentReading(revision, not_before_ms=not_before_ms))


def _delay_read_in_burst(step: _Step) -> None:
    """Delay the next read after ``BURST_CHANGES`` changes within ``BURST_MS``."""
    change_times_ms = (*step.state.change_times_ms, step.now_ms)[-BURST_CHANGES:]
    step.update(change_times_ms=change_times_ms)
    if len(change_times_ms) == BURST_CHANGES and step.now_ms - change_times_ms[0] < BURST_MS:
        step.update(reading=DocumentReading(0, not_before_ms=step.now_ms + BURST_PAUSE_MS))


def _accept_document(step: _Step, version: int, document: Document) -> None:
    try:
        configuration = parse_configuration(document)
    except BamboonotchError as error:
        _refuse_version(step, version, "", error)
        return
    _hold(step, version, document, configuration, "store", "")


def _refuse_version(step: _Step, version: int, node_id: str, error: Exception) -> None:
    if version in step.state.refused:
        return
    step.update(refused=(*step.state.refused, version)[-MAX_REFUSED_VERSIONS:])
    step.report("version-refused", version=version, peer=node_id, reason=str(error)[:500])


def _hold(
    step: _Step,
    version: int,
    document: Document,
    configuration: Configuration,
    source: str,
    node_id: str,
) -> None:
    before = step.state.held_version
    step.update(
        held_version=version,
        held_document=document,
        running_configuration=configuration,
        serving=True,
        not_serving_reason="",
        source=source,
        source_node_id=node_id,
        held_ms=step.now_ms,
        behind_since_ms=None,
    )
    step.report("version-running", version=version, before=before, source=source, peer=node_id)


def _encode_held_document(step: _Step) -> EncodedDocument:
    """Return the held document compressed; the result is cached for the next peers that ask."""
    state = step.state
    if state.encoded.version != state.held_version:
        digest = digest_document(state.held_document)
        data = encode_snapshot(state.held_document)
        step.update(encoded=EncodedDocument(state.held_version, digest, data))
    return step.state.encoded


def _advance_reading(step: _Step) -> None:
    reading = step.state.reading
    if reading.pending or step.now_ms < reading.not_before_ms:
        return
    wait_ms = step.state.settings.store.watch_ms if reading.revision else 0
    step.update_reading(pending=True)
    step.effects.append(WatchDocument(reading.revision, wait_ms))


def _request_from_peer(step: _Step) -> None:
    """Request a newer version from a peer that holds one, unless the store may still bring it."""
    state = step.state
    newer = [
        (version, link_id)
        for link_id, version in state.peer_versions.items()
        if version > state.held_version and link_id in step.links
    ]
    if not newer:
        if state.behind_since_ms is not None:
            step.update(behind_since_ms=None)
        return
    since_ms = state.behind_since_ms
    if since_ms is None:
        since_ms = step.now_ms
        step.update(behind_since_ms=since_ms)
    # A planned pause between two reads does not count as a delay of the store.
    grace_ms = PEER_REQUEST_DELAY_MS + max(0.0, state.reading.not_before_ms - since_ms)
    waits = state.store_reachable and state.serving and step.now_ms - since_ms < grace_ms
    if waits or step.now_ms - state.last_request_ms < PEER_REQUEST_DELAY_MS:
        return
    region = state.settings.identity.region
    _, link_id = max(newer, key=lambda item: (step.links[item[1]].region == region, item))
    step.update(last_request_ms=step.now_ms)
    step.effects.append(SendMessage(link_id, VersionRequest(state.held_version)))
