"""Decides which version a node holds and runs: dissemination, repair, witnesses and start-up."""

from bamboonotch_core.distribution._reducer import reduce_distribution
from bamboonotch_core.distribution._state import DistributionState, make_distribution_state
from bamboonotch_core.distribution._view import MembershipView, Neighbour

__all__ = [
    "DistributionState",
    "MembershipView",
    "Neighbour",
    "make_distribution_state",
    "reduce_distribution",
]
