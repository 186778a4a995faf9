"""What this node knows of an owner from its own requests."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from bamboonotch_core.configuration import Rank
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.routing._candidates import CandidateSet
from bamboonotch_core.routing._table import Owner
from bamboonotch_core.settings import RequestSettings
from bamboonotch_core.slowdown import slowdown_trend

__all__ = [
    "OwnerView",
    "Verdict",
    "ViewChange",
    "count_ejected",
    "decayed_service_time_ratio",
    "decayed_slowdown_trend",
    "has_no_room",
    "record_end",
    "record_forward",
    "record_load",
    "record_no_room",
    "record_refusal",
    "record_service_time",
    "record_slowdown",
    "record_uplink",
    "remaining_uplink_ms",
    "view_of",
]

# A reported load decays to 0 within this time; otherwise an owner that was busy once would never
# be used again.
LOAD_DECAY_MS = 1000.0
# The ratio of a slow owner decays to 1 within this time, so that it is chosen and measured again.
SERVICE_TIME_RATIO_DECAY_MS = 10_000.0
SERVICE_TIME_RATIO_SMOOTHING_FACTOR = 0.15
MIN_SERVICE_TIME_RATIO = 0.25
MAX_SERVICE_TIME_RATIO = 8.0
# The trend of a stated slowdown decays to 1 within this time, like a reported load: it shows what
# the backend server is going through now.
SLOWDOWN_DECAY_MS = 1000.0
MAX_EJECTION_DOUBLINGS = 8
# An owner that is ejected later than this after its recovery is ejected for ``ejection_ms`` only.
EJECTION_COUNT_RESET_MS = 60_000.0


class Verdict:
    """What the end of an attempt shows about the owner: nothing, that it works, or a failure."""

    NONE = 0
    ALIVE = 1
    FAILED = 2


@dataclass(frozen=True)
class OwnerView:
    """An owner as this node sees it.

    All times are on this node's monotonic clock, in milliseconds.

    :param incarnation: incarnation of the owner's process that the view describes.
    :param in_flight: attempts that this node sent to the owner and that have not ended.
    :param load: requests in slots and in the queue, as the owner last reported.
    :param load_reported_ms: time of that report.
    :param uplink_free_ms: when the bodies that waited at the owner at its last response will have
        left its link.
    :param failures: consecutive failed attempts.
    :param last_failure_ms: time of the last of them.
    :param ejections: consecutive ejections; each doubles the length of the next.
    :param ejected_until_ms: end of the ejection, after which a trial is due; 0 when not ejected.
    :param trial_attempt_id: the attempt in progress that is the trial, or empty.
    :param last_recovery_ms: time when a successful trial last ended an ejection.
    :param avoid_until_ms: end of the time after a refusal in which other owners are preferred.
    :param no_room_until_ms: end of the time for which a refusal for lack of room holds.
    :param no_room_rank: lowest rank of the work that the owner refused for lack of room.
    :param no_room_workspace: workspace of that work, or empty.
    :param service_time_ratio: service times of the owner divided by those of all owners, smoothed.
    :param service_time_ratio_updated_ms: time of the last measurement of that ratio.
    :param slowdown: how long work takes at the owner's backend server, where 1 is usual, as the
        owner last stated it.
    :param past_slowdown: the same, smoothed as the service time ratio is.
    :param slowdown_stated_ms: time of that statement.
    """

    node_id: str
    incarnation: int
    in_flight: int = 0
    load: int = 0
    load_reported_ms: float = 0.0
    uplink_free_ms: float = 0.0
    failures: int = 0
    last_failure_ms: float = 0.0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    trial_attempt_id: str = ""
    last_recovery_ms: float = 0.0
    avoid_until_ms: float = 0.0
    no_room_until_ms: float = 0.0
    no_room_rank: Rank = (0, 0, 0, 0)
    no_room_workspace: str = ""
    service_time_ratio: float = 1.0
    service_time_ratio_updated_ms: float = 0.0
    slowdown: float = 1.0
    past_slowdown: float = 1.0
    slowdown_stated_ms: float = -math.inf


@dataclass(frozen=True)
class ViewChange:
    """A changed view, and the event to report for the change.

    :param report: ``owner-ejected``, ``owner-recovered``, or empty for no event.
    """

    view: OwnerView
    report: str = ""


def view_of(views: Mapping[str, OwnerView], owner: Owner) -> OwnerView:
    """Return the view of an owner, or an initial view when its process is not known yet.

    A view of an earlier incarnation is not used, so nothing that the owner's previous process did
    counts against the present one.

    :param views: what this node knows of owners, by node id.
    """
    view = views.get(owner.node_id)
    if view is None or view.incarnation != owner.incarnation:
        return OwnerView(owner.node_id, owner.incarnation)
    return view


def decayed_load(view: OwnerView, now_ms: float) -> float:
    """Return the reported load, reduced in proportion to its age.

    :param now_ms: monotonic clock, in milliseconds.
    """
    if not view.load:
        return 0.0
    age_ms = now_ms - view.load_reported_ms
    return view.load * (1.0 - age_ms / LOAD_DECAY_MS) if age_ms < LOAD_DECAY_MS else 0.0


def decayed_service_time_ratio(view: OwnerView, now_ms: float) -> float:
    """Return the service time ratio, moved towards 1 (an average owner) in proportion to its age.

    :param now_ms: monotonic clock, in milliseconds.
    """
    age_ms = now_ms - view.service_time_ratio_updated_ms
    if age_ms >= SERVICE_TIME_RATIO_DECAY_MS:
        return 1.0
    return 1.0 + (view.service_time_ratio - 1.0) * (1.0 - age_ms / SERVICE_TIME_RATIO_DECAY_MS)


def record_service_time(view: OwnerView, ratio: float, now_ms: float) -> OwnerView:
    """Record the service time of one response.

    :param ratio: the service time divided by the mean of the request's class and service.
    :param now_ms: monotonic clock, in milliseconds.
    """
    ratio = min(MAX_SERVICE_TIME_RATIO, max(MIN_SERVICE_TIME_RATIO, ratio))
    before = decayed_service_time_ratio(view, now_ms)
    service_time_ratio = before + SERVICE_TIME_RATIO_SMOOTHING_FACTOR * (ratio - before)
    return replace_fields(
        view, service_time_ratio=service_time_ratio, service_time_ratio_updated_ms=now_ms
    )


def record_slowdown(view: OwnerView, slowdown: float, now_ms: float) -> OwnerView:
    """Record how long work takes at the owner's backend server.

    :param slowdown: that time, where 1 is usual.
    :param now_ms: monotonic clock, in milliseconds.
    """
    before = view.past_slowdown if view.slowdown_stated_ms > -math.inf else slowdown
    past_slowdown = before + SERVICE_TIME_RATIO_SMOOTHING_FACTOR * (slowdown - before)
    return replace_fields(
        view, slowdown=slowdown, past_slowdown=past_slowdown, slowdown_stated_ms=now_ms
    )


def decayed_slowdown_trend(view: OwnerView, now_ms: float) -> float:
    """Return how long work takes now, relative to when the service time ratio was measured.

    The ratio already contains the slowdown of the past; only its change is news. The trend moves
    towards 1 in proportion to its age.

    :param now_ms: monotonic clock, in milliseconds.
    """
    age_ms = now_ms - view.slowdown_stated_ms
    if age_ms >= SLOWDOWN_DECAY_MS:
        return 1.0
    trend = slowdown_trend(view.slowdown, view.past_slowdown)
    return 1.0 + (trend - 1.0) * (1.0 - age_ms / SLOWDOWN_DECAY_MS)


def count_ejected(candidates: CandidateSet, views: Mapping[str, OwnerView]) -> int:
    """Return the number of candidates that are ejected, including those with a trial in progress.

    :param views: what this node knows of owners, by node id.
    """
    return sum(1 for owner in candidates.owners if view_of(views, owner).ejected_until_ms)


def record_forward(view: OwnerView, attempt_id: str) -> OwnerView:
    """Record that an attempt was sent to the owner.

    :param attempt_id: id of the attempt, which becomes the trial if the owner is ejected and has
        no trial in progress.
    """
    if view.ejected_until_ms and not view.trial_attempt_id:
        return replace_fields(view, in_flight=view.in_flight + 1, trial_attempt_id=attempt_id)
    return replace_fields(view, in_flight=view.in_flight + 1)


def record_load(view: OwnerView, load: int, now_ms: float) -> OwnerView:
    """Record the load that the owner reported.

    :param load: requests in its slots and its queue.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return replace_fields(view, load=load, load_reported_ms=now_ms)


