"""Share of the target version over the time of a roll-out, and the bound on its requests."""

from __future__ import annotations

__all__ = [
    "COMPLETE_AT",
    "GIVE_UP_AT",
    "HANDOVER_AT",
    "SETTLE_AT",
    "budget",
    "is_settling",
    "share_at",
]

# Shares by the part of the time limit that has passed. The long first step finds versions that are
# bad later; the short last ones find those that are bad under load. Their sum stays inside the
# bound on exposure, and the last sixth of the time is left for a store that does not answer.
STEPS = ((0.65, 0.02), (0.70, 0.10), (0.75, 0.25))
SETTLE_AT = 0.75
HANDOVER_AT = 0.80
COMPLETE_AT = 0.82
GIVE_UP_AT = 0.95
# Requests a second in all that show a fault in time also where a service gets few requests.
MIN_PROBES_PER_S = 1.0
MAX_PROBE_SHARE = 0.3
# The bound is 0.1 of the requests and 50 more. What is kept back covers the requests that run
# before all nodes know of the order, and in the last step those that are on their way.
EXPOSURE_SHARE = 0.08
EXPOSURE_SLACK = 15
SETTLE_SHARE = 0.095
SETTLE_SLACK = 35
# Just before the completion the target version takes all requests, so that the others end their
# work and none is refused while the nodes learn of the completion. At a steady rate this is 0.098
# of the requests until the time limit.
HANDOVER_SHARE = 0.12


def is_settling(elapsed_ms: float, duration_ms: float) -> bool:
    """Tell whether all new requests go to the target version, so that the others get idle."""
    return elapsed_ms >= SETTLE_AT * duration_ms


def share_at(elapsed_ms: float, duration_ms: float, rate_per_s: float) -> float:
    """Return the share of the target version.

    :param elapsed_ms: time since the order, in milliseconds.
    :param duration_ms: time limit, in milliseconds.
    :param rate_per_s: requests of the service a second.
    """
    for until, share in STEPS:
        if elapsed_ms < until * duration_ms:
            probes = min(MAX_PROBE_SHARE, MIN_PROBES_PER_S / max(rate_per_s, 0.1))
            return max(share, probes)
    return 1.0


def budget(requests: int, elapsed_ms: float, duration_ms: float) -> int:
    """Return how many requests the target version may have run by now.

    :param requests: requests that the service has taken since the order.
    :param elapsed_ms: time since the order, in milliseconds.
    :param duration_ms: time limit, in milliseconds.
    """
    if elapsed_ms >= HANDOVER_AT * duration_ms:
        return int(HANDOVER_SHARE * requests) + SETTLE_SLACK
    if is_settling(elapsed_ms, duration_ms):
        return int(SETTLE_SHARE * requests) + SETTLE_SLACK
    return int(EXPOSURE_SHARE * requests) + EXPOSURE_SLACK
