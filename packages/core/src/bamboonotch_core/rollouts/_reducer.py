"""Reducer of the roll-outs at one node."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from bamboonotch_core.distribution import MembershipView
from bamboonotch_core.events import Event, LinkOpened, MessageReceived, Tick
from bamboonotch_core.messages import Message
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.rollout_messages import RolloutCounts, RolloutPlan
from bamboonotch_core.rollouts._driver import (
    advance_drivers,
    note_failure,
    note_read,
    note_written,
)
from bamboonotch_core.rollouts._events import (
    RolloutFailed,
    RolloutOrdersRead,
    RolloutRead,
    RolloutWritten,
)
from bamboonotch_core.rollouts._knowledge import take_counts, take_orders, take_plan
from bamboonotch_core.rollouts._owner import is_counted, make_counts
from bamboonotch_core.rollouts._state import Drive, RolloutsState
from bamboonotch_core.rollouts._step import Step
from bamboonotch_core.transition import Transition

__all__ = ["OwnServer", "reduce_rollouts"]

COUNTS_INTERVAL_MS = 500.0
# Counts of all owners of a service together stay below 100 messages a second at each node.
COUNTS_INTERVAL_PER_OWNER_MS = 10.0


@dataclass(frozen=True)
class OwnServer:
    """The backend server beside this node.

    :param service: its service, or empty without one.
    :param software_version: its software version, or empty.
    :param incarnation: incarnation of this node's process.
    :param ready: whether it takes requests.
    """

    service: str = ""
    software_version: str = ""
    incarnation: int = 0
    ready: bool = False


def reduce_rollouts(
    state: RolloutsState, event: Event, view: MembershipView, server: OwnServer
) -> Transition[RolloutsState]:
    """Return the state after an event and the effects to be carried out.

    :param view: the membership.
    :param server: the backend server beside this node.
    """
    step = Step(state, view, event.now_ms)
    _handle(event, step, server)
    return Transition(step.state, tuple(step.effects))


@singledispatch
def _handle(event: Event, step: Step, server: OwnServer) -> None:
    """Handle one event; an event of another type changes nothing here."""


@_handle.register
def _(event: RolloutOrdersRead, step: Step, server: OwnServer) -> None:
    take_orders(step, event)


@_handle.register
def _(event: RolloutRead, step: Step, server: OwnServer) -> None:
    note_read(step, event)


@_handle.register
def _(event: RolloutWritten, step: Step, server: OwnServer) -> None:
    note_written(step, event)


@_handle.register
def _(event: RolloutFailed, step: Step, server: OwnServer) -> None:
    note_failure(step, event)


@_handle.register
def _(event: LinkOpened, step: Step, server: OwnServer) -> None:
    for known in step.state.known.values():
        step.send(event.link_id, step.current_plan(known))


@_handle.register
def _(event: MessageReceived, step: Step, server: OwnServer) -> None:
    _receive(event.message, step, event.link_id)


@_handle.register
def _(event: Tick, step: Step, server: OwnServer) -> None:
    if not step.state.known:
        return
    if step.now_ms >= step.state.counts_due_ms and is_counted(step.state, server.service):
        _send_counts(step, server)
    advance_drivers(step)


def _send_counts(step: Step, server: OwnServer) -> None:
    owners = sum(place[0] == server.service for place in step.state.counts)
    interval_ms = max(COUNTS_INTERVAL_MS, COUNTS_INTERVAL_PER_OWNER_MS * owners)
    state, counts = make_counts(
        step.state, server.service, server.software_version, server.incarnation, server.ready
    )
    step.state = replace_fields(state, counts_due_ms=step.now_ms + interval_ms)
    take_counts(step, counts, "")


@singledispatch
def _receive(message: Message, step: Step, link_id: str) -> None:
    """Handle one message; a message of another type changes nothing here."""


@_receive.register
def _(message: RolloutPlan, step: Step, link_id: str) -> None:
    take_plan(step, message, link_id)
    drive = step.state.drives.get(message.order.service)
    if drive is not None and drive.active and message.number > drive.revision:
        # Another driver has written since.
        step.set_drive(message.order.service, Drive(next_ms=step.now_ms))


@_receive.register
def _(message: RolloutCounts, step: Step, link_id: str) -> None:
    take_counts(step, message, link_id)
