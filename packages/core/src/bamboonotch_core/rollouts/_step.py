"""Changes and effects of one event, collected within one call of the reducer."""

from __future__ import annotations

from bamboonotch_core.distribution import MembershipView
from bamboonotch_core.effects import Effect, Report, SendMessage
from bamboonotch_core.messages import Message
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.rollout_messages import RolloutPlan
from bamboonotch_core.rollouts._state import Drive, KnownRollout, RolloutsState

__all__ = ["Step"]


class Step:
    """Changes and effects of one event, used within one call of the reducer only.

    :param state: the state before the event.
    :param view: the membership.
    :param now_ms: monotonic clock, in milliseconds.
    """

    def __init__(self, state: RolloutsState, view: MembershipView, now_ms: float) -> None:
        self.state = state
        self.view = view
        self.now_ms = now_ms
        self.effects: list[Effect] = []

    def report(self, name: str, **fields: str | int | float | bool) -> None:
        """Report an event to the operator's log."""
        self.effects.append(Report(name, tuple(fields.items())))

    def set_known(self, known: KnownRollout) -> None:
        """Replace what is known of a roll-out."""
        changed = self.state.known.set(known.order.service, known)
        self.state = replace_fields(self.state, known=changed)

    def set_drive(self, service: str, drive: Drive) -> None:
        """Replace the part of this node as a driver."""
        self.state = replace_fields(self.state, drives=self.state.drives.set(service, drive))

    def send_to_others(self, message: Message, except_link: str = "") -> None:
        """Send a message to every neighbour but the one that it came from."""
        for neighbour in self.view.neighbours:
            if neighbour.link_id != except_link:
                self.effects.append(SendMessage(neighbour.link_id, message))

    def send(self, link_id: str, message: Message) -> None:
        """Send a message over one link."""
        self.effects.append(SendMessage(link_id, message))

    def current_plan(self, known: KnownRollout) -> RolloutPlan:
        """Return a plan as it is sent now."""
        return replace_fields(known.plan, elapsed_ms=max(0.0, self.now_ms - known.started_ms))
