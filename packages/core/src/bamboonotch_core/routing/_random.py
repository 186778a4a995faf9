"""Pseudo-random numbers from a seed that the caller stores in its state."""

from __future__ import annotations

__all__ = ["draw_below", "draw_share", "next_seed"]

MASK_64_BITS = (1 << 64) - 1
MULTIPLIER = 6364136223846793005  # Knuth's MMIX linear congruential generator
INCREMENT = 1442695040888963407


def next_seed(seed: int) -> int:
    """Return the seed that follows ``seed``, as a 64-bit unsigned integer."""
    return (seed * MULTIPLIER + INCREMENT) & MASK_64_BITS


def draw_below(seed: int, bound: int) -> int:
    """Return a pseudo-random number from 0 to ``bound`` - 1.

    Only the upper 32 bits of the seed are used, because the lower bits of this generator have
    short periods.

    :param seed: 64-bit unsigned integer, as returned by :func:`next_seed`.
    :param bound: at least 1.
    """
    return ((seed >> 32) * bound) >> 32


def draw_share(seed: int) -> float:
    """Return a pseudo-random number from 0 to 1, without 1, of the same bits.

    :param seed: 64-bit unsigned integer, as returned by :func:`next_seed`.
    """
    return (seed >> 32) / 2**32
