"""Recovers this node's proven version from its witnesses and serves as a witness of other nodes."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.distribution._spreading import note_peer_version
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.distribution._store_reading import is_store_slow
from bamboonotch_core.distribution._view import Neighbour
from bamboonotch_core.distribution._witness_register import adopt_record
from bamboonotch_core.distribution._witness_storage import (
    decide_recovery,
    find_record,
    newest_record,
    record_fault,
    see_incarnation,
    write_record,
)
from bamboonotch_core.effects import OpenLink
from bamboonotch_core.messages import (
    WitnessAck,
    WitnessQuery,
    WitnessReply,
    WitnessWrite,
)

__all__ = [
    "advance_recovery",
    "answer_query",
    "note_incarnation",
    "receive_reply",
    "receive_write",
]

MAX_WITNESS_REPLIES = 256
"""Upper bound of the replies kept during one recovery."""


def advance_recovery(step: Step) -> None:
    """Query all neighbours for this node's record while the store does not answer.

    A node that has a proven version queries nobody. A neighbour that has not replied is queried
    again after ``distribution.retry_ms``.
    """
    state = step.state
    if state.proven_version is not None or not is_store_slow(step):
        return
    recovery = state.recovery
    asked = recovery.asked
    retry_ms = state.settings.distribution.retry_ms
    for name, peer in sorted(step.nodes.items()):
        if name in recovery.replies or name == state.register.node_id:
            continue
        if step.now_ms - asked.get(name, float("-inf")) < retry_ms:
            continue
        step.send(peer.link_id, WitnessQuery(state.register.node_id))
        asked = asked.set(name, step.now_ms)
    if asked is not recovery.asked:
        step.update(recovery=replace(recovery, asked=asked))
    _dial_missing_witnesses(step)
    _decide(step)


def _dial_missing_witnesses(step: Step) -> None:
    """Open links to the live witnesses of the newest record found that are not neighbours."""
    recovery = step.state.recovery
    newest = newest_record(recovery.replies.values())
    if newest is None:
        return
    asked = recovery.asked
    retry_ms = step.state.settings.distribution.retry_ms
    for name in newest.witnesses:
        address = step.view.peer_addresses.get(name)
        known = name in step.nodes or name in recovery.replies
        if known or address is None or name not in step.view.live_node_ids:
            continue
        if step.now_ms - asked.get(name, float("-inf")) < retry_ms:
            continue
        step.emit(OpenLink(address))
        asked = asked.set(name, step.now_ms)
    if asked is not recovery.asked:
        step.update(recovery=replace(recovery, asked=asked))


def _decide(step: Step) -> None:
    record = decide_recovery(step.state.recovery.replies)
    if record is None:
        return
    register = step.state.register
    for reply in step.state.recovery.replies.values():
        if reply is not None:
            register = adopt_record(register, reply)
    step.update(register=register, proven_version=record.version, proof="witnesses")
    step.report(
        "version-proven",
        version=record.version,
        proof="witnesses",
        witnesses=",".join(record.witnesses),
        sequence=record.sequence,
    )


def receive_reply(step: Step, peer: Neighbour, message: WitnessReply) -> None:
    """Store a neighbour's reply to the query for this node's record."""
    state = step.state
    own_id = state.register.node_id
    fault = "" if message.node_id == own_id else f"reply is about node {message.node_id[:100]!r}"
    if not fault and message.record is not None:
        fault = record_fault(message.record, own_id)
    if not fault and peer.node_id not in state.recovery.asked:
        fault = "this node sent no query to the peer"
    if fault or len(state.recovery.replies) >= MAX_WITNESS_REPLIES:
        step.refuse_message(peer, message, fault or f"already holds {MAX_WITNESS_REPLIES} replies")
        return
    note_peer_version(step, peer, message.held_version)
    if state.proven_version is not None:
        return
    replies = state.recovery.replies.set(peer.node_id, message.record)
    step.update(recovery=replace(state.recovery, replies=replies))


def receive_write(step: Step, peer: Neighbour, message: WitnessWrite) -> None:
    """Store a neighbour's record and acknowledge with the newest record held of it."""
    fault = record_fault(message.record, peer.node_id)
    if fault:
        step.refuse_message(peer, message, fault)
        return
    storage, newest = write_record(step.state.storage, message.record)
    if newest is None:
        step.refuse_message(
            peer,
            message,
            f"record of incarnation {message.record.incarnation}, but incarnation"
            f" {step.state.storage.seen.get(peer.node_id, 0)} of the node was seen",
        )
        return
    step.update(storage=storage)
    step.send(peer.link_id, WitnessAck(newest))


def answer_query(step: Step, peer: Neighbour, message: WitnessQuery) -> None:
    """Reply to a restarted neighbour's query for its record."""
    if message.node_id != peer.node_id:
        step.refuse_message(peer, message, f"query is about node {message.node_id[:100]!r}")
        return
    record = find_record(step.state.storage, peer.node_id)
    step.send(peer.link_id, WitnessReply(peer.node_id, record, step.state.held_version))


def note_incarnation(step: Step, node_id: str, incarnation: int) -> None:
    """Note an incarnation of a node, and drop the node's record if that makes it obsolete."""
    before = step.state.storage
    storage = see_incarnation(before, node_id, incarnation)
    if storage is before:
        return
    dropped = node_id in before.records and node_id not in storage.records
    step.update(storage=storage)
    if dropped:
        step.report("witness-record-dropped", node=node_id, incarnation=incarnation)
