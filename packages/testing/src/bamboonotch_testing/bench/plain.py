"""The plain way as a baseline: every node watches the store and takes each whole snapshot.

One process plays many nodes, each with a store client of its own. It prints one JSON line whenever
one of them has a version in force.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from typing import Any

from twisted.internet.defer import Deferred

from bamboonotch_core.configuration import decode_snapshot
from bamboonotch_core.errors import StoreError
from bamboonotch_core.settings import StoreSettings
from bamboonotch_store.client import StoreClient
from bamboonotch_store.log import VersionLog
from bamboonotch_testing.caller import run_with_reactor

__all__ = ["main"]

RETRY_S = 0.2


async def _watch(number: int, options: argparse.Namespace, reactor: Any) -> None:
    settings = StoreSettings(options.store, options.region)
    log = VersionLog(StoreClient(settings, options.tenant, reactor))
    version = 0
    while True:
        try:
            found = await _run(log.watch_entry(version + 1, settings.watch_ms))
            if found is None:
                continue
            newest = await _run(log.read_newest())
        except StoreError:
            await asyncio.sleep(RETRY_S)
            continue
        if newest.snapshot_version <= version:
            continue
        decode_snapshot(newest.snapshot, newest.snapshot_digest)
        version = newest.snapshot_version
        size_bytes = len(found) + len(newest.snapshot) + sum(map(len, newest.entries))
        line = {"number": number, "version": version, "bytes": size_bytes}
        print(json.dumps({**line, "unix_ms": time.time() * 1000}), flush=True)


def _run(coroutine: Any) -> Any:
    return Deferred.fromCoroutine(coroutine).asFuture(asyncio.get_running_loop())


async def _run_all(options: argparse.Namespace) -> None:
    from twisted.internet import reactor

    await asyncio.gather(
        *(_watch(options.first + number, options, reactor) for number in range(options.nodes))
    )


def main() -> None:
    """Run until the process is ended."""
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.bench.plain", description=__doc__)
    parser.add_argument("--store", required=True, help="ip:port of the store")
    parser.add_argument("--region", required=True, help="region of the store")
    parser.add_argument("--tenant", required=True, help="the customer")
    parser.add_argument("--nodes", type=int, required=True, help="how many nodes to play")
    parser.add_argument("--first", type=int, default=0, help="number of the first one")
    options = parser.parse_args()
    run_with_reactor(lambda: _run_all(options))


if __name__ == "__main__":
    main()
