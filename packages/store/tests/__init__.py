"""Tests of bamboonotch_store."""
