"""Fault-injecting TCP proxy."""

from bamboonotch_testing.fault_proxy._control import control_site
from bamboonotch_testing.fault_proxy._proxy import Direction, FaultProxy

__all__ = ["Direction", "FaultProxy", "control_site"]
