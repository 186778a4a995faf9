"""The order of what a backend server says of itself.

Announcements can be delayed, and a later process may announce itself under the same id or at the
same address. The start time orders processes; the sequence number orders what one process says.
"""

from __future__ import annotations

from bamboonotch_core.events import BackendServerAnnounced

__all__ = ["LEAVING_STATES", "is_new_departure", "is_outdated"]

STOPPED = "stopped"
LEAVING_STATES = frozenset({"draining", STOPPED})


def is_new_departure(latest: BackendServerAnnounced | None, event: BackendServerAnnounced) -> bool:
    """Tell whether a process says for the first time that it leaves.

    What it says after that adds nothing: its earlier heartbeats have lower sequence numbers.

    :param latest: the latest announcement taken before, or ``None``.
    :param event: the announcement.
    """
    if event.state not in LEAVING_STATES or not event.instance_id:
        return False
    if latest is None or latest.state not in LEAVING_STATES:
        return True
    process = (event.instance_id, event.started_unix_ms)
    return (latest.instance_id, latest.started_unix_ms) != process


def is_outdated(latest: BackendServerAnnounced | None, event: BackendServerAnnounced) -> bool:
    """Tell whether an announcement speaks of an earlier process or state than the latest one.

    :param latest: the latest announcement taken, or ``None``.
    :param event: the announcement.
    """
    if latest is None:
        return False
    if latest.instance_id == event.instance_id and latest.started_unix_ms == event.started_unix_ms:
        if latest.state == STOPPED:
            # A process that has said that it ends does not come back; a heartbeat was on its way.
            return True
        if event.sequence is None or latest.sequence is None:
            return False
        return event.sequence <= latest.sequence
    if latest.started_unix_ms and event.started_unix_ms:
        return event.started_unix_ms < latest.started_unix_ms
    # Without start times, only the current process can say that it ends.
    return event.state == STOPPED and latest.instance_id != event.instance_id
