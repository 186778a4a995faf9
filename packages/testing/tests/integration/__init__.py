"""Tests of whole fleets of separate processes, with failures brought about."""
