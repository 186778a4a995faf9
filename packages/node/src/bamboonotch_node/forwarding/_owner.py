"""The owner's side: attempts offered to this node's backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bamboonotch_core.events import Event
from bamboonotch_core.request_effects import (
    AbortBackend,
    AnswerFence,
    DispatchToBackend,
    RefuseWork,
)
from bamboonotch_core.request_events import (
    BackendFinished,
    BackendResult,
    FenceReceived,
    FenceState,
    WorkCancelled,
    WorkOffered,
)
from bamboonotch_node.backend import BackendClient, OfferedWork
from bamboonotch_node.forwarding._handlers import EffectHandlers
from bamboonotch_node.forwarding._outbox import CHUNK_BYTES
from bamboonotch_node.forwarding._owned_attempt import OwnedAttempt, ResumePosition
from bamboonotch_node.forwarding._sink import AttemptSink
from bamboonotch_node.forwarding._uplink import Uplink

__all__ = ["OwnerSide"]

# Bounds of what is kept of responses, in case their stream turns out to be lost: how many are kept
# after their end, and the size of all together.
MAX_KEPT_RESPONSES = 4096
MAX_KEPT_RESPONSE_BYTES = 8 * 1024 * 1024
# Fences without an answer from the decision code; it normally answers at once.
MAX_FENCES = 10_000
SWEEP_INTERVAL_MS = 10_000.0
# An attempt this long past its deadline without any end was dropped by the decision code.
LEFTOVER_MS = 30_000.0

FenceAnswerer = Callable[[FenceState], None]


class OwnerSide:
    """Turns offers, cancellations and fences into events and carries out the owner's effects.

    :param backend: client of the local backend server.
    :param dispatch: takes each event.
    :param clock: monotonic clock in milliseconds.
    :param orphan_ms: how long an attempt whose stream was lost waits for a fence before it is
        cancelled, in milliseconds.
    :param uplink: paces the bodies that leave this node.
    """

    def __init__(
        self,
        backend: BackendClient,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
        orphan_ms: float,
        uplink: Uplink,
    ) -> None:
        self._uplink = uplink
        self._backend = backend
        self._dispatch = dispatch
        self._clock = clock
        self._orphan_ms = orphan_ms
        self._attempts: dict[str, OwnedAttempt] = {}
        # By attempt, with the time until which each is kept; the oldest is the first.
        self._kept: dict[str, float] = {}
        self._kept_bytes = 0
        self._sweep_due_ms = 0.0
        self._fences: dict[str, tuple[AttemptSink, FenceAnswerer]] = {}

    def __len__(self) -> int:
        """Return the attempts in progress, without the responses kept after their end."""
        return max(0, len(self._attempts) - len(self._kept))

    @property
    def kept_bytes(self) -> int:
        """Size of all parts of responses that are kept, in bytes."""
        return self._kept_bytes

    def load(self) -> int:
        """Return the work in slots and queue."""
        return self._backend.load()

    def knows(self, attempt_id: str) -> bool:
        """Tell whether an attempt is in progress.

        :param attempt_id: the attempt.
        """
        return attempt_id in self._attempts

    def offer(
        self,
        work: OfferedWork,
        sink: AttemptSink,
        replayable: bool,
        uplink_ms: float | None = None,
    ) -> None:
        """Offer an attempt; only once for each attempt id.

        :param work: the attempt.
        :param sink: takes the answer.
        :param replayable: whether a fence can bring another sink.
        :param uplink_ms: how long the bodies that wait now occupy the link, in milliseconds;
            ``None`` when the response does not leave over the link.
        """
        now_ms = self._clock()
        if now_ms >= self._sweep_due_ms:
            self._sweep(now_ms)
        self._attempts[work.attempt_id] = OwnedAttempt(
            work, sink, now_ms, replayable, self._forget, self._kept_changed
        )
        self._dispatch(
            WorkOffered(
                now_ms=now_ms,
                request_id=work.request.request_id,
                attempt_id=work.attempt_id,
                service=work.service,
                request_class=work.request_class,
                deadline_ms=work.deadline_ms,
                idempotent=work.idempotent,
                idempotency_key=work.idempotency_key,
                returning=work.returning,
                workspace=work.workspace,
                uplink_ms=uplink_ms,
                method=work.request.method,
                path=work.request.path,
            )
        )

    def cancel(self, attempt_id: str) -> None:
        """Give an attempt up on behalf of its ingress.

        :param attempt_id: the attempt.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            attempt.sink = None
            attempt.give_up_replay()
            if attempt.is_complete():
                self._forget(attempt)
        self._dispatch(WorkCancelled(now_ms=self._clock(), attempt_id=attempt_id))
        if attempt is not None:
            attempt.release_body()

    def detach(self, attempt_id: str, sink: AttemptSink) -> None:
        """Note that the stream of an attempt was lost.

        The ingress can take the attempt to a new stream for a while, so that its answer still
        reaches the caller; after that it is cancelled.

        :param attempt_id: the attempt.
        :param sink: the sink that used the stream.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.sink is not sink:
            return
        if not attempt.replayable:
            self.cancel(attempt_id)
            return
        attempt.sink = None
        sink.discard()
        attempt.orphan_timer = asyncio.get_running_loop().call_later(
            self._orphan_ms / 1000, self._abandon, attempt
        )

    def fence(
        self, attempt_id: str, fence_id: str, sink: AttemptSink, answer: FenceAnswerer
    ) -> None:
        """Ask that an attempt not yet dispatched never be.

        :param attempt_id: the attempt.
        :param fence_id: names the question; unique among all nodes.
        :param sink: adopts the attempt if it goes on.
        :param answer: takes the answer.
        """
        if len(self._fences) >= MAX_FENCES:
            answer(FenceState.UNKNOWN)
            return
        self._fences[fence_id] = (sink, answer)
        self._dispatch(
            FenceReceived(now_ms=self._clock(), attempt_id=attempt_id, fence_id=fence_id)
        )

    def resume(self, attempt_id: str, sink: AttemptSink, position: ResumePosition) -> bool:
        """Pass the rest of a response that has begun to another sink.

        :param attempt_id: the attempt.
        :param sink: takes the rest.
        :param position: where the rest begins.
        :returns: whether the rest is there; if not, nothing changes.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or not attempt.resume(sink, position):
            return False
        self._kept.pop(attempt_id, None)
        return True

    def acknowledge(self, attempt_id: str, sink: AttemptSink, size_bytes: int) -> None:
        """Note that the ingress has passed on more of a response.

        :param attempt_id: the attempt.
        :param sink: the sink whose stream says so.
        :param size_bytes: how much more.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and attempt.sink is sink:
            attempt.acknowledge(size_bytes)

    def note_sent(self, attempt_id: str, sink: AttemptSink) -> None:
        """Keep a response for a while whose last frame has left.

        :param attempt_id: the attempt.
        :param sink: the sink that has sent it.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.sink is not sink or not attempt.is_complete():
            return
        now_ms = self._clock()
        self._kept[attempt_id] = now_ms + self._orphan_ms
        while self._kept:
            oldest_id, until_ms = next(iter(self._kept.items()))
            if until_ms > now_ms and len(self._kept) <= MAX_KEPT_RESPONSES:
                break
            self._forget(self._attempts[oldest_id])

    def _kept_changed(self, attempt: OwnedAttempt, change_bytes: int) -> None:
        self._kept_bytes += change_bytes
        if change_bytes <= 0:
            return
        while self._kept_bytes > MAX_KEPT_RESPONSE_BYTES and self._kept:
            self._forget(self._attempts[next(iter(self._kept))])
        if self._kept_bytes > MAX_KEPT_RESPONSE_BYTES:
            attempt.give_up_replay()

    def _abandon(self, attempt: OwnedAttempt) -> None:
        if attempt.sink is None:
            self.cancel(attempt.work.attempt_id)

    def _forget(self, attempt: OwnedAttempt) -> None:
        self._attempts.pop(attempt.work.attempt_id, None)
        self._kept.pop(attempt.work.attempt_id, None)
        attempt.give_up_replay()
        attempt.release_body()
        # The sink leads to the exchange, and the exchange to what it sent.
        attempt.exchange = None
        if attempt.orphan_timer is not None:
            attempt.orphan_timer.cancel()

    def _sweep(self, now_ms: float) -> None:
        self._sweep_due_ms = now_ms + SWEEP_INTERVAL_MS
        for attempt in list(self._attempts.values()):
            if attempt.work.deadline_ms + LEFTOVER_MS < now_ms:
                self._forget(attempt)

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect of the owner's side, by its type."""
        return {
            DispatchToBackend: self._dispatch_to_backend,
            AbortBackend: self._abort_backend,
            RefuseWork: self._refuse_work,
            AnswerFence: self._answer_fence,
        }

    def _dispatch_to_backend(self, effect: DispatchToBackend) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        exchange = None
        if attempt is not None:
            exchange = self._backend.prepare(
                attempt.work,
                attempt,
                lambda result, latency_ms: self._exchange_ended(attempt, result, latency_ms),
                queue_ms=self._clock() - attempt.offered_ms,
            )
        if attempt is None or exchange is None:
            self._finished(effect.attempt_id, BackendResult.NOT_RUN, 0.0)
            return
        attempt.exchange = exchange
        if attempt.sink is not None:
            attempt.sink.set_source(exchange)
        exchange.start()

    def _exchange_ended(
        self, attempt: OwnedAttempt, result: BackendResult, latency_ms: float
    ) -> None:
        attempt.release_body()
        self._finished(
            attempt.work.attempt_id, result, latency_ms, attempt.size_bytes, attempt.status
        )

    def _abort_backend(self, effect: AbortBackend) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is None or attempt.exchange is None:
            return
        attempt.exchange.abort()

    def _refuse_work(self, effect: RefuseWork) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is None:
            return
        self._forget(attempt)
        if attempt.sink is not None and not attempt.has_response():
            not_run = effect.result is BackendResult.NOT_RUN
            attempt.sink.refuse(not_run, effect.reason, effect.load)

    def _answer_fence(self, effect: AnswerFence) -> None:
        question = self._fences.pop(effect.fence_id, None)
        if question is None:
            return
        sink, answer = question
        attempt = self._attempts.get(effect.attempt_id)
        going_on = effect.state in (FenceState.RUNNING, FenceState.FINISHED)
        adoptable = attempt is not None and attempt.can_start_again()
        if attempt is not None and adoptable and going_on and attempt.sink is not sink:
            # The ingress has lost the stream of the old sink.
            responding = attempt.has_response()
            self._kept.pop(effect.attempt_id, None)
            attempt.adopt(sink)
            if responding:
                # The response itself is the answer.
                return
        answer(effect.state)

    def _finished(
        self,
        attempt_id: str,
        result: BackendResult,
        latency_ms: float,
        size_bytes: int = 0,
        status: int = 0,
    ) -> None:
        self._dispatch(
            BackendFinished(
                now_ms=self._clock(),
                attempt_id=attempt_id,
                result=result,
                latency_ms=latency_ms,
                send_ms=self._uplink.send_ms(size_bytes) if size_bytes > CHUNK_BYTES else 0.0,
                status=status,
                slowdown=self._backend.slowdown(),
            )
        )
