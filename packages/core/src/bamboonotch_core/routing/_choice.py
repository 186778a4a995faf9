"""Choice of an owner: the cheaper of two random candidates among those of the lowest cost."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate
from typing import NamedTuple

from bamboonotch_core.routing._candidates import CandidateSet, Distance
from bamboonotch_core.routing._costs import (
    UNKNOWN_WORK,
    WorkEstimate,
    crowding_cost_ms,
    expected_cost_ms,
)
from bamboonotch_core.routing._owner_view import OwnerView, decayed_load, view_of
from bamboonotch_core.routing._random import draw_below, next_seed
from bamboonotch_core.routing._table import Owner
from bamboonotch_core.settings import RequestSettings

__all__ = ["Eligibility", "OwnerChoice", "OwnerRating", "choose_owner", "rate_candidates"]

BUSY_UTILISATION = 1.0  # every slot is in use: another data centre of the region is as fast
# With as many requests queued as there are slots, waiting costs more than the distance to another
# region.
OVERLOADED_UTILISATION = 2.0

# Candidates within this much of the lowest cost count as equal; otherwise all nodes would send to
# the same owner at once.
COST_BAND_MS = 35.0


class Eligibility(Enum):
    """Whether a candidate may be chosen, and if not, why."""

    USABLE = "usable"
    EXCLUDED = "already-tried"
    EJECTED = "ejected"
    TRIAL_DUE = "trial-due"
    TRIAL_RUNNING = "trial-running"


class _PreferenceGroup:
    """Groups of candidates by distance and utilisation, most preferred first.

    Only explanations show the group; the choice compares expected costs.
    """

    NEAR = 0
    REGION = 1
    NEAR_BUSY = 2
    FAR = 3
    NEAR_OVERLOADED = 4
    FAR_OVERLOADED = 5


@dataclass(frozen=True)
class OwnerRating:
    """A candidate with what the choice compares.

    :param view: what this node knows of the candidate.
    :param eligibility: whether the candidate may be chosen.
    :param preference_group: a value of ``_PreferenceGroup``, for explanations only.
    :param cost_ms: expected cost of the request at the candidate, in milliseconds of its caller's
        time.
    """

    owner: Owner
    view: OwnerView
    eligibility: Eligibility
    preference_group: int
    cost_ms: float


class _Costed(NamedTuple):
    """A candidate with its expected cost, in milliseconds, and its :class:`Distance`."""

    cost_ms: float
    owner: Owner
    view: OwnerView
    distance: int


@dataclass(frozen=True)
class OwnerChoice:
    """Result of a choice.

    :param owner: the chosen owner, or ``None`` when no candidate may be chosen.
    :param seed: seed for the next random number.
    """

    owner: Owner | None
    seed: int


def _eligibility(
    view: OwnerView, idempotent: bool, settings: RequestSettings, now_ms: float
) -> Eligibility:
    if not view.ejected_until_ms:
        return Eligibility.USABLE
    if now_ms < view.ejected_until_ms:
        return Eligibility.EJECTED
    if view.trial_attempt_id:
        return Eligibility.TRIAL_RUNNING
    # A failed trial can leave the outcome of its request unknown, so idempotent requests are
    # preferred as trials. A service may have no idempotent requests; any request may be the trial
    # once the trial has been due for the length of a first ejection.
    if idempotent or now_ms >= view.ejected_until_ms + settings.ejection_ms:
        return Eligibility.TRIAL_DUE
    return Eligibility.EJECTED


def _preference_group(owner: Owner, view: OwnerView, distance: int, now_ms: float) -> int:
    """Return the :class:`_PreferenceGroup` that explanations show for a candidate."""
    slots = owner.slots
    utilisation = max(decayed_load(view, now_ms), float(view.in_flight)) / slots
    avoided = owner.suspect or now_ms < view.avoid_until_ms
    if distance == Distance.FAR:
        busy = avoided or utilisation >= BUSY_UTILISATION
        return _PreferenceGroup.FAR_OVERLOADED if busy else _PreferenceGroup.FAR
    if avoided or utilisation >= OVERLOADED_UTILISATION:
        return _PreferenceGroup.NEAR_OVERLOADED
    if utilisation >= BUSY_UTILISATION:
        return _PreferenceGroup.NEAR_BUSY
    return _PreferenceGroup.NEAR if distance <= Distance.DATA_CENTRE else _PreferenceGroup.REGION


def _readmitted(candidates: CandidateSet, views: Mapping[str, OwnerView]) -> frozenset[str]:
    """Return ids of ejected candidates to use anyway, so that at most half of all stay ejected.

    Those whose ejection ends first are used first.
    """
    ejected = [
        view for owner in candidates.owners if (view := view_of(views, owner)).ejected_until_ms
    ]
    excess = len(ejected) - len(candidates.owners) // 2
    if excess <= 0:
        return frozenset()
    ejected.sort(key=lambda view: (view.ejected_until_ms, view.node_id))
    return frozenset(view.node_id for view in ejected[:excess])


def rate_candidates(
    candidates: CandidateSet,
    views: Mapping[str, OwnerView],
    settings: RequestSettings,
    now_ms: float,
    excluded: Collection[str] = (),
    idempotent: bool = True,
    work: WorkEstimate = UNKNOWN_WORK,
) -> list[OwnerRating]:
    """Rate every candidate for a request.

    :param views: what this node knows of owners, by node id.
    :param settings: section ``[requests]``.
    :param now_ms: monotonic clock, in milliseconds.
    :param excluded: ids of owners that must not be chosen.
    :param idempotent: whether the request may run more than once.
    :param work: expected service time and response size of the request.
    :returns: the ratings in the order of the candidates.
    """
    readmitted = _readmitted(candidates, views)
    ratings = []
    for owner, distance in zip(candidates.owners, candidates.distances, strict=True):
        view = view_of(views, owner)
        eligibility = _eligibility(view, idempotent, settings, now_ms)
        if owner.node_id in excluded:
            eligibility = Eligibility.EXCLUDED
        elif eligibility is Eligibility.EJECTED and owner.node_id in readmitted:
            eligibility = Eligibility.USABLE
        preference_group = _preference_group(owner, view, distance, now_ms)
        cost_ms = expected_cost_ms(owner, view, distance, work, now_ms)
        ratings.append(OwnerRating(owner, view, eligibility, preference_group, cost_ms))
    return ratings


def _choose_of_two(costs: list[_Costed], work: WorkEstimate, now_ms: float, seed: int) -> Owner:
    """Draw two different candidates and choose the one with the lower cost.

    Candidates are drawn in proportion to their slots. Otherwise small backend servers would get as
    many requests as large ones until they are full.

    :param seed: the first of the two seeds to draw with.
    """
    if len(costs) == 1:
        return costs[0].owner
    # Upper ends of the candidates' slots, laid side by side.
    ends = list(accumulate(max(1, item.owner.slots) for item in costs))
    first = bisect_right(ends, draw_below(seed, ends[-1]))
    start, width = (ends[first - 1] if first else 0), max(1, costs[first].owner.slots)
    position = draw_below(next_seed(seed), ends[-1] - width)
    second = bisect_right(ends, position if position < start else position + width)
    one, other = costs[first], costs[second]
    difference_ms = one.cost_ms - other.cost_ms
    if Distance.FAR not in (one.distance, other.distance) or one.distance == other.distance:
        # Work goes to another region only when its own is busy.
        difference_ms += crowding_cost_ms(one.owner, one.view, work, now_ms)
        difference_ms -= crowding_cost_ms(other.owner, other.view, work, now_ms)
    return one.owner if difference_ms <= 0.0 else other.owner


def _within_cost_band(costs: list[_Costed]) -> list[_Costed]:
    """Return the candidates whose cost is at most ``COST_BAND_MS`` above the lowest."""
    limit_ms = min(item.cost_ms for item in costs) + COST_BAND_MS
    return [item for item in costs if item.cost_ms <= limit_ms]


def _choose_costed(
    costs: list[_Costed], work: WorkEstimate, now_ms: float, seed: int
) -> OwnerChoice:
    if not costs:
        return OwnerChoice(None, seed)
    cheapest = _within_cost_band(costs)
    if len(cheapest) == 1:
        return OwnerChoice(cheapest[0].owner, seed)
    seed = next_seed(seed)
    return OwnerChoice(_choose_of_two(cheapest, work, now_ms, seed), next_seed(seed))


def _choose_rated(
    ratings: list[OwnerRating],
    distances: tuple[int, ...],
    work: WorkEstimate,
    now_ms: float,
    seed: int,
) -> OwnerChoice:
    """Choose among rated candidates; one whose trial is due is chosen before all others."""
    costs: list[_Costed] = []
    for item, distance in zip(ratings, distances, strict=True):
        if item.eligibility is Eligibility.TRIAL_DUE:
            return OwnerChoice(item.owner, seed)
        if item.eligibility is Eligibility.USABLE:
            costs.append(_Costed(item.cost_ms, item.owner, item.view, distance))
    return _choose_costed(costs, work, now_ms, seed)


def choose_owner(
    candidates: CandidateSet,
    views: Mapping[str, OwnerView],
    settings: RequestSettings,
    now_ms: float,
    seed: int,
    excluded: Collection[str] = (),
    idempotent: bool = True,
    work: WorkEstimate = UNKNOWN_WORK,
) -> OwnerChoice:
    """Choose the owner that a request is sent to.

    :param views: what this node knows of owners, by node id.
    :param settings: section ``[requests]``.
    :param now_ms: monotonic clock, in milliseconds.
    :param seed: seed of the random numbers, 64-bit unsigned.
    :param excluded: ids of owners that must not be chosen.
    :param idempotent: whether the request may run more than once.
    :param work: expected service time and response size of the request.
    :returns: the chosen owner and the next seed.
    """
    costs: list[_Costed] = []
    for owner, distance in zip(candidates.owners, candidates.distances, strict=True):
        node_id = owner.node_id
        if node_id in excluded:
            continue
        view = views.get(node_id)
        if view is None or view.incarnation != owner.incarnation:
            view = OwnerView(node_id, owner.incarnation)
        elif view.ejected_until_ms:
            ratings = rate_candidates(
                candidates, views, settings, now_ms, excluded, idempotent, work
            )
            return _choose_rated(ratings, candidates.distances, work, now_ms, seed)
        cost_ms = expected_cost_ms(owner, view, distance, work, now_ms)
        costs.append(_Costed(cost_ms, owner, view, distance))
    return _choose_costed(costs, work, now_ms, seed)
