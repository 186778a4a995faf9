"""Tests of bamboonotch_testing.fault_proxy."""
