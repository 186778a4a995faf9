"""The subset of a service's owners that one node sends to.

The subset is selected by rendezvous hashing: every node sorts the owners by a hash of its own id
and the owner's id. Nodes therefore have different subsets, which cover the owners evenly, and a
subset stays nearly the same when an owner joins or leaves. Part of the subset is reserved for
owners in other data centres and regions, so that work can leave an overloaded data centre.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from bamboonotch_core.routing._table import Owner, ServiceOwners
from bamboonotch_core.settings import NodeSettings

__all__ = ["CandidateSet", "Distance", "distance_of", "select_candidates", "subset_size"]

HASH_BYTES = 8
REGION_RESERVE_DIVISOR = 4  # reserves 1/4 of the subset for other data centres of the region
FAR_RESERVE_DIVISOR = 6  # reserves 1/6 of the subset for other regions
# At this rate a report of an owner's load or slowdown is seldom older than the time for which it
# counts.
REPORTS_PER_OWNER_PER_S = 2.0
# A node with few services uses more owners of each, as long as it needs no more streams than these.
# An idle stream takes some tens of kilobytes at both ends.
STREAM_BUDGET = 240
# The choice computes a cost for each owner of the subset; more than twice as many as needed for a
# choice cost more processor time than they even out.
MAX_SUBSET_FACTOR = 2


class Distance:
    """Distance classes of an owner, seen from this node, nearest first."""

    SAME_VM = -1
    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


@dataclass(frozen=True)
class CandidateSet:
    """The subset of a service's owners that this node sends to.

    :param source: all owners of the service.
    :param owners: the subset, nearest first.
    :param distances: the :class:`Distance` of each owner, in the order of ``owners``.
    :param max_owners: largest size that the subset could have had.
    """

    source: ServiceOwners
    owners: tuple[Owner, ...]
    distances: tuple[int, ...]
    max_owners: int = 0


def distance_of(settings: NodeSettings, owner: Owner) -> int:
    """Return the :class:`Distance` of an owner from this node.

    :param settings: this node's settings.
    """
    if owner.node_id == settings.identity.node_id:
        return Distance.SAME_VM
    if owner.region != settings.identity.region:
        return Distance.FAR
    if owner.data_centre != settings.identity.data_centre:
        return Distance.REGION
    return Distance.DATA_CENTRE


def _rendezvous_key(node_id: str, owner: Owner) -> tuple[bytes, str]:
    """Return the sort key of an owner at a node; the owner's id decides between equal hashes."""
    text = f"{node_id}\n{owner.node_id}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), owner.node_id


def _quotas(sizes: tuple[int, int, int], max_owners: int) -> tuple[int, int, int]:
    """Divide the places of the subset among the three distances.

    Places that the owners at one distance cannot fill go to the other distances.

    :param sizes: number of owners at each :class:`Distance`.
    :param max_owners: size of the subset.
    """
    far = min(sizes[Distance.FAR], max_owners // FAR_RESERVE_DIVISOR)
    region = min(sizes[Distance.REGION], max_owners // REGION_RESERVE_DIVISOR)
    near = min(sizes[Distance.DATA_CENTRE], max_owners - far - region)
    region = min(sizes[Distance.REGION], max_owners - near - far)
    far = min(sizes[Distance.FAR], max_owners - near - region)
    return near, region, far


def subset_size(settings: NodeSettings, services: int, sent_per_s: float, before: int = 0) -> int:
    """Return how many owners of one service a node uses at most.

    An ingress that sends many requests loads the owners of a small subset more than others. One
    that sends few hears too seldom of each owner of a large subset to tell which is busy or slow.

    :param settings: this node's settings.
    :param services: number of services of the configuration.
    :param sent_per_s: requests a second that this node sends to the service.
    :param before: the size in use, or 0 for none.
    """
    smallest = settings.requests.owners_per_service
    largest = max(smallest, min(MAX_SUBSET_FACTOR * smallest, STREAM_BUDGET // max(1, services)))
    wanted = int(sent_per_s / REPORTS_PER_OWNER_PER_S)
    if before and wanted <= before <= 2 * wanted:
        # Rates vary; each change of the size opens streams or lets them close.
        wanted = before
    return max(smallest, min(largest, wanted))


def select_candidates(
    settings: NodeSettings, source: ServiceOwners, max_owners: int = 0
) -> CandidateSet:
    """Select the subset of owners that this node uses for a service.

    :param settings: this node's settings.
    :param source: all owners of the service.
    :param max_owners: size of the subset, from :func:`subset_size`; 0 for the smallest size.
    """
    size = max_owners or settings.requests.owners_per_service
    owners_by_distance: tuple[list[Owner], list[Owner], list[Owner]] = ([], [], [])
    own: list[Owner] = []
    for owner in source.owners:
        distance = distance_of(settings, owner)
        (own if distance == Distance.SAME_VM else owners_by_distance[distance]).append(owner)
    sizes = (len(owners_by_distance[0]), len(owners_by_distance[1]), len(owners_by_distance[2]))
    node_id = settings.identity.node_id
    owners = own
    distances = [Distance.SAME_VM] * len(own)
    for distance, quota in enumerate(_quotas(sizes, size - len(own))):
        selected = sorted(
            owners_by_distance[distance], key=lambda owner: _rendezvous_key(node_id, owner)
        )[:quota]
        owners.extend(selected)
        distances.extend([distance] * len(selected))
    return CandidateSet(source, tuple(owners), tuple(distances), size)
