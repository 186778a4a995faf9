"""Base of tests that call the store stand-in in the same process."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from bamboonotch_core.settings import StoreSettings
from bamboonotch_store.client import StoreCall, StoreClient
from bamboonotch_testing.store_server import Selection, StoreServer

TENANT = "himal-thali"
FULL_PREFIX = f"bamboonotch/{TENANT}/"
TIMEOUT_MS = 400
LEASE_MS = 1000
POLL_S = 0.01


class StoreTestCase(TestCase):
    """Has a store stand-in and a client of it."""

    timeout = 20

    def setUp(self) -> None:
        """Start the stand-in on a free port."""
        self.server = StoreServer(reactor)
        self.addCleanup(self.server.close)
        self.settings = StoreSettings(
            self.server.listen(), "bagmati", timeout_ms=TIMEOUT_MS, lease_ms=LEASE_MS
        )
        self.calls: list[StoreCall] = []
        self.client = self.make_client()

    def make_client(self) -> StoreClient:
        """Return a client that is closed after the test."""
        client = StoreClient(self.settings, TENANT, reactor, self.calls.append)
        self.addCleanup(client.close)
        return client

    def drop_answers(self, count: int) -> None:
        """Lose the answers of the next writes, which take effect."""
        self.server.change_faults(drop_prefix=FULL_PREFIX, drop_count=count)

    async def wait_for(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds; the test's timeout bounds the wait."""
        while not condition():
            await deferLater(reactor, POLL_S)

    def put(self, key: str, value: bytes) -> None:
        """Write a key behind the client's back."""
        self.server.data.put(FULL_PREFIX + key, value)

    def keys(self) -> list[str]:
        """Return the keys in the stand-in."""
        selected = self.server.data.select(Selection(FULL_PREFIX, True))
        return [key.removeprefix(FULL_PREFIX) for key in selected]
