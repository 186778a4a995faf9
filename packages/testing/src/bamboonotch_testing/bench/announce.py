"""Announce the backend servers of many nodes from one process, to save memory.

No backend server listens at the announced addresses, so it is for measurements without requests.
"""

from __future__ import annotations

import argparse
import http.client
import json
import threading
import time
from pathlib import Path
from typing import Any

__all__ = ["main"]

INTERVAL_S = 0.5
WORKERS = 4
TIMEOUT_S = 2.0


class _Worker:
    """Announces a share of the backend servers on kept connections.

    :param items: objects with ``admin_address`` and ``body``.
    """

    def __init__(self, items: list[dict[str, Any]]) -> None:
        self._items = items
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def run(self) -> None:
        """Announce every 500 ms until the process ends."""
        while True:
            started = time.monotonic()
            for item in self._items:
                self._announce(item["admin_address"], json.dumps(item["body"]))
            time.sleep(max(0.0, INTERVAL_S - (time.monotonic() - started)))

    def _announce(self, address: str, body: str) -> None:
        connection = self._connections.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
            self._connections[address] = connection
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("PUT", "/v1/backend-server", body, headers)
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._connections[address]


def main() -> None:
    """Run until the process is ended."""
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.bench.announce", description=__doc__)
    parser.add_argument("--specification", required=True, help="JSON file with what to announce")
    options = parser.parse_args()
    items = json.loads(Path(options.specification).read_text())
    threads = [
        threading.Thread(target=_Worker(items[number::WORKERS]).run) for number in range(WORKERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
