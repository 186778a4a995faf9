"""Tests of the stand-in backend server as a process."""

from __future__ import annotations

import http.client
import json
import random
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from bamboonotch_testing.backend_server import ServiceTimes, parse_service_time
from tests.support import ReactorTest, call


class _Admin(BaseHTTPRequestHandler):
    """The admin port of a node, as far as announcements go."""

    def do_PUT(self) -> None:
        """Keep an announcement."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.announcements.append((self.path, json.loads(body)))
        self.send_response(204)
        self.end_headers()
        self.server.announced.release()

    def log_message(self, format: str, *arguments: Any) -> None:
        """Write no log."""


class BackendServerTest(ReactorTest):
    """A process, driven over HTTP."""

    module = "bamboonotch_testing.backend_server"

    def runs(self, address: str) -> Any:
        """Return what the server recorded."""
        return json.loads(call(address, "GET", "/control/runs")[1])

    def test_records_runs_and_modes(self) -> None:
        """Guards against a stand-in that hides a second run or a wrong mode."""
        address = self.start_tool(self.module, "--slots", "2")["listening"]
        self.assertEqual(call(address, "GET", "/a?size=10"), (200, b"one\none\non"))
        self.assertEqual(call(address, "POST", "/control/mode", {"mode": "shed"})[0], 200)
        self.assertEqual(call(address, "GET", "/b")[0], 503)
        call(address, "POST", "/control/mode", {"mode": "crash-after-effect"})
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            call(address, "GET", "/c")
        self.assertEqual(call(address, "POST", "/control/mode", {"mode": "odd"})[0], 400)
        record = self.runs(address)
        self.assertEqual([run["path"] for run in record["runs"]], ["/a?size=10", "/c"])
        self.assertEqual([run["end"] for run in record["runs"]], ["answered", "crashed"])
        self.assertEqual(record["refused"], 1)

    def test_announces_itself(self) -> None:
        """Guards against a stand-in that the node beside it never hears of."""
        admin = HTTPServer(("127.0.0.1", 0), _Admin)
        admin.announcements, admin.announced = [], threading.Semaphore(0)
        thread = threading.Thread(target=admin.serve_forever)
        thread.start()
        self.addCleanup(admin.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(admin.shutdown)
        started = self.start_tool(
            self.module, "--announce", f"127.0.0.1:{admin.server_port}", "--service", "menu"
        )
        self.assertTrue(admin.announced.acquire(timeout=10))
        call(started["listening"], "POST", "/control/mode", {"mode": "drain"})
        while admin.announcements[-1][1]["state"] != "draining":
            self.assertTrue(admin.announced.acquire(timeout=10))
        path, document = admin.announcements[0]
        self.assertEqual(path, "/v1/backend-server")
        expected = {
            "service": "menu",
            "address": started["listening"],
            "slots": 6,
            "state": "ready",
        }
        self.assertEqual(document, expected)


class ServiceTimesTest(unittest.TestCase):
    """Service times by path."""

    def test_longest_prefix_and_seed(self) -> None:
        """Guards against times that differ between runs with one seed."""
        rules = [parse_service_time(text) for text in ("3", "/plans=uniform:10:20", "/plans/x=1")]
        times = ServiceTimes(rules, seed=5)
        self.assertEqual((times.draw_ms("/menu"), times.draw_ms("/plans/x")), (3, 1))
        self.assertEqual(times.draw_ms("/plans"), random.Random(5).uniform(10, 20))

    def test_malformed(self) -> None:
        """Guards against a mistyped distribution that silently means no time at all."""
        for text in ("soon", "uniform:1", "exponential:0", "/p=normal:1:2"):
            with self.assertRaises(ValueError):
                parse_service_time(text)
