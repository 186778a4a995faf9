"""The order of what a backend server says of itself.

Announcements can be delayed, and a later process may announce itself under the same id or at the
same address. The start time orders processes; the sequence number orders what one process says.
"""

from __future__ import annotations

from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.replace import replace_fields

__all__ = [
    "LEAVING_STATES",
    "is_new_departure",
    "is_outdated",
    "make_departure",
    "with_known_departure",
]

READY = "ready"
DRAINING = "draining"
STOPPED = "stopped"
LEAVING_STATES = frozenset({DRAINING, STOPPED})


def _process(announcement: BackendServerAnnounced) -> tuple[str, int]:
    return announcement.instance_id, announcement.started_unix_ms


def make_departure(latest: BackendServerAnnounced, now_ms: float) -> BackendServerAnnounced:
    """Return the announcement of a process whose response says that it leaves.

    :param latest: what the process announced last.
    :param now_ms: monotonic clock, in milliseconds.
    """
    state = latest.state if latest.state in LEAVING_STATES else DRAINING
    return replace_fields(latest, now_ms=now_ms, state=state, leaving=True)


def with_known_departure(
    latest: BackendServerAnnounced | None, event: BackendServerAnnounced
) -> BackendServerAnnounced:
    """Return an announcement, as draining when a response of its process said that it leaves.

    A heartbeat may have been sent before that response, and be heard after it. Without an id, a
    process cannot be told from the next one, so its announcements stand as they are.

    :param latest: the latest announcement taken before, or ``None``.
    :param event: the announcement.
    """
    if latest is None or not latest.leaving or not event.instance_id:
        return event
    if _process(latest) != _process(event):
        return event
    state = DRAINING if event.state == READY else event.state
    return replace_fields(event, state=state, leaving=True)


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
    return _process(latest) != _process(event)


def is_outdated(latest: BackendServerAnnounced | None, event: BackendServerAnnounced) -> bool:
    """Tell whether an announcement speaks of an earlier process or state than the latest one.

    :param latest: the latest announcement taken, or ``None``.
    :param event: the announcement.
    """
    if latest is None:
        return False
    if _process(latest) == _process(event):
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
