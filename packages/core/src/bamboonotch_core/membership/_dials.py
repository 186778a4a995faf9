"""The bounded set of addresses to dial."""

from __future__ import annotations

from bamboonotch_core.membership._state import Dial, DialReason
from bamboonotch_core.membership._work import Work

__all__ = ["MAX_DIALS", "MAX_SPARE_DIALS", "add_dial", "has_spare_room"]

MAX_DIALS = 128
# Addresses beyond this number are kept only if the overlay wants them. Dead neighbours pile up
# when many members die at once, and must not keep the overlay from its new neighbours.
MAX_SPARE_DIALS = 48

_WANTED = (DialReason.OVERLAY, DialReason.GATEWAY)


def has_spare_room(work: Work) -> bool:
    """Tell whether an address may be kept that the overlay does not want.

    :param work: the event being handled.
    """
    return len(work.state.overlay.dials) < MAX_SPARE_DIALS


def add_dial(work: Work, dial: Dial) -> bool:
    """Add or replace an address unless too many are kept; tell whether it was done.

    :param work: the event being handled.
    :param dial: the dial.
    """
    dials = work.state.overlay.dials
    if dial.address not in dials:
        limit = MAX_DIALS if dial.reason in _WANTED else MAX_SPARE_DIALS
        if len(dials) >= limit:
            return False
    work.change_overlay(dials=dials.set(dial.address, dial))
    return True
