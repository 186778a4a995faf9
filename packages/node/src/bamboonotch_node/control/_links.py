"""All control streams of a node."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Mapping
from types import TracebackType
from typing import Any

import grpc

from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import (
    Event,
    LinkClosed,
    LinkFailed,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
)
from bamboonotch_core.messages import Message
from bamboonotch_node.channels import CHANNEL_OPTIONS
from bamboonotch_node.clock import now_ms
from bamboonotch_node.control._stream import ControlStream, LocalIdentity, parse_hello
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire.bamboonotch_pb2_grpc import NodeStub

__all__ = ["ControlLinks"]

# Longer than the reducer waits for a dial of a process that is not overloaded.
DIAL_TIMEOUT_S = 3.0
MAX_LINKS = 256


class ControlLinks:
    """Opens, accepts and closes control streams and turns them into events.

    :param identity: who this node is.
    :param translation: addresses to dial in place of announced ones.
    :param dispatch: takes each event.
    :param count_sent: called with link kind, message kind and size for each frame sent.
    :param on_malformed: takes the link id and the fault of a frame that was dropped.
    """

    def __init__(
        self,
        identity: LocalIdentity,
        translation: Mapping[str, str],
        dispatch: Callable[[Event], None],
        count_sent: Callable[[str, str, int], None],
        on_malformed: Callable[[str, str], None],
    ) -> None:
        self._identity = identity
        self._translation = translation
        self._dispatch = dispatch
        self._count_sent = count_sent
        self._on_malformed = on_malformed
        self._streams: dict[str, ControlStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)

    async def __aenter__(self) -> ControlLinks:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for stream in tuple(self._streams.values()):
            stream.close("node is shutting down")
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def open(self, address: str) -> None:
        """Dial a peer; answered by ``LinkOpened`` or ``LinkFailed``.

        :param address: ``ip:port`` as announced.
        """
        task = asyncio.ensure_future(self._dial(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self, link_id: str, reason: str) -> None:
        """Close a stream.

        :param link_id: the stream.
        :param reason: why, for the log.
        """
        stream = self._streams.get(link_id)
        if stream is not None:
            stream.close(reason)

    def send(self, link_id: str, message: Message) -> None:
        """Send a message; dropped when the stream has closed.

        :param link_id: the stream.
        :param message: the message.
        """
        stream = self._streams.get(link_id)
        if stream is not None:
            stream.send(message)

    async def accept(self, context: Any) -> None:
        """Serve one stream that a peer opened.

        :param context: the library's context of the call.
        """
        if len(self._streams) >= MAX_LINKS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        try:
            frame = await asyncio.wait_for(context.read(), DIAL_TIMEOUT_S)
            peer = parse_hello(frame, self._identity.settings.tenant)
        except (MessageError, TimeoutError) as error:
            self._on_malformed("hello", str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            return
        await context.write(self._identity.hello())
        await self._run(peer, context.read, context.write, outbound=False)

    async def _dial(self, address: str) -> None:
        target = self._translation.get(address, address)
        async with grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS) as channel:
            call = NodeStub(channel).Control()
            try:
                peer = await asyncio.wait_for(self._greet(call), DIAL_TIMEOUT_S)
            except (MessageError, TimeoutError, grpc.RpcError, asyncio.InvalidStateError) as error:
                reason = error.details() if isinstance(error, grpc.aio.AioRpcError) else str(error)
                self._dispatch(LinkFailed(now_ms(), address, reason or "timeout"))
                call.cancel()
                return
            try:
                await self._run(peer, call.read, call.write, outbound=True)
            finally:
                call.cancel()

    async def _greet(self, call: Any) -> PeerIdentity:
        await call.write(self._identity.hello())
        return parse_hello(await call.read(), self._identity.settings.tenant)

    async def _run(
        self,
        peer: PeerIdentity,
        read: Callable[[], Awaitable[Any]],
        write: Callable[[pb.ControlFrame], Awaitable[None]],
        *,
        outbound: bool,
    ) -> None:
        link_id = f"{peer.node_id}#{next(self._numbers)}"
        stream = ControlStream(link_id, peer, self._identity.link_kind(peer), self._count_sent)
        self._streams[link_id] = stream
        self._dispatch(LinkOpened(now_ms(), link_id, peer, outbound))
        try:
            with contextlib.suppress(grpc.RpcError):
                await stream.run(read, write, self._receive, self._on_malformed)
        finally:
            self._streams.pop(link_id, None)
            self._dispatch(LinkClosed(now_ms(), link_id, stream.close_reason))

    def _receive(self, link_id: str, message: Message) -> None:
        self._dispatch(MessageReceived(now_ms(), link_id, message))
