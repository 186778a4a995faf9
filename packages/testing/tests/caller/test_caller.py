"""Tests of the stand-in caller."""

from __future__ import annotations

import random
import unittest
import uuid

from bamboonotch_testing.backend_server import BackendServer, Mode, ServiceTimes
from bamboonotch_testing.caller import (
    Call,
    CallClass,
    CallerClient,
    LoadPlan,
    make_key,
    percentile,
    run_load,
    summarize,
)
from tests.support import ReactorTest


class LoadTest(ReactorTest):
    """Load on a stand-in backend server."""

    def test_seeded_load(self) -> None:
        """Guards against load that depends on more than its seed, or lost records."""

        async def main() -> None:
            from twisted.internet import reactor

            server = BackendServer(reactor, 0, ServiceTimes([], 1))
            listener = reactor.listenTCP(0, server.site, interface="127.0.0.1")
            client = CallerClient(reactor, f"127.0.0.1:{listener.getHost().port}")
            classes = (
                CallClass("order", 1, "POST", "/orders", keyed=True, body_bytes=10),
                CallClass("menu", 3, "GET", "/menu?size=20000"),
            )
            plan = LoadPlan(classes, rate_per_s=300, duration_s=0.5, seed=3)
            first = await run_load(client, plan)
            second = await run_load(client, plan)
            self.assertEqual(
                sorted(r.call.request_id for r in first), sorted(r.call.request_id for r in second)
            )
            self.assertEqual(len(server.state.runs), len(first) + len(second))
            self.assertTrue(all(r.complete and r.own_answer for r in first))
            keys = [r.call.idempotency_key for r in first + second if r.call.idempotency_key]
            self.assertEqual(len(set(keys)), len(keys))
            summary = summarize(first)
            self.assertGreater(summary["menu"]["calls"], summary["order"]["calls"])
            server.set_mode(Mode.CRASH_AFTER_EFFECT)
            record = await client.send(Call("order", "GET", "/", "broken"))
            self.assertEqual((record.status, record.complete), (0, False))
            self.assertEqual([run.request_id for run in server.state.runs].count("broken"), 1)
            await client.close()
            await listener.stopListening().asFuture(reactor._asyncioEventloop)

        self.run_async(main)

    def test_mixed_up_answer_is_noticed(self) -> None:
        """Guards against a caller that takes another request's answer for its own."""

        async def main() -> None:
            from twisted.internet import reactor

            server = BackendServer(reactor, 0, ServiceTimes([], 1))
            listener = reactor.listenTCP(0, server.site, interface="127.0.0.1")
            client = CallerClient(reactor, f"127.0.0.1:{listener.getHost().port}")
            other = (("X-Request-Id", "other"),)
            record = await client.send(Call("menu", "GET", "/", "mine"))
            self.assertTrue(record.own_answer)
            client._request = lambda call, send=client._request: send(
                Call("menu", "GET", "/", "other", headers=other)
            )
            record = await client.send(Call("menu", "GET", "/", "mine"))
            self.assertTrue(record.complete)
            self.assertFalse(record.own_answer)
            await client.close()
            await listener.stopListening().asFuture(reactor._asyncioEventloop)

        self.run_async(main)


class FiguresTest(unittest.TestCase):
    """Keys and percentiles."""

    def test_key(self) -> None:
        """Guards against keys whose time or version the mesh would refuse."""
        key = uuid.UUID(make_key(1_700_000_000_123, random.Random(1)))
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
        self.assertEqual(key.int >> 80, 1_700_000_000_123)

    def test_percentile(self) -> None:
        """Guards against a percentile that is off by a rank."""
        values = [float(number) for number in range(1, 101)]
        self.assertEqual([percentile(values, share) for share in (0.5, 0.99, 1.0)], [50, 99, 100])
        self.assertEqual((percentile([], 0.5), percentile([4.0], 0.99)), (0.0, 4.0))
