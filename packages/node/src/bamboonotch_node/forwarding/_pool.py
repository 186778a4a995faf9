"""Pool of forward streams, one to each owner in use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc

from bamboonotch_core.errors import MessageError
from bamboonotch_node.channels import CHANNEL_OPTIONS
from bamboonotch_node.forwarding._incoming import IncomingAttempt
from bamboonotch_node.forwarding._stream import FrameStream, PeerName, StreamIdentity
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire import bamboonotch_pb2_grpc as pb_grpc

__all__ = ["OwnerStream", "StreamPool"]

MAX_STREAMS = 1024
IDLE_STREAM_S = 30.0
IDLE_CHECK_S = 5.0


class OwnerStream:
    """One stream to one owner, on a connection of its own.

    :param owner_id: node id of the owner.
    :param address: ``ip:port`` of its peer port.
    :param identity: this end.
    :param received: takes each frame.
    :param uplink: paces the bodies of all streams.
    """

    def __init__(
        self,
        owner_id: str,
        address: str,
        identity: StreamIdentity,
        received: Callable[[OwnerStream, pb.ForwardFrame], None],
        uplink: Uplink,
    ) -> None:
        self.owner_id = owner_id
        self.address = address
        self.attempts: dict[str, IncomingAttempt] = {}
        # Quota asks that are not answered yet, with the time of each in seconds.
        self.asks: dict[int, float] = {}
        self.used_s = asyncio.get_running_loop().time()
        self._received = received
        self._waiting: list[Callable[[], None]] = []
        self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._call: Any = pb_grpc.NodeStub(self._channel).Forward()
        self.frames = FrameStream(
            identity,
            self._call.read,
            self._call.write,
            lambda: bool(self.attempts or self.asks),
            uplink,
        )

    async def run(self) -> str:
        """Carry frames until the stream ends and return the reason."""
        try:
            return await self.frames.run(self._opened, self._take)
        finally:
            self._call.cancel()
            await self._channel.close(grace=None)

    def close(self, reason: str) -> None:
        """End the stream.

        :param reason: why, lower case with dashes.
        """
        self.frames.close(reason)

    def when_open(self, action: Callable[[], None]) -> None:
        """Run an action once the owner has named itself; never if it does not.

        :param action: the action.
        """
        if self.frames.peer is not None:
            action()
        else:
            self._waiting.append(action)

    def note_ask(self, ask_id: int, now_s: float, forget_before_s: float) -> None:
        """Watch the stream for silence until a quota ask is answered.

        :param ask_id: the ask.
        :param now_s: clock of the loop, in seconds.
        :param forget_before_s: asks of before this time are given up.
        """
        self.asks = {
            known_id: sent_s for known_id, sent_s in self.asks.items() if sent_s >= forget_before_s
        }
        self.asks[ask_id] = now_s
        self.used_s = now_s
        self.frames.note_use()

    def release(self, attempt_id: str) -> None:
        """Drop an attempt that has ended.

        :param attempt_id: the attempt.
        """
        self.attempts.pop(attempt_id, None)
        self.used_s = asyncio.get_running_loop().time()

    def _opened(self, peer: PeerName) -> None:
        if peer.node_id != self.owner_id:
            raise MessageError(f"owner names itself {peer.node_id!r}, not {self.owner_id!r}")
        waiting, self._waiting = self._waiting, []
        for action in waiting:
            action()

    def _take(self, frame: pb.ForwardFrame) -> None:
        self._received(self, frame)


class StreamPool:
    """Opens streams on demand, replaces lost ones and closes idle ones.

    :param identity: this end.
    :param received: takes each frame.
    :param lost: called when a stream has ended, with the reason.
    :param uplink: paces the bodies of all streams.
    """

    def __init__(
        self,
        identity: StreamIdentity,
        received: Callable[[OwnerStream, pb.ForwardFrame], None],
        lost: Callable[[OwnerStream, str], None],
        uplink: Uplink,
    ) -> None:
        self._uplink = uplink
        self._identity = identity
        self._received = received
        self._lost = lost
        self._streams: dict[str, OwnerStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_check: asyncio.TimerHandle | None = None
        self._is_closed = False

    def find(self, owner_id: str) -> OwnerStream | None:
        """Return the stream to an owner, if there is one.

        :param owner_id: node id of the owner.
        """
        return self._streams.get(owner_id)

    def obtain(self, owner_id: str, address: str) -> OwnerStream | None:
        """Return the stream to an owner, opening it if needed, or ``None`` beyond the bound.

        :param owner_id: node id of the owner.
        :param address: ``ip:port`` of its peer port.
        """
        stream = self._streams.get(owner_id)
        if stream is not None:
            if stream.address == address:
                return stream
            # The owner restarted somewhere else.
            self._drop(stream, "address-changed")
        if self._is_closed or (len(self._streams) >= MAX_STREAMS and not self._evict_idle()):
            return None
        stream = OwnerStream(owner_id, address, self._identity, self._received, self._uplink)
        self._streams[owner_id] = stream
        task = asyncio.get_running_loop().create_task(self._run(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._idle_check is None:
            self._schedule_idle_check()
        return stream

    async def close(self) -> None:
        """Close every stream and wait until they are closed."""
        self._is_closed = True
        if self._idle_check is not None:
            self._idle_check.cancel()
        for stream in list(self._streams.values()):
            stream.close("shutdown")
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, stream: OwnerStream) -> None:
        loop = asyncio.get_running_loop()
        run = loop.create_task(stream.run())
        reason = await stream.frames.wait_closed()
        # The loss is reported before the call and the connection are torn down, which can take
        # a while.
        if self._streams.get(stream.owner_id) is stream:
            del self._streams[stream.owner_id]
        if not self._is_closed:
            self._lost(stream, reason)
        await run

    def _drop(self, stream: OwnerStream, reason: str) -> None:
        if self._streams.get(stream.owner_id) is stream:
            del self._streams[stream.owner_id]
        stream.close(reason)

    def _evict_idle(self) -> bool:
        idle = [stream for stream in self._streams.values() if not stream.attempts]
        if not idle:
            return False
        self._drop(min(idle, key=lambda stream: stream.used_s), "evicted")
        return True

    def _schedule_idle_check(self) -> None:
        self._idle_check = asyncio.get_running_loop().call_later(IDLE_CHECK_S, self._close_idle)

    def _close_idle(self) -> None:
        self._idle_check = None
        before_s = asyncio.get_running_loop().time() - IDLE_STREAM_S
        for stream in list(self._streams.values()):
            if not stream.attempts and stream.used_s < before_s:
                self._drop(stream, "idle")
        if self._streams:
            self._schedule_idle_check()
