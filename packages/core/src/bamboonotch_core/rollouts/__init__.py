"""Roll-outs: shifts the requests of a service to a version of its software, by order."""

from bamboonotch_core.rollouts._events import (
    ReadRollout,
    RolloutFailed,
    RolloutOrdersRead,
    RolloutRead,
    RolloutWritten,
    WriteRollout,
)
from bamboonotch_core.rollouts._owner import (
    count_arrival,
    count_end,
    is_counted,
    note_lost,
    refusal_cause,
)
from bamboonotch_core.rollouts._reducer import OwnServer, reduce_rollouts
from bamboonotch_core.rollouts._state import RolloutsState, Traffic
from bamboonotch_core.rollouts._traffic import decide_traffic

__all__ = [
    "OwnServer",
    "ReadRollout",
    "RolloutFailed",
    "RolloutOrdersRead",
    "RolloutRead",
    "RolloutWritten",
    "RolloutsState",
    "Traffic",
    "WriteRollout",
    "count_arrival",
    "count_end",
    "decide_traffic",
    "is_counted",
    "note_lost",
    "reduce_rollouts",
    "refusal_cause",
]
