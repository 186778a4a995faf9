"""Tests of the ring, the hashes and the random numbers."""

from __future__ import annotations

import math
import unittest
from hashlib import blake2b

from bamboonotch_core.membership._hashing import hash_node_id
from bamboonotch_core.membership._random import next_fraction
from bamboonotch_core.membership._ring import make_ring, predecessors, ring_neighbours, successors


def ring_of(count: int) -> tuple:
    """Return a ring of some members."""
    return make_ring(iter((f"n{i}", hash_node_id(f"n{i}")) for i in range(count)))


class RingTest(unittest.TestCase):
    """Neighbours on the ring."""

    def test_hash_is_blake2b(self) -> None:
        """Guards against nodes of different versions that disagree on the ring."""
        expected = int.from_bytes(blake2b(b"n0", digest_size=8).digest(), "big")
        self.assertEqual(hash_node_id("n0"), expected)

    def test_both_ends_agree(self) -> None:
        """Guards against a link that only one end monitors."""
        for count in (1, 2, 3, 5, 17, 64, 230):
            ring = ring_of(count)
            for _, node_id in ring:
                for other in successors(ring, node_id):
                    self.assertIn(node_id, predecessors(ring, other))

    def test_degree(self) -> None:
        """Guards against a degree that grows faster than the logarithm of the region."""
        for count in (2, 16, 65, 230, 1600):
            ring = ring_of(count)
            bound = 2 * math.ceil(math.log(count, 4))
            for _, node_id in ring:
                self.assertLessEqual(len(ring_neighbours(ring, node_id)), bound)

    def test_small_and_foreign(self) -> None:
        """Guards against a node that is its own neighbour."""
        self.assertEqual(ring_neighbours(ring_of(1), "n0"), frozenset())
        self.assertEqual(ring_neighbours(ring_of(2), "n0"), {"n1"})
        self.assertEqual(ring_neighbours(ring_of(5), "stranger"), frozenset())

    def test_numbers_are_even_and_repeatable(self) -> None:
        """Guards against random numbers that are not uniform or not repeatable."""
        seed, numbers = 1, []
        for _ in range(1000):
            number, seed = next_fraction(seed)
            numbers.append(number)
        self.assertTrue(all(0 <= number < 1 for number in numbers))
        self.assertAlmostEqual(sum(numbers) / 1000, 0.5, delta=0.05)
        self.assertEqual(next_fraction(1)[0], numbers[0])
