"""Dispatches events and messages, then starts the actions that are due."""

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
    disseminate,
    forget_closed_links,
    note_invalid_copy,
    note_peer_version,
    note_useful_answer,
    offer_on_new_link,
    receive_push,
)
from bamboonotch_core.distribution._state import DistributionState
from bamboonotch_core.distribution._step import Step, peer_source
from bamboonotch_core.distribution._store_reading import (
    advance_store,
    receive_entry,
    receive_newest_read,
    receive_read_failure,
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
"""The store's keys hold a version as 12 digits."""


def reduce_distribution(
    state: DistributionState, event: Event, view: MembershipView
) -> Transition[DistributionState]:
    """Return the state after an event and the effects to be carried out.

    :param view: the membership after the same event.
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
    """Handle one event; an event of another type changes nothing here."""


@_handle.register
def _(event: LinkOpened, step: Step) -> None:
    note_incarnation(step, event.peer.node_id, event.peer.incarnation)
    peer = step.links.get(event.link_id)
    if peer is not None:
        offer_on_new_link(step, peer)


@_handle.register
def _(event: StoreNewestRead, step: Step) -> None:
    receive_newest_read(step, event)


@_handle.register
def _(event: StoreEntryRead, step: Step) -> None:
    receive_entry(step, event)


@_handle.register
def _(event: StoreReadFailed, step: Step) -> None:
    receive_read_failure(step, event)


@_handle.register
def _(event: MessageReceived, step: Step) -> None:
    peer = step.links.get(event.link_id)
    if peer is not None:
        _receive(event.message, step, peer)


def _check_version(step: Step, peer: Neighbour, message: Message, version: int) -> bool:
    """Return whether a version is in range, and refuse the message if it is not."""
    if 0 <= version <= MAX_VERSION:
        return True
    step.refuse_message(peer, message, f"version {version} is not from 0 to {MAX_VERSION}")
    return False


@singledispatch
def _receive(message: Message, step: Step, peer: Neighbour) -> None:
    """Handle one message; a message of another type changes nothing here."""


@_receive.register
def _(message: Heartbeat, step: Step, peer: Neighbour) -> None:
    if _check_version(step, peer, message, message.held_version):
        note_peer_version(step, peer, message.held_version, exact=True)


@_receive.register
def _(message: VersionAnnounce, step: Step, peer: Neighbour) -> None:
    if _check_version(step, peer, message, message.version):
        note_peer_version(step, peer, message.version)


@_receive.register
def _(message: VersionPush, step: Step, peer: Neighbour) -> None:
    if _check_version(step, peer, message, message.version):
        receive_push(step, peer, message)


@_receive.register
def _(message: VersionRequest, step: Step, peer: Neighbour) -> None:
    if _check_version(step, peer, message, message.after_version):
        answer_request(step, peer, message)


@_receive.register
def _(message: SnapshotChunk, step: Step, peer: Neighbour) -> None:
    fault = chunk_fault(message)
    if fault:
        step.refuse_message(peer, message, fault)
        return
    if not _check_version(step, peer, message, message.version):
        return
    before = step.state.held_version
    if message.version <= before:
        return
    data = add_chunk(step, peer, message)
    if data is None:
        return
    source = peer_source("snapshot", peer)
    if not accept_snapshot(step, message.version, message.digest, data, source):
        note_invalid_copy(step, peer, message.version)
        return
    note_useful_answer(step, peer)
    disseminate(step, before)


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
