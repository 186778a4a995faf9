"""Tests of bamboonotch_node."""
