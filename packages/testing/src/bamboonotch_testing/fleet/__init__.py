"""Starts a store, backend servers and nodes as separate processes on loopback addresses."""

from bamboonotch_testing.fleet._addresses import FleetAddresses
from bamboonotch_testing.fleet._fleet import Fleet, NodeHandle
from bamboonotch_testing.fleet._http import HttpAnswer, call_http, call_json
from bamboonotch_testing.fleet._layout import (
    HIMAL_THALI,
    MKAA_BORA,
    DataCentre,
    Layout,
    NodePlace,
    ServicePlan,
    make_uniform_layout,
)
from bamboonotch_testing.fleet._metrics import Sample, read_metrics, sum_by_label
from bamboonotch_testing.fleet._process import ManagedProcess
from bamboonotch_testing.fleet._wait import WaitTimeoutError, wait_until

__all__ = [
    "HIMAL_THALI",
    "MKAA_BORA",
    "DataCentre",
    "Fleet",
    "FleetAddresses",
    "HttpAnswer",
    "Layout",
    "ManagedProcess",
    "NodeHandle",
    "NodePlace",
    "Sample",
    "ServicePlan",
    "WaitTimeoutError",
    "call_http",
    "call_json",
    "make_uniform_layout",
    "read_metrics",
    "sum_by_label",
    "wait_until",
]
