"""This node's own witness record and its acknowledgements.

The functions are pure and independent of links and time, so that the model checker can call them.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from immutables import Map

from bamboonotch_core.distribution._view import Neighbour
from bamboonotch_core.messages import WitnessRecord

__all__ = [
    "NO_RECORD",
    "WitnessRegister",
    "acknowledge",
    "adopt_record",
    "choose_witnesses",
    "current_record",
    "forget_acknowledgements",
    "is_newer",
    "majority",
    "needs_write",
    "next_record",
    "raise_incarnation",
    "waiting_for",
]

NO_RECORD = -1
"""Version of a register without a record."""


@dataclass(frozen=True)
class WitnessRegister:
    """The newest record of this node and its acknowledgements.

    :param node_id: id of this node.
    :param incarnation: incarnation of the newest record; not below that of the process.
    :param sequence: sequence number of the newest record.
    :param version: version of the newest record, or ``NO_RECORD``.
    :param witnesses: the present witness set, sorted.
    :param set_sequence: sequence number of the first record with the present witness set.
    :param acknowledged: newest sequence number that each node acknowledged, by node id.
    :param former: nodes that may hold a record with an earlier witness set. Members of both sets
        are among them, because such members alone can be a majority of the earlier set.
    """

    node_id: str
    incarnation: int
    sequence: int = 0
    version: int = NO_RECORD
    witnesses: tuple[str, ...] = ()
    set_sequence: int = 0
    acknowledged: Map[str, int] = Map()
    former: frozenset[str] = frozenset()


def majority(count: int) -> int:
    """Return how many members of a set make a majority; 0 for an empty set.

    :param count: size of the set.
    """
    return count // 2 + 1 if count else 0


def is_newer(record: WitnessRecord, other: WitnessRecord) -> bool:
    """Return whether a record replaces another record of the same node."""
    return (record.incarnation, record.sequence) > (other.incarnation, other.sequence)


def current_record(register: WitnessRegister) -> WitnessRecord:
    """Return the newest record.

    :param register: a register that has a record.
    """
    return WitnessRecord(
        node_id=register.node_id,
        incarnation=register.incarnation,
        sequence=register.sequence,
        version=register.version,
        witnesses=register.witnesses,
    )


def next_record(
    register: WitnessRegister, version: int, witnesses: tuple[str, ...]
) -> WitnessRegister:
    """Make a new record if the version or the witness set differs from the newest record.

    :param version: version that the node is about to run.
    """
    if (version, witnesses) == (register.version, register.witnesses):
        return register
    sequence = register.sequence + 1
    if witnesses == register.witnesses:
        return replace(register, sequence=sequence, version=version)
    return replace(
        register,
        sequence=sequence,
        version=version,
        witnesses=witnesses,
        set_sequence=sequence,
        former=register.former.union(register.witnesses),
    )


def adopt_record(register: WitnessRegister, record: WitnessRecord) -> WitnessRegister:
    """Adjust the register to a record of this node that this register did not make.

    The record must be overwritten at every node that may hold it, and the next record must be newer
    than it.

    :param record: the record that a witness holds.
    """
    former = register.former.union(register.witnesses, record.witnesses)
    found = (record.incarnation, record.sequence)
    if found < (register.incarnation, register.sequence):
        return replace(register, former=register.former.union(record.witnesses))
    return replace(
        register,
        incarnation=record.incarnation,
        sequence=record.sequence + 1,
        set_sequence=record.sequence + 1,
        acknowledged=Map(),
        former=former,
    )


def raise_incarnation(register: WitnessRegister, incarnation: int) -> WitnessRegister:
    """Raise the record's incarnation when membership has raised the node's incarnation.

    :param incarnation: incarnation in the node's member record; 0 while unknown.
    """
    if incarnation <= register.incarnation:
        return register
    return replace(
        register,
        incarnation=incarnation,
        acknowledged=Map(),
        former=register.former.union(register.witnesses),
    )


def acknowledge(register: WitnessRegister, node_id: str, record: WitnessRecord) -> WitnessRegister:
    """Apply a witness's acknowledgement.

    :param node_id: id of the witness.
    :param record: the newest record that the witness holds of this node.
    """
    own = current_record(register)
    if is_newer(record, own) or (
        record != own and (record.incarnation, record.sequence) == (own.incarnation, own.sequence)
    ):
        return adopt_record(register, record)
    if record.incarnation != register.incarnation:
        return register
    former = register.former
    if record.sequence >= register.set_sequence:
        former = former - {node_id}
    newest = max(record.sequence, register.acknowledged.get(node_id, 0))
    acknowledged = register.acknowledged.set(node_id, newest)
    return replace(register, acknowledged=acknowledged, former=former)


def forget_acknowledgements(register: WitnessRegister, node_id: str) -> WitnessRegister:
    """Drop the acknowledgement of a node that restarted and holds no record any more.

    :param node_id: id of the restarted node.
    """
    if node_id not in register.acknowledged:
        return register
    return replace(register, acknowledged=register.acknowledged.delete(node_id))


def needs_write(register: WitnessRegister, node_id: str) -> bool:
    """Return whether a node must be sent the newest record."""
    if register.version == NO_RECORD:
        return False
    if node_id in register.former:
        return True
    behind = register.acknowledged.get(node_id, 0) < register.sequence
    return behind and node_id in register.witnesses


def waiting_for(register: WitnessRegister, live_node_ids: Collection[str]) -> tuple[str, ...]:
    """Return the nodes that must acknowledge the newest record before its version may run.

    These are the live former witnesses, and the present witnesses without an acknowledgement until
    a majority has acknowledged.

    :param register: a register whose newest record is of that version.
    :param live_node_ids: members that membership lists as live.
    """
    missing = {
        name
        for name in register.witnesses
        if register.acknowledged.get(name, 0) < register.sequence
    }
    acknowledged = len(register.witnesses) - len(missing)
    former = {name for name in register.former if name in live_node_ids}
    if acknowledged >= majority(len(register.witnesses)):
        missing = set()
    return tuple(sorted(missing | former))


def choose_witnesses(
    kept: Iterable[str], neighbours: Iterable[Neighbour], region: str, count: int
) -> tuple[str, ...]:
    """Choose the witness set: the kept witnesses, filled up from the neighbours.

    Neighbours of the own region come first, distributed over data centres, so that the loss of one
    data centre leaves a majority where possible.

    :param kept: ids of the present witnesses that stay.
    :param neighbours: the open links, one for each node.
    :param region: this node's region.
    :param count: size of a full set; fewer neighbours make a smaller set.
    :returns: the chosen ids, sorted.
    """
    chosen = list(kept)[:count]
    candidates = {item.node_id: item for item in neighbours}
    used = [candidates[name].data_centre for name in chosen if name in candidates]
    rest = [item for name, item in sorted(candidates.items()) if name not in chosen]
    while rest and len(chosen) < count:
        best = min(rest, key=lambda item: (item.region != region, used.count(item.data_centre)))
        rest.remove(best)
        used.append(best.data_centre)
        chosen.append(best.node_id)
    return tuple(sorted(chosen))
