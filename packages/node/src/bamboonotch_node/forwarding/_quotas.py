"""Asks for tokens of workspaces' quotas, and the answers to them, on forward streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import Event
from bamboonotch_core.quota_events import (
    QuotaAnswered,
    QuotaAsked,
    QuotaAskLost,
    QuotaResult,
    SendQuotaAsk,
    SendQuotaGrant,
)
from bamboonotch_node.forwarding._handlers import EffectHandlers
from bamboonotch_node.forwarding._pool import OwnerStream, StreamPool
from bamboonotch_node.forwarding._stream import FrameStream
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["QuotaAnswers", "QuotaAsks"]

MAX_TEXT_CHARACTERS = 128
MAX_TOKENS = 10_000
MAX_SHARDS = 256
MAX_WAIT_MS = 3_600_000.0
# A lender that has not answered by then never will; an older version ignores the question.
FORGET_ASK_S = 5.0

_RESULT_TO_WIRE: dict[QuotaResult, Any] = {
    result: pb.QuotaResult.Value(f"QUOTA_RESULT_{result.name}") for result in QuotaResult
}
_RESULT_FROM_WIRE = {number: result for result, number in _RESULT_TO_WIRE.items()}


class QuotaAsks:
    """Sends this node's asks to lenders and reports their answers.

    :param pool: streams to other nodes, opened on demand.
    :param dispatch: takes each event.
    :param clock: clock that goes on during pauses, in milliseconds.
    """

    def __init__(
        self, pool: StreamPool, dispatch: Callable[[Event], None], clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._dispatch = dispatch
        self._clock = clock

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect of the borrower, by its type."""
        return {SendQuotaAsk: self._send}

    def _send(self, effect: SendQuotaAsk) -> None:
        stream = self._pool.obtain(effect.lender_id, effect.lender_address)
        if stream is None:
            self._dispatch(QuotaAskLost(self._clock(), effect.ask_id))
            return
        now_s = asyncio.get_running_loop().time()
        stream.note_ask(effect.ask_id, now_s, now_s - FORGET_ASK_S)
        ask = pb.QuotaAsk(
            ask_id=effect.ask_id,
            shard=effect.shard,
            workspace=effect.workspace,
            tokens=effect.tokens,
        )
        stream.frames.send(pb.ForwardFrame(quota_ask=ask))

    def take(self, stream: OwnerStream, grant: pb.QuotaGrant) -> None:
        """Report a lender's answer.

        :param stream: the stream that it came over.
        :param grant: the answer.
        :raises MessageError: when a field is out of range.
        """
        result = _RESULT_FROM_WIRE.get(grant.result)
        # Written so that a wait that is not a number is refused as well.
        if result is None or grant.tokens > MAX_TOKENS or not 0 <= grant.wait_ms <= MAX_WAIT_MS:
            raise MessageError("result, tokens or wait_ms of a quota grant is out of range")
        if stream.asks.pop(grant.ask_id, None) is None:
            return
        self._dispatch(
            QuotaAnswered(self._clock(), grant.ask_id, result, grant.tokens, grant.wait_ms)
        )

    def stream_lost(self, stream: OwnerStream) -> None:
        """Report the asks that were not answered.

        :param stream: the stream that has ended.
        """
        asks, stream.asks = stream.asks, {}
        for ask_id in asks:
            self._dispatch(QuotaAskLost(self._clock(), ask_id))


class QuotaAnswers:
    """Reports the asks of other nodes and sends the answers.

    :param dispatch: takes each event.
    :param clock: clock that goes on during pauses, in milliseconds.
    """

    def __init__(self, dispatch: Callable[[Event], None], clock: Callable[[], float]) -> None:
        self._dispatch = dispatch
        self._clock = clock
        self._streams: dict[str, FrameStream] = {}
        self._names: dict[FrameStream, str] = {}
        self._last_number = 0

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect of the lender, by its type."""
        return {SendQuotaGrant: self._send}

    def take(self, frames: FrameStream, ask: pb.QuotaAsk) -> None:
        """Report an ask.

        :param frames: the stream that it came over.
        :param ask: the ask.
        :raises MessageError: when a field is out of range.
        """
        if not 0 < len(ask.workspace) <= MAX_TEXT_CHARACTERS:
            raise MessageError("workspace of a quota ask is empty or too long")
        if not 0 < ask.tokens <= MAX_TOKENS or ask.shard >= MAX_SHARDS:
            raise MessageError("tokens or shard of a quota ask is out of range")
        name = self._names.get(frames)
        if name is None:
            self._last_number += 1
            name = str(self._last_number)
            self._names[frames] = name
            self._streams[name] = frames
        self._dispatch(
            QuotaAsked(self._clock(), name, ask.ask_id, ask.shard, ask.workspace, ask.tokens)
        )

    def stream_lost(self, frames: FrameStream) -> None:
        """Forget a stream that has ended.

        :param frames: the stream.
        """
        name = self._names.pop(frames, None)
        if name is not None:
            del self._streams[name]

    def _send(self, effect: SendQuotaGrant) -> None:
        frames = self._streams.get(effect.asker)
        if frames is None:
            return
        grant = pb.QuotaGrant(
            ask_id=effect.ask_id,
            result=_RESULT_TO_WIRE[effect.result],
            tokens=effect.tokens,
            wait_ms=effect.wait_ms,
        )
        frames.send(pb.ForwardFrame(quota_grant=grant))
