"""Reducer of the owner side."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.admission._backend import (
    apply_announcement,
    apply_stated_rate,
    start_or_refuse_waiting,
)
from bamboonotch_core.admission._capacity import is_draining
from bamboonotch_core.admission._ending import limit_work
from bamboonotch_core.admission._expiry import expire
from bamboonotch_core.admission._fences import cancel, fence
from bamboonotch_core.admission._offers import admit
from bamboonotch_core.admission._results import finish_claim, finish_work
from bamboonotch_core.admission._state import AdmissionState, is_idle
from bamboonotch_core.configuration import Configuration
from bamboonotch_core.effects import Report
from bamboonotch_core.events import (
    BackendServerAnnounced,
    BackendServerStated,
    DrainRequested,
    Event,
    ShutdownRequested,
    Tick,
    UndrainRequested,
)
from bamboonotch_core.outcomes import RefusalReason
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_events import (
    BackendFinished,
    ClaimAnswered,
    FenceReceived,
    WorkCancelled,
    WorkOffered,
)
from bamboonotch_core.transition import Transition

__all__ = ["begin_shutdown", "reduce_admission"]

Step = Transition[AdmissionState]


def reduce_admission(state: AdmissionState, event: Event, configuration: Configuration) -> Step:
    """Handle one event of the owner side; events of other parts change nothing.

    :param configuration: the running configuration.
    """
    step = _reduce(event, state, configuration)
    if is_draining(step.state) is step.state.idle_reported:
        return step
    return _report_idle(step)


def _report_idle(step: Step) -> Step:
    """Report ``drain-idle`` once for each drain, as soon as no attempt is live."""
    state = step.state
    if not is_draining(state):
        return Transition(replace_fields(state, idle_reported=False), step.effects)
    if not is_idle(state):
        return step
    report = Report("drain-idle", (("service", state.backend.service),))
    return Transition(replace_fields(state, idle_reported=True), (*step.effects, report))


@singledispatch
def _reduce(event: Event, state: AdmissionState, configuration: Configuration) -> Step:
    return Transition(state)


@_reduce.register
def _on_offer(event: WorkOffered, state: AdmissionState, configuration: Configuration) -> Step:
    return admit(state, event, configuration)


@_reduce.register
def _on_claim(event: ClaimAnswered, state: AdmissionState, configuration: Configuration) -> Step:
    return finish_claim(state, event, configuration)


@_reduce.register
def _on_result(event: BackendFinished, state: AdmissionState, configuration: Configuration) -> Step:
    return finish_work(state, event, configuration)


def begin_shutdown(state: AdmissionState, end_ms: float, now_ms: float) -> Step:
    """Take only work that ends before the process, while it still serves.

    :param end_ms: by when all work must have ended, on the monotonic clock, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the new state and the refusals of queued work.
    """
    return limit_work(state, end_ms, RefusalReason.DRAINING, now_ms)


@_reduce.register
def _on_cancel(event: WorkCancelled, state: AdmissionState, configuration: Configuration) -> Step:
    return cancel(state, event, configuration)


@_reduce.register
def _on_fence(event: FenceReceived, state: AdmissionState, configuration: Configuration) -> Step:
    return fence(state, event, configuration)


@_reduce.register
def _on_tick(event: Tick, state: AdmissionState, configuration: Configuration) -> Step:
    return expire(state, configuration, event.now_ms)


@_reduce.register
def _on_announcement(
    event: BackendServerAnnounced, state: AdmissionState, configuration: Configuration
) -> Step:
    return apply_announcement(state, event, configuration)


@_reduce.register
def _on_stated(
    event: BackendServerStated, state: AdmissionState, configuration: Configuration
) -> Step:
    return apply_stated_rate(state, event, configuration)


@_reduce.register
def _on_drain(event: DrainRequested, state: AdmissionState, configuration: Configuration) -> Step:
    return start_or_refuse_waiting(
        replace_fields(state, draining=True), configuration, event.now_ms
    )


@_reduce.register
def _on_undrain(
    event: UndrainRequested, state: AdmissionState, configuration: Configuration
) -> Step:
    return start_or_refuse_waiting(
        replace_fields(state, draining=False), configuration, event.now_ms
    )


@_reduce.register
def _on_shutdown(
    event: ShutdownRequested, state: AdmissionState, configuration: Configuration
) -> Step:
    return start_or_refuse_waiting(
        replace_fields(state, shutting_down=True), configuration, event.now_ms
    )
