"""Follows the newest document of the source and of the peers.

Documents are ordered by their version numbers, and a node holds the highest version that it has
received. Versions may therefore arrive late, repeatedly or out of order.
"""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.configuration import Configuration, parse_configuration
from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.documents._epochs import note_store_epoch
from bamboonotch_core.documents._peers import (
    announce_held_version,
    answer_request,
    note_peer_version,
    request_from_peer,
    take_chunk,
)
from bamboonotch_core.documents._reading import (
    WATCH_DOCUMENT,
    advance_reading,
    apply_peer_statements,
    delay_read_in_burst,
    drop_lost_reader,
    drop_peer_statement,
    note_lost_store,
    note_read_failure,
    note_reader_statement,
    note_store_answer,
    report_short_apply_time,
    take_confirmation,
)
from bamboonotch_core.documents._state import DocumentState
from bamboonotch_core.documents._step import Step
from bamboonotch_core.errors import BamboonotchError
from bamboonotch_core.events import (
    DocumentRead,
    DocumentRefused,
    DocumentUnchanged,
    Event,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    StoreEpochSeen,
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

__all__ = ["reduce_documents"]


def reduce_documents(
    state: DocumentState,
    event: Event,
    view: MembershipView,
    echo_sent_ms: float | None = None,
) -> Transition[DocumentState]:
    """Return the state after an event and the effects to be carried out.

    :param view: the membership after the same event.
    :param echo_sent_ms: when this node sent the heartbeat that the received one echoes, in
        milliseconds of the monotonic clock; ``None`` if it echoes none that is known.
    """
    step = Step(state, view, event.now_ms, echo_sent_ms)
    if state.started_ms is None:
        step.update(started_ms=event.now_ms)
        report_short_apply_time(step)
    if (state.linked_ms is None) == step.has_links:
        step.update(linked_ms=event.now_ms if step.has_links else None)
    if (state.reader_missed_ms is None) == step.misses_store_reader:
        step.update(reader_missed_ms=event.now_ms if step.misses_store_reader else None)
    _handle(event, step)
    if step.state.held_version > state.held_version:
        apply_peer_statements(step)
        announce_held_version(step)
    request_from_peer(step)
    note_lost_store(step)
    advance_reading(step)
    return Transition(step.state, tuple(step.effects))


@singledispatch
def _handle(event: Event, step: Step) -> None:
    """Handle one event; an event of another type changes nothing here."""


@_handle.register
def _(event: DocumentRead, step: Step) -> None:
    is_newer = event.version > step.state.held_version
    # Before the answer is taken: it does not confirm the held version if this one is refused.
    configuration = _parse_newer(step, event) if is_newer else None
    note_store_answer(step, event)
    if configuration is not None:
        step.hold(event.version, event.document, configuration, "store", "")
    if is_newer:
        delay_read_in_burst(step)


@_handle.register
def _(event: DocumentRefused, step: Step) -> None:
    if event.version:
        step.note_refused(event.version, "")
    note_store_answer(step, event)
    step.report("version-refused", version=event.version, source="store", reason=event.reason)


@_handle.register
def _(event: DocumentUnchanged, step: Step) -> None:
    note_store_answer(step, event)


@_handle.register
def _(event: StoreEpochSeen, step: Step) -> None:
    note_store_epoch(step, event.epoch, 0, "")


@_handle.register
def _(event: StoreReadFailed, step: Step) -> None:
    if event.operation.name == WATCH_DOCUMENT:
        note_read_failure(step, event)


@_handle.register
def _(event: LinkOpened, step: Step) -> None:
    if event.link_id in step.links and step.state.held_version:
        step.send(event.link_id, VersionAnnounce(step.state.held_version, step.state.store_epoch))


@_handle.register
def _(event: LinkClosed, step: Step) -> None:
    if event.link_id in step.state.peer_versions:
        step.update(peer_versions=step.state.peer_versions.delete(event.link_id))
    drop_peer_statement(step, event.link_id)
    drop_lost_reader(step, event.link_id)


@_handle.register
def _(event: MessageReceived, step: Step) -> None:
    peer = step.links.get(event.link_id)
    if peer is not None:
        _receive(event.message, step, peer)


@singledispatch
def _receive(message: Message, step: Step, peer: Neighbour) -> None:
    """Handle one message; a message of another type changes nothing here."""


@_receive.register
def _(message: Heartbeat, step: Step, peer: Neighbour) -> None:
    note_peer_version(step, peer, message.held_version)
    take_confirmation(step, peer, message)
    note_reader_statement(step, peer, message.lost_store)


@_receive.register
def _(message: VersionAnnounce, step: Step, peer: Neighbour) -> None:
    note_store_epoch(step, message.store_epoch, 0, peer.node_id)
    note_peer_version(step, peer, message.version)


@_receive.register
def _(message: VersionRequest, step: Step, peer: Neighbour) -> None:
    answer_request(step, peer, message)


@_receive.register
def _(message: SnapshotChunk, step: Step, peer: Neighbour) -> None:
    take_chunk(step, peer, message)


def _parse_newer(step: Step, event: DocumentRead) -> Configuration | None:
    """Return the typed values of a newer document, or refuse it."""
    try:
        return parse_configuration(event.document, step.held)
    except BamboonotchError as error:
        step.refuse_version(event.version, "", error)
        return None
