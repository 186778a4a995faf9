"""The decision on the key of a request, made once, when the request arrives.

A request that is handled at time t was sent at or before t. If the running version was the newest
as of t - a, a key that it contains was removed later than that, so the request was sent less than a
after the removal. A bound on the age at arrival therefore bounds the use of a removed key, however
long the request waits or is repeated afterwards.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.configuration import Configuration, Route
from bamboonotch_core.settings import AccessSettings

__all__ = ["CLOCK_MARGIN_MS", "AccessGranted", "AccessReason", "AccessRefused", "decide_access"]

# Subtracted from each bound on the age. Clocks of VMs differ in rate by up to 500 ppm, which is
# 2.5 ms in 5 s. The rest covers ages that are rounded to milliseconds on each hop between nodes.
CLOCK_MARGIN_MS = 100.0

STATUS_UNKNOWN_KEY = 401
STATUS_UNCONFIRMED = 503


class AccessReason:
    """Reasons of refusals, as sent in ``Bamboonotch-Reason``."""

    UNKNOWN_KEY = "unknown-key"
    UNCONFIRMED = "access-unconfirmed"


@dataclass(frozen=True)
class AccessGranted:
    """A request that may run.

    :param workspace: name of the workspace of its key, or empty without one.
    :param priority: priority of the workspace; 0 without one.
    """

    workspace: str = ""
    priority: int = 0


@dataclass(frozen=True)
class AccessRefused:
    """A request that must not run.

    :param status: HTTP status of the answer.
    :param reason: a value of :class:`AccessReason`.
    """

    status: int
    reason: str


NO_WORKSPACE = AccessGranted()
UNKNOWN_KEY = AccessRefused(STATUS_UNKNOWN_KEY, AccessReason.UNKNOWN_KEY)
NOT_CONFIRMED = AccessRefused(STATUS_UNCONFIRMED, AccessReason.UNCONFIRMED)


def decide_access(
    configuration: Configuration,
    route: Route,
    key_digest: str,
    knowledge_age_ms: float,
    settings: AccessSettings,
    newer_exists: bool = False,
) -> AccessGranted | AccessRefused:
    """Decide for which workspace a request runs, or why it does not.

    :param configuration: the running configuration.
    :param route: the route of the request.
    :param key_digest: digest of the caller's key; empty without a valid one.
    :param knowledge_age_ms: how long ago the configuration was known to be the newest when the
        request was handed on, in milliseconds; infinity if it never was.
    :param settings: section ``[access]``.
    :param newer_exists: whether a newer version is known to exist.
    """
    if not configuration.workspaces:
        return NO_WORKSPACE
    name = configuration.workspace_by_key.get(key_digest) if key_digest else None
    if name is not None and _may_use_key(knowledge_age_ms, settings):
        return AccessGranted(name, configuration.workspaces[name].priority)
    if route.anonymous:
        return NO_WORKSPACE
    if name is None and not newer_exists and _is_fresh(knowledge_age_ms, settings):
        return UNKNOWN_KEY
    return NOT_CONFIRMED


def _may_use_key(knowledge_age_ms: float, settings: AccessSettings) -> bool:
    """Tell whether a known key is certain to have been valid recently enough."""
    if not settings.revocation_ms:
        return True
    return knowledge_age_ms < settings.revocation_ms - CLOCK_MARGIN_MS


def _is_fresh(knowledge_age_ms: float, settings: AccessSettings) -> bool:
    """Tell whether a key that the configuration lacks may be called unknown."""
    if not _may_use_key(knowledge_age_ms, settings):
        return False
    return knowledge_age_ms < settings.freshness_ms - CLOCK_MARGIN_MS
