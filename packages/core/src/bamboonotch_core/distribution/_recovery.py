"""Start-up without the store, and this node's part as a witness of others."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.distribution._spreading import note_peer_version
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.distribution._store_reading import store_is_slow
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

MAX_REPLIES = 256


def advance_recovery(step: Step) -> None:
    """Ask all neighbours for this node's record while the store does not answer.

    :param step: the step.
    """
    state = step.state
    if state.proven_version is not None or not store_is_slow(step):
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
    """Open links to live witnesses of the newest record that are not neighbours."""
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
    """Take in a witness's answer to the question for this node's record.

    :param step: the step.
    :param peer: the witness.
    :param message: the answer.
    """
    state = step.state
    own_id = state.register.node_id
    fault = "" if message.node_id == own_id else "answer about another node"
    if not fault and message.record is not None:
        fault = record_fault(message.record, own_id)
    if not fault and peer.node_id not in state.recovery.asked:
        fault = "nothing was asked"
    if fault or len(state.recovery.replies) >= MAX_REPLIES:
        step.refuse_message(peer, message, fault or "too many answers")
        return
    note_peer_version(step, peer, message.held_version)
    if state.proven_version is not None:
        return
    replies = state.recovery.replies.set(peer.node_id, message.record)
    step.update(recovery=replace(state.recovery, replies=replies))


def receive_write(step: Step, peer: Neighbour, message: WitnessWrite) -> None:
    """Keep a neighbour's record and answer with the newest one held.

    :param step: the step.
    :param peer: the neighbour.
    :param message: the write.
    """
    fault = record_fault(message.record, peer.node_id)
    if fault:
        step.refuse_message(peer, message, fault)
        return
    storage, newest = write_record(step.state.storage, message.record)
    if newest is None:
        step.refuse_message(peer, message, "record of an earlier life")
        return
    step.update(storage=storage)
    step.send(peer.link_id, WitnessAck(newest))


def answer_query(step: Step, peer: Neighbour, message: WitnessQuery) -> None:
    """Answer a restarted neighbour's question for its record.

    :param step: the step.
    :param peer: the neighbour.
    :param message: the question.
    """
    if message.node_id != peer.node_id:
        step.refuse_message(peer, message, "question about another node")
        return
    record = find_record(step.state.storage, peer.node_id)
    step.send(peer.link_id, WitnessReply(peer.node_id, record, step.state.held_version))


def note_incarnation(step: Step, node_id: str, incarnation: int) -> None:
    """Take note of a life of a node, which may make its record obsolete.

    :param step: the step.
    :param node_id: the node.
    :param incarnation: the incarnation.
    """
    before = step.state.storage
    storage = see_incarnation(before, node_id, incarnation)
    if storage is before:
        return
    dropped = node_id in before.records and node_id not in storage.records
    step.update(storage=storage)
    if dropped:
        step.report("witness-record-dropped", node=node_id, incarnation=incarnation)
