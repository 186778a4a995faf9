"""An application backend with its heartbeats."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.http import Message, encode, exchange, serve

HEARTBEAT_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Run:
    """A request on which a backend began to work.

    :param at_s: when it reached the backend, on the steady clock.
    """

    backend: str
    attempt_id: str
    caller_service: str
    at_s: float


class Backend:
    """Serves requests, and says of itself what the pages name.

    :param control: where its heartbeats go; the address of its node or of a proxy before it.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        control: str,
        note: Callable[[str], None],
        work_s: float = 0.02,
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = address
        self.control = control
        self.note = note
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.running = 0
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.server = await serve(self.address, self.handle)
        self._beats = asyncio.create_task(self._keep_beating())

    def stop_beating(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    async def _keep_beating(self) -> None:
        while True:
            await self.beat(self.control)
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self, control: str) -> bool:
        """Send a heartbeat and return whether it was acknowledged within a second."""
        self.sequence += 1
        body = {
            "address": self.address,
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "ktm-a", "slots": 6},
            "status": {"state": "ready", "sequence": self.sequence, "cold-left-s": 0},
        }
        answer = await exchange(
            control,
            f"PUT /v1/instances/{self.instance} HTTP/1.1",
            {"Host": control, "Content-Type": "application/json"},
            json.dumps(body).encode(),
            HEARTBEAT_TIMEOUT_S,
        )
        return answer is not None and answer.status // 100 == 2

    async def leave(self) -> bool:
        """Send the departure and return whether it was acknowledged."""
        answer = await exchange(
            self.control,
            f"DELETE /v1/instances/{self.instance} HTTP/1.1",
            {"Host": self.control, "Content-Type": "application/json"},
            json.dumps({"born": self.born}).encode(),
            HEARTBEAT_TIMEOUT_S,
        )
        return answer is not None and answer.status // 100 == 2

    async def handle(self, request: Message) -> bytes | None:
        attempt_id = request.headers.get("attempt-id", "")
        load = f"{self.running},0,6"
        common = {"Attempt-Id": attempt_id, "Server-Load": load, "Keep-Alive": "timeout=10"}
        if request.target == "/health":
            headers = {"Instance-Id": self.instance, "Server-Load": load}
            return encode("HTTP/1.1 200 OK", headers)
        expected = request.headers.get("expected-instance", self.instance)
        if expected != self.instance:
            return encode("HTTP/1.1 421 Misdirected", {**common, "Not-Executed": "instance"})
        caller = request.headers.get("caller-service", "")
        self.runs.append(Run(self.instance, attempt_id, caller, time.monotonic()))
        self.note(f"{self.instance}: runs {attempt_id} for caller service {caller}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = f"{self.instance} {attempt_id}\n".encode()
        headers = {**common, "Response-Signature": f"{self.instance}.{attempt_id}.{len(body)}"}
        return encode("HTTP/1.1 200 OK", headers, body)
