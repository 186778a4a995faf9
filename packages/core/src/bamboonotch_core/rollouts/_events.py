"""Events and effects of roll-outs."""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.effects import Effect
from bamboonotch_core.events import Event
from bamboonotch_core.rollout_messages import RolloutOrder, RolloutPlan

__all__ = [
    "ReadRollout",
    "RolloutFailed",
    "RolloutOrdersRead",
    "RolloutRead",
    "RolloutWritten",
    "WriteRollout",
]


@dataclass(frozen=True)
class RolloutOrdersRead(Event):
    """A read or watch of the store brought orders.

    :param epoch: epoch of the store.
    :param revision: revision of the store as of which they were read.
    :param orders: the orders, and withdrawn ones without a target version.
    :param whole: whether these are all orders that the store holds.
    """

    epoch: int
    revision: int
    orders: tuple[RolloutOrder, ...]
    whole: bool


@dataclass(frozen=True)
class RolloutRead(Event):
    """The entry of a roll-out was read.

    :param service: the service.
    :param data: the entry, empty when there is none.
    :param revision: revision of the entry, 0 when there is none.
    """

    service: str
    data: bytes
    revision: int


@dataclass(frozen=True)
class RolloutWritten(Event):
    """The entry of a roll-out was written.

    :param service: the service.
    :param revision: revision of the entry from now on.
    """

    service: str
    revision: int


@dataclass(frozen=True)
class RolloutFailed(Event):
    """A read or write of the entry of a roll-out failed, or another writer was earlier.

    :param service: the service.
    :param reason: why, for the log.
    """

    service: str
    reason: str


@dataclass(frozen=True)
class ReadRollout(Effect):
    """Read the entry of a roll-out; answered by ``RolloutRead`` or ``RolloutFailed``.

    :param service: the service.
    """

    service: str


@dataclass(frozen=True)
class WriteRollout(Effect):
    """Write the entry of a roll-out if neither it nor the order has changed.

    Answered by ``RolloutWritten`` or ``RolloutFailed``.

    :param plan: the plan to write; its number is the revision of the entry that it replaces.
    :param data: the entry.
    :param with_status: whether the status that operators read changes as well.
    """

    plan: RolloutPlan
    data: bytes
    with_status: bool
