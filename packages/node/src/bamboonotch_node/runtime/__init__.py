"""Joins the parts of a node: input becomes events, effects become output."""

from bamboonotch_node.runtime._node import NodeRuntime

__all__ = ["NodeRuntime"]
