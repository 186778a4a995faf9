"""Responses that share the link of this node: how long an arrival's response would wait."""

from __future__ import annotations

import math

from bamboonotch_core.admission._limit import service_ms
from bamboonotch_core.admission._state import AdmissionState, LiveAttempt, SendTime, Stage
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


def _responses_ahead_ms(state: AdmissionState, workspace: str, own_ms: float) -> float:
    """Return how long the responses before that of an arrival occupy the link, in milliseconds.

    Responses leave in the order in which their attempts start, so queued attempts of another
    workspace count only as far as that workspace may start before the arrival.

    :param workspace: the workspace of the arrival, or empty.
    :param own_ms: how long the response of the arrival occupies the link, in milliseconds.
    """
    ahead_ms = 0.0
    queued_ms: dict[str, float] = {}
    for attempt in state.live.values():
        if attempt.uses_uplink:
            send_ms = _send_ms(state, attempt.request_class)
            if attempt.stage is Stage.QUEUED and attempt.workspace:
                name = attempt.workspace
                queued_ms[name] = queued_ms.get(name, 0.0) + send_ms
            else:
                ahead_ms += send_ms
    own_queued_ms = queued_ms.pop(workspace, 0.0)
    bound_ms = own_queued_ms + own_ms if workspace else math.inf
    return ahead_ms + own_queued_ms + sum(min(bound_ms, other) for other in queued_ms.values())


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
    ahead_ms = event.uplink_ms + _responses_ahead_ms(state, event.workspace, own_ms)
    limit_ms = max(
        MIN_LINK_TARGET_SHARE * request_class.target_ms,
        request_class.target_ms - service_ms(state.limit, event.request_class),
    )
    if event.returning:
        limit_ms *= RETURNING_TARGET_SHARE
    # An arrival that finds the link free is taken, however long its response is.
    return not ahead_ms or ahead_ms + own_ms <= limit_ms
