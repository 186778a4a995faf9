"""Tests of the capacity estimates."""
