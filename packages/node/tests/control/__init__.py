"""Tests of bamboonotch_node.control."""
