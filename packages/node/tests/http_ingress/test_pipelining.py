"""Callers that send further requests before the first is answered."""

from __future__ import annotations

import asyncio
import re
from typing import Any

from bamboonotch_core import request_effects as effects
from bamboonotch_core import request_events as events
from bamboonotch_node.http_ingress._channel import MAX_REQUESTS_AT_ONCE
from tests.forwarding.support import PathTest

SIZE = re.compile(rb"Content-Length: (\d+)", re.IGNORECASE)


def request(size: int, method: str = "GET", headers: str = "") -> bytes:
    """Return a request whose response body has a size, by which the tests tell responses."""
    return f"{method} /?size={size} HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode()


class PipeliningTest(PathTest):
    """One connection to a node that is its own owner and holds work until the test releases it."""

    async def begin(self, **settings: int) -> None:
        """Start a node and a backend server, and connect."""
        self.server, address = self.start_backend()
        self.node = await self.start_node("node", backend=address, **settings)
        self.node.hold_work = True
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.node.http_port)
        self.closers.append(self.writer.close)

    async def offered(self, count: int) -> list[Any]:
        """Wait until requests have reached the owner, and return them in the order of arrival."""
        await self.node.wait_for(events.WorkOffered, count)
        return self.node.seen(events.WorkOffered)

    async def settle(self) -> None:
        """Let everything that was sent arrive: a request on another connection has passed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.node.http_port)
        writer.write(b"GET / HTTP/3.7\r\n\r\n")
        await reader.read()
        writer.close()

    def release(self, *works: Any) -> None:
        """Let the backend server run requests."""
        for work in works:
            for effect in self.node.release_work(work.attempt_id):
                self.node.path.carry_out(effect)

    async def read_response(self) -> tuple[int, int]:
        """Return status and size of the body of the next response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        found = SIZE.search(head)
        self.assertIsNotNone(found, head)
        size_bytes = int(found.group(1)) if found else 0
        await self.reader.readexactly(size_bytes)
        return int(head.split(b" ")[1]), size_bytes

    def test_worked_on_together_and_answered_in_order(self) -> None:
        """Guards against a fast request that waits for a slow one before it, and wrong order."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + request(20) + request(30))
            first, second, third = await self.offered(3)
            self.release(third, second)
            await self.node.wait_for(events.BackendFinished, 2)
            self.release(first)
            answers = [await self.read_response() for _ in range(3)]
            self.assertEqual(answers, [(200, 10), (200, 20), (200, 30)])

        self.run_async(main)

    def test_a_large_response_waits_within_its_bound(self) -> None:
        """Guards against a held response that is lost or cut when it is paused."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + request(2_000_000) + request(30))
            first, second, third = await self.offered(3)
            self.release(second, third)
            await asyncio.sleep(0.4)
            self.release(first)
            answers = [await self.read_response() for _ in range(3)]
            self.assertEqual(answers, [(200, 10), (200, 2_000_000), (200, 30)])

        self.run_async(main)

    def test_more_than_the_bound(self) -> None:
        """Guards against a caller that fills the node over one connection."""

        async def main() -> None:
            await self.begin()
            count = MAX_REQUESTS_AT_ONCE + 3
            self.writer.write(b"".join(request(number + 1) for number in range(count)))
            works = await self.offered(MAX_REQUESTS_AT_ONCE)
            await self.settle()
            self.assertEqual(len(self.node.seen(events.WorkOffered)), MAX_REQUESTS_AT_ONCE)
            self.release(works[0])
            await self.offered(MAX_REQUESTS_AT_ONCE + 1)
            self.node.hold_work = False
            self.release(*self.node.seen(events.WorkOffered)[1:])
            answers = [await self.read_response() for _ in range(count)]
            self.assertEqual(answers, [(200, number + 1) for number in range(count)])

        self.run_async(main)

    def test_unsafe_behind_safe(self) -> None:
        """Guards against an order that ran although its connection broke before its turn."""

        async def main() -> None:
            await self.begin()
            body = "Content-Length: 0\r\n"
            self.writer.write(request(10) + request(20, "POST", body) + request(30))
            (first,) = await self.offered(1)
            await self.settle()
            self.assertEqual(len(self.node.seen(events.WorkOffered)), 1)
            self.release(first)
            self.release((await self.offered(2))[1])
            self.release((await self.offered(3))[2])
            answers = [await self.read_response() for _ in range(3)]
            self.assertEqual(answers, [(200, 10), (200, 20), (200, 30)])

        self.run_async(main)

    def test_bad_input_in_the_middle(self) -> None:
        """Guards against an error that comes before, or in place of, good answers."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + b"no request\r\n\r\n" + request(30))
            (first,) = await self.offered(1)
            await self.settle()
            self.release(first)
            self.assertEqual(await self.read_response(), (200, 10))
            self.assertEqual((await self.read_response())[0], 400)
            self.assertEqual(await self.reader.read(), b"")
            self.assertEqual(len(self.node.seen(events.WorkOffered)), 1)

        self.run_async(main)

    def test_half_a_request_at_the_end(self) -> None:
        """Guards against half a request that holds the connection or spoils the answer before."""

        async def main() -> None:
            await self.begin(header_timeout_ms=50)
            self.writer.write(request(10) + b"GET /half")
            (first,) = await self.offered(1)
            await asyncio.sleep(0.1)
            self.release(first)
            self.assertEqual(await self.read_response(), (200, 10))
            self.assertEqual((await self.read_response())[0], 408)
            self.assertEqual(await self.reader.read(), b"")

        self.run_async(main)

    def test_close_in_the_middle(self) -> None:
        """Guards against requests that run behind an answer which closes the connection."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + request(20, headers="Connection: close\r\n"))
            self.writer.write(request(30))
            first, second = await self.offered(2)
            self.release(second, first)
            answers = [await self.read_response() for _ in range(2)]
            self.assertEqual(answers, [(200, 10), (200, 20)])
            self.assertEqual(await self.reader.read(), b"")
            await self.settle()
            self.assertEqual(len(self.node.seen(events.WorkOffered)), 2)

        self.run_async(main)

    def test_planned_stop_in_the_middle(self) -> None:
        """Guards against requests that were read before a stop and are cut off unanswered."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + request(20))
            first, second = await self.offered(2)
            self.node.path.ingress.leave()
            self.writer.write(request(30) + request(40))
            third = (await self.offered(3))[2]
            await self.settle()
            self.release(third, second, first)
            answers = [await self.read_response() for _ in range(3)]
            self.assertEqual(answers, [(200, 10), (200, 20), (200, 30)])
            self.assertEqual(await self.reader.read(), b"")
            self.assertEqual(len(self.node.seen(events.WorkOffered)), 3)

        self.run_async(main)

    def test_caller_that_leaves(self) -> None:
        """Guards against work for a caller that is gone."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + request(20) + request(30))
            await self.offered(3)
            self.writer.close()
            await self.node.wait_for(events.CallerGone, 3)

        self.run_async(main)

    def test_first_request_that_runs_out_of_time(self) -> None:
        """Guards against answers behind a failed one that are lost."""

        async def main() -> None:
            await self.begin()
            self.writer.write(request(10) + request(20))
            first, second = await self.offered(2)
            self.release(second)
            await self.node.wait_for(events.BackendFinished, 1)
            request_id = first.attempt_id.removesuffix("/1")
            self.node.path.carry_out(
                effects.RespondToCaller(request_id, effects.Outcome.UNKNOWN, "deadline", 504, 0)
            )
            self.assertEqual((await self.read_response())[0], 504)
            self.assertEqual(await self.read_response(), (200, 20))

        self.run_async(main)

    def test_the_connection_is_used_again(self) -> None:
        """Guards against a connection that stays in a state of its pipeline."""

        async def main() -> None:
            await self.begin()
            self.node.hold_work = False
            for _ in range(3):
                self.writer.write(request(10) + request(20))
                answers = [await self.read_response() for _ in range(2)]
                self.assertEqual(answers, [(200, 10), (200, 20)])
                body = "Content-Length: 3\r\n"
                self.writer.write(request(30, "POST", body) + b"abc")
                self.assertEqual(await self.read_response(), (200, 30))

        self.run_async(main)
