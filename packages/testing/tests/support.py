"""Runs tests on the loop of the process's one reactor, and starts tools as processes."""

from __future__ import annotations

import asyncio
import http.client
import json
import subprocess
import sys
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import asyncioreactor

TIMEOUT_S = 15.0


def shared_loop() -> asyncio.AbstractEventLoop:
    """Return the loop of the process's one reactor."""
    if "twisted.internet.reactor" not in sys.modules:
        asyncioreactor.install(asyncio.new_event_loop())
    from twisted.internet import reactor

    return reactor._asyncioEventloop


class ReactorTest(unittest.TestCase):
    """Runs each test's coroutine on the shared loop."""

    def run_async(self, main: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a coroutine with a time limit."""
        loop = shared_loop()
        asyncio.set_event_loop(loop)
        loop.run_until_complete(asyncio.wait_for(main(), TIMEOUT_S))

    def start_tool(self, *arguments: str) -> dict[str, str]:
        """Start a tool as a process and return the pairs of its first line."""
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
        )

        def stop() -> None:
            process.terminate()
            process.communicate(timeout=TIMEOUT_S)

        self.addCleanup(stop)
        assert process.stdout is not None
        return dict(pair.split("=", 1) for pair in process.stdout.readline().split())


def call(address: str, method: str, path: str, document: Any = None) -> tuple[int, bytes]:
    """Make one blocking HTTP call and return status and body."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        body = None if document is None else json.dumps(document)
        connection.request(method, path, body, {"X-Request-Id": "one"})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
