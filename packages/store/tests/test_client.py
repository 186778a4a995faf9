"""Tests of the store client."""

from __future__ import annotations

import time

from twisted.internet import reactor
from twisted.internet.defer import CancelledError
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from bamboonotch_core.errors import StoreUnavailableError, StoreValueError
from bamboonotch_core.settings import StoreSettings
from bamboonotch_store._client import _parse_boolean, _parse_entries, _parse_index, _parse_keys
from bamboonotch_store.client import CallKind, CallResult, StoreClient
from bamboonotch_store.errors import SessionInvalidError, StoreRefusedError
from bamboonotch_store.http import HttpAnswer
from tests.support import FULL_PREFIX, LEASE_MS, TIMEOUT_MS, StoreTestCase

RACERS = 20


class ClientTest(StoreTestCase):
    """Calls that the store answers."""

    async def test_create_has_one_winner(self) -> None:
        """Guards against two writers both told that they created a key."""
        racing = [self.client.create_key("k", str(n).encode()) for n in range(RACERS)]
        results = [await result for result in racing]
        self.assertEqual(results.count(True), 1)
        read = await self.client.read_key("k")
        self.assertEqual(read.value, str(results.index(True)).encode())

    async def test_swap_needs_current_index(self) -> None:
        """Guards against a swap over a value that the writer has not seen."""
        await self.client.create_key("k", b"1")
        index = (await self.client.read_key("k")).index
        self.assertTrue(await self.client.compare_and_swap("k", b"2", index))
        self.assertFalse(await self.client.compare_and_swap("k", b"3", index))
        self.assertEqual((await self.client.read_key("k")).value, b"2")

    async def test_list_and_delete_stay_within_prefix(self) -> None:
        """Guards against touching keys outside the prefix or of another customer."""
        self.server.data.put("bamboonotch/other/claim/1/a", b"")
        for key in ("claim/1/a", "claim/1/b", "claim/12/c", "odd key%/ü"):
            await self.client.create_key(key, b"x")
        self.assertEqual(await self.client.list_keys("claim/", "/"), ("claim/1/", "claim/12/"))
        await self.client.delete_prefix("claim/1/")
        self.assertEqual(await self.client.list_keys(""), ("claim/12/c", "odd key%/ü"))
        self.assertEqual(await self.client.list_keys("none"), ())
        self.assertEqual(await self.client.read_prefix("none"), ())

    async def test_watch_wakes_on_creation(self) -> None:
        """Guards against a watch of an absent key that misses its creation."""
        absent = await self.client.read_key("log/1")
        self.assertIsNone(absent.value)
        watch = self.client.watch_key("log/1", absent.index, 5000)
        await self.client.create_key("log/2", b"other")
        self.assertFalse(watch.called)
        await self.client.create_key("log/1", b"entry")
        self.assertEqual((await watch).value, b"entry")

    async def test_watch_ends_after_wait(self) -> None:
        """Guards against a watch that outlives its wait or counts it as a failure."""
        absent = await self.client.read_key("log/1")
        self.assertIsNone((await self.client.watch_key("log/1", absent.index, 50)).value)
        self.assertEqual(self.calls[-1].kind, CallKind.WATCH)
        self.assertEqual(self.calls[-1].result, CallResult.ANSWERED)

    async def test_session_ends_with_its_lease(self) -> None:
        """Guards against a slot that outlives the lease of its holder."""
        session = await self.client.create_session(LEASE_MS)
        self.assertTrue(await self.client.acquire_slot("slot/a/0", b"addr", session))
        self.assertEqual((await self.client.read_prefix("slot/"))[0].session, session)
        await deferLater(reactor, 1.2 * LEASE_MS / 1000)
        self.assertFalse(await self.client.renew_session(session))
        self.assertEqual(await self.client.read_prefix("slot/"), ())
        with self.assertRaises(SessionInvalidError):
            await self.client.acquire_slot("slot/a/0", b"addr", session)

    async def test_released_slot_is_free(self) -> None:
        """Guards against a released slot that nobody can acquire."""
        first = await self.client.create_session(LEASE_MS)
        second = await self.client.create_session(LEASE_MS)
        await self.client.acquire_slot("slot/a/0", b"1", first)
        self.assertFalse(await self.client.acquire_slot("slot/a/0", b"2", second))
        self.assertTrue(await self.client.release_slot("slot/a/0", first))
        self.assertTrue(await self.client.acquire_slot("slot/a/0", b"2", second))
        await self.client.destroy_session(second)
        self.assertEqual(self.keys(), [])

    async def test_oversized_value_is_refused(self) -> None:
        """Guards against an oversized value reported as an outage, which callers would retry."""
        with self.assertRaises(StoreRefusedError):
            await self.client.create_key("k", b"x" * (1024 * 1024 + 1))
        self.assertEqual(self.calls[-1].result, CallResult.REFUSED)

    def test_empty_prefix_is_not_deleted(self) -> None:
        """Guards against deleting all keys of a customer."""
        self.assertRaises(ValueError, self.client.delete_prefix, "")


