"""The hash ring of the live members of one region, and the links that it determines."""

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

# A member links to those at distances 1, 4, 16 and so on. This base gives 8 links at 230 members;
# base 2 would give 16.
LINK_BASE = 4

Ring: TypeAlias = tuple[tuple[int, str], ...]


def make_ring(hashes: Iterator[tuple[str, int]]) -> Ring:
    """Return the members in ring order.

    :param hashes: pairs of node id and its hash.
    """
    return tuple(sorted((number, node_id) for node_id, number in hashes))


def successors(ring: Ring, node_id: str) -> tuple[str, ...]:
    """Return the members that a node opens links to, nearest first.

    :returns: node ids; empty if the node is not on the ring.
    """
    return _at_distances(ring, node_id, 1)


def predecessors(ring: Ring, node_id: str) -> tuple[str, ...]:
    """Return the members that open links to a node, nearest first.

    :returns: node ids; empty if the node is not on the ring.
    """
    return _at_distances(ring, node_id, -1)


def ring_neighbours(ring: Ring, node_id: str) -> frozenset[str]:
    """Return the members that have links to a node and so monitor it."""
    return frozenset(successors(ring, node_id) + predecessors(ring, node_id))


def nearest_members(ring: Ring, node_id: str) -> tuple[str, ...]:
    """Return the members just before and after the position of a node.

    :param node_id: a node that is not on the ring itself.
    """
    if not ring:
        return ()
    index = bisect_left(ring, (hash_node_id(node_id), node_id))
    return (ring[index - 1][1], ring[index % len(ring)][1])


def walk_from(ring: Ring, node_id: str) -> Iterator[str]:
    """Yield the other members in ring order, starting after a member."""
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
