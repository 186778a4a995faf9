"""The order of what a backend server says of itself.

Announcements can be delayed, and a later process may announce itself under the same id or at the
same address. The start time orders processes; the sequence number orders what one process says.

A departure that was acknowledged must hold whatever arrives later, so departures are remembered by
process id, beside the latest announcement. A departure call names its process by the id alone, and
the node need not have heard the process that it means: it is any of the id that started before the
call was heard.
"""

from __future__ import annotations

from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.replace import replace_fields

__all__ = [
    "LEAVING_STATES",
    "MAX_DEPARTURES",
    "complete_departure",
    "has_departed",
    "is_departure_of_another",
    "is_late_drain",
    "is_new_departure",
    "is_outdated",
    "is_remembered",
    "make_departure",
    "says_leaving",
    "started_after",
    "widen_departure",
    "with_departure",
    "with_known_departure",
]

READY = "ready"
DRAINING = "draining"
STOPPED = "stopped"
LEAVING_STATES = frozenset({DRAINING, STOPPED})
# A VM has one backend server, and for a while its successor. The bound is against callers that
# report departures of ids that never existed.
MAX_DEPARTURES = 8


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


def complete_departure(
    latest: BackendServerAnnounced | None, event: BackendServerAnnounced
) -> BackendServerAnnounced:
    """Return a departure that names only its process, with what that process had announced.

    :param latest: the latest announcement taken before, or ``None``.
    :param event: the announcement.
    """
    if latest is None or event.state != STOPPED or event.service or not event.instance_id:
        return event
    if latest.instance_id != event.instance_id:
        return event
    return replace_fields(
        event,
        service=latest.service,
        address=latest.address,
        slots=latest.slots,
        started_unix_ms=event.started_unix_ms or latest.started_unix_ms,
        software_version=latest.software_version,
    )


def widen_departure(
    latest: BackendServerAnnounced | None, event: BackendServerAnnounced
) -> BackendServerAnnounced:
    """Return the departure to remember after an announcement.

    A departure call that names only an id holds for all processes of the id that have been heard,
    also where a clock that went back dates the call before their start.

    :param latest: the latest announcement taken before, or ``None``.
    :param event: the announcement as it was sent.
    """
    if latest is None or event.state != STOPPED or event.started_unix_ms:
        return event
    if latest.instance_id != event.instance_id or latest.started_unix_ms <= event.heard_unix_ms:
        return event
    return replace_fields(event, heard_unix_ms=latest.started_unix_ms)


def is_departure_of_another(
    latest: BackendServerAnnounced | None, event: BackendServerAnnounced
) -> bool:
    """Tell whether a process ends that is not the one in use.

    :param latest: the latest announcement taken, or ``None``.
    :param event: the announcement.
    """
    if latest is None or event.state != STOPPED or not event.instance_id:
        return False
    return latest.instance_id != event.instance_id


def is_late_drain(latest: BackendServerAnnounced | None, event: BackendServerAnnounced) -> bool:
    """Tell whether an outdated announcement says that the process in use drains.

    A later announcement of that process has taken it back.

    :param latest: the latest announcement taken, or ``None``.
    :param event: the outdated announcement.
    """
    if latest is None or event.state != DRAINING:
        return False
    return _process(latest) == _process(event)


def started_after(departure: BackendServerAnnounced, event: BackendServerAnnounced) -> bool:
    """Tell whether an announcement is of a process that started after another one of its id left.

    A process whose start time is not known started before its departure was heard. Both times are
    read on the same VM.

    :param departure: the departure.
    :param event: an announcement under the same process id.
    """
    if not event.started_unix_ms:
        return False
    if departure.started_unix_ms:
        return event.started_unix_ms > departure.started_unix_ms
    return 0 < departure.heard_unix_ms < event.started_unix_ms


def says_leaving(departure: BackendServerAnnounced, latest: BackendServerAnnounced) -> bool:
    """Tell whether a response of the process in use said that it leaves.

    Such a process may go on announcing that it is ready, with higher sequence numbers.

    :param departure: the departure that is remembered.
    :param latest: the latest announcement taken.
    """
    if not departure.leaving or latest.leaving or latest.state == STOPPED:
        return False
    if departure.instance_id != latest.instance_id:
        return False
    return departure.started_unix_ms in (0, latest.started_unix_ms)


def is_new_departure(
    departures: tuple[BackendServerAnnounced, ...], event: BackendServerAnnounced
) -> bool:
    """Tell whether a process says for the first time that it leaves.

    What it says after that adds nothing: its earlier heartbeats have lower sequence numbers.

    :param departures: the departures that are remembered.
    :param event: the announcement.
    """
    if event.state not in LEAVING_STATES or not event.instance_id:
        return False
    known = _find_departure(departures, event.instance_id)
    return known is None or not _is_covered(known, event)


def is_remembered(
    departures: tuple[BackendServerAnnounced, ...], event: BackendServerAnnounced
) -> bool:
    """Tell whether the departure of a process is among those that are remembered.

    :param departures: the departures that are remembered.
    :param event: the announcement of the departure.
    """
    known = _find_departure(departures, event.instance_id)
    return known is not None and not started_after(known, event)


def with_departure(
    departures: tuple[BackendServerAnnounced, ...], event: BackendServerAnnounced
) -> tuple[BackendServerAnnounced, ...]:
    """Return the departures to remember after a process said that it leaves.

    One departure is remembered for each id, and only the latest ``MAX_DEPARTURES`` ids.

    :param departures: the departures remembered before, the latest one last.
    :param event: the announcement of the departure.
    """
    known = _find_departure(departures, event.instance_id)
    if known is not None and _is_covered(known, event):
        ends = event.state == STOPPED and known.state != STOPPED
        if not ends or _is_earlier_process(known, event):
            return departures
    others = tuple(item for item in departures if item.instance_id != event.instance_id)
    return (*others, event)[-MAX_DEPARTURES:]


def has_departed(
    departures: tuple[BackendServerAnnounced, ...], event: BackendServerAnnounced
) -> bool:
    """Tell whether a heartbeat was sent before an acknowledged departure of its process.

    A heartbeat that does not say when its process started is taken to be of the process that left.

    :param departures: the departures that are remembered.
    :param event: the heartbeat.
    """
    known = _find_departure(departures, event.instance_id)
    if known is None or event.state == STOPPED or started_after(known, event):
        return False
    if known.state == STOPPED or _is_earlier_process(known, event):
        return True
    if known.leaving and event.state == READY:
        return True
    if event.sequence is None or known.sequence is None:
        return False
    return event.sequence <= known.sequence


def _find_departure(
    departures: tuple[BackendServerAnnounced, ...], instance_id: str
) -> BackendServerAnnounced | None:
    """Return the departure remembered of a process id, or ``None``."""
    if not instance_id:
        return None
    return next((item for item in departures if item.instance_id == instance_id), None)


def _is_covered(known: BackendServerAnnounced, event: BackendServerAnnounced) -> bool:
    """Tell whether a remembered departure holds for every process of another departure.

    A departure call that names only an id may be of any process that started before it was heard.
    """
    if event.state != STOPPED or event.started_unix_ms:
        return not started_after(known, event)
    if known.started_unix_ms:
        return event.heard_unix_ms < known.started_unix_ms
    return event.heard_unix_ms <= known.heard_unix_ms


def _is_earlier_process(known: BackendServerAnnounced, event: BackendServerAnnounced) -> bool:
    """Tell whether an announcement is of a process before another, or does not say of which."""
    return event.started_unix_ms < known.started_unix_ms


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
