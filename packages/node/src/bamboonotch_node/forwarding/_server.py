"""The owner's end of forward streams."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc

from bamboonotch_core.effects import Report
from bamboonotch_core.errors import MessageError
from bamboonotch_core.request_events import FenceState
from bamboonotch_core.settings import NodeSettings, RequestSettings
from bamboonotch_node.backend import Body, FlowControl, OfferedWork, ResponseStart
from bamboonotch_node.caller_memory import CallerMemory, head_memory_bytes
from bamboonotch_node.forwarding._frames import (
    MAX_ID_CHARACTERS,
    build_response_head,
    check_request_head,
    decode_request,
    encode_fence_state,
)
from bamboonotch_node.forwarding._outbox import WINDOW_BYTES, HeadBuilder, OutgoingBody
from bamboonotch_node.forwarding._owned_attempt import ResumePosition
from bamboonotch_node.forwarding._owner import OwnerSide
from bamboonotch_node.forwarding._quotas import QuotaAnswers
from bamboonotch_node.forwarding._stream import FrameStream, StreamIdentity
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["ForwardingServer"]

MAX_STREAMS = 4096


class _StreamSink:
    """Sends the answer to one attempt over a stream.

    :param attempt_id: the attempt.
    :param frames: the stream.
    :param ended: called when the last frame has left.
    :param acknowledged: called with the size of what the other end has passed on, in bytes.
    """

    def __init__(
        self,
        attempt_id: str,
        frames: FrameStream,
        ended: Callable[[str], None],
        acknowledged: Callable[[_StreamSink, int], None],
    ) -> None:
        self._attempt_id = attempt_id
        self._frames = frames
        self._ended = ended
        self._acknowledged = acknowledged
        self._body: OutgoingBody | None = None
        self._source: FlowControl | None = None

    def set_source(self, source: FlowControl) -> None:
        """Name the source to hold up when the outbox is full.

        :param source: the source.
        """
        self._source = source
        if self._body is not None:
            self._body.source = source

    def start(self, head: ResponseStart) -> None:
        """Send the head of the response, together with the first bytes of the body.

        :param head: the head.
        """

        def build_head(data: bytes, last: bool) -> pb.ForwardFrame:
            uplink_ms = self._frames.outbox.uplink.backlog_ms()
            return build_response_head(self._attempt_id, head, uplink_ms, data, last)

        self._frames.outbox.enqueue(self._make_body(build_head))

    def start_after_head(self, window_bytes: int) -> None:
        """Continue a response whose head and first bytes have left on another stream.

        :param window_bytes: body bytes that may leave before any credit.
        """

        def build_head(data: bytes, last: bool) -> pb.ForwardFrame:
            raise AssertionError("the head has left on another stream")

        self._make_body(build_head).skip_head(window_bytes)

    def _make_body(self, build_head: HeadBuilder) -> OutgoingBody:
        self._body = OutgoingBody(self._attempt_id, self._frames.outbox, build_head)
        self._body.source = self._source
        self._body.on_sent = lambda: self._ended(self._attempt_id)
        return self._body

    def write(self, data: bytes) -> None:
        """Send a piece of the body.

        :param data: the piece.
        """
        if self._body is not None:
            self._body.write(data)

    def finish(self, complete: bool) -> None:
        """Send the end of the body.

        :param complete: whether all of it arrived.
        """
        if self._body is not None:
            self._body.finish(complete)

    def refuse(self, not_run: bool, reason: str, load: int) -> None:
        """Send a refusal.

        :param not_run: whether the attempt was provably not dispatched.
        :param reason: why, lower case with dashes.
        :param load: work in slots and queue.
        """
        self._ended(self._attempt_id)
        refusal = pb.Refusal(
            attempt_id=self._attempt_id, not_run=not_run, reason=reason, load=max(0, load)
        )
        self._frames.send(pb.ForwardFrame(refusal=refusal))

    def add_credit(self, size_bytes: int) -> None:
        """Allow more bytes of the response.

        :param size_bytes: how many.
        :raises MessageError: when the credit exceeds the window.
        """
        if self._body is not None:
            self._body.add_credit(size_bytes)
            self._acknowledged(self, size_bytes)

    def is_responding(self) -> bool:
        """Tell whether a response has begun to leave."""
        return self._body is not None

    def discard(self) -> None:
        """Send nothing more."""
        if self._body is not None:
            self._body.discard()


class _PartialRequest:
    """An attempt until its body is complete, and the memory that it takes until its end.

    :param head: its head.
    :param deadline_ms: when the caller stops waiting, on this node's monotonic clock.
    :param server: counts the memory.
    """

    def __init__(self, head: pb.RequestHead, deadline_ms: float, server: ForwardingServer) -> None:
        self.head = head
        self.deadline_ms = deadline_ms
        self.body = Body(self._release)
        self._server = server
        self._held_bytes = 0

    def reserve_head(self) -> bool:
        """Reserve the memory of the head, or return ``False`` when it is exhausted."""
        size_bytes = sum(len(field.name) + len(field.value) for field in self.head.headers)
        return self._reserve(head_memory_bytes(size_bytes, len(self.head.headers)))

    def append(self, data: bytes) -> bool:
        """Append to the body, or return ``False`` when memory is exhausted.

        :param data: the bytes.
        """
        if not self._reserve(len(data)):
            return False
        self.body.append(data)
        return True

    def _reserve(self, size_bytes: int) -> bool:
        if not self._server.reserve_body_bytes(size_bytes):
            return False
        self._held_bytes += size_bytes
        return True

    def _release(self) -> None:
        self._server.release_body_bytes(self._held_bytes)
        self._held_bytes = 0


class _ServerStream:
    """One stream from one ingress node.

    :param server: the server.
    :param read: reads one frame.
    :param write: writes one frame.
    """

    def __init__(
        self,
        server: ForwardingServer,
        read: Callable[[], Awaitable[Any]],
        write: Callable[[Any], Awaitable[Any]],
    ) -> None:
        self._server = server
        self.frames = FrameStream(server.identity, read, write, self._in_use, server.uplink)
        self._sinks: dict[str, _StreamSink] = {}
        self._partial: dict[str, _PartialRequest] = {}

    def _in_use(self) -> bool:
        return bool(self._sinks or self._partial)

    def received(self, frame: pb.ForwardFrame) -> None:
        """Take a frame.

        :param frame: the frame.
        :raises MessageError: when the frame is malformed.
        """
        kind = frame.WhichOneof("body")
        if kind == "request_head":
            self._request_head(frame.request_head)
        elif kind == "body_chunk":
            self._body_chunk(frame.body_chunk)
        elif kind == "credit":
            sink = self._sinks.get(frame.credit.attempt_id)
            if sink is not None:
                sink.add_credit(frame.credit.size_bytes)
        elif kind == "cancel":
            self._cancel(frame.cancel.attempt_id)
        elif kind == "fence":
            self._fence(frame.fence)
        elif kind == "resume":
            self._resume(frame.resume)
        elif kind == "quota_ask":
            self._server.quotas.take(self.frames, frame.quota_ask)

    def closed(self) -> None:
        """Note that the stream was lost."""
        self._server.quotas.stream_lost(self.frames)
        for attempt_id in list(self._partial):
            self._drop_partial(attempt_id)
        for attempt_id, sink in list(self._sinks.items()):
            self._server.owner.detach(attempt_id, sink)

    def _request_head(self, head: pb.RequestHead) -> None:
        attempt_id = head.attempt_id
        if attempt_id in self._partial or self._server.owner.knows(attempt_id):
            raise MessageError("attempt was sent twice")
        try:
            check_request_head(head)
        except MessageError as error:
            self._refuse(attempt_id, "malformed-attempt", str(error))
            return
        if len(self._server.owner) >= self._server.max_attempts:
            self._refuse(attempt_id, "too-many-attempts")
            return
        partial = _PartialRequest(head, self._deadline_ms(head), self._server)
        if not (partial.reserve_head() and partial.append(head.body)):
            partial.body.release()
            self._refuse(attempt_id, "body-memory-exhausted")
        elif head.last:
            self._offer(partial)
        else:
            self._partial[attempt_id] = partial
            self._return_credit(attempt_id, len(head.body))

    def _body_chunk(self, chunk: pb.BodyChunk) -> None:
        attempt_id = chunk.attempt_id
        partial = self._partial.get(attempt_id)
        if partial is None:
            return
        size_bytes = len(chunk.data)
        if len(partial.body) + size_bytes > self._server.request_settings().max_body_bytes:
            self._drop_partial(attempt_id)
            self._refuse(attempt_id, "body-too-large")
            return
        if not partial.append(chunk.data):
            self._drop_partial(attempt_id)
            self._refuse(attempt_id, "body-memory-exhausted")
            return
        if chunk.aborted:
            self._drop_partial(attempt_id)
        elif chunk.last:
            del self._partial[attempt_id]
            self._offer(partial)
        else:
            self._return_credit(attempt_id, size_bytes)

    def _return_credit(self, attempt_id: str, size_bytes: int) -> None:
        if size_bytes:
            credit = pb.Credit(attempt_id=attempt_id, size_bytes=size_bytes)
            self.frames.send(pb.ForwardFrame(credit=credit))

    def _drop_partial(self, attempt_id: str) -> None:
        partial = self._partial.pop(attempt_id, None)
        if partial is not None:
            partial.body.release()

    def _refuse(self, attempt_id: str, reason: str, detail: str = "") -> None:
        fields = (("attempt_id", attempt_id[:128]), ("reason", reason), ("detail", detail))
        self._server.report(Report("attempt-not-taken", fields))
        refusal = pb.Refusal(
            attempt_id=attempt_id,
            not_run=True,
            reason=reason,
            load=max(0, self._server.owner.load()),
        )
        self.frames.send(pb.ForwardFrame(refusal=refusal))

    def _deadline_ms(self, head: pb.RequestHead) -> float:
        """Return the deadline of an attempt whose head has just been read."""
        # What is left was stated before the frame waited to be read.
        return self._server.clock() + head.remaining_ms - self._server.unread_ms()

    def _offer(self, partial: _PartialRequest) -> None:
        head = partial.head
        try:
            request = decode_request(head, partial.body, self._server.request_settings())
        except MessageError as error:
            partial.body.release()
            self._refuse(head.attempt_id, "malformed-attempt", str(error))
            return
        work = OfferedWork(
            attempt_id=head.attempt_id,
            service=head.service,
            request_class=head.request_class,
            deadline_ms=partial.deadline_ms,
            idempotent=head.idempotent,
            idempotency_key=head.idempotency_key,
            attempt=head.attempt,
            request=request,
            returning=head.returning,
            workspace=head.workspace,
        )
        self._server.owner.offer(
            work,
            self._new_sink(head.attempt_id),
            replayable=True,
            uplink_ms=self._server.uplink.backlog_ms(),
        )

    def _new_sink(self, attempt_id: str) -> _StreamSink:
        def acknowledged(sink: _StreamSink, size_bytes: int) -> None:
            self._server.owner.acknowledge(attempt_id, sink, size_bytes)

        sink = _StreamSink(attempt_id, self.frames, self._release, acknowledged)
        self._sinks[attempt_id] = sink
        return sink

    def _release(self, attempt_id: str) -> None:
        sink = self._sinks.pop(attempt_id, None)
        if sink is not None:
            self._server.owner.note_sent(attempt_id, sink)

    def _cancel(self, attempt_id: str) -> None:
        if len(attempt_id) > MAX_ID_CHARACTERS:
            raise MessageError("attempt_id of a cancellation is too long")
        self._drop_partial(attempt_id)
        sink = self._sinks.pop(attempt_id, None)
        if sink is not None:
            sink.discard()
        # Also for an attempt that has not come yet, for example over a slower stream.
        self._server.owner.cancel(attempt_id)

    def _fence(self, fence: pb.Fence) -> None:
        attempt_id, fence_id = fence.attempt_id, fence.fence_id
        if not all(0 < len(text) <= MAX_ID_CHARACTERS for text in (attempt_id, fence_id)):
            raise MessageError("attempt_id or fence_id of a fence is empty or too long")
        self._drop_partial(attempt_id)
        sink = self._sinks.get(attempt_id) or self._new_sink(attempt_id)

        def answer(state: FenceState) -> None:
            if state is not FenceState.RUNNING and not sink.is_responding():
                self._release(attempt_id)
            reply = pb.FenceReply(
                attempt_id=attempt_id, fence_id=fence_id, state=encode_fence_state(state)
            )
            self.frames.send(pb.ForwardFrame(fence_reply=reply))

        self._server.owner.fence(attempt_id, fence_id, sink, answer)

    def _resume(self, resume: pb.Resume) -> None:
        attempt_id = resume.attempt_id
        if not 0 < len(attempt_id) <= MAX_ID_CHARACTERS:
            raise MessageError("attempt_id of a resumption is empty or too long")
        if resume.window_bytes > WINDOW_BYTES:
            raise MessageError("window_bytes of a resumption exceeds the window of an attempt")
        resumed = attempt_id not in self._sinks
        if resumed:
            sink = self._new_sink(attempt_id)
            sink.start_after_head(resume.window_bytes)
            position = ResumePosition(
                number=resume.number,
                received_bytes=resume.received_bytes,
                unacknowledged_bytes=WINDOW_BYTES - resume.window_bytes,
            )
            resumed = self._server.owner.resume(attempt_id, sink, position)
            if not resumed:
                self._release(attempt_id)
        reply = pb.ResumeReply(attempt_id=attempt_id, number=resume.number, resumed=resumed)
        self.frames.send(pb.ForwardFrame(resume_reply=reply))


class ForwardingServer:
    """Takes forward streams from ingress nodes.

    :param settings: settings of the node.
    :param incarnation: incarnation of this process.
    :param owner: the owner's side of this node.
    :param clock: monotonic clock in milliseconds.
    :param report: takes reports of faults.
    :param request_settings: returns the settings in force for requests.
    :param unread_ms: returns for how long a frame that is read now may have waited.
    :param uplink: paces the bodies of all streams.
    :param quotas: takes quota asks.
    :param memory: bounds what callers can make the node hold.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        owner: OwnerSide,
        clock: Callable[[], float],
        report: Callable[[Report], None],
        request_settings: Callable[[], RequestSettings],
        unread_ms: Callable[[], float],
        uplink: Uplink,
        quotas: QuotaAnswers,
        memory: CallerMemory,
    ) -> None:
        self.quotas = quotas
        self._memory = memory
        self.uplink = uplink
        self.request_settings = request_settings
        self.unread_ms = unread_ms
        self.owner = owner
        self.clock = clock
        self.report = report
        self.max_attempts = settings.requests.max_requests
        self._body_bytes = 0
        self._streams: set[FrameStream] = set()
        self.identity = StreamIdentity(
            node_id=settings.identity.node_id,
            incarnation=incarnation,
            silent_ms=settings.requests.stream_silent_ms,
            pings=False,
        )

    async def forward(self, request_iterator: AsyncIterator[Any], context: Any) -> None:
        """Serve one ``Forward`` call; registered as the method of the gRPC service.

        :param request_iterator: not used; frames are read from the context.
        :param context: the call.
        """
        if len(self._streams) >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many forward streams")
        # Otherwise the first write carries the metadata. When a bad first frame cancels that write,
        # grpcio sends them again, which fails, and the peer never learns that the call has ended.
        await context.send_initial_metadata(())
        stream = _ServerStream(self, context.read, context.write)
        frames = stream.frames
        self._streams.add(frames)
        try:
            reason = await frames.run(lambda peer: None, stream.received)
        finally:
            self._streams.discard(frames)
            stream.closed()
        if reason.startswith("bad-frame"):
            peer_id = frames.peer.node_id if frames.peer else ""
            self.report(Report("bad-forward-frame", (("peer_id", peer_id), ("reason", reason))))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, reason)

    def close(self) -> None:
        """End every stream."""
        for frames in list(self._streams):
            frames.close("shutdown")

    def reserve_body_bytes(self, size_bytes: int) -> bool:
        """Reserve memory for a request, or return ``False`` when it is exhausted.

        :param size_bytes: how much.
        """
        if not self._memory.reserve(size_bytes):
            return False
        self._body_bytes += size_bytes
        return True

    def release_body_bytes(self, size_bytes: int) -> None:
        """Return reserved memory.

        :param size_bytes: how much.
        """
        self._memory.release(size_bytes)
        self._body_bytes -= size_bytes
