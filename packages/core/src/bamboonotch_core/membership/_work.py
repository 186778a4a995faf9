"""The handling of one event: the changing state and the effects so far."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from bamboonotch_core.effects import Effect, Report, SendMessage
from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership._directory import Directory
from bamboonotch_core.membership._random import next_fraction
from bamboonotch_core.membership._state import Dial, Link, LocalVersions, MembershipState
from bamboonotch_core.messages import Message
from bamboonotch_core.settings import MembershipSettings
from bamboonotch_core.transition import Transition

__all__ = ["Work"]

# The first exchange of a newcomer brings the whole fleet in a few messages.
MAX_REPORTS_PER_EVENT = 16


class Work:
    """Collects the changes and effects of one event; lives only while it is reduced.

    :param state: state before the event.
    :param now_ms: time of the event, in milliseconds.
    :param versions: what goes into heartbeats.

    Setting ``urgent`` spreads the changes of this event without waiting for the next tick.
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
        """Return the section ``[membership]``."""
        return self.state.settings.membership

    @property
    def own_record(self) -> MemberRecord:
        """Return this node's record."""
        return self.state.own.record

    @property
    def links(self) -> list[Link]:
        """Return the open links in the order of their ids.

        A map's own order depends on the process's hash seed, and effects must not.
        """
        links = self.state.overlay.links
        return [links[link_id] for link_id in sorted(links)]

    @property
    def dials(self) -> list[Dial]:
        """Return the addresses to dial in their order."""
        dials = self.state.overlay.dials
        return [dials[address] for address in sorted(dials)]

    def finish(self) -> Transition[MembershipState]:
        """Return the result."""
        if self._omitted:
            self.emit(Report("reports-omitted", (("count", self._omitted),)))
        return Transition(self.state, tuple(self._effects))

    def emit(self, effect: Effect) -> None:
        """Add an effect.

        :param effect: the effect.
        """
        self._effects.append(effect)

    def send(self, link: Link, message: Message) -> None:
        """Send a message on a link.

        :param link: the link.
        :param message: the message.
        """
        self.emit(SendMessage(link.link_id, message))

    def report(self, name: str, **fields: str | int | float | bool) -> None:
        """Add a report; beyond a limit for each event reports are only counted.

        :param name: name of the event.
        :param fields: its fields.
        """
        if self._reports >= MAX_REPORTS_PER_EVENT:
            self._omitted += 1
            return
        self._reports += 1
        self.emit(Report(name, tuple(fields.items())))

    def draw_ms(self, limit_ms: float) -> float:
        """Return a random time between 0 and a limit, in milliseconds.

        :param limit_ms: the limit, in milliseconds.
        """
        fraction, seed = next_fraction(self.state.seed)
        self.state = replace(self.state, seed=seed)
        return fraction * limit_ms

    def draw_index(self, count: int) -> int:
        """Return a random index below a count.

        :param count: the count.
        """
        return int(self.draw_ms(count))

    def set_directory(self, directory: Directory) -> None:
        """Replace the directory and mark what follows from it for recomputation.

        :param directory: the directory.
        """
        old = self.state.directory
        self.state = replace(self.state, directory=directory)
        if directory.services is not old.services:
            self.raise_routing_generation()

    def mark_region(self, region: str, live_changed: bool) -> None:
        """Note that the live members or slot holders of a region changed.

        :param region: the region.
        :param live_changed: whether the set of live members changed.
        """
        overlay = self.state.overlay
        ring_dirty = overlay.ring_dirty or (live_changed and region == self.own_record.region)
        self.change_overlay(ring_dirty=ring_dirty, dirty_regions=overlay.dirty_regions | {region})

    def raise_routing_generation(self) -> None:
        """Note that the usable ready members changed."""
        self.state = replace(self.state, routing_generation=self.state.routing_generation + 1)

    def change_own(self, **changes: Any) -> None:
        """Replace fields of the own state."""
        self.state = replace(self.state, own=replace(self.state.own, **changes))

    def change_overlay(self, **changes: Any) -> None:
        """Replace fields of the overlay."""
        self.state = replace(self.state, overlay=replace(self.state.overlay, **changes))

    def change_detection(self, **changes: Any) -> None:
        """Replace fields of the detection state."""
        self.state = replace(self.state, detection=replace(self.state.detection, **changes))

    def change_spreading(self, **changes: Any) -> None:
        """Replace fields of the spreading state."""
        self.state = replace(self.state, spreading=replace(self.state.spreading, **changes))

    def change_schedule(self, **changes: Any) -> None:
        """Replace fields of the schedule."""
        self.state = replace(self.state, schedule=replace(self.state.schedule, **changes))
