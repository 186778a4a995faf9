"""Whether an announcement is of a service that the VM's backend server can have.

Heartbeats may come from other writers. One of another service must neither be used nor outdate what
the backend server beside this node says, whatever start time it claims.
"""

from __future__ import annotations

from bamboonotch_core.configuration import Configuration
from bamboonotch_core.events import BackendServerAnnounced

__all__ = ["find_service_fault", "find_service_misfit", "outranks"]


def find_service_fault(event: BackendServerAnnounced, expected_service: str) -> str:
    """Return why an announcement is not of the service that belongs on this VM, or ``""``.

    A departure may name only its process, and is then of any service.

    :param expected_service: service according to the settings, or empty when it is not known.
    """
    if not event.service or not expected_service or event.service == expected_service:
        return ""
    return f"service {event.service!r} is not {expected_service!r}, which the settings name"


def find_service_misfit(
    event: BackendServerAnnounced,
    latest: BackendServerAnnounced | None,
    expected_service: str,
    configuration: Configuration,
) -> str:
    """Return why an announcement must not take the place of the one in use, or ``""``.

    Where the settings name no service, one that the configuration names goes before one that it
    does not name. Before the first configuration all are equal.

    :param latest: the announcement in use, or ``None``.
    :param expected_service: service according to the settings, or empty when it is not known.
    :param configuration: the running configuration.
    """
    if latest is not None and _is_same_server(latest, event):
        # Settings and configurations change while a backend server runs.
        return ""
    fault = find_service_fault(event, expected_service)
    if fault or latest is None or not event.service:
        return fault
    if _rank(event, expected_service, configuration) < _rank(
        latest, expected_service, configuration
    ):
        return f"service {event.service!r} is not in the configuration"
    return ""


def outranks(
    event: BackendServerAnnounced,
    latest: BackendServerAnnounced | None,
    expected_service: str,
    configuration: Configuration,
) -> bool:
    """Tell whether an announcement is used whatever start time the one in use has claimed.

    :param latest: the announcement in use, or ``None``.
    :param expected_service: service according to the settings, or empty when it is not known.
    :param configuration: the running configuration.
    """
    if latest is None or not event.service or not latest.service:
        return False
    rank = _rank(event, expected_service, configuration)
    return rank > _rank(latest, expected_service, configuration)


def _is_same_server(latest: BackendServerAnnounced, event: BackendServerAnnounced) -> bool:
    mine = (latest.instance_id, latest.started_unix_ms, latest.service)
    return mine == (event.instance_id, event.started_unix_ms, event.service)


def _rank(
    announcement: BackendServerAnnounced, expected_service: str, configuration: Configuration
) -> bool:
    if expected_service:
        return announcement.service == expected_service
    return announcement.service in configuration.services
