"""Number of requests that the backend server may run now, and the expected wait for a slot."""

from __future__ import annotations

from bamboonotch_core.admission._limit import ramp_slots, service_ms
from bamboonotch_core.admission._state import AdmissionState
from bamboonotch_core.configuration import Configuration, Rank

__all__ = [
    "allowed_slots",
    "count_ahead",
    "expected_wait_ms",
    "hard_slots",
    "is_draining",
    "total_queue_limit",
]

RESIDUAL_SHARE = 0.5  # on average, half of the service time of a running request remains


def hard_slots(state: AdmissionState, configuration: Configuration) -> int:
    """Return the smaller of the announced and the configured slots.

    :param configuration: the running configuration.
    :returns: number of slots; 0 when the backend server is stopped or its service is not in the
        configuration.
    """
    service = configuration.services.get(state.backend.service)
    if service is None or state.backend.state == "stopped":
        return 0
    return min(state.backend.slots, service.slots_per_backend_server)


def allowed_slots(state: AdmissionState, configuration: Configuration, now_ms: float) -> int:
    """Return the slots that may be held now.

    :param configuration: the running configuration.
    :param now_ms: monotonic clock, in milliseconds.
    :returns: the smallest of hard slots, ramp and concurrency limit; 0 during a pause after
        refusals, else at least 1 when there is a hard slot.
    """
    if now_ms < state.paused_until_ms:
        return 0
    slots = hard_slots(state, configuration)
    if slots <= 1:
        return slots
    service = configuration.services[state.backend.service]
    ramped_slots = ramp_slots(slots, service.ramp_ms, now_ms - state.backend.ramp_start_ms)
    return max(1, int(min(slots, ramped_slots, state.limit.value)))


def is_draining(state: AdmissionState) -> bool:
    """Return whether new work is refused because of a drain or shutdown."""
    return state.draining or state.shutting_down or state.backend.state == "draining"


def total_queue_limit(configuration: Configuration) -> int:
    """Return the limit of attempts in all queues together: the largest queue limit of a class.

    :param configuration: the running configuration.
    """
    return max((item.queue_limit for item in configuration.classes.values()), default=0)


def count_ahead(state: AdmissionState, rank: Rank) -> int:
    """Return the number of queued attempts that go before an arrival.

    :param rank: rank of the arrival; only attempts of the same or a lower rank value go first.
    """
    return sum(len(queue.entries) for queue in state.queues.values() if queue.rank <= rank)


def expected_wait_ms(state: AdmissionState, rank: Rank, slots: int) -> float:
    """Estimate how long an arrival waits for a slot, from measured service times.

    :param rank: rank of the arrival; only attempts of the same or a lower rank value go first.
    :param slots: slots that may be held now.
    :returns: wait in milliseconds; 0 before the first answer of the backend server.
    """
    work_ms = state.limit.mean_ms * (RESIDUAL_SHARE + len(state.claimed))
    for (name, _), queue in state.queues.items():
        if queue.rank <= rank:
            work_ms += len(queue.entries) * service_ms(state.limit, name)
    return work_ms / max(1, slots)
