"""Tests of control streams over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Callable
from typing import Any

import grpc

from bamboonotch_core.events import Event, LinkClosed, LinkFailed, LinkOpened, MessageReceived
from bamboonotch_core.messages import MemberUpdate, Message, VersionAnnounce
from bamboonotch_core.settings import IdentitySettings
from bamboonotch_node.control import ControlLinks, LocalIdentity, PeerServer
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire.bamboonotch_pb2_grpc import NodeStub

TIMEOUT_S = 10


def find_address() -> str:
    """Return a free loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def refuse_forward(request_iterator: Any, context: Any) -> None:
    """Refuse forward streams."""
    del request_iterator
    await context.abort(grpc.StatusCode.UNIMPLEMENTED, "")


class Node:
    """A peer server with its links and a record of their events."""

    def __init__(self, node_id: str, tenant: str = "himal-thali") -> None:
        self.address = find_address()
        identity = IdentitySettings(
            node_id, tenant, "bagmati", "bagmati-1", self.address, "0:0", "0:0"
        )
        self.events: list[Event] = []
        self.malformed: list[str] = []
        self.sent: list[tuple[str, str, int]] = []
        self.links = ControlLinks(
            LocalIdentity(identity, 1),
            {},
            self.events.append,
            lambda *sent: self.sent.append(sent),
            lambda _, fault: self.malformed.append(fault),
        )
        self.server = PeerServer(self.address, self.links, refuse_forward)

    def of_type(self, event_type: type[Any]) -> list[Any]:
        """Return the events of one type."""
        return [event for event in self.events if isinstance(event, event_type)]


