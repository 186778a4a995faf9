"""The borrower's side: tokens of a node, the ask in progress and requests that wait for it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from immutables import Map

from bamboonotch_core.effects import Effect
from bamboonotch_core.quota_events import (
    QuotaAnswered,
    QuotaAskLost,
    QuotaResult,
    SendQuotaAsk,
)
from bamboonotch_core.quotas._election import Lender
from bamboonotch_core.quotas._shards import shard_of
from bamboonotch_core.quotas._tokens import (
    TokenLot,
    WorkspaceTokens,
    ask_ahead_tokens,
    note_arrival,
    take_token,
    token_end_ms,
    usable_lots,
)
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.settings import QuotaSettings

__all__ = [
    "AskResult",
    "BorrowerState",
    "Decision",
    "RefusalCause",
    "drop_workspaces",
    "expire_asks",
    "forget_waiting",
    "request_token",
    "take_answer",
    "take_loss",
]

# An ask that was lost or reached a node that is not the lender is sent again this often.
MAX_REPEATS = 1
# After a failure the lender is asked again once in this time, and requests are refused at once.
FAILURE_PAUSE_MS = 200.0
# A member that is not the lender is asked again after this time, if it still says that it is.
WRONG_LENDER_MS = 1000.0
MAX_ASKED_TOKENS = 10_000


class RefusalCause(Enum):
    """Why a request gets no token, with its name in the log as the value."""

    EXHAUSTED = "exhausted"
    NO_LENDER = "no-lender"
    NO_ANSWER = "no-answer"
    NOT_LENDER = "not-lender"
    UNKNOWN_WORKSPACE = "unknown-workspace"


@dataclass(frozen=True)
class Ask:
    """An ask that is not answered yet.

    :param asked_ms: when it was sent, in milliseconds; tokens are valid from then on.
    :param repeats: how often it was sent before.
    """

    ask_id: int
    workspace: str
    shard: int
    lender: Lender
    asked_ms: float
    repeats: int = 0


@dataclass(frozen=True)
class Closing:
    """Why requests of a workspace are refused without an ask.

    :param until_ms: until when, in milliseconds.
    :param decided_ms: as of when the cause holds: the sending of the ask that showed it.
    """

    cause: RefusalCause
    until_ms: float
    decided_ms: float
    lender_id: str = ""


@dataclass(frozen=True)
class BorrowerState:
    """What a node knows as a borrower; lost with the process.

    :param lenders: lenders of each shard, as the member records say.
    :param tokens: tokens of each workspace that has had requests here.
    :param asks: asks that are not answered yet, by id; one for each workspace at most.
    :param closings: workspaces whose requests are refused for now.
    :param wrong_lenders: records that named a node as the lender wrongly, until when they are left
        out, by node id, incarnation and sequence.
    :param next_ask_id: id of the next ask.
    :param refused: requests refused so far, by shard.
    """

    lenders: Map[int, tuple[Lender, ...]] = Map()
    tokens: Map[str, WorkspaceTokens] = Map()
    asks: Map[int, Ask] = Map()
    closings: Map[str, Closing] = Map()
    wrong_lenders: Map[tuple[str, int, int], float] = Map()
    next_ask_id: int = 1
    refused: Map[int, int] = Map()


@dataclass(frozen=True)
class Decision:
    """What becomes of one request.

    :param granted: whether it has a token.
    :param closing: why it is refused; ``None`` while it waits or when it has a token.
    """

    state: BorrowerState
    granted: bool = False
    closing: Closing | None = None
    effects: tuple[Effect, ...] = ()


@dataclass(frozen=True)
class AskResult:
    """What the end of an ask means for the requests that waited.

    :param granted: ids of the requests that have a token now.
    :param refused: ids of the requests that get none.
    :param closing: why they get none.
    """

    state: BorrowerState
    granted: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    closing: Closing | None = None
    effects: tuple[Effect, ...] = ()


def request_token(
    state: BorrowerState,
    settings: QuotaSettings,
    workspace: str,
    request_id: str,
    now_ms: float,
) -> Decision:
    """Take a token for a request, let it wait for one or refuse it.

    :param settings: section ``[quotas]``.
    :param workspace: workspace of the request, which has a limit.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    known = note_arrival(state.tokens.get(workspace, WorkspaceTokens()), now_ms)
    lots = usable_lots(known.lots, now_ms)
    if lots:
        known = replace_fields(known, lots=take_token(lots))
        state = _with_tokens(state, workspace, known)
        return _ask_ahead(state, settings, workspace, known, now_ms)
    known = replace_fields(known, lots=())
    if known.ask_id:
        waiting = replace_fields(known, waiting=(*known.waiting, request_id))
        return Decision(_with_tokens(state, workspace, waiting))
    closing = _closing_of(state, workspace, now_ms)
    if closing is not None:
        state = _count_refused(_with_tokens(state, workspace, known), settings, workspace, 1)
        return Decision(state, closing=closing)
    known = replace_fields(known, waiting=(request_id,))
    state, effects = _ask(_with_tokens(state, workspace, known), settings, workspace, now_ms, 0)
    if effects:
        return Decision(state, effects=effects)
    closing = Closing(RefusalCause.NO_LENDER, now_ms, now_ms)
    state = _with_tokens(state, workspace, replace_fields(known, waiting=()))
    return Decision(_count_refused(state, settings, workspace, 1), closing=closing)


