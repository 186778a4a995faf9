"""Responses that share the link of this node: how long an arrival's response would wait."""

from __future__ import annotations

from bamboonotch_core.admission._limit import service_ms
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, SendTime
from bamboonotch_core.configuration import RequestClass
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_events import BackendFinished, BackendResult, WorkOffered

__all__ = ["can_send_in_time", "record_send_time"]

SEND_TIME_SMOOTHING = 0.05
# Time for the link that even a class with a slow backend server has, as a share of its target.
MIN_LINK_TARGET_SHARE = 0.5
# A caller that was refused before is late already, and must not displace one that can be in time.
RETURNING_TARGET_SHARE = 0.5


def record_send_time(
    state: AdmissionState, attempt: LiveAttempt, event: BackendFinished
) -> AdmissionState:
    """Return the state after a response whose size is known.

    :param attempt: the attempt that ended.
    """
    if event.result is not BackendResult.DONE:
        return state
    known = state.send_times.get(attempt.request_class)
    if known is None:
        if not event.send_ms:
            return state
        known = SendTime()
    samples = known.samples + 1
    # The first responses count evenly, so that one long response among them does not last.
    weight = max(SEND_TIME_SMOOTHING, 1.0 / samples)
    mean_ms = known.mean_ms + weight * (event.send_ms - known.mean_ms)
    send_times = state.send_times.set(attempt.request_class, SendTime(mean_ms, samples))
    return replace_fields(state, send_times=send_times)


def _send_ms(state: AdmissionState, request_class: str) -> float:
    known = state.send_times.get(request_class)
    return 0.0 if known is None else known.mean_ms


def can_send_in_time(
    state: AdmissionState, event: WorkOffered, request_class: RequestClass
) -> bool:
    """Return whether the response of an arrival could leave within the target of its class.

    Bodies leave in the order in which they came to wait, so an arrival waits for the bodies that
    wait now and for those of the attempts before it.
    """
    own_ms = _send_ms(state, event.request_class)
    if event.uplink_ms is None or not own_ms or not request_class.target_ms:
        return True
    ahead_ms = event.uplink_ms + sum(
        _send_ms(state, attempt.request_class)
        for attempt in state.live.values()
        if attempt.uses_uplink
    )
    limit_ms = max(
        MIN_LINK_TARGET_SHARE * request_class.target_ms,
        request_class.target_ms - service_ms(state.limit, event.request_class),
    )
    if event.returning:
        limit_ms *= RETURNING_TARGET_SHARE
    # An arrival that finds the link free is taken, however long its response is.
    return not ahead_ms or ahead_ms + own_ms <= limit_ms
