"""Dispatches events and messages, then lets every part take its next step."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.distribution._recovery import (
    advance_recovery,
    answer_query,
    note_incarnation,
    receive_reply,
    receive_write,
)
from bamboonotch_core.distribution._running import advance_running, receive_acknowledgement
from bamboonotch_core.distribution._snapshots import (
    add_chunk,
    advance_snapshot_writing,
    chunk_fault,
)
from bamboonotch_core.distribution._spreading import (
    advance_requests,
    answer_request,
    forget_closed_links,
    note_bad_copy,
    note_peer_version,
    note_progress,
    offer_on_new_link,
    receive_push,
    spread,
)
from bamboonotch_core.distribution._state import DistributionState
from bamboonotch_core.distribution._step import Step, peer_source
from bamboonotch_core.distribution._store_reading import (
    advance_store,
    entry_read,
    newest_read,
    read_failed,
    schedule_first_read,
)
from bamboonotch_core.distribution._versions import accept_snapshot
from bamboonotch_core.distribution._view import MembershipView, Neighbour
from bamboonotch_core.events import (
    Event,
    LinkOpened,
    MessageReceived,
    StoreEntryRead,
    StoreNewestRead,
    StoreReadFailed,
)
from bamboonotch_core.messages import (
    Heartbeat,
    MemberUpdate,
    Message,
    SnapshotChunk,
    VersionAnnounce,
    VersionPush,
    VersionRequest,
    WitnessAck,
    WitnessQuery,
    WitnessReply,
    WitnessWrite,
)
from bamboonotch_core.transition import Transition

__all__ = ["reduce_distribution"]

MAX_VERSION = 10**12 - 1
"""Versions are 12 digits in the store's keys."""


def reduce_distribution(
    state: DistributionState, event: Event, view: MembershipView
) -> Transition[DistributionState]:
    """Return the state after an event and what is to be done.

    :param state: the state before.
    :param event: the event.
    :param view: membership after the same event.
    """
    step = Step(state, view, event.now_ms)
    if state.started_ms is None:
        step.update(started_ms=event.now_ms)
        schedule_first_read(step)
    forget_closed_links(step)
    _handle(event, step)
    advance_store(step)
    advance_recovery(step)
    advance_running(step)
    advance_requests(step)
    advance_snapshot_writing(step)
    return Transition(step.state, tuple(step.effects))


@singledispatch
def _handle(event: Event, step: Step) -> None:
    """Handle one event; those that are not of interest here change nothing."""


@_handle.register
def _(event: LinkOpened, step: Step) -> None:
    note_incarnation(step, event.peer.node_id, event.peer.incarnation)
    peer = step.links.get(event.link_id)
    if peer is not None:
        offer_on_new_link(step, peer)


@_handle.register
def _(event: StoreNewestRead, step: Step) -> None:
    newest_read(step, event)


@_handle.register
def _(event: StoreEntryRead, step: Step) -> None:
    entry_read(step, event)


@_handle.register
def _(event: StoreReadFailed, step: Step) -> None:
    read_failed(step, event)


@_handle.register
def _(event: MessageReceived, step: Step) -> None:
    peer = step.links.get(event.link_id)
    if peer is not None:
        _receive(event.message, step, peer)


def _is_version(step: Step, peer: Neighbour, message: Message, version: int) -> bool:
    if 0 <= version <= MAX_VERSION:
        return True
    step.refuse_message(peer, message, "version out of range")
    return False


@singledispatch
def _receive(message: Message, step: Step, peer: Neighbour) -> None:
    """Handle one message; those of other parts change nothing here."""


@_receive.register
def _(message: Heartbeat, step: Step, peer: Neighbour) -> None:
    if _is_version(step, peer, message, message.held_version):
        note_peer_version(step, peer, message.held_version, exact=True)


@_receive.register
def _(message: VersionAnnounce, step: Step, peer: Neighbour) -> None:
    if _is_version(step, peer, message, message.version):
        note_peer_version(step, peer, message.version)


@_receive.register
def _(message: VersionPush, step: Step, peer: Neighbour) -> None:
    if _is_version(step, peer, message, message.version):
        receive_push(step, peer, message)


@_receive.register
def _(message: VersionRequest, step: Step, peer: Neighbour) -> None:
    if _is_version(step, peer, message, message.after_version):
        answer_request(step, peer, message)


@_receive.register
def _(message: SnapshotChunk, step: Step, peer: Neighbour) -> None:
    fault = chunk_fault(message)
    if fault:
        step.refuse_message(peer, message, fault)
        return
    if not _is_version(step, peer, message, message.version):
        return
    before = step.state.held_version
    if message.version <= before:
        return
    data = add_chunk(step, peer, message)
    if data is None:
        return
    source = peer_source("snapshot", peer)
    if not accept_snapshot(step, message.version, message.digest, data, source):
        note_bad_copy(step, peer, message.version)
        return
    note_progress(step, peer)
    spread(step, before)


@_receive.register
def _(message: MemberUpdate, step: Step, peer: Neighbour) -> None:
    for record in message.records:
        note_incarnation(step, record.node_id, record.incarnation)


@_receive.register
def _(message: WitnessWrite, step: Step, peer: Neighbour) -> None:
    receive_write(step, peer, message)


@_receive.register
def _(message: WitnessAck, step: Step, peer: Neighbour) -> None:
    receive_acknowledgement(step, peer, message)


@_receive.register
def _(message: WitnessQuery, step: Step, peer: Neighbour) -> None:
    answer_query(step, peer, message)


@_receive.register
def _(message: WitnessReply, step: Step, peer: Neighbour) -> None:
    receive_reply(step, peer, message)
