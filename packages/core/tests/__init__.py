"""Tests of bamboonotch_core."""
