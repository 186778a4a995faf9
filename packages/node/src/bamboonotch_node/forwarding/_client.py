"""The ingress side of forwarding: attempts, fences and the streams they use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import Event
from bamboonotch_core.request_effects import CancelAttempt, ForwardAttempt, SendFence
from bamboonotch_core.request_events import AttemptLost, FenceAnswered, FenceState
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.backend import CallerRequest, OfferedWork, body_pieces, is_released
from bamboonotch_node.forwarding._frames import (
    build_request_head,
    decode_fence_state,
    decode_response_head,
)
from bamboonotch_node.forwarding._handlers import EffectHandlers
from bamboonotch_node.forwarding._incoming import IncomingAttempt
from bamboonotch_node.forwarding._outbox import OutgoingBody
from bamboonotch_node.forwarding._owner import OwnerSide
from bamboonotch_node.forwarding._pool import OwnerStream, StreamPool
from bamboonotch_node.forwarding._quotas import QuotaAsks
from bamboonotch_node.forwarding._stream import StreamIdentity
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["ForwardingClient"]

FENCE_RETRY_S = 0.1
# Streams that one response may lose before it is broken off.
MAX_RESUMPTIONS = 5


@dataclass
class _Fence:
    """A fence that waits for its answer.

    :param fence_id: names the question.
    :param effect: what to fence.
    :param incarnation: incarnation of the owner that the attempt was sent to.
    :param timer: ends the wait.
    """

    fence_id: str
    effect: SendFence
    incarnation: int
    timer: asyncio.TimerHandle


@dataclass
class _Resumption:
    """A response whose stream was lost, until the owner continues it over another one.

    :param timer: ends the wait.
    :param number: number of the last request to resume; 0 before the first.
    """

    attempt: IncomingAttempt
    timer: asyncio.TimerHandle
    number: int = 0


class ForwardingClient:
    """Carries attempts to their owners and reports what becomes of them.

    :param settings: settings of the node.
    :param incarnation: incarnation of this process.
    :param dispatch: takes each event.
    :param clock: monotonic clock in milliseconds.
    :param find_request: returns the caller's request with an id, or ``None`` when it is over.
    :param owner: the owner's side of this node.
    :param report: takes reports of faults.
    :param uplink: paces the bodies of all streams.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
        find_request: Callable[[str], CallerRequest | None],
        owner: OwnerSide,
        report: Callable[[Report], None],
        uplink: Uplink,
    ) -> None:
        self._node_id = settings.identity.node_id
        self._fence_timeout_s = settings.requests.fence_timeout_ms / 1000
        self._fence_prefix = f"{self._node_id}/{incarnation}"
        self._fence_number = 0
        self._dispatch = dispatch
        self._clock = clock
        self._find_request = find_request
        self._owner = owner
        self._report = report
        self._attempts: dict[str, IncomingAttempt] = {}
        self._by_request: dict[str, list[str]] = {}
        self._fences: dict[str, _Fence] = {}
        self._resumptions: dict[str, _Resumption] = {}
        self._resumption_number = 0
        identity = StreamIdentity(
            node_id=self._node_id,
            incarnation=incarnation,
            silent_ms=settings.requests.stream_silent_ms,
            pings=True,
        )
        self._pool = StreamPool(identity, self._frame_received, self._stream_lost, uplink)
        self._quotas = QuotaAsks(self._pool, dispatch, clock)

    def find_attempt(self, attempt_id: str) -> IncomingAttempt | None:
        """Return an attempt that has not been released.

        :param attempt_id: the attempt.
        """
        return self._attempts.get(attempt_id)

    def release(self, request_id: str) -> None:
        """Drop everything about a request whose caller has been answered or is gone.

        :param request_id: the request.
        """
        for attempt_id in self._by_request.pop(request_id, ()):
            attempt = self._attempts.pop(attempt_id)
            if not attempt.ended:
                self._cancel(attempt)
            elif attempt.request_body is not None:
                attempt.request_body.discard()

    async def close(self) -> None:
        """Close every stream and cancel every timer."""
        for fence in list(self._fences.values()):
            fence.timer.cancel()
        self._fences.clear()
        for resumption in self._resumptions.values():
            resumption.timer.cancel()
        self._resumptions.clear()
        await self._pool.close()

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect of the ingress side, by its type."""
        return {
            ForwardAttempt: self._forward_attempt,
            CancelAttempt: self._cancel_attempt,
            SendFence: self._send_fence_effect,
            **self._quotas.handlers,
        }

    def _forward_attempt(self, effect: ForwardAttempt) -> None:
        request = self._find_request(effect.request_id)
        if request is None:
            return
        attempt = IncomingAttempt(effect, self._dispatch, self._clock)
        self._attempts[effect.attempt_id] = attempt
        self._by_request.setdefault(effect.request_id, []).append(effect.attempt_id)
        if effect.owner_id == self._node_id:
            self._offer_locally(attempt, request)
        else:
            self._send(attempt, request)

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is not None and not attempt.ended:
            self._cancel(attempt)

    def _send_fence_effect(self, effect: SendFence) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is None:
            self._answer_fence(effect, FenceState.UNKNOWN)
        elif effect.owner_id == self._node_id:
            self._fence_locally(effect, attempt)
        elif attempt.owner_incarnation is None:
            # Nothing left for the owner, because no stream to it had opened.
            self._answer_fence(effect, FenceState.NOT_RUN)
        else:
            self._start_fence(effect, attempt.owner_incarnation)

    def _offer_locally(self, attempt: IncomingAttempt, request: CallerRequest) -> None:
        effect = attempt.effect
        work = OfferedWork(
            attempt_id=effect.attempt_id,
            service=effect.service,
            request_class=effect.request_class,
            deadline_ms=effect.deadline_ms,
            idempotent=effect.idempotent,
            idempotency_key=effect.idempotency_key,
            attempt=effect.attempt,
            request=request,
            returning=effect.returning,
            workspace=effect.workspace,
        )
        self._owner.offer(work, attempt, replayable=False)

    def _send(self, attempt: IncomingAttempt, request: CallerRequest) -> None:
        effect = attempt.effect
        stream = self._pool.obtain(effect.owner_id, effect.owner_address)
        if stream is None or is_released(request.body):
            self._lose(attempt, sent=False)
            return

        def build_head(data: bytes, last: bool) -> pb.ForwardFrame:
            assert stream.frames.peer is not None
            attempt.owner_incarnation = stream.frames.peer.incarnation
            remaining_ms = max(0.0, effect.deadline_ms - self._clock())
            # The configuration may have got workspaces while the stream was being opened.
            current = self._find_request(effect.request_id) or request
            return build_request_head(effect, current, remaining_ms, data, last)

        body = OutgoingBody(effect.attempt_id, stream.frames.outbox, build_head)
        attempt.request_body = body
        self._bind(attempt, stream)
        for piece in body_pieces(request.body):
            body.write(piece)
        body.finish(True)

    def _bind(self, attempt: IncomingAttempt, stream: OwnerStream) -> None:
        attempt_id = attempt.effect.attempt_id
        stream.attempts[attempt_id] = attempt
        stream.frames.note_use()
        attempt.on_ended = lambda: stream.release(attempt_id)

        def return_credit(size_bytes: int) -> None:
            stream.frames.send(
                pb.ForwardFrame(credit=pb.Credit(attempt_id=attempt_id, size_bytes=size_bytes))
            )

        attempt.return_credit = return_credit

    def _cancel(self, attempt: IncomingAttempt) -> None:
        effect = attempt.effect
        sent = attempt.is_sent()
        attempt.discard()
        self._drop_resumption(effect.attempt_id)
        if effect.owner_id == self._node_id:
            self._owner.cancel(effect.attempt_id)
            return
        stream = self._pool.find(effect.owner_id)
        if stream is None:
            return
        stream.release(effect.attempt_id)
        if sent:
            stream.frames.send(pb.ForwardFrame(cancel=pb.Cancel(attempt_id=effect.attempt_id)))

    def _lose(self, attempt: IncomingAttempt, sent: bool) -> None:
        effect = attempt.effect
        self._dispatch(
            AttemptLost(
                now_ms=self._clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                owner_id=effect.owner_id,
                sent=sent,
            )
        )

    def _stream_lost(self, stream: OwnerStream, reason: str) -> None:
        self._report(
            Report(
                "forward-stream-closed",
                (
                    ("owner_id", stream.owner_id),
                    ("address", stream.address),
                    ("reason", reason),
                    ("attempts", len(stream.attempts)),
                ),
            )
        )
        self._quotas.stream_lost(stream)
        for attempt_id, resumption in self._resumptions.items():
            if resumption.attempt.effect.owner_id == stream.owner_id:
                asyncio.get_running_loop().call_later(
                    FENCE_RETRY_S, self._ask_to_resume, attempt_id
                )
        for attempt in list(stream.attempts.values()):
            if attempt.ended:
                continue
            if attempt.head is not None:
                self._start_resumption(attempt)
                continue
            sent = attempt.is_sent()
            if attempt.request_body is not None:
                attempt.request_body.discard()
            self._lose(attempt, sent)
        for fence in list(self._fences.values()):
            if fence.effect.owner_id == stream.owner_id:
                asyncio.get_running_loop().call_later(FENCE_RETRY_S, self._ask_fence, fence)

    def _start_resumption(self, attempt: IncomingAttempt) -> None:
        attempt_id = attempt.effect.attempt_id
        attempt.detach()
        if attempt_id in self._resumptions:
            return
        attempt.resumptions += 1
        timer = asyncio.get_running_loop().call_later(
            self._fence_timeout_s, self._break_off, attempt_id, "no-answer"
        )
        self._resumptions[attempt_id] = _Resumption(attempt, timer)
        if attempt.resumptions > MAX_RESUMPTIONS:
            self._break_off(attempt_id, "too-many-streams-lost")
        else:
            self._ask_to_resume(attempt_id)

    def _ask_to_resume(self, attempt_id: str) -> None:
        resumption = self._resumptions.get(attempt_id)
        if resumption is None:
            return
        effect = resumption.attempt.effect
        stream = self._pool.obtain(effect.owner_id, effect.owner_address)
        if stream is None:
            self._break_off(attempt_id, "too-many-streams")
            return
        stream.when_open(lambda: self._send_resume(attempt_id, stream))

    def _send_resume(self, attempt_id: str, stream: OwnerStream) -> None:
        resumption = self._resumptions.get(attempt_id)
        if resumption is None or attempt_id in stream.attempts:
            return
        attempt, peer = resumption.attempt, stream.frames.peer
        if peer is None or peer.incarnation != attempt.owner_incarnation:
            # The process that held the response is gone, with what it held.
            self._break_off(attempt_id, "owner-restarted")
            return
        self._bind(attempt, stream)
        self._resumption_number += 1
        resumption.number = self._resumption_number
        stream.frames.send(
            pb.ForwardFrame(
                resume=pb.Resume(
                    attempt_id=attempt_id,
                    number=resumption.number,
                    received_bytes=attempt.received_bytes,
                    window_bytes=attempt.window_bytes,
                )
            )
        )

    def _resume_answered(self, reply: pb.ResumeReply) -> None:
        resumption = self._resumptions.get(reply.attempt_id)
        if resumption is None or resumption.number != reply.number:
            return
        if not reply.resumed:
            self._break_off(reply.attempt_id, "not-kept")
            return
        self._drop_resumption(reply.attempt_id)
        self._report_resumption("response-resumed", resumption.attempt)

    def _break_off(self, attempt_id: str, reason: str) -> None:
        resumption = self._resumptions.get(attempt_id)
        if resumption is None:
            return
        self._drop_resumption(attempt_id)
        attempt = resumption.attempt
        self._report_resumption("response-broken-off", attempt, ("reason", reason))
        stream = self._pool.find(attempt.effect.owner_id)
        if resumption.number and stream is not None:
            # The owner may still get the request to resume, and would keep the rest for nobody.
            stream.frames.send(pb.ForwardFrame(cancel=pb.Cancel(attempt_id=attempt_id)))
        attempt.finish(False)

    def _drop_resumption(self, attempt_id: str) -> None:
        resumption = self._resumptions.pop(attempt_id, None)
        if resumption is not None:
            resumption.timer.cancel()

    def _report_resumption(
        self, name: str, attempt: IncomingAttempt, *more: tuple[str, str]
    ) -> None:
        effect = attempt.effect
        place = (("attempt_id", effect.attempt_id), ("owner_id", effect.owner_id))
        size = ("received_bytes", attempt.received_bytes)
        self._report(Report(name, (*place, size, *more)))

    def _fence_locally(self, effect: SendFence, attempt: IncomingAttempt) -> None:
        self._owner.fence(
            effect.attempt_id,
            self._next_fence_id(),
            attempt,
            lambda state: self._answer_fence(effect, state),
        )

    def _next_fence_id(self) -> str:
        self._fence_number += 1
        return f"{self._fence_prefix}/{self._fence_number}"

    def _start_fence(self, effect: SendFence, incarnation: int) -> None:
        fence_id = self._next_fence_id()
        timer = asyncio.get_running_loop().call_later(
            self._fence_timeout_s, self._end_fence, fence_id, FenceState.UNKNOWN
        )
        fence = _Fence(fence_id, effect, incarnation, timer)
        self._fences[fence_id] = fence
        self._ask_fence(fence)

    def _ask_fence(self, fence: _Fence) -> None:
        attempt = self._attempts.get(fence.effect.attempt_id)
        if fence.fence_id not in self._fences:
            return
        stream = self._pool.obtain(fence.effect.owner_id, fence.effect.owner_address)
        if stream is None or attempt is None:
            self._end_fence(fence.fence_id, FenceState.UNKNOWN)
            return
        stream.when_open(lambda: self._send_fence(fence, attempt, stream))

    def _send_fence(self, fence: _Fence, attempt: IncomingAttempt, stream: OwnerStream) -> None:
        if fence.fence_id not in self._fences:
            return
        peer = stream.frames.peer
        if peer is None or peer.incarnation != fence.incarnation:
            # The process that held the attempt is gone, with what it knew.
            self._end_fence(fence.fence_id, FenceState.UNKNOWN)
            return
        self._bind(attempt, stream)
        stream.frames.send(
            pb.ForwardFrame(
                fence=pb.Fence(attempt_id=fence.effect.attempt_id, fence_id=fence.fence_id)
            )
        )

    def _end_fence(self, fence_id: str, state: FenceState) -> None:
        fence = self._fences.pop(fence_id, None)
        if fence is None:
            return
        fence.timer.cancel()
        self._answer_fence(fence.effect, state)

    def _drop_fences(self, attempt_id: str) -> None:
        """Stop waiting for fences of an attempt that the owner has answered meanwhile.

        :param attempt_id: the attempt.
        """
        for fence in list(self._fences.values()):
            if fence.effect.attempt_id == attempt_id:
                del self._fences[fence.fence_id]
                fence.timer.cancel()

    def _answer_fence(self, effect: SendFence, state: FenceState) -> None:
        self._dispatch(
            FenceAnswered(
                now_ms=self._clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                owner_id=effect.owner_id,
                state=state,
            )
        )

    def _frame_received(self, stream: OwnerStream, frame: pb.ForwardFrame) -> None:
        kind = frame.WhichOneof("body")
        if kind == "response_head":
            self._head_received(stream, frame.response_head)
        elif kind == "body_chunk":
            self._chunk_received(stream, frame.body_chunk)
        elif kind == "credit":
            attempt = stream.attempts.get(frame.credit.attempt_id)
            if attempt is not None and attempt.request_body is not None:
                attempt.request_body.add_credit(frame.credit.size_bytes)
        elif kind == "refusal":
            self._refusal_received(stream, frame.refusal)
        elif kind == "fence_reply":
            self._end_fence(frame.fence_reply.fence_id, decode_fence_state(frame.fence_reply.state))
        elif kind == "resume_reply":
            self._resume_answered(frame.resume_reply)
        elif kind == "quota_grant":
            self._quotas.take(stream, frame.quota_grant)

    def _head_received(self, stream: OwnerStream, head: pb.ResponseHead) -> None:
        attempt = stream.attempts.get(head.attempt_id)
        if attempt is None or attempt.head is not None:
            return
        try:
            start = decode_response_head(head)
        except MessageError as error:
            self._report(Report("bad-response-head", (("reason", str(error)),)))
            stream.frames.send(pb.ForwardFrame(cancel=pb.Cancel(attempt_id=head.attempt_id)))
            attempt.refuse(False, "malformed-response", head.load)
            return
        self._drop_fences(head.attempt_id)
        attempt.start(start)
        attempt.write(head.body)
        if head.last:
            attempt.finish(True)

    def _chunk_received(self, stream: OwnerStream, chunk: pb.BodyChunk) -> None:
        attempt = stream.attempts.get(chunk.attempt_id)
        if attempt is None or attempt.head is None:
            return
        if chunk.attempt_id in self._resumptions:
            raise MessageError("chunk of a response that has not been resumed")
        attempt.write(chunk.data)
        if chunk.last:
            attempt.finish(not chunk.aborted)

    def _refusal_received(self, stream: OwnerStream, refusal: pb.Refusal) -> None:
        attempt = stream.attempts.get(refusal.attempt_id)
        if attempt is not None:
            self._drop_fences(refusal.attempt_id)
            attempt.refuse(refusal.not_run, refusal.reason[:128], refusal.load)
