"""Tests of the stand-in as a process, over HTTP."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import threading
import time
import unittest
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 10
STARTED = "listening on "


@dataclass(frozen=True)
class Answer:
    """An answer over HTTP."""

    status: int
    index: int
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


class ServerTest(unittest.TestCase):
    """Calls to a process of the stand-in."""

    def setUp(self) -> None:
        """Start the process on a free port."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bamboonotch_testing.store_server", "--listen", "127.0.0.1:0"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.stop)
        assert self.process.stdout is not None
        line = self.process.stdout.readline().strip()
        self.assertTrue(line.startswith(STARTED), line)
        self.address = line.removeprefix(STARTED)

    def stop(self) -> None:
        """End the process, which must not complain."""
        self.process.terminate()
        _, errors = self.process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(errors, "")

    def call(self, method: str, path: str, body: bytes = b"") -> Answer:
        """Make one call."""
        connection = http.client.HTTPConnection(self.address, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body or None)
            response = connection.getresponse()
            index = int(response.headers.get("X-Consul-Index", "0"))
            return Answer(response.status, index, response.read())
        finally:
            connection.close()

    def set_fault(self, **changes: Any) -> Answer:
        """Set faults."""
        return self.call("POST", "/control/fault", json.dumps(changes).encode())

    def start_watch(self, path: str) -> tuple[threading.Thread, list[Answer | OSError]]:
        """Start a blocking read in a thread and wait until the stand-in holds it."""
        answers: list[Answer | OSError] = []

        def watch() -> None:
            try:
                answers.append(self.call("GET", path))
            except OSError as error:
                answers.append(error)

        thread = threading.Thread(target=watch)
        thread.start()
        deadline_s = time.monotonic() + TIMEOUT_S
        while not self.call("GET", "/control/calls").json["waiting_watches"]:
            self.assertLess(time.monotonic(), deadline_s)
        return thread, answers

    def test_entry_fields(self) -> None:
        """Guards against a listing that lacks a field of the published API."""
        self.call("PUT", "/v1/kv/a/b", b"hello")
        answer = self.call("GET", "/v1/kv/a/b")
        self.assertEqual(self.call("GET", "/v1/kv/a/?recurse").json, answer.json)
        self.assertEqual(
            answer.json,
            [
                {
                    "Key": "a/b",
                    "Value": "aGVsbG8=",
                    "Flags": 0,
                    "LockIndex": 0,
                    "CreateIndex": answer.index,
                    "ModifyIndex": answer.index,
                }
            ],
        )
        self.assertEqual(self.call("GET", "/v1/kv/a/b?raw").body, b"hello")
        self.assertEqual(self.call("GET", "/v1/kv/absent").status, 404)

    def test_watch_wakes_on_write_and_delete_of_its_key_only(self) -> None:
        """Guards against a watch that sleeps through its change or wakes for another key."""
        index = self.call("GET", "/v1/kv/k").index
        thread, answers = self.start_watch(f"/v1/kv/k?raw&index={index}&wait=10s")
        self.call("PUT", "/v1/kv/other", b"x")
        self.assertEqual(answers, [])
        self.call("PUT", "/v1/kv/k", b"x")
        thread.join(TIMEOUT_S)
        created = answers[0]
        assert isinstance(created, Answer)
        self.assertEqual((created.status, created.body), (200, b"x"))
        thread, answers = self.start_watch(f"/v1/kv/k?index={created.index}&wait=10s")
        self.call("DELETE", "/v1/kv/k")
        thread.join(TIMEOUT_S)
        deleted = answers[0]
        assert isinstance(deleted, Answer)
        self.assertEqual(deleted.status, 404)
        self.assertGreater(deleted.index, created.index)

    def test_missed_change_answers_at_once(self) -> None:
        """Guards against a watch that waits for a change made before it began."""
        index = self.call("GET", "/v1/kv/k").index
        self.call("PUT", "/v1/kv/k", b"x")
        self.call("DELETE", "/v1/kv/k")
        started_s = time.monotonic()
        self.call("GET", f"/v1/kv/k?index={index}&wait=10s")
        self.assertLess(time.monotonic() - started_s, TIMEOUT_S / 2)

    def test_calls_are_counted_by_kind(self) -> None:
        """Guards against wrong measures of the load on the store."""
        self.call("PUT", "/v1/kv/k?cas=0", b"x")
        self.call("PUT", "/v1/kv/k", b"x")
        self.call("GET", "/v1/kv/k")
        self.call("GET", "/v1/kv/?keys")
        self.call("DELETE", "/v1/kv/k")
        counted = self.call("GET", "/control/calls").json
        kinds = {"cas": 1, "write": 1, "read": 1, "list": 1, "delete": 1}
        self.assertEqual(counted, {"calls": kinds, "total": 5, "waiting_watches": 0})

    def test_refusal_ends_waiting_watches(self) -> None:
        """Guards against a store that is down for calls and up for watches."""
        thread, answers = self.start_watch("/v1/kv/k?index=1&wait=10s")
        self.assertEqual(self.set_fault(refuse="error").json["refuse"], "error")
        thread.join(TIMEOUT_S)
        refused = answers[0]
        assert isinstance(refused, Answer)
        self.assertEqual(refused.status, 500)
        self.assertEqual(self.call("PUT", "/v1/kv/k", b"x").status, 500)
        self.set_fault(refuse="abort")
        with self.assertRaises(OSError):
            self.call("PUT", "/v1/kv/k", b"x")
        self.set_fault(clear=True)
        self.assertEqual(self.call("GET", "/v1/kv/k").status, 404)

    def test_dropped_answers_take_effect(self) -> None:
        """Guards against a lost answer that also loses the write, or hits other keys."""
        self.set_fault(drop_prefix="log/", drop_count=1)
        self.assertEqual(self.call("PUT", "/v1/kv/other", b"x").body, b"true")
        with self.assertRaises(OSError):
            self.call("PUT", "/v1/kv/log/1", b"x")
        self.assertEqual(self.call("PUT", "/v1/kv/log/1?cas=0", b"y").body, b"false")
        self.assertEqual(self.call("GET", "/control/fault").json["drop_count"], 0)

    def test_held_answers_come_later(self) -> None:
        """Guards against a held answer that is lost."""
        self.set_fault(hold=True)
        answers: list[Answer] = []
        thread = threading.Thread(target=lambda: answers.append(self.call("PUT", "/v1/kv/k", b"x")))
        thread.start()
        while not self.call("GET", "/control/calls").json["total"]:
            pass
        self.assertEqual(answers, [])
        self.set_fault(hold=False)
        thread.join(TIMEOUT_S)
        self.assertEqual(answers[0].body, b"true")

    def test_slow_answers(self) -> None:
        """Guards against a slow store that is not slow."""
        self.set_fault(delay_ms=100)
        started_s = time.monotonic()
        self.call("GET", "/v1/kv/k")
        self.assertGreaterEqual(time.monotonic() - started_s, 0.1)

    def test_bad_input_is_refused(self) -> None:
        """Guards against bad input that is taken or ends the process."""
        for method, path, body, status in (
            ("PUT", "/v1/kv/k?cas=x", b"", 400),
            ("GET", "/v1/kv/k?index=-1", b"", 400),
            ("GET", "/v1/kv/k?index=1&wait=forever", b"", 400),
            ("PUT", "/v1/kv/k", b"x" * (1024 * 1024 + 1), 413),
            ("PUT", "/v1/kv/k?acquire=absent", b"", 500),
            ("PUT", "/v1/session/create", b"[", 400),
            ("PUT", "/v1/session/create", b'{"Behavior": "delete", "TTL": "0s"}', 400),
            ("PUT", "/v1/session/create", b'{"TTL": "10s"}', 400),
            ("PUT", "/v1/session/renew/absent", b"", 404),
            ("POST", "/v1/kv/k", b"", 405),
            ("GET", "/elsewhere", b"", 404),
            ("POST", "/control/fault", b"[]", 400),
            ("POST", "/control/fault", b'{"odd": 1}', 400),
            ("POST", "/control/fault", b'{"delay_ms": "1"}', 400),
            ("POST", "/control/fault", b'{"refuse": "maybe"}', 400),
        ):
            with self.subTest(path=path, body=body[:40]):
                self.assertEqual(self.call(method, path, body).status, status)
        self.assertEqual(self.call("GET", "/v1/kv/k").status, 404)
