"""Tests of relay slots."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from twisted.internet import reactor, threads
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bamboonotch_core.events import SlotHolder
from bamboonotch_store.client import StoreClient
from bamboonotch_store.slots import SlotKeeper, list_slot_holders
from tests.support import LEASE_MS, StoreTestCase

PACKAGE = Path(__file__).resolve().parent.parent
NODES = 5
SLOTS = 3


class _Node:
    """A keeper that records its callbacks and whose clock can jump."""

    def __init__(self, client: StoreClient, seed: int) -> None:
        self.events: list[str] = []
        self.offset_ms = 0.0
        self.address = f"127.0.0.1:{7000 + seed}"
        self.keeper = SlotKeeper(
            client,
            "ktm-1",
            self.address,
            reactor,
            lambda slot: self.events.append("obtained"),
            lambda: self.events.append("lost"),
            Random(seed),
            self.read_clock_ms,
        )

    def read_clock_ms(self) -> float:
        """Read the clock."""
        return time.monotonic() * 1000 + self.offset_ms


class SlotsTest(StoreTestCase):
    """Keepers that compete for slots."""

    def start(self, seed: int) -> _Node:
        """Start a keeper that is stopped after the test."""
        client = self.make_client()
        node = _Node(client, seed)
        self.addCleanup(lambda: Deferred.fromCoroutine(node.keeper.stop()))
        node.keeper.start()
        return node

    async def list_addresses(self) -> set[str]:
        """Return the addresses of the holders in the store."""
        listing = await list_slot_holders(self.client)
        return {holder.peer_address for holder in listing.holders}

    async def test_slots_bound_the_holders(self) -> None:
        """Guards against more readers of the store than slots, or a slot left free."""
        nodes = [self.start(seed) for seed in range(NODES)]
        await self.wait_for(lambda: sum("obtained" in node.events for node in nodes) == SLOTS)
        await deferLater(reactor, LEASE_MS / 1000)
        held = [node for node in nodes if node.keeper.held_slot is not None]
        self.assertEqual({node.keeper.held_slot for node in held}, set(range(SLOTS)))
        self.assertEqual(await self.list_addresses(), {node.address for node in held})

    async def test_lease_is_kept_beyond_its_length(self) -> None:
        """Guards against a slot lost without any failure."""
        node = self.start(1)
        await self.wait_for(lambda: node.events)
        await deferLater(reactor, 2.5 * LEASE_MS / 1000)
        self.assertEqual(node.events, ["obtained"])

    async def test_stopped_holder_frees_its_slot(self) -> None:
        """Guards against a slot that stays taken until the lease ends after a clean stop."""
        node = self.start(1)
        await self.wait_for(lambda: node.events)
        await node.keeper.stop()
        self.assertEqual(await self.list_addresses(), set())
        self.assertEqual((node.events, node.keeper.held_slot), (["obtained"], None))

    async def test_paused_holder_notices_before_the_store(self) -> None:
        """Guards against a paused holder that believes in its lease after the store ended it."""
        node = self.start(1)
        await self.wait_for(lambda: node.events)
        node.offset_ms += LEASE_MS
        self.assertIsNone(node.keeper.held_slot)
        self.assertEqual(await self.list_addresses(), {node.address})
        await self.wait_for(lambda: node.events == ["obtained", "lost", "obtained"])
        self.assertIsNotNone(node.keeper.held_slot)

    async def test_store_outage_loses_then_regains(self) -> None:
        """Guards against a slot believed through an outage, or never tried for again."""
        node = self.start(1)
        await self.wait_for(lambda: node.events)
        self.server.change_faults(refuse="abort")
        await self.wait_for(lambda: "lost" in node.events)
        self.assertIsNone(node.keeper.held_slot)
        self.assertTrue(any("slot/" in key for key in self.keys()))
        self.server.change_faults(clear=True)
        node.keeper.try_soon()
        await self.wait_for(lambda: node.events[-1] == "obtained")

    async def test_ended_session_is_noticed_at_renewal(self) -> None:
        """Guards against a holder that goes on after the store forgot its session."""
        node = self.start(1)
        await self.wait_for(lambda: node.events)
        for session in list(self.server.data._sessions):
            self.server.data.destroy_session(session)
        await self.wait_for(lambda: node.events == ["obtained", "lost", "obtained"])

    async def test_late_renewal_is_not_believed(self) -> None:
        """Guards against a lease counted from the answer and not from the request."""
        node = self.start(1)
        await self.wait_for(lambda: node.events)
        renew = node.keeper._client.renew_session

        def renew_and_pause(session: str) -> Deferred[bool]:
            return renew(session).addCallback(self.pause, node)

        self.patch(node.keeper._client, "renew_session", renew_and_pause)
        await self.wait_for(lambda: "lost" in node.events)

    def pause(self, answer: bool, node: _Node) -> bool:
        """Let a node's clock jump over its lease."""
        node.offset_ms += LEASE_MS
        return answer

    async def test_stopped_process_finds_its_slot_lost(self) -> None:
        """Guards against a suspended process that goes on as holder when it runs again."""
        command = [sys.executable, "-m", "tests.keeper_process", self.settings.address]
        process = subprocess.Popen(command, cwd=PACKAGE, stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        lines: list[str] = []
        threads.deferToThread(lambda: lines.extend(iter(process.stdout.readline, "")))
        await self.wait_for(lambda: lines)
        os.kill(process.pid, signal.SIGSTOP)
        await self.wait_for(lambda: not self.keys())
        os.kill(process.pid, signal.SIGCONT)
        await self.wait_for(lambda: len(lines) >= 3)
        self.assertEqual([line.split()[0] for line in lines[:3]], ["obtained", "lost", "obtained"])
        self.assertEqual(lines[1].split()[1], "None")

    async def test_malformed_slots_are_named_and_left_out(self) -> None:
        """Guards against one malformed slot that hides all others from newcomers."""
        session = await self.client.create_session(LEASE_MS)
        slots = (
            ("slot/a/0", b"127.0.0.1:1"),
            ("slot/a/x", b"127.0.0.1:2"),
            ("slot/b/1", b"\xff"),
            ("slot/b/2/3", b"127.0.0.1:3"),
        )
        for key, value in slots:
            await self.client.acquire_slot(key, value, session)
        self.put("slot/b/0", b"127.0.0.1:4")
        listing = await list_slot_holders(self.client)
        self.assertEqual(listing.holders, (SlotHolder("a", 0, "127.0.0.1:1"),))
        self.assertEqual(listing.malformed_keys, ("slot/a/x", "slot/b/1", "slot/b/2/3"))
        only = await list_slot_holders(self.client, "b")
        self.assertEqual(only.holders, ())