def take_answer(state: BorrowerState, settings: QuotaSettings, event: QuotaAnswered) -> AskResult:
    """Handle the answer to an ask; one that comes after the ask was given up counts for nothing.

    :param settings: section ``[quotas]``.
    """
    ask = state.asks.get(event.ask_id)
    if ask is None:
        return AskResult(state)
    state, known = _end_ask(state, ask)
    if event.result is QuotaResult.NOT_LENDER:
        record = (ask.lender.node_id, ask.lender.incarnation, ask.lender.sequence)
        until_ms = event.now_ms + WRONG_LENDER_MS
        state = replace_fields(state, wrong_lenders=state.wrong_lenders.set(record, until_ms))
        return _repeat_or_fail(state, settings, ask, RefusalCause.NOT_LENDER, event.now_ms)
    if event.result is QuotaResult.UNKNOWN_WORKSPACE:
        return _fail(state, settings, ask, RefusalCause.UNKNOWN_WORKSPACE, event.now_ms)
    end_ms = token_end_ms(ask.asked_ms, event.now_ms, settings.validity_ms)
    if event.tokens and event.now_ms >= end_ms:
        return _repeat_or_fail(state, settings, ask, RefusalCause.NO_ANSWER, event.now_ms)
    granted, rest = known.waiting[: event.tokens], known.waiting[event.tokens :]
    left = event.tokens - len(granted)
    lots = (*known.lots, TokenLot(left, end_ms)) if left else known.lots
    known = replace_fields(known, lots=lots, waiting=rest)
    state = _with_tokens(state, ask.workspace, known)
    if event.wait_ms > 0:
        closing = _make_closing(ask, RefusalCause.EXHAUSTED, event.now_ms, event.wait_ms)
        state = _close(state, settings, ask, closing)
        return AskResult(state, granted, rest, closing)
    if not rest:
        return AskResult(state, granted)
    # These requests have come after the ask was sent.
    state, effects = _ask(state, settings, ask.workspace, event.now_ms, 0)
    if effects:
        return AskResult(state, granted, effects=effects)
    return replace_fields(
        _fail(state, settings, ask, RefusalCause.NO_LENDER, event.now_ms), granted=granted
    )


def take_loss(state: BorrowerState, settings: QuotaSettings, event: QuotaAskLost) -> AskResult:
    """Handle an ask whose stream was lost; what was granted for it is lost as well.

    :param settings: section ``[quotas]``.
    """
    ask = state.asks.get(event.ask_id)
    if ask is None:
        return AskResult(state)
    state, _ = _end_ask(state, ask)
    return _repeat_or_fail(state, settings, ask, RefusalCause.NO_ANSWER, event.now_ms)


