"""What this node knows of an owner from its own requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bamboonotch_core.configuration import Rank
from bamboonotch_core.routing._candidates import CandidateSet
from bamboonotch_core.routing._replace import replace_fields
from bamboonotch_core.routing._table import Owner
from bamboonotch_core.settings import RequestSettings

__all__ = [
    "OwnerView",
    "Verdict",
    "ViewChange",
    "count_ejected",
    "fresh_slowness",
    "has_no_room",
    "record_end",
    "record_forward",
    "record_load",
    "record_no_room",
    "record_refusal",
    "record_service_time",
    "view_of",
]

LOAD_MEMORY_MS = (
    1000.0  # a reported load fades out, or an owner once busy would never be used again
)
SLOWNESS_MEMORY_MS = 10_000.0  # a slow owner gets a request again within that time
SLOWNESS_SMOOTHING = 0.15
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
MAX_EJECTION_DOUBLINGS = 8
EJECTION_MEMORY_MS = 60_000.0  # an owner this long without ejection starts at the first length


class Verdict:
    """What the end of an attempt says of the owner."""

    NONE = 0
    ALIVE = 1
    FAILED = 2


@dataclass(frozen=True)
class OwnerView:
    """An owner as this node sees it.

    :param node_id: the owner.
    :param incarnation: the incarnation that the view is of.
    :param in_flight: attempts of this node at the owner.
    :param load: work in slots and queue, as last reported.
    :param load_ms: when it was reported.
    :param failures: consecutive failures.
    :param failed_ms: when the last of them happened.
    :param ejections: ejections in a row, for the length of the next one.
    :param ejected_until_ms: end of the ejection; 0 when not ejected.
    :param trial_attempt_id: the trial under way after an ejection, or empty.
    :param recovered_ms: when the last ejection ended with a good trial.
    :param avoid_until_ms: until when other owners are preferred after a refusal.
    :param busy_until_ms: until when it counts as having no room for work of a rank.
    :param busy_rank: lowest rank that it refused for lack of room.
    :param slowness: its service times over those of all owners, smoothed.
    :param slowness_ms: when that was last measured.
    """

    node_id: str
    incarnation: int
    in_flight: int = 0
    load: int = 0
    load_ms: float = 0.0
    failures: int = 0
    failed_ms: float = 0.0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    trial_attempt_id: str = ""
    recovered_ms: float = 0.0
    avoid_until_ms: float = 0.0
    busy_until_ms: float = 0.0
    busy_rank: Rank = (0, 0, 0)
    slowness: float = 1.0
    slowness_ms: float = 0.0


@dataclass(frozen=True)
class ViewChange:
    """A new view and what is worth reporting.

    :param view: the view.
    :param report: ``owner-ejected``, ``owner-recovered`` or empty.
    """

    view: OwnerView
    report: str = ""


def view_of(views: Mapping[str, OwnerView], owner: Owner) -> OwnerView:
    """Return the view of an owner; a restarted owner starts afresh.

    :param views: views by node id.
    :param owner: the owner.
    """
    view = views.get(owner.node_id)
    if view is None or view.incarnation != owner.incarnation:
        return OwnerView(owner.node_id, owner.incarnation)
    return view


def fresh_load(view: OwnerView, now_ms: float) -> float:
    """Return the reported load, faded by its age.

    :param view: the view.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not view.load:
        return 0.0
    age_ms = now_ms - view.load_ms
    return view.load * (1.0 - age_ms / LOAD_MEMORY_MS) if age_ms < LOAD_MEMORY_MS else 0.0


def fresh_slowness(view: OwnerView, now_ms: float) -> float:
    """Return the slowness, which fades to that of an average owner with its age.

    :param view: the view.
    :param now_ms: monotonic clock, in milliseconds.
    """
    age_ms = now_ms - view.slowness_ms
    if age_ms >= SLOWNESS_MEMORY_MS:
        return 1.0
    return 1.0 + (view.slowness - 1.0) * (1.0 - age_ms / SLOWNESS_MEMORY_MS)


def record_service_time(view: OwnerView, ratio: float, now_ms: float) -> OwnerView:
    """Record the service time of one answer.

    :param view: the view.
    :param ratio: the service time over the mean of its class and service.
    :param now_ms: monotonic clock, in milliseconds.
    """
    ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
    before = fresh_slowness(view, now_ms)
    slowness = before + SLOWNESS_SMOOTHING * (ratio - before)
    return replace_fields(view, slowness=slowness, slowness_ms=now_ms)


def count_ejected(candidates: CandidateSet, views: Mapping[str, OwnerView]) -> int:
    """Count the candidates that are ejected or on trial.

    :param candidates: the candidates.
    :param views: views by node id.
    """
    return sum(1 for owner in candidates.owners if view_of(views, owner).ejected_until_ms)


def record_forward(view: OwnerView, attempt_id: str) -> OwnerView:
    """Record that an attempt was sent.

    :param view: the view.
    :param attempt_id: the attempt; the trial when the owner is ejected.
    """
    if view.ejected_until_ms and not view.trial_attempt_id:
        return replace_fields(view, in_flight=view.in_flight + 1, trial_attempt_id=attempt_id)
    return replace_fields(view, in_flight=view.in_flight + 1)


def record_load(view: OwnerView, load: int, now_ms: float) -> OwnerView:
    """Record a reported load.

    :param view: the view.
    :param load: work in slots and queue.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return replace_fields(view, load=load, load_ms=now_ms)


def record_refusal(view: OwnerView, avoid_ms: float, now_ms: float) -> OwnerView:
    """Record that the owner refused work for lack of room.

    :param view: the view.
    :param avoid_ms: how long other owners are preferred, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return replace_fields(view, avoid_until_ms=max(view.avoid_until_ms, now_ms + avoid_ms))


def record_no_room(view: OwnerView, rank: Rank, busy_ms: float, now_ms: float) -> OwnerView:
    """Record that the owner had no room for work of a rank.

    :param view: the view.
    :param rank: rank of the work.
    :param busy_ms: how long that holds, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if now_ms < view.busy_until_ms:
        rank = min(rank, view.busy_rank)
    return replace_fields(view, busy_until_ms=now_ms + busy_ms, busy_rank=rank)


def has_no_room(view: OwnerView, rank: Rank, now_ms: float) -> bool:
    """Tell whether the owner lately refused work that is served before this for lack of room.

    :param view: the view.
    :param rank: rank of the work.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return now_ms < view.busy_until_ms and rank >= view.busy_rank


def _eject(view: OwnerView, settings: RequestSettings, now_ms: float) -> ViewChange:
    recent = now_ms - view.recovered_ms < EJECTION_MEMORY_MS or view.ejected_until_ms
    ejections = view.ejections if recent else 0
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
        view, failures=0, ejected_until_ms=0.0, trial_attempt_id="", recovered_ms=now_ms
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
    """Record that an attempt ended.

    :param view: the view.
    :param attempt_id: the attempt.
    :param verdict: what its end says of the owner.
    :param may_eject: whether the floor of usable candidates allows one more ejection.
    :param settings: section ``[requests]``.
    :param now_ms: monotonic clock, in milliseconds.
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
    view = replace_fields(view, failures=view.failures + 1, failed_ms=now_ms)
    if may_eject and view.failures >= settings.ejection_failures:
        return _eject(view, settings, now_ms)
    return ViewChange(view)
