"""A node of the platform as a process of its own, with its settings file."""

from bamboonotch_testing.platform_node._node import PROGRAM, NodePlan, PlatformNode

__all__ = ["PROGRAM", "NodePlan", "PlatformNode"]