def record_uplink(view: OwnerView, uplink_ms: float, now_ms: float) -> OwnerView:
    """Record how long the owner's link is occupied by bodies that wait there.

    :param uplink_ms: that time from now on, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not uplink_ms and view.uplink_free_ms <= now_ms:
        return view
    return replace_fields(view, uplink_free_ms=now_ms + uplink_ms)


def remaining_uplink_ms(view: OwnerView, now_ms: float) -> float:
    """Return how long the owner's link is still occupied by bodies, in milliseconds.

    :param now_ms: monotonic clock, in milliseconds.
    """
    return max(0.0, view.uplink_free_ms - now_ms)


def record_refusal(view: OwnerView, avoid_ms: float, now_ms: float) -> OwnerView:
    """Record that the owner refused a request, so that other owners are preferred for a while.

    :param avoid_ms: how long other owners are preferred, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return replace_fields(view, avoid_until_ms=max(view.avoid_until_ms, now_ms + avoid_ms))


def record_no_room(
    view: OwnerView, rank: Rank, workspace: str, no_room_ms: float, now_ms: float
) -> OwnerView:
    """Record that the owner refused a request for lack of room in its queue or slots.

    :param rank: place of the refused request in the order of service.
    :param workspace: name of its caller's workspace, or empty.
    :param no_room_ms: how long the owner counts as having no room, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if now_ms < view.no_room_until_ms and workspace == view.no_room_workspace:
        rank = min(rank, view.no_room_rank)
    return replace_fields(
        view,
        no_room_until_ms=now_ms + no_room_ms,
        no_room_rank=rank,
        no_room_workspace=workspace,
    )


def has_no_room(view: OwnerView, rank: Rank, workspace: str, now_ms: float) -> bool:
    """Return whether the owner lately had no room for work of this rank or a lower one.

    An owner that refuses one workspace for its own backlog may have room for another.

    :param rank: place of a request in the order of service; lower ranks are served first.
    :param workspace: name of its caller's workspace, or empty.
    :param now_ms: monotonic clock, in milliseconds.
    """
    refused = now_ms < view.no_room_until_ms and rank >= view.no_room_rank
    return refused and workspace == view.no_room_workspace


def _eject(view: OwnerView, settings: RequestSettings, now_ms: float) -> ViewChange:
    is_repeated = now_ms - view.last_recovery_ms < EJECTION_COUNT_RESET_MS or view.ejected_until_ms
    ejections = view.ejections if is_repeated else 0
    length_ms = settings.ejection_ms * 2 ** min(ejections, MAX_EJECTION_DOUBLINGS)
    ejected = replace_fields(
        view,
        failures=0,
        ejections=ejections + 1,
        ejected_until_ms=now_ms + length_ms,
        trial_attempt_id="",
    )
    return ViewChange(ejected, "owner-ejected")


def _end_trial(
    view: OwnerView, verdict: int, settings: RequestSettings, now_ms: float
) -> ViewChange:
    if verdict == Verdict.FAILED:
        return _eject(view, settings, now_ms)
    if verdict == Verdict.NONE:
        return ViewChange(replace_fields(view, trial_attempt_id=""))
    recovered = replace_fields(
        view, failures=0, ejected_until_ms=0.0, trial_attempt_id="", last_recovery_ms=now_ms
    )
    return ViewChange(recovered, "owner-recovered")


def record_end(
    view: OwnerView,
    attempt_id: str,
    verdict: int,
    may_eject: bool,
    settings: RequestSettings,
    now_ms: float,
) -> ViewChange:
    """Record that an attempt ended, which may eject the owner or end its ejection.

    :param verdict: a value of :class:`Verdict`.
    :param may_eject: whether enough candidates would stay usable after one more ejection.
    :param settings: section ``[requests]``.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the changed view and the event to report.
    """
    view = replace_fields(view, in_flight=max(0, view.in_flight - 1))
    if view.ejected_until_ms:
        if view.trial_attempt_id == attempt_id:
            return _end_trial(view, verdict, settings, now_ms)
        return ViewChange(view)
    if verdict == Verdict.ALIVE:
        return ViewChange(replace_fields(view, failures=0) if view.failures else view)
    if verdict == Verdict.NONE:
        return ViewChange(view)
    view = replace_fields(view, failures=view.failures + 1, last_failure_ms=now_ms)
    if may_eject and view.failures >= settings.ejection_failures:
        return _eject(view, settings, now_ms)
    return ViewChange(view)
