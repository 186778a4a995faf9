"""Tests of the document reducer."""
