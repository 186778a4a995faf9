"""The bounded set of scheduled dials."""

from __future__ import annotations

from bamboonotch_core.membership._state import Dial, DialReason
from bamboonotch_core.membership._work import Step

__all__ = ["MAX_DIALS", "MAX_OPTIONAL_DIALS", "add_dial", "has_optional_capacity"]

MAX_DIALS = 128
# From this number on, only dials that the overlay wants are added. When many members die at the
# same time, the dials to dead neighbours must not displace those to the new neighbours.
MAX_OPTIONAL_DIALS = 48

_WANTED_REASONS = (DialReason.OVERLAY, DialReason.GATEWAY)


def has_optional_capacity(step: Step) -> bool:
    """Return whether a dial that the overlay does not want may be kept."""
    return len(step.state.overlay.dials) < MAX_OPTIONAL_DIALS


def add_dial(step: Step, dial: Dial) -> bool:
    """Add or replace a dial unless there are too many.

    :returns: whether the dial was stored.
    """
    dials = step.state.overlay.dials
    if dial.address not in dials:
        limit = MAX_DIALS if dial.reason in _WANTED_REASONS else MAX_OPTIONAL_DIALS
        if len(dials) >= limit:
            return False
    step.change_overlay(dials=dials.set(dial.address, dial))
    return True
