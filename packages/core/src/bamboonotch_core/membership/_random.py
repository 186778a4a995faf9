"""Random numbers from a seed that is kept in the state (SplitMix64)."""

from __future__ import annotations

__all__ = ["next_fraction"]

_MASK = (1 << 64) - 1
_INCREMENT = 0x9E3779B97F4A7C15
_FRACTION_BITS = 53


def next_fraction(seed: int) -> tuple[float, int]:
    """Return a random number in [0, 1) and the next seed."""
    seed = (seed + _INCREMENT) & _MASK
    mixed = ((seed ^ (seed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
    mixed ^= mixed >> 31
    return (mixed >> (64 - _FRACTION_BITS)) / (1 << _FRACTION_BITS), seed
