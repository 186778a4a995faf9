"""What every case needs: a record, a store, nodes, backends and a client."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.backend import Backend
from standins.http import Message, exchange
from standins.node import Node, free_ports
from standins.store import Store

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = "jepu9.example"
START_TIMEOUT_S = 30.0


class CannotRun(Exception):
    """The case cannot run here."""


class Case:
    """The parts of one case.

    :param folder: folder of the case, for ``record.txt``.
    """

    def __init__(self, folder: Path, directory: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = directory
        self.started_s = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self.store = Store()
        self.store.note = self.note
        self.store_address = f"127.0.0.1:{free_ports('127.0.0.1', 1)[0]}"
        self.nodes: list[Node] = []
        self.backends: list[Backend] = []
        self.sent = 0

    def note(self, text: str) -> None:
        print(f"{time.monotonic() - self.started_s:8.3f} {text}", file=self._record, flush=True)

    def add_node(self, name: str, service: str, zone: str = "ktm-a") -> Node:
        ip = f"127.0.0.{10 + len(self.nodes)}"
        node = Node(name, service, ip, self.store_address, self.directory, zone)
        self.nodes.append(node)
        return node

    def add_backend(self, instance: str, service: str, node: Node, work_s: float) -> Backend:
        ip = node.control.rpartition(":")[0]
        address = f"{ip}:{free_ports(ip, 1)[0]}"
        backend = Backend(instance, service, address, node.control, self.note, work_s)
        self.backends.append(backend)
        return backend

    async def call(
        self, node: Node, path: str, method: str = "GET", timeout_ms: int = 2500
    ) -> Message | None:
        """Send a request on a new connection; ``None`` without a complete answer."""
        self.sent += 1
        attempt_id = f"{self.sent:016x}"
        self.note(f"client: sends {attempt_id} {method} {path} to {node.name}")
        answer = await exchange(
            node.outbound,
            f"{method} {path} HTTP/1.1",
            {"Host": HOST, "Attempt-Id": attempt_id, "Timeout-Remaining": str(timeout_ms)},
            b"x" if method == "POST" else b"",
            timeout_ms / 1000 + 1,
        )
        text = "no answer" if answer is None else f"{answer.status} {answer.body!r:.80}"
        self.note(f"client: {attempt_id} gets {text}")
        return answer

    async def wait_for_status(self, node: Node, path: str, status: int = 200) -> None:
        ends_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_s:
            answer = await self.call(node, path)
            if answer is not None and answer.status == status:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} does not answer {path} with {status}")

    def end(self) -> None:
        for node in self.nodes:
            node.kill()


def main(folder: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit with its status.

    :param play: returns whether the rule held.
    """

    async def run(directory: Path) -> int:
        case = Case(Path(folder), directory)
        try:
            async with asyncio.timeout(110):
                held = await play(case)
            case.note(f"rule {'held' if held else 'broken'}")
            return HELD if held else BROKEN
        except Exception as error:
            traceback.print_exc()
            case.note(f"cannot run: {error!r}")
            return CANNOT_RUN
        finally:
            case.end()

    with tempfile.TemporaryDirectory() as directory:
        status = asyncio.run(run(Path(directory)))
        if status == CANNOT_RUN or os.environ.get("KEEP_LOGS"):
            for log in sorted(Path(directory).glob("*.log")):
                print(f"== {log.name}\n{log.read_text()}", file=sys.stderr)
    sys.exit(status)
