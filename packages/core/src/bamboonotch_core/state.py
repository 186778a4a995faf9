"""State of a whole node."""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from bamboonotch_core._departures_part import PeerDepartures
from bamboonotch_core._quota_part import QuotaPart
from bamboonotch_core.admission import AdmissionState, make_admission_state
from bamboonotch_core.distribution import (
    DistributionState,
    MembershipView,
    make_distribution_state,
)
from bamboonotch_core.documents import DocumentState
from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.membership import Directory, MembershipState, make_membership_state
from bamboonotch_core.outcomes import OutcomeState, make_outcome_state
from bamboonotch_core.rollouts import RolloutsState
from bamboonotch_core.routing import NOT_SERVING_TABLE, RoutingTable
from bamboonotch_core.settings import IdentitySettings, NodeSettings

__all__ = ["NodeState", "TableBasis", "make_node_state"]


@dataclass(frozen=True)
class TableBasis:
    """What a routing table was computed from.

    :param running_version: running version of the configuration.
    :param serving: whether the node knew its version.
    :param routing_generation: generation of the members that may get requests.
    """

    running_version: int = 0
    serving: bool = False
    routing_generation: int = 0


@dataclass(frozen=True)
class NodeState:
    """State of every part of a node.

    :param membership: members, overlay and own record.
    :param distribution: versions held and run.
    :param view: what distribution sees of the membership.
    :param table: effective routing table, computed from membership and distribution when it is
        used.
    :param identity: section ``[node]`` of the settings in force.
    :param table_basis: what the table was computed from.
    :param outcomes: requests that entered at this node.
    :param admission: work for the backend server beside this node.
    :param quota: tokens that this node lends, and the competition for the right to.
    :param competing: whether this node competes for a relay slot; it does from the start.
    :param slots_directory: directory as of which ``competing`` was decided, or ``None``.
    :param slots_linked: whether this node had a link then.
    :param rollouts: roll-outs of services to versions.
    :param announcement: latest announcement of the backend server, or ``None``.
    :param set_aside: process ids and services of announcements that do not fit this node and were
        reported, the latest one last.
    :param departures: what processes beside this node said last when they left, one for each
        process id, the latest one last.
    :param peer_departures: the same of each neighbour, by node id.
    :param shutdown_deadline_ms: when the process ends at the latest, or ``None`` while it is not
        shutting down.
    :param shutdown_drain_ms: when a process that shuts down stops taking work for its backend
        server, or ``None`` once it has.
    :param shutdown_idle_after_ms: when an idle process may end at the earliest.
    :param stop_ms: when the process ends, once its leaving is announced, or ``None`` before.
    """

    membership: MembershipState
    distribution: DistributionState | DocumentState
    view: MembershipView
    table: RoutingTable
    outcomes: OutcomeState
    admission: AdmissionState
    rollouts: RolloutsState
    identity: IdentitySettings
    table_basis: TableBasis = TableBasis()
    quota: QuotaPart = QuotaPart()
    competing: bool = True
    slots_directory: Directory | None = None
    slots_linked: bool = False
    announcement: BackendServerAnnounced | None = None
    set_aside: tuple[tuple[str, str], ...] = ()
    departures: tuple[BackendServerAnnounced, ...] = ()
    peer_departures: Map[str, PeerDepartures] = Map()
    shutdown_deadline_ms: float | None = None
    shutdown_drain_ms: float | None = None
    shutdown_idle_after_ms: float = 0.0
    stop_ms: float | None = None


def make_node_state(
    settings: NodeSettings,
    incarnation: int,
    seed: int,
    now_ms: float,
    distribution: DistributionState | DocumentState | None = None,
) -> NodeState:
    """Return the state of a node that has just started.

    :param settings: all settings.
    :param incarnation: start time of the process, in milliseconds since 1970.
    :param seed: seed of every random choice.
    :param now_ms: monotonic clock, in milliseconds.
    :param distribution: state of the part that follows versions; that of the product's own log
        when it is not given.
    """
    if distribution is None:
        distribution = make_distribution_state(settings, incarnation)
    return NodeState(
        membership=make_membership_state(settings, incarnation, seed, now_ms),
        distribution=distribution,
        view=MembershipView(),
        table=NOT_SERVING_TABLE,
        outcomes=make_outcome_state(settings, seed),
        admission=make_admission_state(settings, now_ms, incarnation),
        rollouts=RolloutsState(settings.identity.node_id),
        identity=settings.identity,
    )
