"""The sizes to build towards and the limits, from section 1.6 of the design."""

from __future__ import annotations

__all__ = [
    "CALLS_PER_S",
    "CHANGES_PER_DAY",
    "CONTROL_BYTES_PER_S",
    "CORE_SHARE",
    "CONVERGENCE_S",
    "DATA_CENTRES",
    "LATENCY_MS",
    "MEMBERS",
    "MEMORY_MB",
    "REGIONS",
    "RESTARTS_PER_DAY",
    "SECONDS_PER_DAY",
    "SERVICES",
    "SLOTS_PER_DATA_CENTRE",
    "STORE_READS_PER_S",
    "STORE_WRITES_PER_S",
    "UPDATES_PER_RESTART",
]

MEMBERS = 1600
SERVICES = 120
REGIONS = 7
DATA_CENTRES = 15
CALLS_PER_S = 280_000
CHANGES_PER_DAY = 1100
RESTARTS_PER_DAY = 244
SECONDS_PER_DAY = 86_400
SLOTS_PER_DATA_CENTRE = 3
# A replaced VM is drained, stopped and found dead; the new one joins and becomes ready.
UPDATES_PER_RESTART = 5

CORE_SHARE = 0.049
MEMORY_MB = 256.0
CONTROL_BYTES_PER_S = 13_000.0
CONVERGENCE_S = 5.0
LATENCY_MS = 2.0
STORE_READS_PER_S = 2000.0
# "Several hundred" on the design page.
STORE_WRITES_PER_S = 300.0
