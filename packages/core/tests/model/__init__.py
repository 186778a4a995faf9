"""Exhaustive checks of the core protocol; docs/specification.md describes the models."""
