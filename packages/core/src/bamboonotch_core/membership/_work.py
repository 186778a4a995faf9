"""The reduction of one event, which collects the changed state and the effects."""

from __future__ import annotations

from typing import Any

from bamboonotch_core.effects import Effect, Report, SendMessage
from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._directory import Directory
from bamboonotch_core.membership._random import next_fraction
from bamboonotch_core.membership._state import Dial, Link, LocalVersions, MembershipState
from bamboonotch_core.messages import Message
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.settings import MembershipSettings
from bamboonotch_core.transition import Transition

__all__ = ["Step"]

# The first exchange of a new node brings the whole fleet in a few messages, and would otherwise
# cause a report for each member.
MAX_REPORTS_PER_EVENT = 16


class Step:
    """Collects the changes and effects of one event while it is reduced.

    :param state: state before the event.
    :param now_ms: time of the event on the monotonic clock, in milliseconds.
    :param versions: source of the versions in heartbeats and of the readiness of the own record.

    If ``urgent`` is set, the changes of this event are sent without waiting for the next tick.
    """

    def __init__(self, state: MembershipState, now_ms: float, versions: LocalVersions) -> None:
        self.state = state
        self.now_ms = now_ms
        self.versions = versions
        self.urgent = False
        self._effects: list[Effect] = []
        self._reports = 0
        self._omitted = 0

    @property
    def settings(self) -> MembershipSettings:
        """Return the settings of the section ``[membership]``."""
        return self.state.settings.membership

    @property
    def own_record(self) -> MemberRecord:
        """Return this node's record."""
        return self.state.own.record

    @property
    def links(self) -> list[Link]:
        """Return the open links in the order of their ids.

        The iteration order of a map depends on the hash seed of the process, but effects must not.
        """
        links = self.state.overlay.links
        return [links[link_id] for link_id in sorted(links)]

    @property
    def dials(self) -> list[Dial]:
        """Return the scheduled dials in the order of their addresses."""
        dials = self.state.overlay.dials
        return [dials[address] for address in sorted(dials)]

    def finish(self) -> Transition[MembershipState]:
        """Return the changed state and the effects of the event."""
        if self._omitted:
            self.emit(Report("reports-omitted", (("count", self._omitted),)))
        return Transition(self.state, tuple(self._effects))

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def send(self, link: Link, message: Message) -> None:
        """Send a message on a link."""
        self.emit(SendMessage(link.link_id, message))

    def report(self, name: str, **fields: str | int | float | bool) -> None:
        """Add a report; beyond ``MAX_REPORTS_PER_EVENT``, reports are only counted.

        :param name: name of the log event.
        :param fields: fields of the log event.
        """
        if self._reports >= MAX_REPORTS_PER_EVENT:
            self._omitted += 1
            return
        self._reports += 1
        self.emit(Report(name, tuple(fields.items())))

    def draw_ms(self, limit_ms: float) -> float:
        """Return a random time in [0, ``limit_ms``).

        :param limit_ms: upper bound, in milliseconds.
        """
        fraction, seed = next_fraction(self.state.seed)
        self.state = replace_fields(self.state, seed=seed)
        return fraction * limit_ms

    def draw_index(self, count: int) -> int:
        """Return a random index below ``count``."""
        return int(self.draw_ms(count))

    def set_directory(self, directory: Directory) -> None:
        """Replace the directory, and raise the routing generation if its ready members changed."""
        old = self.state.directory
        self.state = replace_fields(self.state, directory=directory)
        if directory.services is not old.services:
            self.raise_routing_generation()

    def mark_region(self, region: str, live_changed: bool) -> None:
        """Mark the gateway of a region for recomputation, and the ring if its members changed.

        :param live_changed: whether the set of live members of the region changed.
        """
        overlay = self.state.overlay
        ring_dirty = overlay.ring_dirty or (live_changed and region == self.own_record.region)
        self.change_overlay(ring_dirty=ring_dirty, dirty_regions=overlay.dirty_regions | {region})

    def raise_routing_generation(self) -> None:
        """Raise the routing generation after a change of the usable ready members."""
        self.state = replace_fields(
            self.state, routing_generation=self.state.routing_generation + 1
        )

    def change_own(self, **changes: Any) -> None:
        """Replace fields of ``state.own``."""
        self._change_part("own", changes)

    def change_overlay(self, **changes: Any) -> None:
        """Replace fields of ``state.overlay``."""
        self._change_part("overlay", changes)

    def change_detection(self, **changes: Any) -> None:
        """Replace fields of ``state.detection``."""
        self._change_part("detection", changes)

    def change_spreading(self, **changes: Any) -> None:
        """Replace fields of ``state.spreading``."""
        self._change_part("spreading", changes)

    def change_schedule(self, **changes: Any) -> None:
        """Replace fields of ``state.schedule``."""
        self._change_part("schedule", changes)

    def _change_part(self, name: str, changes: dict[str, Any]) -> None:
        part = replace_fields(getattr(self.state, name), **changes)
        self.state = replace_fields(self.state, **{name: part})
