"""The record of one member and the order between two states of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["MemberRecord", "MemberState", "state_rank", "supersedes"]


class MemberState(Enum):
    """State of a member, with its name on the wire as the value."""

    JOINING = "joining"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True)
class MemberRecord:
    """What every node knows of one node and of the backend server beside it.

    :param node_id: unique id of the node, from its settings.
    :param incarnation: start time of the process, or higher; raised when a higher one is found.
    :param sequence: raised by the node with each change of its own record.
    :param region: the node's region.
    :param data_centre: the node's data centre.
    :param peer_address: ``ip:port`` for streams between nodes.
    :param http_address: ``ip:port`` for callers.
    :param admin_address: ``ip:port`` for operators.
    :param service: service of the backend server beside it, or empty.
    :param slots: slots of the backend server.
    :param state: state of the backend server as its node sees it, or of the node as others see it.
    :param relay_slot: relay slot that the node holds, or -1.
    :param link_mbps: rate of the VM's link, in megabits per second; 0 when it is not known.
    :param rate_limit_per_s: requests a second that the backend server takes from all nodes
        together; ``None`` when it names no limit.
    :param quota_shards: shards of workspaces that the node lends tokens of their quotas for.
    :param software_version: version of the backend server's software, or empty when it states none.
    """

    node_id: str
    incarnation: int
    sequence: int
    region: str
    data_centre: str
    peer_address: str
    http_address: str
    admin_address: str
    service: str
    slots: int
    state: MemberState
    relay_slot: int
    link_mbps: float = 0.0
    rate_limit_per_s: float | None = None
    quota_shards: tuple[int, ...] = ()
    software_version: str = ""


def state_rank(state: MemberState) -> int:
    """Return the order among records of the same incarnation and sequence.

    :param state: the state.
    """
    if state is MemberState.DEAD:
        return 2
    return 1 if state is MemberState.SUSPECT else 0


def supersedes(new: MemberRecord, old: MemberRecord | None) -> bool:
    """Tell whether a record replaces the one held.

    :param new: the record received.
    :param old: the record held, or ``None``.
    """
    if old is None:
        return True
    return (new.incarnation, new.sequence, state_rank(new.state)) > (
        old.incarnation,
        old.sequence,
        state_rank(old.state),
    )
