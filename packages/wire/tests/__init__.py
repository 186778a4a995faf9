"""Tests of bamboonotch_wire."""
