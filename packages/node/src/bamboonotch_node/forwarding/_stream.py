"""One forward stream, the same at both ends: hello, frames, proof of life."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import grpc
from grpc.aio import EOF  # type: ignore[attr-defined]

from bamboonotch_core.errors import MessageError
from bamboonotch_node.forwarding._outbox import Outbox
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["FrameStream", "PeerName", "StreamIdentity"]

PING_INTERVAL_S = 0.5
# A stream at rest costs neither pings nor a timer of its own. The end that opened it closes it when
# it stays unused; the other end closes it after this time, in case that end has lost its power.
REST_LIMIT_S = 60.0
MAX_NODE_ID_CHARACTERS = 128


@dataclass(frozen=True, slots=True)
class PeerName:
    """Who is at the other end of a stream.

    :param node_id: the peer.
    :param incarnation: its incarnation.
    """

    node_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StreamIdentity:
    """What one end of a stream needs to know of itself.

    :param node_id: this node.
    :param incarnation: its incarnation.
    :param silent_ms: silence after which a stream is closed, in milliseconds.
    :param pings: whether this end sends the pings.
    """

    node_id: str
    incarnation: int
    silent_ms: int
    pings: bool


class FrameStream:
    """Reads, writes and watches one gRPC stream until it ends.

    A stream is checked for silence only while it is in use, and pinged only when no frames passed
    both ways lately. So the cost of streams follows the requests and not the number of owners.

    :param identity: this end.
    :param read: reads one frame, or ``grpc.aio.EOF``.
    :param write: writes one frame.
    :param in_use: whether work is in progress on the stream.
    :param uplink: paces the bodies of all streams.
    """

    def __init__(
        self,
        identity: StreamIdentity,
        read: Callable[[], Awaitable[Any]],
        write: Callable[[Any], Awaitable[Any]],
        in_use: Callable[[], bool],
        uplink: Uplink,
    ) -> None:
        self.outbox = Outbox(uplink)
        self.peer: PeerName | None = None
        self._identity = identity
        self._read = read
        self._write = write
        self._in_use = in_use
        self._resting = False
        self._loop = asyncio.get_running_loop()
        self._closed: asyncio.Future[str] = self._loop.create_future()
        self._heard_s = self._loop.time()
        self._sent_s = self._heard_s
        self._check: asyncio.TimerHandle | None = None
        self._ping_number = 0

    def close(self, reason: str) -> None:
        """End the stream; :meth:`run` returns soon.

        :param reason: why, lower case with dashes.
        """
        if not self._closed.done():
            self._closed.set_result(reason)

    def send(self, frame: pb.ForwardFrame) -> None:
        """Send a control frame, or end the stream when the peer does not read.

        :param frame: the frame.
        """
        try:
            self.outbox.push(frame)
        except MessageError as error:
            self.close(f"bad-frame: {error}")

    def note_use(self) -> None:
        """Check the stream for silence again, because the end that pings begins to use it."""
        if not self._resting or self._closed.done():
            return
        self._resting = False
        # The silence of a stream at rest says nothing about the connection.
        self._heard_s = self._loop.time()
        if self._check is not None:
            self._check.cancel()
        # The first ping follows only if the use lasts until the check, as most do not.
        self._schedule_check()

    async def wait_closed(self) -> str:
        """Wait until the stream is to end and return the reason."""
        return await asyncio.shield(self._closed)

    async def run(
        self, opened: Callable[[PeerName], None], received: Callable[[pb.ForwardFrame], None]
    ) -> str:
        """Carry frames until the stream ends and return the reason.

        :param opened: called with the peer's name, before any other frame.
        :param received: called with each later frame; raises ``MessageError`` for a bad one.
        """
        self._schedule_check()
        tasks = [
            self._loop.create_task(self._read_frames(opened, received)),
            self._loop.create_task(self._write_frames()),
        ]
        try:
            return await self.wait_closed()
        finally:
            self.outbox.close()
            if self._check is not None:
                self._check.cancel()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_frames(
        self, opened: Callable[[PeerName], None], received: Callable[[pb.ForwardFrame], None]
    ) -> None:
        try:
            while True:
                frame = await self._read()
                if frame is EOF:
                    self.close("closed-by-peer")
                    return
                self._heard_s = self._loop.time()
                if not self._identity.pings:
                    self.note_use()
                if self.peer is None:
                    self.peer = self._read_hello(frame)
                    opened(self.peer)
                    self.outbox.open()
                elif not self._closed.done():
                    self._take(frame, received)
        except MessageError as error:
            self.close(f"bad-frame: {error}")
        except grpc.RpcError as error:
            code = error.code() if isinstance(error, grpc.aio.AioRpcError) else None
            self.close(f"stream-failed: {code.name.lower() if code else 'rpc-error'}")
        except Exception as error:
            self.close(f"stream-failed: {type(error).__name__}: {error}")

    @staticmethod
    def _read_hello(frame: pb.ForwardFrame) -> PeerName:
        if frame.WhichOneof("body") != "hello":
            raise MessageError("first frame is not a hello")
        node_id = frame.hello.node_id
        if not 0 < len(node_id) <= MAX_NODE_ID_CHARACTERS:
            raise MessageError("node_id of the hello is empty or too long")
        return PeerName(node_id, frame.hello.incarnation)

    def _take(self, frame: pb.ForwardFrame, received: Callable[[pb.ForwardFrame], None]) -> None:
        kind = frame.WhichOneof("body")
        if kind == "ping":
            self.send(pb.ForwardFrame(pong=pb.Pong(number=frame.ping.number)))
        elif kind not in (None, "pong", "hello"):
            received(frame)

    async def _write_frames(self) -> None:
        try:
            hello = pb.ForwardHello(
                node_id=self._identity.node_id, incarnation=self._identity.incarnation
            )
            await self._write(pb.ForwardFrame(hello=hello))
            while not self._closed.done():
                frame = self.outbox.next_frame()
                if frame is None:
                    await self.outbox.wait()
                else:
                    await self._write(frame)
                    self._sent_s = self._loop.time()
        except grpc.RpcError:
            # The reader reports the status of the call.
            pass
        except Exception as error:
            self.close(f"stream-failed: {type(error).__name__}: {error}")

    def _schedule_check(self) -> None:
        self._due_s = self._loop.time() + PING_INTERVAL_S
        self._check = self._loop.call_at(self._due_s, self._check_life)

    def _check_life(self) -> None:
        now_s = self._loop.time()
        if self._resting:
            self.close("unused")
            return
        silent_s = self._identity.silent_ms / 1000
        if now_s - self._due_s > PING_INTERVAL_S:
            # This process stalled; frames that arrived meanwhile have not been read yet.
            self._heard_s = max(self._heard_s, now_s - silent_s + PING_INTERVAL_S)
        if now_s - self._heard_s > silent_s:
            self.close("silent")
            return
        if self.peer is not None and not self._in_use():
            self._resting = True
            self._check = self._loop.call_later(REST_LIMIT_S, self._check_life)
            return
        if now_s - min(self._heard_s, self._sent_s) >= PING_INTERVAL_S:
            self._ping()
        self._schedule_check()

    def _ping(self) -> None:
        """Make the other end send a frame, and let it hear one."""
        if self._identity.pings and self.peer is not None:
            self._ping_number += 1
            self.send(pb.ForwardFrame(ping=pb.Ping(number=self._ping_number)))