def expire_asks(
    state: BorrowerState, settings: QuotaSettings, now_ms: float
) -> tuple[AskResult, ...]:
    """Give up asks whose tokens would be of no use any more; the state is that of the last result.

    :param settings: section ``[quotas]``.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    results: list[AskResult] = []
    for ask in state.asks.values():
        if now_ms >= ask.asked_ms + settings.validity_ms:
            state, _ = _end_ask(state, ask)
            results.append(_fail(state, settings, ask, RefusalCause.NO_ANSWER, now_ms))
            state = results[-1].state
    return tuple(results)


def forget_waiting(state: BorrowerState, workspace: str, request_id: str) -> BorrowerState:
    """Remove a request that waits no longer.

    :param workspace: its workspace.
    """
    known = state.tokens.get(workspace)
    if known is None or request_id not in known.waiting:
        return state
    waiting = tuple(item for item in known.waiting if item != request_id)
    return _with_tokens(state, workspace, replace_fields(known, waiting=waiting))


def drop_workspaces(state: BorrowerState, kept: Map[str, object], now_ms: float) -> BorrowerState:
    """Drop what is known of workspaces that are not in the configuration any more.

    :param kept: the workspaces of the configuration.
    :param now_ms: clock that goes on during pauses, in milliseconds.
    """
    tokens, closings, wrong = state.tokens, state.closings, state.wrong_lenders
    for name, known in state.tokens.items():
        if name not in kept and not known.ask_id:
            tokens = tokens.delete(name)
    for name, closing in state.closings.items():
        if closing.until_ms <= now_ms:
            closings = closings.delete(name)
    for record, until_ms in state.wrong_lenders.items():
        if until_ms <= now_ms:
            wrong = wrong.delete(record)
    return replace_fields(state, tokens=tokens, closings=closings, wrong_lenders=wrong)


def _with_tokens(state: BorrowerState, workspace: str, known: WorkspaceTokens) -> BorrowerState:
    return replace_fields(state, tokens=state.tokens.set(workspace, known))


def _closing_of(state: BorrowerState, workspace: str, now_ms: float) -> Closing | None:
    closing = state.closings.get(workspace)
    return closing if closing is not None and now_ms < closing.until_ms else None


def _count_refused(
    state: BorrowerState, settings: QuotaSettings, workspace: str, count: int
) -> BorrowerState:
    shard = shard_of(workspace, settings.shards)
    refused = state.refused.get(shard, 0) + count
    return replace_fields(state, refused=state.refused.set(shard, refused)) if count else state


def _make_closing(ask: Ask, cause: RefusalCause, now_ms: float, wait_ms: float) -> Closing:
    return Closing(cause, now_ms + wait_ms, ask.asked_ms, ask.lender.node_id)


def _ask_ahead(
    state: BorrowerState,
    settings: QuotaSettings,
    workspace: str,
    known: WorkspaceTokens,
    now_ms: float,
) -> Decision:
    """Ask for further tokens before those held are used up, when requests come often."""
    wanted = ask_ahead_tokens(known, now_ms)
    held = sum(lot.tokens for lot in known.lots)
    due = not known.ask_id and 2 * held <= wanted
    if not due or not wanted or _closing_of(state, workspace, now_ms) is not None:
        return Decision(state, granted=True)
    state, effects = _ask(state, settings, workspace, now_ms, 0)
    return Decision(state, granted=True, effects=effects)


def _find_lender(state: BorrowerState, shard: int, now_ms: float) -> Lender | None:
    for lender in state.lenders.get(shard, ()):
        record = (lender.node_id, lender.incarnation, lender.sequence)
        if state.wrong_lenders.get(record, -math.inf) <= now_ms:
            return lender
    return None


def _ask(
    state: BorrowerState, settings: QuotaSettings, workspace: str, now_ms: float, repeats: int
) -> tuple[BorrowerState, tuple[Effect, ...]]:
    """Send an ask for the waiting requests and those expected, if there is a lender."""
    shard = shard_of(workspace, settings.shards)
    lender = _find_lender(state, shard, now_ms)
    if lender is None:
        return state, ()
    known = state.tokens[workspace]
    tokens = max(1, len(known.waiting) + ask_ahead_tokens(known, now_ms))
    ask = Ask(state.next_ask_id, workspace, shard, lender, now_ms, repeats)
    effect = SendQuotaAsk(
        ask.ask_id,
        lender.node_id,
        lender.peer_address,
        shard,
        workspace,
        min(MAX_ASKED_TOKENS, tokens),
    )
    state = replace_fields(
        state,
        tokens=state.tokens.set(workspace, replace_fields(known, ask_id=ask.ask_id)),
        asks=state.asks.set(ask.ask_id, ask),
        next_ask_id=ask.ask_id + 1,
    )
    return state, (effect,)


def _end_ask(state: BorrowerState, ask: Ask) -> tuple[BorrowerState, WorkspaceTokens]:
    known = replace_fields(state.tokens[ask.workspace], ask_id=0)
    state = replace_fields(state, asks=state.asks.delete(ask.ask_id))
    return _with_tokens(state, ask.workspace, known), known


def _repeat_or_fail(
    state: BorrowerState, settings: QuotaSettings, ask: Ask, cause: RefusalCause, now_ms: float
) -> AskResult:
    if state.tokens[ask.workspace].waiting and ask.repeats < MAX_REPEATS:
        state, effects = _ask(state, settings, ask.workspace, now_ms, ask.repeats + 1)
        if effects:
            return AskResult(state, effects=effects)
    return _fail(state, settings, ask, cause, now_ms)


def _fail(
    state: BorrowerState, settings: QuotaSettings, ask: Ask, cause: RefusalCause, now_ms: float
) -> AskResult:
    """Refuse the waiting requests, and those to come for a short time."""
    waiting = state.tokens[ask.workspace].waiting
    closing = _make_closing(ask, cause, now_ms, FAILURE_PAUSE_MS)
    return AskResult(_close(state, settings, ask, closing), refused=waiting, closing=closing)


def _close(
    state: BorrowerState, settings: QuotaSettings, ask: Ask, closing: Closing
) -> BorrowerState:
    """Let no request wait, and ask for none until a time."""
    known = state.tokens[ask.workspace]
    state = _with_tokens(state, ask.workspace, replace_fields(known, waiting=()))
    state = replace_fields(state, closings=state.closings.set(ask.workspace, closing))
    return _count_refused(state, settings, ask.workspace, len(known.waiting))
