"""Tests of the outcomes sub-package."""
