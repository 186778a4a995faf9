"""The bounded set of addresses to dial."""

from __future__ import annotations

from bamboonotch_core.membership._state import Dial
from bamboonotch_core.membership._work import Work

__all__ = ["MAX_DIALS", "add_dial"]

# The overlay wants about 20 at most; the rest are dead neighbours and suspects to verify.
MAX_DIALS = 64


def add_dial(work: Work, dial: Dial) -> bool:
    """Add or replace an address unless too many are kept; tell whether it was done.

    :param work: the event being handled.
    :param dial: the dial.
    """
    dials = work.state.overlay.dials
    if len(dials) >= MAX_DIALS and dial.address not in dials:
        return False
    work.change_overlay(dials=dials.set(dial.address, dial))
    return True
