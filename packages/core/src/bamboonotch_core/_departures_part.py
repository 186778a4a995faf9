"""Departures that neighbours keep for each other.

A departure holds after its acknowledgement, also for the next process of the node. The entry of the
node in the store tells that process. While the store is away, only the processes of neighbours
outlive the one that has acknowledged it.
"""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.announcements import LEAVING_STATES, MAX_DEPARTURES, with_departure
from bamboonotch_core.departure_messages import Departures
from bamboonotch_core.effects import Effect, Report, SendMessage
from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.membership import (
    MembershipState,
    find_announcement_fault,
    neighbours,
    own_record,
)
from bamboonotch_core.replace import replace_fields

__all__ = [
    "PeerDepartures",
    "check_departures",
    "keep_for_peer",
    "limit_hearing",
    "return_to_peer",
    "share_departures",
]

# Heartbeats arrive late by seconds; the entry in the store lasts for 30 s after the process.
RETENTION_MS = 600_000.0
# Neighbours whose departures are kept; more than a node has links in normal operation.
MAX_PEERS = 256


@dataclass(frozen=True)
class PeerDepartures:
    """What a neighbour has acknowledged.

    :param departures: the departures, the latest one last.
    :param heard_ms: when it told them last, on the monotonic clock in milliseconds.
    """

    departures: tuple[BackendServerAnnounced, ...]
    heard_ms: float


def share_departures(
    membership: MembershipState, departures: tuple[BackendServerAnnounced, ...]
) -> tuple[Effect, ...]:
    """Return the effects that tell all neighbours the departures of this node."""
    message = Departures(own_record(membership).node_id, departures)
    return tuple(SendMessage(link_id, message) for link_id in sorted(membership.overlay.links))


def return_to_peer(
    membership: MembershipState,
    own: tuple[BackendServerAnnounced, ...],
    kept: Map[str, PeerDepartures],
    link_id: str,
    now_ms: float,
) -> tuple[Effect, ...]:
    """Return the effects that tell the peer of a new link its departures, and those of this node.

    :param own: the departures of this node.
    :param kept: the departures of its neighbours, by node id.
    """
    link = membership.overlay.links.get(link_id)
    if link is None:
        return ()
    messages = []
    known = kept.get(link.peer.node_id)
    if known is not None and now_ms - known.heard_ms < RETENTION_MS:
        messages.append(Departures(link.peer.node_id, known.departures))
    if own:
        messages.append(Departures(own_record(membership).node_id, own))
    return tuple(SendMessage(link_id, message) for message in messages)


def keep_for_peer(
    kept: Map[str, PeerDepartures], message: Departures, now_ms: float
) -> Map[str, PeerDepartures]:
    """Return what is kept after a neighbour has told its departures.

    :param kept: the departures of the neighbours, by node id.
    """
    expired = [name for name, item in kept.items() if now_ms - item.heard_ms >= RETENTION_MS]
    for name in expired:
        kept = kept.delete(name)
    known = kept.get(message.node_id)
    if known is None and len(kept) >= MAX_PEERS:
        return kept
    departures = () if known is None else known.departures
    for departure in message.departures:
        departures = with_departure(departures, departure)
    return kept.set(message.node_id, PeerDepartures(departures, now_ms))


def check_departures(
    membership: MembershipState, message: Departures, link_id: str
) -> tuple[str, Report | None]:
    """Return the id of the peer that sent departures, and a report if they are refused."""
    sender = next((item.node_id for item in neighbours(membership) if item.link_id == link_id), "")
    reason = ""
    if message.node_id not in (sender, own_record(membership).node_id):
        reason = f"departures of {message.node_id!r:.130}, which is neither end of the link"
    elif len(message.departures) > MAX_DEPARTURES:
        reason = f"more than {MAX_DEPARTURES} departures"
    for departure in message.departures:
        fault = find_announcement_fault(departure)
        if departure.state not in LEAVING_STATES or not departure.instance_id:
            fault = f"departure of {departure.instance_id!r:.130} has state {departure.state!r:.18}"
        reason = reason or fault
    if not sender or not reason:
        return sender, None
    return sender, Report("departure-refused", (("peer", sender), ("reason", reason)))


def limit_hearing(
    departure: BackendServerAnnounced, started_unix_ms: int
) -> BackendServerAnnounced:
    """Return a departure that was heard before this process started.

    A damaged time of hearing must not outdate later processes of the backend server.

    :param started_unix_ms: when this process started, in milliseconds since 1970.
    """
    heard_unix_ms = min(departure.heard_unix_ms or started_unix_ms, started_unix_ms)
    return replace_fields(departure, heard_unix_ms=heard_unix_ms)
