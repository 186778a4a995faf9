"""The ingress side of one attempt: what the owner says of it, on the way to the caller."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import Event
from bamboonotch_core.request_effects import ForwardAttempt
from bamboonotch_core.request_events import BackendResult, OwnerRefused, OwnerResponded
from bamboonotch_node.backend import FlowControl, ResponseReceiver, ResponseStart
from bamboonotch_node.forwarding._outbox import WINDOW_BYTES, OutgoingBody, append_piece

__all__ = ["IncomingAttempt"]

# Credit is returned in steps of this size, to save frames.
CREDIT_STEP_BYTES = WINDOW_BYTES // 4


class IncomingAttempt:
    """Holds a response until the ingress passes it on, and returns credit as it does.

    :param effect: the attempt.
    :param dispatch: takes each event.
    :param clock: monotonic clock in milliseconds.
    """

    def __init__(
        self,
        effect: ForwardAttempt,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
    ) -> None:
        self.effect = effect
        self.head: ResponseStart | None = None
        self.ended = False
        self.request_body: OutgoingBody | None = None
        self.owner_incarnation: int | None = None
        self.return_credit: Callable[[int], None] | None = None
        self.on_ended: Callable[[], None] = lambda: None
        self.received_bytes = 0
        self.resumptions = 0
        self._dispatch = dispatch
        self._clock = clock
        self._source: FlowControl | None = None
        self._receiver: ResponseReceiver | None = None
        self._paused = False
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._credit_bytes = 0
        self._outstanding_bytes = 0
        self._complete: bool | None = None

    def is_sent(self) -> bool:
        """Tell whether any byte of the attempt may have left."""
        return self.request_body is None or self.request_body.head_sent

    @property
    def window_bytes(self) -> int:
        """How much more of the body the owner may send before any credit, in bytes."""
        return WINDOW_BYTES - self._outstanding_bytes

    def detach(self) -> None:
        """Return no credit, because the stream was lost; the next one begins with the window."""
        self.return_credit = lambda size_bytes: None
        self.on_ended = lambda: None

    def set_source(self, source: FlowControl) -> None:
        """Name the source to hold up, for an attempt without a stream.

        :param source: the source.
        """
        self._source = source

    def start(self, head: ResponseStart) -> None:
        """Take the head of the response.

        :param head: the head.
        """
        if self.ended or self.head is not None:
            return
        self.head = head
        effect = self.effect
        self._dispatch(
            OwnerResponded(
                now_ms=self._clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                owner_id=effect.owner_id,
                status=head.status,
                load=head.load,
                service_ms=head.backend_ms,
                uplink_ms=head.uplink_ms,
                slowdown=head.slowdown,
            )
        )

    def write(self, data: bytes) -> None:
        """Take a piece of the body.

        :param data: the piece.
        :raises MessageError: when the owner exceeds its credit.
        """
        if self.ended or not data:
            return
        self.received_bytes += len(data)
        if self.return_credit is not None:
            self._outstanding_bytes += len(data)
            if self._outstanding_bytes > WINDOW_BYTES:
                raise MessageError("response exceeds the window of its attempt")
        if self._receiver is not None and not self._paused:
            self._receiver.write(data)
            self._consumed(len(data))
            return
        append_piece(self._held, data)
        self._held_bytes += len(data)
        if self._source is not None and self._held_bytes >= WINDOW_BYTES:
            self._source.pause()

    def finish(self, complete: bool) -> None:
        """Take the end of the body.

        :param complete: whether all of it arrived.
        """
        if self.ended:
            return
        self.ended = True
        self._complete = complete
        self._finish_receiver()
        self.on_ended()

    def refuse(self, not_run: bool, reason: str, load: int) -> None:
        """Take the end of the attempt without a response.

        :param not_run: whether it was provably not dispatched.
        :param reason: why, lower case with dashes.
        :param load: work in slots and queue at the owner.
        """
        if self.ended or self.head is not None:
            return
        self.ended = True
        self.on_ended()
        effect = self.effect
        self._dispatch(
            OwnerRefused(
                now_ms=self._clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                owner_id=effect.owner_id,
                result=BackendResult.NOT_RUN if not_run else BackendResult.UNKNOWN,
                reason=reason,
                load=load,
            )
        )

    def attach(self, receiver: ResponseReceiver) -> None:
        """Pass the response on, from its head.

        :param receiver: takes the response.
        """
        if self.head is None or self._receiver is not None:
            return
        self._receiver = receiver
        receiver.start(self.head)
        self._flush()

    def pause(self) -> None:
        """Hold the response, because the caller does not read."""
        self._paused = True
        if self._source is not None:
            self._source.pause()

    def resume(self) -> None:
        """Pass the response on again."""
        self._paused = False
        self._flush()

    def discard(self) -> None:
        """Drop the response, and break it off if it is being passed on."""
        self.ended = True
        receiver, self._receiver = self._receiver, None
        self._held.clear()
        if self.request_body is not None:
            self.request_body.discard()
        if receiver is not None:
            receiver.finish(False)

    def _flush(self) -> None:
        held, self._held, self._held_bytes = self._held, deque(), 0
        for data in held:
            if self._paused or self._receiver is None:
                self._held.append(data)
                self._held_bytes += len(data)
                continue
            self._receiver.write(data)
            self._consumed(len(data))
        if not self._paused and self._source is not None:
            self._source.resume()
        self._finish_receiver()

    def _finish_receiver(self) -> None:
        if self._complete is None or self._receiver is None:
            return
        if self._held and self._complete:
            return
        receiver, self._receiver = self._receiver, None
        receiver.finish(self._complete)

    def _consumed(self, size_bytes: int) -> None:
        if self.return_credit is None:
            return
        self._credit_bytes += size_bytes
        if self._credit_bytes >= CREDIT_STEP_BYTES and not self.ended:
            credit, self._credit_bytes = self._credit_bytes, 0
            self._outstanding_bytes -= credit
            self.return_credit(credit)
