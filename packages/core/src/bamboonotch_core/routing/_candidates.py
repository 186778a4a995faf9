"""The subset of a service's owners that one node sends to.

Every node ranks the owners by a hash of its own id and the owner's id, so each node has another
subset and the subsets cover the owners evenly. Part of the subset is kept for farther owners, so
that work can leave an overloaded data centre.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from bamboonotch_core.routing._table import Owner, ServiceOwners
from bamboonotch_core.settings import NodeSettings

__all__ = ["CandidateSet", "Distance", "distance_of", "select_candidates"]

HASH_BYTES = 8
REGION_RESERVE_DIVISOR = 4  # a quarter of the subset is kept for other data centres of the region
FAR_RESERVE_DIVISOR = 6  # a sixth of the subset is kept for other regions


class Distance:
    """How far an owner is, nearest first."""

    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


@dataclass(frozen=True)
class CandidateSet:
    """The owners of a service that this node uses.

    :param source: the owners that the subset was taken from.
    :param owners: the subset, nearest first.
    :param distances: the distance of each owner of the subset.
    """

    source: ServiceOwners
    owners: tuple[Owner, ...]
    distances: tuple[int, ...]


def distance_of(settings: NodeSettings, owner: Owner) -> int:
    """Return the :class:`Distance` of an owner from this node.

    :param settings: this node's settings.
    :param owner: the owner.
    """
    if owner.region != settings.identity.region:
        return Distance.FAR
    if owner.data_centre != settings.identity.data_centre:
        return Distance.REGION
    return Distance.DATA_CENTRE


def _rank(node_id: str, owner: Owner) -> tuple[bytes, str]:
    text = f"{node_id}\n{owner.node_id}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), owner.node_id


def _quotas(sizes: tuple[int, int, int], limit: int) -> tuple[int, int, int]:
    """Share the subset between the three distances; room that one cannot use goes to the others."""
    far = min(sizes[Distance.FAR], limit // FAR_RESERVE_DIVISOR)
    region = min(sizes[Distance.REGION], limit // REGION_RESERVE_DIVISOR)
    near = min(sizes[Distance.DATA_CENTRE], limit - far - region)
    region = min(sizes[Distance.REGION], limit - near - far)
    far = min(sizes[Distance.FAR], limit - near - region)
    return near, region, far


def select_candidates(settings: NodeSettings, source: ServiceOwners) -> CandidateSet:
    """Select the subset of owners that this node uses for a service.

    :param settings: this node's settings.
    :param source: all owners of the service.
    """
    groups: tuple[list[Owner], list[Owner], list[Owner]] = ([], [], [])
    for owner in source.owners:
        groups[distance_of(settings, owner)].append(owner)
    sizes = (len(groups[0]), len(groups[1]), len(groups[2]))
    limit = settings.requests.owners_per_service
    node_id = settings.identity.node_id
    owners: list[Owner] = []
    distances: list[int] = []
    for distance, quota in enumerate(_quotas(sizes, limit)):
        ranked = sorted(groups[distance], key=lambda owner: _rank(node_id, owner))[:quota]
        owners.extend(ranked)
        distances.extend([distance] * len(ranked))
    return CandidateSet(source, tuple(owners), tuple(distances))
