"""Tests of the deadline of an attempt whose body arrives after its head."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from bamboonotch_core.settings import RequestSettings
from bamboonotch_node.forwarding._server import _ServerStream
from bamboonotch_node.forwarding._stream import StreamIdentity
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb


class LateBodyTest(unittest.TestCase):
    """Deadline of an attempt whose body waits for the ingress's link."""

    def test_time_that_the_body_takes_is_not_added(self) -> None:
        """Guards against a backend server that is given more time than its caller has left."""
        asyncio.run(self._check())

    async def _check(self) -> None:
        clock_ms = 0.0
        offered: list[Any] = []

        class Owner:
            def knows(self, attempt_id: str) -> bool:
                return False

            def __len__(self) -> int:
                return 0

            def offer(self, work: Any, sink: Any, replayable: bool, uplink_ms: float) -> None:
                offered.append(work)

        uplink = Uplink()
        server = SimpleNamespace(
            identity=StreamIdentity("o", 1, 1500, False),
            uplink=uplink,
            owner=Owner(),
            max_attempts=10,
            clock=lambda: clock_ms,
            unread_ms=lambda: 0.0,
            request_settings=lambda: RequestSettings(),
            reserve_body_bytes=lambda size: True,
            release_body_bytes=lambda size: None,
            report=lambda report: None,
        )

        async def nothing(*arguments: Any) -> None:
            return None

        stream = _ServerStream(server, nothing, nothing)  # type: ignore[arg-type]
        head = pb.RequestHead(
            attempt_id="r/1",
            request_id="r",
            service="s",
            request_class="c",
            remaining_ms=1000.0,
            method="POST",
            path="/",
        )
        stream.received(pb.ForwardFrame(request_head=head))
        clock_ms = 900.0
        chunk = pb.BodyChunk(attempt_id="r/1", data=b"x" * 20_000, last=True)
        stream.received(pb.ForwardFrame(body_chunk=chunk))
        self.assertEqual(len(offered), 1)
        self.assertLessEqual(offered[0].deadline_ms, 1000.0)
