"""Quotas in the state of a whole node."""

from __future__ import annotations

from collections.abc import Callable

from bamboonotch_core._quota_part import (
    elect,
    held_shards,
    reduce_lender,
    refresh_lenders,
    set_configuration,
)
from bamboonotch_core.events import Event
from bamboonotch_core.membership import own_record
from bamboonotch_core.quota_events import QuotaAsked, QuotaShardsChanged, ShardHeld, ShardLost
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.state import NodeState
from bamboonotch_core.transition import Transition

__all__ = ["elect_lenders", "reduce_quota_event", "refresh_node_lenders"]

NodeTransition = Transition[NodeState]
Reducer = Callable[[Event, NodeState], NodeTransition]


def refresh_node_lenders(state: NodeState) -> NodeState:
    """Let the ingress know the lenders of tokens, while any workspace has a limit.

    :param state: the state of the node.
    """
    quota = set_configuration(state.quota, state.distribution.running_configuration)
    quota = refresh_lenders(quota, state.membership.directory)
    if quota is state.quota and quota.lenders is state.outcomes.quotas.lenders:
        return state
    borrower = replace_fields(state.outcomes.quotas, lenders=quota.lenders)
    outcomes = replace_fields(state.outcomes, quotas=borrower)
    return replace_fields(state, quota=quota, outcomes=outcomes)


def reduce_quota_event(
    event: QuotaAsked | ShardHeld | ShardLost, state: NodeState, reduce_control: Reducer
) -> NodeTransition:
    """Handle an event of the lender's side.

    :param state: the state of the node.
    :param reduce_control: reducer of the control part, which publishes the shards.
    """
    quota = set_configuration(state.quota, state.distribution.running_configuration)
    step = reduce_lender(quota, event, state.outcomes.settings.quotas)
    state = replace_fields(state, quota=step.state)
    published = _publish_shards(state, event.now_ms, reduce_control)
    return Transition(published.state, step.effects + published.effects)


def elect_lenders(
    transition: NodeTransition, now_ms: float, reduce_control: Reducer
) -> NodeTransition:
    """End lapsed shards, and decide which shards this node competes for.

    :param transition: what the event has done so far.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    :param reduce_control: reducer of the control part, which publishes the shards.
    """
    state = transition.state
    quota = set_configuration(state.quota, state.distribution.running_configuration)
    may_lend = state.distribution.serving and state.shutdown_deadline_ms is None
    settings = state.outcomes.settings.quotas
    step = elect(quota, state.membership, settings, may_lend, now_ms)
    if not step.effects and step.state is state.quota:
        return transition
    published = _publish_shards(replace_fields(state, quota=step.state), now_ms, reduce_control)
    effects = transition.effects + step.effects + published.effects
    return Transition(published.state, effects)


def _publish_shards(state: NodeState, now_ms: float, reduce_control: Reducer) -> NodeTransition:
    """Tell the members which shards this node lends tokens for, if that has changed."""
    shards = held_shards(state.quota)
    if shards == own_record(state.membership).quota_shards:
        return Transition(state)
    return reduce_control(QuotaShardsChanged(now_ms, shards), state)
