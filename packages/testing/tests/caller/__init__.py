"""Tests of bamboonotch_testing.caller."""
