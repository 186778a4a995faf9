"""Rendezvous: first links by relay slots in the store, seed addresses and known members."""

from __future__ import annotations

from bamboonotch_core.effects import ReadSlots
from bamboonotch_core.events import SlotsRead
from bamboonotch_core.membership._dials import add_dial
from bamboonotch_core.membership._state import Dial, DialReason
from bamboonotch_core.membership._validation import find_address_fault
from bamboonotch_core.membership._work import Step

__all__ = ["check_rendezvous", "handle_slots", "handle_slots_read_failure"]

MAX_RENDEZVOUS_DIALS = 3
MAX_RENDEZVOUS_ADDRESSES = 32
KNOWN_MEMBERS_TRIED = 3
# Some linked nodes read the slots again from time to time, to find separated parts of the fleet.
REREAD_MAX_MS = 10_000
# Besides the slot holders, this many members of lowest hash of each region read the slots, because
# a separated part of the fleet may have no live slot holder.
LOWEST_HASH_REREADERS = 2
# The first reads after a start come sooner, because the restart of many nodes at the same time
# leaves small groups without links to each other.
REREAD_MIN_MS = 2_000
MAX_READ_DOUBLINGS = 20


def check_rendezvous(step: Step) -> None:
    """Look for a first link while there is none, and later for separated parts of the fleet."""
    if step.state.overlay.links:
        _check_reread(step)
        return
    if not step.state.overlay.alone:
        step.change_overlay(alone=True)
        step.change_schedule(next_slots_read_ms=step.now_ms, slots_read_attempts=0)
        step.report("alone", known_members=len(step.state.directory.records) - 1)
    _dial_candidates(step)
    dialling = any(dial.in_flight for dial in step.state.overlay.dials.values())
    if step.now_ms >= step.state.schedule.next_slots_read_ms and not dialling:
        _read_slots(step)


def handle_slots(step: Step, event: SlotsRead) -> None:
    """Use the addresses of the slot holders as candidates to dial."""
    same_data_centre: list[str] = []
    other_data_centres: list[str] = []
    for holder in event.holders:
        fault = find_address_fault(holder.peer_address)
        if fault:
            step.report("slot-refused", data_centre=holder.data_centre, reason=fault)
            continue
        same = holder.data_centre == step.own_record.data_centre
        (same_data_centre if same else other_data_centres).append(holder.peer_address)
    if step.state.overlay.links:
        _dial_unknown_holder(step, same_data_centre + other_data_centres)
        return
    seeds = step.state.settings.identity.seed_addresses
    _set_candidates(
        step,
        _shuffle(step, same_data_centre)
        + _shuffle(step, other_data_centres)
        + list(seeds)
        + _random_member_addresses(step),
    )


def handle_slots_read_failure(step: Step) -> None:
    """Use the seed addresses and known members as candidates when the store does not answer."""
    if step.state.overlay.links:
        return
    seeds = _shuffle(step, list(step.state.settings.identity.seed_addresses))
    _set_candidates(step, seeds + _random_member_addresses(step))


def _check_reread(step: Step) -> None:
    schedule = step.state.schedule
    if step.state.overlay.alone:
        step.change_overlay(alone=False, rendezvous=())
        step.change_schedule(slots_read_attempts=0)
        _drop_waiting_dials(step)
        _schedule_reread(step)
    elif step.now_ms >= schedule.next_slots_read_ms:
        if _is_rereader(step):
            step.emit(ReadSlots())
        _schedule_reread(step)


def _is_rereader(step: Step) -> bool:
    """Return whether this node looks for separated parts of the fleet.

    Every part has such a node, and their number in a region does not grow with its size.
    """
    own = step.own_record
    region = step.state.directory.regions.get(own.region)
    if own.relay_slot >= 0 or region is None:
        return True
    return own.node_id in region.lowest[:LOWEST_HASH_REREADERS]


def _schedule_reread(step: Step) -> None:
    attempts = step.state.schedule.slots_read_attempts
    wait_ms = min(REREAD_MIN_MS * 2 ** min(attempts, MAX_READ_DOUBLINGS), REREAD_MAX_MS)
    wait_ms = wait_ms / 2 + step.draw_ms(wait_ms)
    step.change_schedule(next_slots_read_ms=step.now_ms + wait_ms, slots_read_attempts=attempts + 1)


def _read_slots(step: Step) -> None:
    settings = step.settings
    attempts = step.state.schedule.slots_read_attempts
    limit_ms = min(
        settings.backoff_min_ms * 2 ** min(attempts, MAX_READ_DOUBLINGS), (settings.backoff_max_ms)
    )
    wait_ms = step.state.settings.store.timeout_ms + step.draw_ms(limit_ms)
    step.change_schedule(next_slots_read_ms=step.now_ms + wait_ms, slots_read_attempts=attempts + 1)
    step.emit(ReadSlots())


def _dial_candidates(step: Step) -> None:
    overlay = step.state.overlay
    busy = sum(dial.reason == DialReason.RENDEZVOUS for dial in overlay.dials.values())
    waiting = list(overlay.rendezvous)
    while waiting and busy < MAX_RENDEZVOUS_DIALS:
        busy += _dial_address(step, waiting.pop(0))
    if len(waiting) != len(overlay.rendezvous):
        step.change_overlay(rendezvous=tuple(waiting))


def _dial_address(step: Step, address: str) -> bool:
    if address == step.own_record.peer_address or address in step.state.overlay.dials:
        return False
    return add_dial(step, Dial(address, "", DialReason.RENDEZVOUS, step.now_ms))


def _dial_unknown_holder(step: Step, addresses: list[str]) -> None:
    """Dial one random slot holder that this node does not know as such, if there is any."""
    directory = step.state.directory
    known = {
        directory.records[node_id].peer_address
        for members in directory.regions.values()
        for node_id in members.slot_holders
    }
    known.update(link.peer.peer_address for link in step.state.overlay.links.values())
    unknown = [address for address in addresses if address not in known]
    if unknown:
        _dial_address(step, unknown[step.draw_index(len(unknown))])


def _set_candidates(step: Step, addresses: list[str]) -> None:
    chosen = tuple(dict.fromkeys(addresses))[:MAX_RENDEZVOUS_ADDRESSES]
    step.change_overlay(rendezvous=chosen)


def _random_member_addresses(step: Step) -> list[str]:
    """Return the peer addresses of some random members of this region."""
    ring = step.state.overlay.ring
    records = step.state.directory.records
    found = []
    for _ in range(KNOWN_MEMBERS_TRIED if len(ring) > 1 else 0):
        record = records.get(ring[step.draw_index(len(ring))][1])
        if record is not None:
            found.append(record.peer_address)
    return found


def _shuffle(step: Step, addresses: list[str]) -> list[str]:
    keyed = sorted((step.draw_ms(1.0), address) for address in addresses)
    return [address for _, address in keyed]


def _drop_waiting_dials(step: Step) -> None:
    dials = step.state.overlay.dials
    for dial in step.dials:
        if dial.reason == DialReason.RENDEZVOUS and not dial.in_flight:
            dials = dials.delete(dial.address)
    step.change_overlay(dials=dials)
