"""Tests of the fault proxy."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from bamboonotch_testing.fault_proxy import Direction, FaultProxy
from tests.support import ReactorTest, call

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send everything back."""
    while data := await reader.read(65536):
        writer.write(data)
    writer.close()


class FaultProxyTest(ReactorTest):
    """A proxy in front of an echo server."""

    def run_proxied(self, main: Callable[[FaultProxy], Awaitable[None]]) -> None:
        """Run a test with a proxy."""

        async def run() -> None:
            from twisted.internet import reactor

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            proxy = FaultProxy(reactor, f"127.0.0.1:{port}")
            try:
                await main(proxy)
            finally:
                await proxy.close()
                server.close()

        self.run_async(run)

    async def connect(self, proxy: FaultProxy) -> Streams:
        """Connect and exchange a first message."""
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"hello")
        self.assertEqual(await reader.readexactly(5), b"hello")
        return reader, writer

    def test_freeze(self) -> None:
        """Guards against a "silent" connection that still carries bytes or ends."""

        async def main(proxy: FaultProxy) -> None:
            reader, writer = await self.connect(proxy)
            proxy.freeze()
            writer.write(b"lost")
            second_reader, second_writer = await self.connect(proxy)
            second_writer.write(b"works")
            self.assertEqual(await second_reader.readexactly(5), b"works")
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.2)
            self.assertEqual(proxy.bytes_passed[Direction.TO_SERVER], 15)
            writer.close()
            second_writer.close()

        self.run_proxied(main)

    def test_cut_and_refuse(self) -> None:
        """Guards against connections that survive a cut or are taken while refused."""

        async def main(proxy: FaultProxy) -> None:
            reader, _ = await self.connect(proxy)
            await proxy.refuse()
            proxy.cut()
            with self.assertRaises(ConnectionError):
                await reader.readexactly(1)
            with self.assertRaises(ConnectionError):
                await asyncio.open_connection("127.0.0.1", proxy.port)
            proxy.accept()
            _, writer = await self.connect(proxy)
            writer.close()

        self.run_proxied(main)

    def test_delay_keeps_order(self) -> None:
        """Guards against delayed bytes that overtake each other, or are not delayed."""

        async def main(proxy: FaultProxy) -> None:
            reader, writer = await self.connect(proxy)
            proxy.delay(Direction.TO_SERVER, 60)
            proxy.delay(Direction.TO_CLIENT, 40)
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            sent = b"".join(b"%06d" % number for number in range(2000))
            for place in range(0, len(sent), 600):
                writer.write(sent[place : place + 600])
                await writer.drain()
            self.assertEqual(await reader.readexactly(len(sent)), sent)
            self.assertGreaterEqual(loop.time() - start_s, 0.099)
            writer.close()

        self.run_proxied(main)

    def test_drop_after_and_one_way_cut(self) -> None:
        """Guards against faults that let more or fewer bytes pass than asked for."""

        async def main(proxy: FaultProxy) -> None:
            proxy.drop_after(Direction.TO_CLIENT, 12)
            reader, writer = await self.connect(proxy)
            writer.write(b"0123456789")
            self.assertEqual(await reader.read(), b"0123456")
            proxy.clear()
            reader, writer = await self.connect(proxy)
            proxy.cut_one_way(Direction.TO_CLIENT)
            before = proxy.bytes_passed[Direction.TO_SERVER]
            writer.write(b"arrives")
            while proxy.bytes_passed[Direction.TO_SERVER] < before + 7:
                await asyncio.sleep(0)
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.1)
            writer.close()

        self.run_proxied(main)

    def test_control_over_http(self) -> None:
        """Guards against a process whose faults cannot be injected from outside."""
        backend = self.start_tool("bamboonotch_testing.backend_server")["listening"]
        proxy = self.start_tool("bamboonotch_testing.fault_proxy", "--target", backend)
        self.assertEqual(call(proxy["listening"], "GET", "/")[0], 200)
        status, body = call(proxy["control"], "GET", "/")
        self.assertEqual((status, json.loads(body)["connections"]), (200, 1))
        for document in (
            {"fault": "delay", "direction": "to-server", "delay_ms": 1},
            {"fault": "drop-after", "direction": "to-client", "size_bytes": 10},
            {"fault": "cut-one-way", "direction": "to-client"},
            {"fault": "clear"},
            {"fault": "freeze"},
            {"fault": "cut"},
            {"fault": "refuse"},
        ):
            self.assertEqual(call(proxy["control"], "POST", "/", document)[0], 200, document)
        with self.assertRaises(ConnectionError):
            call(proxy["listening"], "GET", "/")
        for document in ({}, {"fault": "odd"}, {"fault": "delay"}, [1]):
            self.assertEqual(call(proxy["control"], "POST", "/", document)[0], 400, document)
