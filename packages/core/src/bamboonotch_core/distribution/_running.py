"""Runs the held version once a version is proven and the witnesses have acknowledged its record."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from immutables import Map

from bamboonotch_core.distribution._state import Candidate, SentWrite
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.distribution._view import Neighbour
from bamboonotch_core.distribution._witness_register import (
    NO_RECORD,
    WitnessRegister,
    acknowledge,
    choose_witnesses,
    current_record,
    forget_acknowledgements,
    needs_write,
    next_record,
    raise_incarnation,
    waiting_for,
)
from bamboonotch_core.distribution._witness_storage import record_fault
from bamboonotch_core.effects import OpenLink
from bamboonotch_core.messages import WitnessAck, WitnessWrite

__all__ = ["advance_running", "receive_acknowledgement"]

MAX_FORMER_WITNESSES = 64
"""Above this number of former witnesses, those that are not live are forgotten."""


def advance_running(step: Step) -> None:
    """Keep the witnesses up to date, and run the held version once all conditions are met."""
    _follow_incarnation(step)
    _forget_restarted_witnesses(step)
    _reconcile_witnesses(step)
    while _run_next(step):
        pass
    _write_records(step)
    _report_witness_wait(step)


def _follow_incarnation(step: Step) -> None:
    register = raise_incarnation(step.state.register, step.view.own_incarnation)
    if register is not step.state.register:
        step.update(register=register)


def _forget_restarted_witnesses(step: Step) -> None:
    """Drop the acknowledgements of restarted witnesses, because they hold no record any more."""
    register = step.state.register
    links = step.state.witness_links
    names = {*register.witnesses, *register.former}
    incarnations = {name: value for name, value in links.incarnations.items() if name in names}
    sent = links.sent
    for name in names.intersection(step.nodes):
        incarnation = step.nodes[name].incarnation
        if incarnations.get(name, incarnation) != incarnation:
            register = forget_acknowledgements(register, name)
            sent = sent.delete(name) if name in sent else sent
        incarnations[name] = incarnation
    if incarnations != dict(links.incarnations):
        links = replace(links, incarnations=Map(incarnations), sent=sent)
        step.update(register=register, witness_links=links)


def _choose_present_witnesses(step: Step) -> tuple[str, ...]:
    """Choose the witness set that fits the present links.

    A witness stays in the set while it has a lasting link. Without any link it stays for the
    reconnection time, as long as membership lists it as live, so that a short loss of a link does
    not change the set.
    """
    state = step.state
    reconnection_ms = _reconnection_time_ms(step)
    unlinked: dict[str, float] = {}
    kept = []
    for name in state.register.witnesses:
        neighbour = step.nodes.get(name)
        if neighbour is not None:
            if neighbour.is_lasting:
                kept.append(name)
            continue
        since_ms = state.witness_links.unlinked_ms.get(name, step.now_ms)
        if name in step.view.live_node_ids and step.now_ms - since_ms < reconnection_ms:
            unlinked[name] = since_ms
            kept.append(name)
    if unlinked != dict(state.witness_links.unlinked_ms):
        step.update(witness_links=replace(state.witness_links, unlinked_ms=Map(unlinked)))
    own = state.settings.identity
    others = [
        item for item in step.nodes.values() if item.is_lasting and item.node_id != own.node_id
    ]
    count = state.settings.distribution.witness_count
    return choose_witnesses(kept, others, own.region, count)


def _bound_former(register: WitnessRegister, live: Collection[str]) -> WitnessRegister:
    """Drop former witnesses that are not live if there are too many."""
    if len(register.former) <= MAX_FORMER_WITNESSES:
        return register
    return replace(register, former=frozenset(n for n in register.former if n in live))


def _set_record(step: Step, version: int, witnesses: tuple[str, ...]) -> None:
    old = step.state.register
    register = next_record(old, version, witnesses)
    if register is old:
        return
    step.update(register=_bound_former(register, step.view.live_node_ids))
    if witnesses != old.witnesses:
        step.report("witnesses-changed", witnesses=",".join(witnesses), sequence=register.sequence)


def _reconcile_witnesses(step: Step) -> None:
    """Make a new record of the same version when the witness set has changed."""
    register = step.state.register
    if register.version == NO_RECORD:
        return
    _set_record(step, register.version, _choose_present_witnesses(step))


def _lowest_allowed(step: Step) -> int | None:
    """Return the lowest version that this process may run, or ``None`` while that is unknown."""
    state = step.state
    if state.proven_version is None:
        return None
    return max(state.proven_version, state.witnessed_version, state.running_version)


def _set_not_serving(step: Step, reason: str) -> None:
    state = step.state
    if state.serving or state.not_serving_reason == reason:
        return
    step.update(not_serving_reason=reason)
    lowest = _lowest_allowed(step)
    step.report(
        "not-serving",
        reason=reason,
        held_version=state.held_version,
        needed_version=-1 if lowest is None else lowest,
    )


def _run_next(step: Step) -> bool:
    """Run the candidate if its witnesses allow it.

    :returns: whether a version was run.
    """
    lowest = _lowest_allowed(step)
    if lowest is None:
        _set_not_serving(step, _unproven_reason(step))
        return False
    if step.state.candidate is None and not _choose_candidate(step, lowest):
        return False
    candidate = step.state.candidate
    assert candidate is not None
    if candidate.version < lowest:
        step.update(candidate=None)
        _set_not_serving(step, "behind")
        return False
    if _waits_for_first_link(step) or waiting_for(step.state.register, step.view.live_node_ids):
        _set_not_serving(step, "witness-wait")
        return False
    _run_candidate(step, candidate)
    return True


def _waits_for_first_link(step: Step) -> bool:
    """Return whether a node that has just started must wait for a link to its first witness.

    Without this wait a node whose first store read ends before its first link is open would run its
    first version without witnesses although other members are known.
    """
    state = step.state
    if state.serving or state.register.witnesses or state.started_ms is None:
        return False
    others = step.view.live_node_ids - {state.register.node_id}
    return bool(others) and step.now_ms - state.started_ms < _reconnection_time_ms(step)


def _reconnection_time_ms(step: Step) -> int:
    """Return how long a link to a live member may be missing before it counts as lost."""
    membership = step.state.settings.membership
    return membership.silent_after_ms + membership.suspicion_ms


def _unproven_reason(step: Step) -> str:
    if step.state.store.failures:
        return "store-down-and-no-witness-majority"
    return "starting"


def _choose_candidate(step: Step, lowest: int) -> bool:
    """Make the held version the candidate if it may run and does not run yet.

    :returns: whether there is a candidate now.
    """
    state = step.state
    if state.held_version < lowest:
        _set_not_serving(step, "behind")
        return False
    if state.serving and state.held_version == state.running_version:
        return False
    step.update(
        candidate=Candidate(
            version=state.held_version,
            configuration=state.held_configuration,
            source=state.held_source,
            held_ms=state.held_ms,
            since_ms=step.now_ms,
        )
    )
    _set_record(step, state.held_version, _choose_present_witnesses(step))
    return True


def _run_candidate(step: Step, candidate: Candidate) -> None:
    was_serving = step.state.serving
    step.update(
        running_version=candidate.version,
        running_configuration=candidate.configuration,
        serving=True,
        not_serving_reason="",
        candidate=None,
    )
    step.report(
        "version-running",
        version=candidate.version,
        source=candidate.source.kind,
        peer=candidate.source.node_id,
        held_to_running_ms=step.now_ms - candidate.held_ms,
        witnesses=",".join(step.state.register.witnesses),
    )
    if not was_serving:
        since_ms = step.state.started_ms or 0.0
        step.report(
            "serving",
            version=candidate.version,
            proof=step.state.proof,
            start_to_serving_ms=step.now_ms - since_ms,
        )


def _write_records(step: Step) -> None:
    """Send the newest record to every node that needs it, and repeat unacknowledged writes."""
    state = step.state
    register = state.register
    names = {*register.witnesses, *register.former}
    sent = {name: value for name, value in state.witness_links.sent.items() if name in names}
    for name in sorted(names):
        if not needs_write(register, name):
            continue
        peer = step.nodes.get(name)
        if peer is None:
            _dial_former_witness(step, name)
        elif _is_write_due(step, peer, sent.get(name)):
            step.send(peer.link_id, WitnessWrite(current_record(register)))
            sent[name] = SentWrite(
                peer.link_id, register.incarnation, register.sequence, step.now_ms
            )
    if sent != dict(state.witness_links.sent):
        step.update(witness_links=replace(step.state.witness_links, sent=Map(sent)))


def _is_write_due(step: Step, peer: Neighbour, sent: SentWrite | None) -> bool:
    """Return whether the newest record was not sent over this link within the retry time."""
    register = step.state.register
    if sent is None:
        return True
    if (sent.link_id, sent.incarnation, sent.sequence) != (
        peer.link_id,
        register.incarnation,
        register.sequence,
    ):
        return True
    return step.now_ms - sent.sent_ms >= step.state.settings.distribution.retry_ms


def _dial_former_witness(step: Step, name: str) -> None:
    """Open a link to a live witness that is no neighbour.

    A former witness may hold a record that has to be overwritten.
    """
    address = step.view.peer_addresses.get(name)
    links = step.state.witness_links
    if address is None or name not in step.view.live_node_ids:
        return
    last_ms = links.dialled_ms.get(name, float("-inf"))
    if step.now_ms - last_ms < step.state.settings.distribution.retry_ms:
        return
    step.emit(OpenLink(address))
    names = {*step.state.register.witnesses, *step.state.register.former}
    dialled = {key: value for key, value in links.dialled_ms.items() if key in names}
    dialled[name] = step.now_ms
    step.update(witness_links=replace(links, dialled_ms=Map(dialled)))


def _report_witness_wait(step: Step) -> None:
    """Report once that a version has waited for its witnesses longer than the retry time."""
    candidate = step.state.candidate
    if candidate is None or candidate.reported:
        return
    if step.now_ms - candidate.since_ms < step.state.settings.distribution.retry_ms:
        return
    missing = waiting_for(step.state.register, step.view.live_node_ids)
    step.update(candidate=replace(candidate, reported=True))
    step.report("witness-wait", version=candidate.version, missing=",".join(missing))


def receive_acknowledgement(step: Step, peer: Neighbour, message: WitnessAck) -> None:
    """Apply a witness's acknowledgement of a record."""
    state = step.state
    record = message.record
    fault = record_fault(record, state.register.node_id)
    if not fault and peer.node_id not in state.witness_links.sent:
        fault = "this node sent no record to the peer"
    if fault:
        step.refuse_message(peer, message, fault)
        return
    register = acknowledge(state.register, peer.node_id, record)
    if register.incarnation != state.register.incarnation or (
        register.sequence != state.register.sequence
    ):
        step.report(
            "witness-record-newer",
            peer=peer.node_id,
            version=record.version,
            sequence=record.sequence,
        )
    step.update(register=register)
    if not state.serving and record.version > max(state.witnessed_version, register.version):
        step.update(witnessed_version=record.version)
        step.report("earlier-life-ahead", peer=peer.node_id, version=record.version)
