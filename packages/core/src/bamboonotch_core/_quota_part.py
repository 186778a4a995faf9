"""Quotas in the composed reducer: the lender's events, own asks and the competition for shards."""

from __future__ import annotations

import math
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.configuration import EMPTY_CONFIGURATION, Configuration
from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.membership import Directory, MembershipState, neighbours, own_record
from bamboonotch_core.outcomes import OutcomeState, reduce_outcomes
from bamboonotch_core.quota_events import (
    CompeteForShards,
    QuotaAnswered,
    QuotaAsked,
    SendQuotaAsk,
    SendQuotaGrant,
    ShardHeld,
    ShardLost,
)
from bamboonotch_core.quotas import (
    Lender,
    LenderState,
    choose_shards,
    expire_shards,
    find_lenders,
    has_limits,
    hold_shard,
    lend_tokens,
    lose_shard,
    note_vacant,
)
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.routing import RoutingTable
from bamboonotch_core.settings import QuotaSettings
from bamboonotch_core.transition import Transition

__all__ = [
    "QuotaPart",
    "answer_own_asks",
    "elect",
    "held_shards",
    "reduce_lender",
    "refresh_lenders",
    "set_configuration",
]

# Choosing competitors sorts the members, which takes milliseconds with 1,600 of them.
ELECTION_INTERVAL_MS = 200.0
# Answers to its own asks that a node handles within one event; an answer brings another ask only
# when it granted something.
MAX_OWN_ROUNDS = 8


@dataclass(frozen=True)
class QuotaPart:
    """State of the lender's side and of the competition for shards.

    :param lender: shards held and buckets.
    :param configuration: the running configuration as last seen.
    :param limited: whether it has a workspace with a limit.
    :param directory: directory as of which ``lenders`` were found, or ``None``.
    :param lenders: lenders of each shard; empty while no workspace has a limit.
    :param vacant: since when each shard is without a lender.
    :param wanted: shards that this node holds or competes for.
    :param next_election_ms: when the competitors are chosen again, in milliseconds.
    """

    lender: LenderState = LenderState()
    configuration: Configuration = EMPTY_CONFIGURATION
    limited: bool = False
    directory: Directory | None = None
    lenders: Map[int, tuple[Lender, ...]] = Map()
    vacant: Map[int, float] = Map()
    wanted: tuple[int, ...] = ()
    next_election_ms: float = -math.inf


Step = Transition[QuotaPart]


def held_shards(part: QuotaPart) -> tuple[int, ...]:
    """Return the shards that this node lends tokens for, in order."""
    return tuple(sorted(part.lender.shards))


def set_configuration(part: QuotaPart, configuration: Configuration) -> QuotaPart:
    """Take note of the running configuration.

    :param configuration: the running configuration.
    """
    if configuration is part.configuration:
        return part
    return replace_fields(part, configuration=configuration, limited=has_limits(configuration))


def refresh_lenders(part: QuotaPart, directory: Directory) -> QuotaPart:
    """Find the lenders again if a member record has changed.

    :param directory: all member records.
    """
    if not part.limited or directory is part.directory:
        return part
    lenders = find_lenders(directory.records.values())
    if lenders == part.lenders:
        lenders = part.lenders
    return replace_fields(part, directory=directory, lenders=lenders)


def reduce_lender(
    part: QuotaPart, event: QuotaAsked | ShardHeld | ShardLost, settings: QuotaSettings
) -> Step:
    """Handle an ask, or what the store says of a shard.

    :param settings: section ``[quotas]``.
    """
    expired = expire_shards(part.lender, part.configuration, settings, event.now_ms)
    if isinstance(event, QuotaAsked):
        step = lend_tokens(expired.state, event, part.configuration, settings)
    elif isinstance(event, ShardHeld):
        step = hold_shard(expired.state, event, settings)
    else:
        step = lose_shard(expired.state, event, settings)
    return Transition(replace_fields(part, lender=step.state), expired.effects + step.effects)


def answer_own_asks(
    part: QuotaPart,
    outcomes: Transition[OutcomeState],
    table: RoutingTable,
    settings: QuotaSettings,
    now_ms: float,
) -> tuple[QuotaPart, Transition[OutcomeState]]:
    """Answer the asks that this node sends to itself, without a message.

    :param outcomes: what the ingress has done with an event.
    :param settings: section ``[quotas]``.
    :param now_ms: time of the event.
    """
    own_id = outcomes.state.settings.identity.node_id
    effects: list[Effect] = []
    waiting = outcomes.effects
    state = outcomes.state
    for _ in range(MAX_OWN_ROUNDS):
        asks = [item for item in waiting if _is_own_ask(item, own_id)]
        effects.extend(item for item in waiting if not _is_own_ask(item, own_id))
        waiting = ()
        for ask in asks:
            assert isinstance(ask, SendQuotaAsk)
            asked = QuotaAsked(now_ms, "", ask.ask_id, ask.shard, ask.workspace, ask.tokens)
            lent = reduce_lender(part, asked, settings)
            part = lent.state
            for effect in lent.effects:
                if not isinstance(effect, SendQuotaGrant):
                    effects.append(effect)
                    continue
                answer = QuotaAnswered(
                    now_ms, effect.ask_id, effect.result, effect.tokens, effect.wait_ms
                )
                step = reduce_outcomes(state, answer, table)
                state = step.state
                waiting = (*waiting, *step.effects)
        if not waiting:
            break
    effects.extend(item for item in waiting if not _is_own_ask(item, own_id))
    return part, Transition(state, tuple(effects))


def _is_own_ask(effect: Effect, own_id: str) -> bool:
    return isinstance(effect, SendQuotaAsk) and effect.lender_id == own_id


def elect(
    part: QuotaPart,
    membership: MembershipState,
    settings: QuotaSettings,
    may_lend: bool,
    now_ms: float,
) -> Step:
    """End lapsed shards, and decide which shards this node holds or competes for.

    :param membership: the state of the membership.
    :param settings: section ``[quotas]``.
    :param may_lend: whether this node serves and does not shut down.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    expired = expire_shards(part.lender, part.configuration, settings, now_ms)
    part = replace_fields(part, lender=expired.state)
    if not (part.limited and may_lend):
        part = replace_fields(part, vacant=Map())
        chosen = _want(part, ())
        return Transition(chosen.state, expired.effects + chosen.effects)
    part = refresh_lenders(part, membership.directory)
    vacant = note_vacant(part.vacant, part.lenders, settings.shards, now_ms)
    changed = vacant is not part.vacant
    part = replace_fields(part, vacant=vacant)
    if not changed and now_ms < part.next_election_ms:
        return Transition(part, expired.effects)
    part = replace_fields(part, next_election_ms=now_ms + ELECTION_INTERVAL_MS)
    competing = choose_shards(
        vacant,
        membership.directory.records.values() if vacant else (),
        own_record(membership).node_id,
        not neighbours(membership),
        now_ms,
    )
    chosen = _want(part, tuple(sorted({*competing, *held_shards(part)})))
    return Transition(chosen.state, expired.effects + chosen.effects)


def _want(part: QuotaPart, shards: tuple[int, ...]) -> Step:
    if shards == part.wanted:
        return Transition(part)
    report = Report("quota-shards-wanted", (("shards", " ".join(map(str, shards))),))
    return Transition(replace_fields(part, wanted=shards), (CompeteForShards(shards), report))
