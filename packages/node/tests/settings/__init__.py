"""Tests of bamboonotch_node.settings."""
