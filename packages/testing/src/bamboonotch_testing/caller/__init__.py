"""Stand-in caller with open-loop load."""

from bamboonotch_testing.caller._call import Call, CallerClient, CallRecord
from bamboonotch_testing.caller._keys import make_key
from bamboonotch_testing.caller._load import (
    CallClass,
    LoadPlan,
    percentile,
    run_load,
    summarize,
)
from bamboonotch_testing.caller._reactor import run_with_reactor

__all__ = [
    "Call",
    "CallClass",
    "CallRecord",
    "CallerClient",
    "LoadPlan",
    "make_key",
    "percentile",
    "run_load",
    "run_with_reactor",
    "summarize",
]
