"""One control stream, whichever side opened it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import PeerIdentity
from bamboonotch_core.messages import Message
from bamboonotch_core.settings import IdentitySettings
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire.control import (
    PartialMessageError,
    decode_message,
    encode_message,
    message_kind,
)

__all__ = ["PROTOCOL_VERSION", "ControlStream", "LocalIdentity", "parse_hello"]

PROTOCOL_VERSION = 1
MAX_QUEUED_FRAMES = 2000
MAX_NAME_CHARACTERS = 128
FRAME_OVERHEAD_BYTES = 14
"""HTTP/2 frame header (9 bytes) and gRPC message prefix (5 bytes)."""


@dataclass(frozen=True)
class LocalIdentity:
    """What this node says of itself when a stream opens.

    :param settings: section ``[node]`` of the settings.
    :param incarnation: incarnation of this process.
    """

    settings: IdentitySettings
    incarnation: int

    def hello(self) -> pb.ControlFrame:
        """Return the first frame of a stream."""
        return pb.ControlFrame(
            hello=pb.Hello(
                node_id=self.settings.node_id,
                incarnation=self.incarnation,
                region=self.settings.region,
                data_centre=self.settings.data_centre,
                peer_address=self.settings.peer_address,
                tenant=self.settings.tenant,
                protocol_version=PROTOCOL_VERSION,
            )
        )

    def link_kind(self, peer: PeerIdentity) -> str:
        """Classify the link to a peer for the byte counters.

        :param peer: the peer.
        """
        if peer.region != self.settings.region:
            return "inter-region"
        return "local" if peer.data_centre == self.settings.data_centre else "data-centre"


def parse_hello(frame: Any, tenant: str) -> PeerIdentity:
    """Check the first frame of a stream.

    :param frame: the frame, or the end-of-stream marker of the library.
    :param tenant: the customer whose fleet this is.
    :raises MessageError: when it is no valid hello, or is one of another customer's fleet.
    """
    if not isinstance(frame, pb.ControlFrame) or frame.WhichOneof("body") != "hello":
        raise MessageError("first frame is not a hello")
    hello = frame.hello
    names = (hello.node_id, hello.region, hello.data_centre, hello.peer_address)
    if not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names):
        raise MessageError("hello has an empty or oversized field")
    if hello.tenant != tenant:
        raise MessageError(f"peer belongs to tenant {hello.tenant[:64]!r}, not {tenant!r}")
    return PeerIdentity(
        hello.node_id, hello.incarnation, hello.region, hello.data_centre, hello.peer_address
    )


class ControlStream:
    """Queues outgoing frames and hands incoming messages on.

    :param link_id: unique id of the stream within this process.
    :param peer: who is at the other end.
    :param kind: kind of the link, for the byte counters.
    :param count_sent: called with link kind, message kind and size for each frame sent.
    """

    def __init__(
        self,
        link_id: str,
        peer: PeerIdentity,
        kind: str,
        count_sent: Callable[[str, str, int], None],
    ) -> None:
        self.link_id = link_id
        self.peer = peer
        self._kind = kind
        self._count_sent = count_sent
        self._queue: asyncio.Queue[pb.ControlFrame] = asyncio.Queue(MAX_QUEUED_FRAMES)
        self._closing = asyncio.Event()
        self.close_reason = "peer closed the stream"

    def send(self, message: Message) -> None:
        """Queue a message; closes the stream when the peer does not keep up.

        :param message: the message.
        """
        if self._closing.is_set():
            return
        frame = encode_message(message)
        try:
            self._queue.put_nowait(frame)
        except asyncio.QueueFull:
            self.close("peer does not keep up")
            return
        self._count_sent(self._kind, message_kind(message), frame.ByteSize() + FRAME_OVERHEAD_BYTES)

    def close(self, reason: str) -> None:
        """End the stream.

        :param reason: why, for the log.
        """
        if not self._closing.is_set():
            self.close_reason = reason
            self._closing.set()

    async def run(
        self,
        read: Callable[[], Awaitable[Any]],
        write: Callable[[pb.ControlFrame], Awaitable[None]],
        on_message: Callable[[str, Message], None],
        on_malformed: Callable[[str, str], None],
    ) -> None:
        """Carry frames both ways until one side ends the stream.

        :param read: reads one frame, or the end-of-stream marker.
        :param write: writes one frame.
        :param on_message: takes each message with the link id.
        :param on_malformed: takes the link id and the fault of a frame of which all or a part was
            dropped.
        """
        tasks = [
            asyncio.ensure_future(self._read_all(read, on_message, on_malformed)),
            asyncio.ensure_future(self._write_all(write)),
            asyncio.ensure_future(self._closing.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._closing.set()
            for task in tasks:
                task.cancel()
            for task in tasks:
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await task

    async def _read_all(
        self,
        read: Callable[[], Awaitable[Any]],
        on_message: Callable[[str, Message], None],
        on_malformed: Callable[[str, str], None],
    ) -> None:
        while True:
            frame = await read()
            if not isinstance(frame, pb.ControlFrame):
                return
            if self._closing.is_set():
                return
            try:
                message = decode_message(frame)
            except PartialMessageError as error:
                on_malformed(self.link_id, str(error))
                message = error.rest
            except MessageError as error:
                on_malformed(self.link_id, str(error))
                continue
            if message is not None:
                on_message(self.link_id, message)

    async def _write_all(self, write: Callable[[pb.ControlFrame], Awaitable[None]]) -> None:
        while True:
            await write(await self._queue.get())
