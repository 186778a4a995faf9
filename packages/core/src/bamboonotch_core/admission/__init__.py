"""Owner side of a request: slots, class queues, concurrency limit, claims, fences and drain."""

from bamboonotch_core.admission._capacity import allowed_slots, hard_slots, is_draining
from bamboonotch_core.admission._reducer import begin_shutdown, reduce_admission
from bamboonotch_core.admission._state import (
    AdmissionState,
    BackendServer,
    LiveAttempt,
    Stage,
    is_idle,
    make_admission_state,
    with_incarnation,
)

__all__ = [
    "AdmissionState",
    "BackendServer",
    "LiveAttempt",
    "Stage",
    "allowed_slots",
    "begin_shutdown",
    "hard_slots",
    "is_draining",
    "is_idle",
    "make_admission_state",
    "reduce_admission",
    "with_incarnation",
]
