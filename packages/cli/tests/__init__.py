"""Tests of bamboonotch_cli."""
