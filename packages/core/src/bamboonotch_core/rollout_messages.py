"""Orders of roll-outs, and the control messages by which nodes speak of them."""

from __future__ import annotations

from dataclasses import dataclass

from bamboonotch_core.messages import Message

__all__ = [
    "RolloutCounts",
    "RolloutGrant",
    "RolloutOrder",
    "RolloutPlan",
    "RolloutStatus",
    "RouteCounts",
]


class RolloutStatus:
    """States of a roll-out, as operators read them; a pending one has no plan in the store yet."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to shift a service to a version.

    :param service: the service.
    :param target_version: the software version; empty after the order was withdrawn.
    :param duration_ms: time limit since the order, in milliseconds.
    :param revision: revision of the store at which the order was written or withdrawn.
    :param epoch: epoch of the store in which it has that revision.
    :param created: revision at which the entry was created; a repeated write leaves it as it is.
    """

    service: str
    target_version: str
    duration_ms: int
    revision: int
    epoch: int = 0
    created: int = 0

    @property
    def key(self) -> str:
        """What two writes of one order have in common."""
        return f"{self.created}/{self.duration_ms}/{self.target_version}"


@dataclass(frozen=True)
class RolloutGrant:
    """How many requests one owner of the target version may run in all.

    :param node_id: node of the owner.
    :param incarnation: incarnation of its process, whose count the allowance bounds.
    :param allowance: requests that it may have run since it learned of the order.
    """

    node_id: str
    incarnation: int
    allowance: int


@dataclass(frozen=True)
class RolloutPlan(Message):
    """What the store holds of a roll-out; only a driver's successful write makes a newer one.

    :param order: the order.
    :param number: revision of the store at which the plan was written; 0 before any plan.
    :param state: a value of :class:`RolloutStatus`.
    :param share: share of the service's requests that goes to the target version, 0 to 1.
    :param granted: sum of all allowances that were ever granted for the order.
    :param elapsed_ms: time since the order when the message was sent, in milliseconds.
    :param barred: versions that take no requests, because their roll-out was not completed.
    :param grants: allowances of the owners of the target version.
    :param stopping: whether a driver has decided to roll back and has not written it yet.
    """

    order: RolloutOrder
    number: int = 0
    state: str = RolloutStatus.PENDING
    share: float = 0.0
    granted: int = 0
    elapsed_ms: float = 0.0
    barred: tuple[str, ...] = ()
    grants: tuple[RolloutGrant, ...] = ()
    stopping: bool = False

    @property
    def rank(self) -> tuple[int, int, int, bool]:
        """Order among plans of one service."""
        return self.order.epoch, self.order.revision, self.number, self.stopping


@dataclass(frozen=True)
class RouteCounts:
    """Responses of one route at one owner.

    :param route: name of the route; empty for all routes beyond those that are told apart.
    :param failures: responses that were failures.
    :param latencies: pairs of latency bucket and number of responses, ascending.
    """

    route: str
    failures: int
    latencies: tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class RolloutCounts(Message):
    """What one owner has run of a service since it learned of an order.

    :param node_id: node of the owner.
    :param incarnation: incarnation of its process.
    :param number: rises with each message of one incarnation.
    :param service: the service.
    :param order_key: key of the order.
    :param software_version: version of the backend server.
    :param arrivals: requests taken.
    :param running: requests taken and not ended.
    :param ready: whether the backend server takes requests.
    :param routes: responses by route.
    """

    node_id: str
    incarnation: int
    number: int
    service: str
    order_key: str
    software_version: str
    arrivals: int
    running: int
    ready: bool
    routes: tuple[RouteCounts, ...]
