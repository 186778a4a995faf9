"""Tests of the stand-in of the platform's store."""
