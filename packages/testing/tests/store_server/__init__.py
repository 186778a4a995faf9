"""Tests of the store stand-in."""
