"""What a running command uses: settings, reactor, store and nodes."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import Any

from bamboonotch_cli.admin import AdminClient
from bamboonotch_cli.fleet import FleetReader
from bamboonotch_cli.settings import OperatorSettings
from bamboonotch_store.client import StoreClient
from bamboonotch_store.log import VersionLog

__all__ = ["Session"]


class Session:
    """Opens the store and the nodes when a command needs them; a context manager.

    :param settings: the connection settings.
    :param reactor: Twisted reactor.
    """

    def __init__(self, settings: OperatorSettings, reactor: Any) -> None:
        self._settings = settings
        self._stack = AsyncExitStack()
        self.reactor = reactor

    async def __aenter__(self) -> Session:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def open_log(self) -> VersionLog:
        """Return the version log of the customer.

        :raises CommandError: when the store's address or the customer is not given.
        """
        client = StoreClient(self._settings.store_settings(), self._settings.tenant, self.reactor)
        return VersionLog(await self._stack.enter_async_context(client))

    async def open_admin(self) -> AdminClient:
        """Return a client of the nodes' admin interface."""
        client = AdminClient(self.reactor, self._settings.timeout_ms)
        return await self._stack.enter_async_context(client)

    def open_fleet(self, admin: AdminClient) -> FleetReader:
        """Return a reader of the fleet.

        :param admin: the client to use.
        :raises CommandError: when no admin address is given.
        """
        return FleetReader(admin, self._settings.admin_addresses(), self.reactor)
