"""Tests of the distribution part."""
