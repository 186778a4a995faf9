"""How the composed reducer reads the part that follows versions, by the type of its state."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from bamboonotch_core.access import UNCONFIRMED, ConfigurationKnowledge
from bamboonotch_core.distribution import (
    DistributionState,
    MembershipView,
    reduce_distribution,
)
from bamboonotch_core.documents import DocumentState, reduce_documents
from bamboonotch_core.events import Event, MessageReceived
from bamboonotch_core.membership import (
    LocalVersions,
    MembershipState,
    heartbeat_sent_ms,
    members_of_service,
    ready_services,
    routing_generation,
)
from bamboonotch_core.messages import Heartbeat
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.routing import NOT_SERVING_TABLE, build_routing_table
from bamboonotch_core.state import NodeState, TableBasis
from bamboonotch_core.transition import Transition

__all__ = [
    "echo_sent_ms",
    "follow_versions",
    "local_versions",
    "reads_members",
    "refresh_knowledge",
    "refresh_table",
]


@singledispatch
def follow_versions(
    state: DistributionState | DocumentState,
    event: Event,
    view: MembershipView,
    echo_sent_ms: float | None,
) -> Transition[Any]:
    """Reduce an event in the part that follows versions, by the type of its state."""
    raise TypeError(f"no reducer follows versions with {type(state).__name__}")


@follow_versions.register
def _(
    state: DistributionState, event: Event, view: MembershipView, echo_sent_ms: float | None
) -> Transition[Any]:
    return reduce_distribution(state, event, view)


@follow_versions.register
def _(
    state: DocumentState, event: Event, view: MembershipView, echo_sent_ms: float | None
) -> Transition[Any]:
    return reduce_documents(state, event, view, echo_sent_ms)


def echo_sent_ms(membership: MembershipState, event: Event) -> float | None:
    """Return when this node sent the heartbeat that a received one echoes, in milliseconds."""
    if not isinstance(event, MessageReceived) or not isinstance(event.message, Heartbeat):
        return None
    return heartbeat_sent_ms(membership, event.link_id, event.message.echo)


@singledispatch
def reads_members(distribution: DistributionState | DocumentState) -> bool:
    """Return whether the part that follows versions reads the live members of its view."""
    return True


@reads_members.register
def _(distribution: DocumentState) -> bool:
    return False


def local_versions(state: NodeState) -> LocalVersions:
    """Return what membership tells peers of the versions of this node."""
    return _versions_of(state.distribution)


@singledispatch
def _versions_of(distribution: DistributionState | DocumentState) -> LocalVersions:
    """Return what membership tells peers of the versions here."""
    return LocalVersions(
        distribution.held_version, distribution.running_version, distribution.serving
    )


@_versions_of.register
def _(distribution: DocumentState) -> LocalVersions:
    return LocalVersions(
        distribution.held_version,
        distribution.running_version,
        distribution.serving,
        distribution.confirmation.revision,
        distribution.confirmation.confirmed_ms,
        distribution.store_epoch,
        distribution.refused_version if distribution.is_superseded else 0,
        distribution.lost_store,
    )


def refresh_table(state: NodeState) -> NodeState:
    """Rebuild the routing table if the running version or the usable members have changed.

    This happens when the table is to be used, at least once a tick. While a fleet starts, hundreds
    of records change within a second, and one table serves them all.
    """
    distribution, membership = state.distribution, state.membership
    generation = routing_generation(membership)
    basis = TableBasis(distribution.running_version, distribution.serving, generation)
    if basis == state.table_basis:
        return state
    if not distribution.serving:
        return replace_fields(state, table=NOT_SERVING_TABLE, table_basis=basis)
    members = {
        service: members_of_service(membership, service) for service in ready_services(membership)
    }
    table = build_routing_table(
        distribution.running_configuration, distribution.running_version, members, state.table
    )
    return replace_fields(state, table=table, table_basis=basis)


@singledispatch
def _knowledge_of(distribution: DistributionState | DocumentState) -> ConfigurationKnowledge:
    """Return how current the running version is known to be.

    The product's own log states no time as of which a version was the newest.
    """
    return UNCONFIRMED


@_knowledge_of.register
def _(distribution: DocumentState) -> ConfigurationKnowledge:
    # A version that was refused is not run, but it may contain keys that the running one lacks.
    return ConfigurationKnowledge(
        distribution.held_confirmed_ms,
        distribution.behind_since_ms is not None or distribution.is_superseded,
    )


def refresh_knowledge(state: NodeState) -> NodeState:
    """Tell the ingress how current the running version is known to be."""
    knowledge = _knowledge_of(state.distribution)
    if knowledge == state.outcomes.knowledge:
        return state
    return replace_fields(state, outcomes=replace_fields(state.outcomes, knowledge=knowledge))
