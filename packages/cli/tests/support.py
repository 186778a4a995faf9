"""Base of tests that run the command as a process against stand-ins in this one."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.threads import deferToThread
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from bamboonotch_testing.store_server import StoreServer

TENANT = "himal-thali"
FULL_PREFIX = f"bamboonotch/{TENANT}/"
TIMEOUT_MS = 400
PROCESS_TIMEOUT_S = 30
EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


@dataclass(frozen=True)
class CommandResult:
    """How a run of the command ended."""

    status: int
    output: str
    errors: str

    @property
    def json(self) -> Any:
        """The JSON output."""
        return json.loads(self.output)


def run_command(arguments: list[str], text: str | None = None) -> CommandResult:
    """Run the command as a process."""
    process = subprocess.run(
        [sys.executable, "-m", "bamboonotch_cli", *arguments],
        capture_output=True,
        check=False,
        input=text,
        text=True,
        timeout=PROCESS_TIMEOUT_S,
    )
    return CommandResult(process.returncode, process.stdout, process.stderr)


class NodeStandIn(Resource):
    """The admin interface of one node."""

    isLeaf = True  # noqa: N815

    def __init__(self, node_id: str, version: int = 1) -> None:
        super().__init__()
        self.node_id = node_id
        self.version = version
        self.state = "ready"
        self.members: list[NodeStandIn] = [self]
        self.silent = False
        self.calls: list[str] = []
        self.answers: dict[str, Any] = {}
        self._port = reactor.listenTCP(0, Site(self), interface="127.0.0.1")
        self.address = f"127.0.0.1:{self._port.getHost().port}"

    def close(self) -> Any:
        """Stop answering."""
        return self._port.stopListening()

    def record(self) -> dict[str, Any]:
        """Return the member record."""
        return {
            "node_id": self.node_id,
            "incarnation": 1,
            "sequence": 1,
            "region": "bagmati",
            "data_centre": "ktm-1",
            "peer_address": "127.0.0.1:1",
            "http_address": "127.0.0.1:2",
            "admin_address": self.address,
            "service": "menu",
            "slots": 6,
            "state": self.state,
            "relay_slot": -1,
        }

    def status(self) -> dict[str, Any]:
        """Return the status."""
        return {
            "node_id": self.node_id,
            "running_version": self.version,
            "held_version": self.version,
            "serving": True,
            "reason": "",
            "service": "menu",
            "state": self.state,
            "members_known": len(self.members),
            "store_reachable": True,
        }

    def render(self, request: Any) -> Any:
        """Answer any call."""
        uri = request.uri.decode()
        self.calls.append(f"{request.method.decode()} {uri}")
        if self.silent:
            return NOT_DONE_YET
        path = uri.partition("?")[0]
        if path == "/v1/members":
            value: Any = [member.record() for member in self.members]
        elif path == "/v1/status":
            value = self.status()
        else:
            value = {"path": path}
        return json.dumps(self.answers.get(path, value)).encode()


class CommandTestCase(TestCase):
    """Has a store stand-in and runs the command against it."""

    timeout = 60

    def setUp(self) -> None:
        """Start the store."""
        self.server = StoreServer(reactor)
        self.addCleanup(self.server.close)
        self.store_address = self.server.listen()
        self.node_addresses: list[str] = []

    def start_nodes(self, count: int) -> list[NodeStandIn]:
        """Start nodes that know each other; the command is given the first."""
        nodes = [NodeStandIn(f"node-{number}") for number in range(count)]
        for node in nodes:
            node.members = nodes
            self.addCleanup(node.close)
        self.node_addresses = [nodes[0].address]
        return nodes

    async def command(self, *arguments: str, output: str = "json", text: str = "") -> CommandResult:
        """Run the command with connection options."""
        options = ["--store-address", self.store_address, "--tenant", TENANT]
        options += ["--output", output, "--timeout-ms", str(TIMEOUT_MS)]
        for address in self.node_addresses:
            options += ["--node-admin-address", address]
        result: CommandResult = await deferToThread(run_command, [*options, *arguments], text)
        return result

    async def submit_example(self, name: str, base: int, *options: str) -> CommandResult:
        """Submit one of the example patches."""
        path = str(EXAMPLES / "himal-thali" / name)
        return await self.command("submit", "--base", str(base), *options, path)
