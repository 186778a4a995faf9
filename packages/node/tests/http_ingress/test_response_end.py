"""What may end a response between its head and its end."""

from __future__ import annotations

import asyncio
from typing import Any

from bamboonotch_core import request_effects as effects
from bamboonotch_core import request_events as events
from bamboonotch_core.configuration import CallerLimits
from tests.forwarding.support import PathNode, PathTest
from tests.forwarding.test_resumption import BODY, Caller, PacedBackend

FIRST_BYTES = 20_000
# Fits into what an owner takes of a response before it holds the backend server up.
READY_BYTES = 90_000


class ResponseEndTest(PathTest):
    """A response that has begun to reach its caller."""

    async def start(
        self, remote: bool, headers: str = "", size_bytes: int = len(BODY), **options: Any
    ) -> None:
        """Start the nodes and pass the first bytes of a response on.

        :param remote: whether the owner is another node.
        :param headers: further headers of the request.
        :param size_bytes: size of the response's body.
        """
        self.backend = PacedBackend()
        server = await asyncio.get_running_loop().create_server(
            lambda: self.backend, "127.0.0.1", 0
        )
        self.closers.append(server.close)
        host, port = server.sockets[0].getsockname()
        self.owner: PathNode = await self.start_node("owner", backend=f"{host}:{port}", **options)
        self.ingress = self.owner
        if remote:
            self.proxy = self.start_proxy(self.owner.peer_address)
            self.ingress = await self.start_node("ingress", **options)
            self.ingress.owner = ("owner", self.proxy.address)
        self.caller = Caller(self.ingress)
        await self.caller.ask(headers)
        self.closers.append(self.caller.leave)
        await self.backend.asked
        self.backend.send_head(size_bytes)
        self.backend.send(FIRST_BYTES)
        await self.caller.read_head()
        await self.caller.read(FIRST_BYTES)

    async def assert_delivered(self) -> None:
        """Send the rest and check that the caller gets it."""
        self.backend.send(len(BODY))
        await self.caller.read(len(BODY) - len(self.caller.body))
        self.assertEqual(self.caller.body, BODY)
        finished = await self.ingress.wait_for(events.ResponseFinished)
        self.assertTrue(finished.complete)

    def test_deadline_breaks_off(self) -> None:
        """Guards against a caller that is left waiting when its response is stopped."""

        async def check(remote: bool) -> None:
            await self.start(remote)
            responded = self.ingress.seen(events.OwnerResponded)[0]
            self.ingress.path.carry_out(
                effects.CancelAttempt(responded.request_id, responded.attempt_id, "owner")
            )
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await self.caller.read(len(BODY))
            finished = await self.ingress.wait_for(events.ResponseFinished)
            self.assertFalse(finished.complete)
            self.assertEqual(len(self.ingress.path.ingress), 0)
            await self.owner.wait_for(events.WorkCancelled)
            await self.backend.lost

        for remote in (True, False):
            with self.subTest(remote=remote):
                self.run_async(lambda remote=remote: check(remote))

    def test_idle_timeout_does_not(self) -> None:
        """Guards against a slow response that is cut as if its connection were idle."""

        async def check(remote: bool) -> None:
            await self.start(remote, idle_timeout_ms=100)
            self.ingress.limits = CallerLimits(idle_timeout_ms=50)
            await asyncio.sleep(0.4)
            await self.assert_delivered()

        for remote in (True, False):
            with self.subTest(remote=remote):
                self.run_async(lambda remote=remote: check(remote))

    def test_next_request_does_not(self) -> None:
        """Guards against a response that is cut by the timer of a request sent behind it."""

        async def main() -> None:
            await self.start(True, idle_timeout_ms=100, header_timeout_ms=100)
            self.caller.send(b"GET /next HTTP/1.1\r\nHo")
            await asyncio.sleep(0.4)
            await self.assert_delivered()

        self.run_async(main)

    def test_deadline_of_the_owner_does_not_once_the_response_is_ready(self) -> None:
        """Guards against an answer that the owner drops because it arrives after the deadline."""

        async def main() -> None:
            await self.start(True, "Request-Timeout-Ms: 600\r\n", READY_BYTES)
            self.proxy.freeze()
            self.backend.send(READY_BYTES - FIRST_BYTES)
            finished = await self.owner.wait_for(events.BackendFinished)
            self.assertIs(finished.result, events.BackendResult.DONE)
            # The silence is noticed after the deadline.
            await self.caller.read(READY_BYTES - FIRST_BYTES)
            self.assertEqual(self.caller.body, BODY[:READY_BYTES])
            ended = await self.ingress.wait_for(events.ResponseFinished)
            arrived = self.ingress.seen(events.RequestArrived)[0]
            self.assertTrue(ended.complete)
            self.assertGreater(ended.now_ms, arrived.now_ms + 600)

        self.run_async(main)
