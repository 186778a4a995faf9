"""Tests of bamboonotch_testing.backend_server."""