async def until(read: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not read():
            await asyncio.sleep(0.01)


class ControlLinksTest(unittest.IsolatedAsyncioTestCase):
    """Two nodes in one process."""

    async def asyncSetUp(self) -> None:
        """Prepare the clean-up of started nodes."""
        self._stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self._stack.aclose)

    async def _start(self, node: Node) -> Node:
        await self._stack.enter_async_context(node.server)
        await self._stack.enter_async_context(node.links)
        return node

    async def test_messages_cross_both_ways(self) -> None:
        """Guards against a stream that carries frames in one direction only."""
        first, second = await self._start(Node("a")), await self._start(Node("b"))
        first.links.open(second.address)
        await until(lambda: first.of_type(LinkOpened) and second.of_type(LinkOpened))
        outbound, inbound = first.of_type(LinkOpened)[0], second.of_type(LinkOpened)[0]
        self.assertEqual((outbound.peer.node_id, inbound.peer.node_id), ("b", "a"))
        self.assertEqual((outbound.outbound, inbound.outbound), (True, False))
        first.links.send(outbound.link_id, VersionAnnounce(3))
        second.links.send(inbound.link_id, VersionAnnounce(4))
        await until(lambda: first.of_type(MessageReceived) and second.of_type(MessageReceived))
        self.assertEqual(second.of_type(MessageReceived)[0].message, VersionAnnounce(3))
        self.assertEqual(first.sent[0][:2], ("local", "VersionAnnounce"))

    async def test_closed_stream_is_reported_on_both_sides(self) -> None:
        """Guards against a peer that keeps a stream which the other side gave up."""
        first, second = await self._start(Node("a")), await self._start(Node("b"))
        first.links.open(second.address)
        await until(lambda: first.of_type(LinkOpened) and second.of_type(LinkOpened))
        first.links.close(first.of_type(LinkOpened)[0].link_id, "test")
        await until(lambda: first.of_type(LinkClosed) and second.of_type(LinkClosed))
        self.assertEqual(first.of_type(LinkClosed)[0].reason, "test")

    async def test_failed_dials_are_reported(self) -> None:
        """Guards against a dial without an answer, which would never be repeated."""
        node = await self._start(Node("a"))
        silent = socket.socket()
        self.addCleanup(silent.close)
        silent.bind(("127.0.0.1", 0))
        silent.listen()
        silent_address = f"127.0.0.1:{silent.getsockname()[1]}"
        for address in (find_address(), silent_address):
            node.links.open(address)
        await until(lambda: len(node.of_type(LinkFailed)) == 2)

    async def test_dials_of_odd_addresses_are_reported(self) -> None:
        """Guards against an address of another writer whose dial ends without an answer."""
        node = await self._start(Node("a"))
        addresses = (
            "unix:/tmp/none:80",
            "xds:///none:80",
            "ipv4:127.0.0.1,127.0.0.2:1",
            "vsock:1:80",
            "[::1:80",
            "%00:80",
            "a..b:80",
            "999.999.999.999:80",
            "127.0.0.1:00000",
        )
        for address in addresses:
            node.links.open(address)
        await until(lambda: len(node.of_type(LinkFailed)) == len(addresses))
        self.assertEqual({event.address for event in node.of_type(LinkFailed)}, set(addresses))

    async def test_odd_record_beside_valid_ones(self) -> None:
        """Guards against one odd record that keeps a node from hearing of the others."""
        node = await self._start(Node("a"))
        text = "x" * 200
        odd = (
            pb.MemberRecord(),
            pb.MemberRecord(node_id="odd"),
            pb.MemberRecord(node_id="odd", state=99),  # type: ignore[arg-type]
            pb.MemberRecord(node_id=text, state=pb.MEMBER_STATE_READY),
            pb.MemberRecord(node_id="odd", state=pb.MEMBER_STATE_READY, service=text),
            pb.MemberRecord(node_id="odd", state=pb.MEMBER_STATE_READY, peer_address=text),
        )
        valid = pb.MemberRecord(node_id="c", state=pb.MEMBER_STATE_READY)
        async with grpc.aio.insecure_channel(node.address) as channel:
            call = NodeStub(channel).Control()
            await call.write(
                LocalIdentity(
                    IdentitySettings("b", "himal-thali", "r", "d", "1:1", "0:0", "0:0"), 1
                ).hello()
            )
            for record in odd:
                update = pb.MemberUpdate(records=[valid, record, valid])
                await call.write(pb.ControlFrame(member_update=update))
            await call.write(pb.ControlFrame(version_announce=pb.VersionAnnounce(version=9)))
            await until(lambda: VersionAnnounce(9) in self._messages(node))
        received = [item for item in self._messages(node) if isinstance(item, MemberUpdate)]
        self.assertEqual(
            [[record.node_id for record in item.records] for item in received],
            [["c", "c"]] * len(odd),
        )
        self.assertEqual(len(node.malformed), len(odd))

    def _messages(self, node: Node) -> list[Message]:
        return [event.message for event in node.of_type(MessageReceived)]

    async def test_other_tenant_is_refused(self) -> None:
        """Guards against two customers' fleets that share a network joining each other."""
        first, second = await self._start(Node("a")), await self._start(Node("b", "mkaa-bora"))
        first.links.open(second.address)
        await until(lambda: first.of_type(LinkFailed))
        self.assertEqual(second.of_type(LinkOpened), [])
        self.assertTrue(second.malformed)

    async def test_malformed_first_frame_and_later_frame(self) -> None:
        """Guards against a malformed peer that stops the node or is believed."""
        node = await self._start(Node("a"))
        async with grpc.aio.insecure_channel(node.address) as channel:
            call = NodeStub(channel).Control()
            await call.write(pb.ControlFrame(heartbeat=pb.Heartbeat()))
            with self.assertRaises(grpc.RpcError):
                await call.read()
                await call.write(pb.ControlFrame())
            self.assertEqual(node.of_type(LinkOpened), [])
            call = NodeStub(channel).Control()
            await call.write(
                LocalIdentity(
                    IdentitySettings("b", "himal-thali", "r", "d", "1:1", "0:0", "0:0"), 1
                ).hello()
            )
            await call.write(pb.ControlFrame(witness_query=pb.WitnessQuery()))
            await call.write(pb.ControlFrame(version_announce=pb.VersionAnnounce(version=9)))
            await until(lambda: node.of_type(MessageReceived))
        self.assertEqual(node.of_type(MessageReceived)[0].message, VersionAnnounce(9))
        self.assertEqual(len(node.malformed), 2)
