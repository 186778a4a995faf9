"""Tests of bamboonotch_testing."""
