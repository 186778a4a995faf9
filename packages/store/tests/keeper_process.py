"""Process that competes for a slot and prints each event with the slot then held."""

from __future__ import annotations

import sys
from random import Random

from twisted.internet import reactor

from bamboonotch_core.settings import StoreSettings
from bamboonotch_store.client import StoreClient
from bamboonotch_store.slots import SlotKeeper
from tests.support import LEASE_MS, TENANT, TIMEOUT_MS


def main() -> None:
    """Run until the process is ended."""
    settings = StoreSettings(sys.argv[1], "bagmati", timeout_ms=TIMEOUT_MS, lease_ms=LEASE_MS)
    client = StoreClient(settings, TENANT, reactor)

    def tell(event: str) -> None:
        print(event, keeper.held_slot, flush=True)

    keeper = SlotKeeper(
        client,
        "ktm-1",
        "127.0.0.1:1",
        reactor,
        lambda _: tell("obtained"),
        lambda: tell("lost"),
        Random(1),
    )
    keeper.start()
    reactor.run()


if __name__ == "__main__":
    main()
