"""Tests of bamboonotch_core.configuration."""
