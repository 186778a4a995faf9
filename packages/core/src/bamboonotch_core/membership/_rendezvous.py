"""First contact: relay slots in the store, seed addresses and known members."""

from __future__ import annotations

from bamboonotch_core.effects import ReadSlots
from bamboonotch_core.events import SlotsRead
from bamboonotch_core.membership._dials import add_dial
from bamboonotch_core.membership._state import Dial, DialReason
from bamboonotch_core.membership._validation import find_address_fault
from bamboonotch_core.membership._work import Work

__all__ = ["check_contact", "hear_slots", "hear_slots_unread"]

RENDEZVOUS_DIALS = 3
RENDEZVOUS_ADDRESSES = 32
KNOWN_MEMBERS_TRIED = 3
# Some linked nodes read the slots again to find parts of the fleet that they lost sight of.
REREAD_MS = 10_000
# Without a live slot holder among them, this many members of lowest hash of a region read.
STAND_IN_REREADERS = 2
# The first reads after a start come sooner, because a herd restart leaves small islands.
REREAD_FIRST_MS = 2_000
REREAD_DOUBLINGS = 20


def check_contact(work: Work) -> None:
    """Look for a first link while there is none, and now and then for lost parts of the fleet.

    :param work: the event being handled.
    """
    if work.state.overlay.links:
        _check_linked(work)
        return
    if not work.state.overlay.alone:
        work.change_overlay(alone=True)
        work.change_schedule(slots_read_ms=work.now_ms, slots_read_failures=0)
        work.report("alone", known_members=len(work.state.directory.records) - 1)
    _dial_next(work)
    dialling = any(dial.in_flight for dial in work.state.overlay.dials.values())
    if work.now_ms >= work.state.schedule.slots_read_ms and not dialling:
        _read_slots(work)


def hear_slots(work: Work, event: SlotsRead) -> None:
    """Take the slot holders as addresses to try.

    :param work: the event being handled.
    :param event: the slots.
    """
    near: list[str] = []
    far: list[str] = []
    for holder in event.holders:
        fault = find_address_fault(holder.peer_address)
        if fault:
            work.report("slot-refused", data_centre=holder.data_centre, reason=fault)
            continue
        same = holder.data_centre == work.own_record.data_centre
        (near if same else far).append(holder.peer_address)
    if work.state.overlay.links:
        _dial_unknown_holder(work, near + far)
        return
    seeds = work.state.settings.identity.seed_addresses
    _queue(work, _shuffle(work, near) + _shuffle(work, far) + list(seeds) + _known(work))


def hear_slots_unread(work: Work) -> None:
    """Fall back to the seed addresses and known members when the store does not answer.

    :param work: the event being handled.
    """
    if work.state.overlay.links:
        return
    seeds = _shuffle(work, list(work.state.settings.identity.seed_addresses))
    _queue(work, seeds + _known(work))


def _check_linked(work: Work) -> None:
    schedule = work.state.schedule
    if work.state.overlay.alone:
        work.change_overlay(alone=False, rendezvous=())
        work.change_schedule(slots_read_failures=0)
        _drop_waiting(work)
        _plan_reread(work)
    elif work.now_ms >= schedule.slots_read_ms:
        if _rereads_slots(work):
            work.emit(ReadSlots())
        _plan_reread(work)


def _rereads_slots(work: Work) -> bool:
    """Tell whether this node looks for lost parts of the fleet.

    Every part has such a node, and their number does not grow with the fleet.
    """
    own = work.own_record
    region = work.state.directory.regions.get(own.region)
    if own.relay_slot >= 0 or region is None:
        return True
    return own.node_id in region.lowest[:STAND_IN_REREADERS]


def _plan_reread(work: Work) -> None:
    reads = work.state.schedule.slots_read_failures
    wait_ms = min(REREAD_FIRST_MS * 2 ** min(reads, REREAD_DOUBLINGS), REREAD_MS)
    wait_ms = wait_ms / 2 + work.draw_ms(wait_ms)
    work.change_schedule(slots_read_ms=work.now_ms + wait_ms, slots_read_failures=reads + 1)


def _read_slots(work: Work) -> None:
    settings = work.settings
    failures = work.state.schedule.slots_read_failures
    limit_ms = min(
        settings.backoff_min_ms * 2 ** min(failures, REREAD_DOUBLINGS), (settings.backoff_max_ms)
    )
    wait_ms = work.state.settings.store.timeout_ms + work.draw_ms(limit_ms)
    work.change_schedule(slots_read_ms=work.now_ms + wait_ms, slots_read_failures=failures + 1)
    work.emit(ReadSlots())


def _dial_next(work: Work) -> None:
    overlay = work.state.overlay
    busy = sum(dial.reason == DialReason.RENDEZVOUS for dial in overlay.dials.values())
    waiting = list(overlay.rendezvous)
    while waiting and busy < RENDEZVOUS_DIALS:
        busy += _dial_address(work, waiting.pop(0))
    if len(waiting) != len(overlay.rendezvous):
        work.change_overlay(rendezvous=tuple(waiting))


def _dial_address(work: Work, address: str) -> bool:
    if address == work.own_record.peer_address or address in work.state.overlay.dials:
        return False
    return add_dial(work, Dial(address, "", DialReason.RENDEZVOUS, work.now_ms))


def _dial_unknown_holder(work: Work, addresses: list[str]) -> None:
    """Dial one holder that this node does not know as one, if there is any."""
    directory = work.state.directory
    known = {
        directory.records[node_id].peer_address
        for members in directory.regions.values()
        for node_id in members.slot_holders
    }
    known.update(link.peer.peer_address for link in work.state.overlay.links.values())
    unknown = [address for address in addresses if address not in known]
    if unknown:
        _dial_address(work, unknown[work.draw_index(len(unknown))])


def _queue(work: Work, addresses: list[str]) -> None:
    chosen = tuple(dict.fromkeys(addresses))[:RENDEZVOUS_ADDRESSES]
    work.change_overlay(rendezvous=chosen)


def _known(work: Work) -> list[str]:
    """Return the addresses of some random members of the own region."""
    ring = work.state.overlay.ring
    records = work.state.directory.records
    found = []
    for _ in range(KNOWN_MEMBERS_TRIED if len(ring) > 1 else 0):
        record = records.get(ring[work.draw_index(len(ring))][1])
        if record is not None:
            found.append(record.peer_address)
    return found


def _shuffle(work: Work, addresses: list[str]) -> list[str]:
    keyed = sorted((work.draw_ms(1.0), address) for address in addresses)
    return [address for _, address in keyed]


def _drop_waiting(work: Work) -> None:
    dials = work.state.overlay.dials
    for dial in work.dials:
        if dial.reason == DialReason.RENDEZVOUS and not dial.in_flight:
            dials = dials.delete(dial.address)
    work.change_overlay(dials=dials)
