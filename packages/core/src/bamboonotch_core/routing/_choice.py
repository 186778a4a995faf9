"""Choice of an owner by the power of two choices among the best group of candidates."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from bamboonotch_core.routing._candidates import CandidateSet, Distance
from bamboonotch_core.routing._owner_view import OwnerView, fresh_load, view_of
from bamboonotch_core.routing._random import draw_below, next_seed
from bamboonotch_core.routing._table import Owner
from bamboonotch_core.settings import RequestSettings

__all__ = ["OwnerChoice", "OwnerRating", "Standing", "choose_owner", "rate_candidates"]

BUSY_UTILISATION = 1.0  # every slot taken: another data centre of the region is as quick
OVERLOADED_UTILISATION = 2.0  # a queue as long as the slots costs more than a region's distance

FAILURE_MEMORY_MS = 1000.0  # without an end, a failed owner would lose every comparison


class Standing(Enum):
    """Whether a candidate may be chosen."""

    USABLE = "usable"
    EXCLUDED = "already-tried"
    EJECTED = "ejected"
    TRIAL_DUE = "trial-due"
    TRIAL_RUNNING = "trial-running"


class _Rank:
    """Groups of candidates, best first."""

    NEAR = 0
    REGION = 1
    NEAR_BUSY = 2
    FAR = 3
    NEAR_OVERLOADED = 4
    FAR_OVERLOADED = 5


@dataclass(frozen=True)
class OwnerRating:
    """One candidate as the choice sees it.

    :param owner: the candidate.
    :param view: what this node knows of it.
    :param standing: whether it may be chosen.
    :param rank: its group; the lowest group with a usable candidate is used.
    :param cost: load, own work and failures; the lower of two random candidates is chosen.
    """

    owner: Owner
    view: OwnerView
    standing: Standing
    rank: int
    cost: float


@dataclass(frozen=True)
class OwnerChoice:
    """The chosen owner.

    :param owner: the owner, or ``None`` when no candidate is usable.
    :param seed: the next seed.
    """

    owner: Owner | None
    seed: int


def _standing(
    view: OwnerView, idempotent: bool, settings: RequestSettings, now_ms: float
) -> Standing:
    if not view.ejected_until_ms:
        return Standing.USABLE
    if now_ms < view.ejected_until_ms:
        return Standing.EJECTED
    if view.trial_attempt_id:
        return Standing.TRIAL_RUNNING
    # A failed trial may leave an outcome unknown, so idempotent requests go first. A service
    # without any is tried with what it has after the length of a first ejection.
    if idempotent or now_ms >= view.ejected_until_ms + settings.ejection_ms:
        return Standing.TRIAL_DUE
    return Standing.EJECTED


def _rate(owner: Owner, view: OwnerView, distance: int, now_ms: float) -> tuple[int, float]:
    """Return the group of a candidate and the cost that is compared within the group."""
    load = fresh_load(view, now_ms) if view.load else 0.0
    in_flight = view.in_flight
    slots = owner.slots
    cost = (load + in_flight) / slots
    if view.failures and now_ms - view.failed_ms < FAILURE_MEMORY_MS:
        cost += view.failures
    utilisation = (load if load > in_flight else in_flight) / slots
    avoided = owner.suspect or now_ms < view.avoid_until_ms
    if distance == Distance.FAR:
        busy = avoided or utilisation >= BUSY_UTILISATION
        return (_Rank.FAR_OVERLOADED if busy else _Rank.FAR), cost
    if avoided or utilisation >= OVERLOADED_UTILISATION:
        return _Rank.NEAR_OVERLOADED, cost
    if utilisation >= BUSY_UTILISATION:
        return _Rank.NEAR_BUSY, cost
    return (_Rank.NEAR if distance == Distance.DATA_CENTRE else _Rank.REGION), cost


def _readmitted(candidates: CandidateSet, views: Mapping[str, OwnerView]) -> frozenset[str]:
    """Name the ejected candidates to use anyway, so that at most half of all stay ejected."""
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
) -> list[OwnerRating]:
    """Rate every candidate for a request.

    :param candidates: the candidates.
    :param views: views by node id.
    :param settings: section ``[requests]``.
    :param now_ms: monotonic clock, in milliseconds.
    :param excluded: owners that were already tried for the request.
    :param idempotent: whether the request may run more than once.
    """
    readmitted = _readmitted(candidates, views)
    ratings = []
    for owner, distance in zip(candidates.owners, candidates.distances, strict=True):
        view = view_of(views, owner)
        standing = _standing(view, idempotent, settings, now_ms)
        if owner.node_id in excluded:
            standing = Standing.EXCLUDED
        elif standing is Standing.EJECTED and owner.node_id in readmitted:
            standing = Standing.USABLE
        rank, cost = _rate(owner, view, distance, now_ms)
        ratings.append(OwnerRating(owner, view, standing, rank, cost))
    return ratings


def _draw(group: list[tuple[float, Owner]], seed: int) -> OwnerChoice:
    """Draw two different members of a group and return the one with the lower cost."""
    if len(group) == 1:
        return OwnerChoice(group[0][1], seed)
    seed = next_seed(seed)
    first = draw_below(seed, len(group))
    seed = next_seed(seed)
    second = (first + 1 + draw_below(seed, len(group) - 1)) % len(group)
    chosen = first if group[first][0] <= group[second][0] else second
    return OwnerChoice(group[chosen][1], seed)


def _choose_rated(ratings: list[OwnerRating], seed: int) -> OwnerChoice:
    """Choose among rated candidates; a trial that is due goes before the draw."""
    usable = [item for item in ratings if item.standing in (Standing.USABLE, Standing.TRIAL_DUE)]
    best = min((item.rank for item in usable), default=0)
    group = [item for item in usable if item.rank == best]
    if not group:
        return OwnerChoice(None, seed)
    for item in group:
        if item.standing is Standing.TRIAL_DUE:
            return OwnerChoice(item.owner, seed)
    return _draw([(item.cost, item.owner) for item in group], seed)


def choose_owner(
    candidates: CandidateSet,
    views: Mapping[str, OwnerView],
    settings: RequestSettings,
    now_ms: float,
    seed: int,
    excluded: Collection[str] = (),
    idempotent: bool = True,
) -> OwnerChoice:
    """Choose the owner of a request.

    :param candidates: the candidates.
    :param views: views by node id.
    :param settings: section ``[requests]``.
    :param now_ms: monotonic clock, in milliseconds.
    :param seed: seed for random numbers.
    :param excluded: owners that were already tried for the request.
    :param idempotent: whether the request may run more than once.
    """
    group: list[tuple[float, Owner]] = []
    best = _Rank.FAR_OVERLOADED + 1
    for owner, distance in zip(candidates.owners, candidates.distances, strict=True):
        node_id = owner.node_id
        if node_id in excluded:
            continue
        view = views.get(node_id)
        if view is None or view.incarnation != owner.incarnation:
            view = OwnerView(node_id, owner.incarnation)
        elif view.ejected_until_ms:
            ratings = rate_candidates(candidates, views, settings, now_ms, excluded, idempotent)
            return _choose_rated(ratings, seed)
        rank, cost = _rate(owner, view, distance, now_ms)
        if rank < best:
            best = rank
            group = [(cost, owner)]
        elif rank == best:
            group.append((cost, owner))
    return _draw(group, seed) if group else OwnerChoice(None, seed)
