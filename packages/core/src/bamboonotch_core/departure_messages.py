"""The message by which neighbours keep the departures that a node has acknowledged."""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.messages import Message

__all__ = ["Departures"]


@dataclass(frozen=True)
class Departures(Message):
    """What backend servers beside a node said last when they left.

    A node tells its neighbours its own departures; they tell the next process of the same node.

    :param node_id: the node that has acknowledged them.
    :param departures: the departures, the latest one last; the times of these events are not used.
    """

    node_id: str
    departures: tuple[BackendServerAnnounced, ...]
