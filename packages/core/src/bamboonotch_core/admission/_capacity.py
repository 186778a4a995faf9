"""How many requests the backend server may run now, and how long an arrival would wait."""

from __future__ import annotations

from bamboonotch_core.admission._limit import ramp_slots, service_ms
from bamboonotch_core.admission._state import AdmissionState
from bamboonotch_core.configuration import Configuration, Rank

__all__ = ["allowed_slots", "expected_wait_ms", "hard_slots", "is_draining", "total_queue_limit"]

RESIDUAL_SHARE = 0.5  # a request under way has half of its service time left on average


def hard_slots(state: AdmissionState, configuration: Configuration) -> int:
    """Return the smaller of the announced and the configured slots.

    :param state: the state.
    :param configuration: the running configuration.
    """
    service = configuration.services.get(state.backend.service)
    if service is None or state.backend.state == "stopped":
        return 0
    return min(state.backend.slots, service.slots_per_backend_server)


def allowed_slots(state: AdmissionState, configuration: Configuration, now_ms: float) -> int:
    """Return the slots that may be held now.

    :param state: the state.
    :param configuration: the running configuration.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if now_ms < state.paused_until_ms:
        return 0
    slots = hard_slots(state, configuration)
    if slots <= 1:
        return slots
    service = configuration.services[state.backend.service]
    ramp = ramp_slots(slots, service.ramp_ms, now_ms - state.backend.warm_since_ms)
    return max(1, int(min(slots, ramp, state.limit.value)))


def is_draining(state: AdmissionState) -> bool:
    """Tell whether new work is refused because the backend server is leaving.

    :param state: the state.
    """
    return state.draining or state.shutting_down or state.backend.state == "draining"


def total_queue_limit(configuration: Configuration) -> int:
    """Return the most attempts in all queues together: the largest limit of a class.

    :param configuration: the running configuration.
    """
    return max((item.queue_limit for item in configuration.classes.values()), default=0)


def expected_wait_ms(state: AdmissionState, rank: Rank, slots: int) -> float:
    """Estimate how long an arrival waits for a slot, from measured service times.

    :param state: the state.
    :param rank: rank of the arrival.
    :param slots: slots that may be held now.
    """
    work_ms = state.limit.mean_ms * (RESIDUAL_SHARE + len(state.claimed))
    for (name, _), queue in state.queues.items():
        if queue.rank <= rank:
            work_ms += len(queue.entries) * service_ms(state.limit, name)
    return work_ms / max(1, slots)
