"""Tests of the admission sub-package."""
