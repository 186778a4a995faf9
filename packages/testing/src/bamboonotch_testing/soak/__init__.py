"""Randomized soak: real nodes under overlapping faults, checked from the outside."""
