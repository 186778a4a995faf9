"""Choice between the versions of a service during a roll-out."""

from __future__ import annotations

from bamboonotch_core.outcomes._state import OutcomeState, PendingRequest
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.rollouts import Traffic
from bamboonotch_core.routing import (
    CandidateSet,
    Owner,
    RoutingTable,
    ServiceOwners,
    draw_below,
    next_seed,
    select_candidates,
)

__all__ = ["update_version_candidates"]

DRAW_RANGE = 10_000


def update_version_candidates(
    state: OutcomeState, request: PendingRequest, traffic: Traffic, table: RoutingTable
) -> tuple[OutcomeState, CandidateSet | None]:
    """Choose the versions that a request may go to, and return the owners among them.

    The first attempt goes to the target version with the probability of its share. A later attempt
    goes to the other versions: the target version may have refused the first one because its
    allowance was used, or have failed.
    """
    source = table.services.get(request.service)
    if source is None:
        return state, None
    first_target, others_too = traffic.completed, not traffic.completed
    if others_too and traffic.share > 0.0 and not request.tried_owner_ids:
        seed = next_seed(state.seed)
        state = replace_fields(state, seed=seed)
        first_target = draw_below(seed, DRAW_RANGE) < traffic.share * DRAW_RANGE
    sides = [first_target]
    if others_too and (first_target or traffic.share > 0.0):
        sides.append(not first_target)
    for target in sides:
        state, candidates = _candidates_of(state, source, traffic, target)
        if candidates.owners:
            return state, candidates
    return state, None


def _candidates_of(
    state: OutcomeState, source: ServiceOwners, traffic: Traffic, target: bool
) -> tuple[OutcomeState, CandidateSet]:
    key = "\n".join((source.service, str(target), traffic.target_version, *traffic.barred))
    candidates = state.candidates.get(key)
    if candidates is not None and candidates.source.records is source.records:
        return state, candidates
    owners = tuple(owner for owner in source.owners if _is_on_side(owner, traffic, target))
    filtered = ServiceOwners(source.service, source.records, owners)
    candidates = select_candidates(state.settings, filtered)
    return replace_fields(state, candidates=state.candidates.set(key, candidates)), candidates


def _is_on_side(owner: Owner, traffic: Traffic, target: bool) -> bool:
    if target:
        return owner.software_version == traffic.target_version
    version = owner.software_version
    return version != traffic.target_version and version not in traffic.barred