class OutageTest(StoreTestCase):
    """Calls while the store is down, slow or unreachable."""

    async def assert_unavailable(self) -> None:
        """Check that a read fails as unavailable by its deadline."""
        started_s = time.monotonic()
        with self.assertRaises(StoreUnavailableError):
            await self.client.read_key("k")
        self.assertLess(time.monotonic() - started_s, 4 * TIMEOUT_MS / 1000)
        self.assertEqual(self.calls[-1].result, CallResult.UNAVAILABLE)

    async def test_each_fault_is_unavailable(self) -> None:
        """Guards against an outage that surfaces as anything but the one typed error."""
        for fault in ({"refuse": "error"}, {"refuse": "abort"}, {"hold": True}):
            self.server.change_faults(clear=True, **fault)
            await self.assert_unavailable()
        self.server.change_faults(clear=True)
        self.assertIsNone((await self.client.read_key("k")).value)

    async def test_closed_port_is_unavailable(self) -> None:
        """Guards against a refused connection raising an untyped error."""
        await self.server.close()
        await self.assert_unavailable()
        self.assertLess(self.calls[-1].duration_ms, TIMEOUT_MS)

    async def test_slow_answer_within_deadline_is_used(self) -> None:
        """Guards against a slow store treated as down."""
        self.server.change_faults(delay_ms=TIMEOUT_MS // 3)
        self.assertTrue(await self.client.create_key("k", b"x"))
        self.assertGreaterEqual(self.calls[-1].duration_ms, TIMEOUT_MS // 3)

    async def test_lost_answer_is_unavailable_and_not_repeated(self) -> None:
        """Guards against a write repeated by the HTTP library after a lost answer."""
        self.drop_answers(1)
        with self.assertRaises(StoreUnavailableError):
            await self.client.create_key("k", b"x")
        self.assertEqual(self.server.calls["cas"], 1)
        self.assertEqual(self.keys(), ["k"])

    async def test_silent_connections_are_replaced(self) -> None:
        """Guards against reusing idle connections after one went silent for good."""
        accepted = []

        class Silent(Protocol):
            def connectionMade(self) -> None:
                accepted.append(self)

        port = reactor.listenTCP(0, Factory.forProtocol(Silent), interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        settings = StoreSettings(f"127.0.0.1:{port.getHost().port}", "r", timeout_ms=50)
        async with StoreClient(settings, "t", reactor) as client:
            for _ in range(2):
                with self.assertRaises(StoreUnavailableError):
                    await client.read_key("k")
        self.assertEqual(len(accepted), 2)

    async def test_close_ends_watches(self) -> None:
        """Guards against a shutdown that waits for a watch."""
        index = (await self.client.read_key("k")).index
        watch = self.client.watch_key("k", index, 60_000)
        await self.client.close()
        with self.assertRaises(StoreUnavailableError):
            await watch
        with self.assertRaises(StoreUnavailableError):
            await self.client.read_key("k")

    async def test_cancelled_call_ends(self) -> None:
        """Guards against a caller's cancellation reported as an outage."""
        index = (await self.client.read_key("k")).index
        connecting = self.make_client().watch_key("k", index, 60_000)
        waiting = self.client.watch_key("k", index, 60_000)
        await self.make_client().read_key("k")
        for watch in (connecting, waiting):
            watch.cancel()
            await self.assertFailure(watch, CancelledError)
            self.assertEqual(self.calls[-1].result, CallResult.CANCELLED)


class MalformedAnswerTest(TestCase):
    """Answers that do not follow the API."""

    def test_malformed_answers_are_typed_errors(self) -> None:
        """Guards against a malformed answer raising an untyped error or being believed."""
        entry = b'{"Key": "%s", "Value": "%s", "ModifyIndex": 3}'
        prefix = FULL_PREFIX.encode()
        bodies = (
            (_parse_boolean, b"1"),
            (_parse_boolean, b"\xff"),
            (_parse_index, b""),
            (lambda answer: _parse_keys(answer, FULL_PREFIX), b"{}"),
            (lambda answer: _parse_keys(answer, FULL_PREFIX), b'["elsewhere"]'),
            (lambda answer: _parse_entries(answer, FULL_PREFIX), b"[1]"),
            (lambda answer: _parse_entries(answer, FULL_PREFIX), b"[" * 100_000),
            (lambda answer: _parse_entries(answer, FULL_PREFIX), b"[%s]" % (entry % (b"x", b""))),
            (
                lambda answer: _parse_entries(answer, FULL_PREFIX),
                b"[%s]" % (entry % (prefix, b"!")),
            ),
        )
        for parse, body in bodies:
            with self.assertRaises(StoreValueError):
                parse(HttpAnswer(200, "-1", body))
