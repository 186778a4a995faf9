"""The ring of the live members of one region and the links that follow from it."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from typing import TypeAlias

from bamboonotch_core.membership._hashing import hash_node_id

__all__ = [
    "LINK_BASE",
    "Ring",
    "make_ring",
    "nearest_members",
    "predecessors",
    "ring_neighbours",
    "successors",
    "walk_from",
]

# Distances grow by this factor. Base 4 gives 8 links at 230 members; base 2 would give 16.
LINK_BASE = 4

Ring: TypeAlias = tuple[tuple[int, str], ...]


def make_ring(hashes: Iterator[tuple[str, int]]) -> Ring:
    """Return the members in ring order.

    :param hashes: pairs of node id and hash.
    """
    return tuple(sorted((number, node_id) for node_id, number in hashes))


def successors(ring: Ring, node_id: str) -> tuple[str, ...]:
    """Return the members that a node opens links to, nearest first.

    :param ring: the ring.
    :param node_id: the node; it has none when it is not on the ring.
    """
    return _at_distances(ring, node_id, 1)


def predecessors(ring: Ring, node_id: str) -> tuple[str, ...]:
    """Return the members that open links to a node, nearest first.

    :param ring: the ring.
    :param node_id: the node; it has none when it is not on the ring.
    """
    return _at_distances(ring, node_id, -1)


def ring_neighbours(ring: Ring, node_id: str) -> frozenset[str]:
    """Return the members that monitor a node.

    :param ring: the ring.
    :param node_id: the node.
    """
    return frozenset(successors(ring, node_id) + predecessors(ring, node_id))


def nearest_members(ring: Ring, node_id: str) -> tuple[str, ...]:
    """Return the members just before and after the place of one that is not on the ring.

    :param ring: the ring.
    :param node_id: the node that is not on it.
    """
    if not ring:
        return ()
    index = bisect_left(ring, (hash_node_id(node_id), node_id))
    return (ring[index - 1][1], ring[index % len(ring)][1])


def walk_from(ring: Ring, node_id: str) -> Iterator[str]:
    """Yield the other members in ring order, starting after a member.

    :param ring: the ring.
    :param node_id: the member.
    """
    index = bisect_left(ring, (hash_node_id(node_id), node_id))
    for offset in range(len(ring)):
        other = ring[(index + offset) % len(ring)][1]
        if other != node_id:
            yield other


def _at_distances(ring: Ring, node_id: str, direction: int) -> tuple[str, ...]:
    index = bisect_left(ring, (hash_node_id(node_id), node_id))
    if index == len(ring) or ring[index][1] != node_id:
        return ()
    found = []
    distance = 1
    while distance < len(ring):
        found.append(ring[(index + direction * distance) % len(ring)][1])
        distance *= LINK_BASE
    return tuple(found)
