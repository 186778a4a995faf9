"""Stand-ins of the platform for the cases of this review: store, backends, clients, processes.

Only the standard library is used. Everything listens on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
NET = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
HEARTBEAT_S = 1.5
LIMIT_S = 112.0
_processes: list[subprocess.Popen[bytes]] = []


_next_port = random.randint(12_000, 28_000)


def free_port(ip: str) -> int:
    """Return a free port below those that the system gives to connections."""
    global _next_port
    while True:
        _next_port += 1
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, _next_port))
            return _next_port


class Record:
    """Writes what happened, with seconds since the start, to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def note(self, text: str, echo: bool = False) -> None:
        """Write one line."""
        line = f"{self.now_s():8.3f} {text}"
        print(line, file=self._file, flush=True)
        if echo:
            print(line, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the fields of a message; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return b"".join(pieces)
            pieces.append(piece[:-2])
    return await reader.readexactly(int(fields.get("content-length", "0")))


def make_message(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with its length."""
    head = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError):
        writer.transport.abort()


class Store:
    """The platform's key-value store, with one listening port for each node.

    ``refused`` holds the nodes that get 503; ``silent`` those that get no answer.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.changed = asyncio.Condition()
        self._watched_s: dict[str, float] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def listen(self, name: str, ip: str) -> str:
        """Serve one node and return the address."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(name, reader, writer), ip, 0
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def watching(self, within_s: float) -> set[str]:
        """Return the nodes that have watched lately."""
        now_s = time.monotonic()
        return {name for name, at_s in self._watched_s.items() if now_s - at_s < within_s}

    def start(self) -> None:
        """Begin to end leases."""
        task = asyncio.get_running_loop().create_task(self._expire())
        self._tasks.add(task)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key."""
        return await self._apply([(key, value, lease)], [])

    async def _apply(self, puts: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        self.revision += 1
        for key, value, lease in puts:
            before = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created-rev": before["created-rev"] if before else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (_, end_s) in list(self.leases.items()):
                if end_s <= now_s:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self._apply([], keys)

    async def _serve(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if name in self.silent:
                    await asyncio.sleep(3600)
                if name in self.refused:
                    answer: tuple[int, Any] = (503, {"error": "try later"})
                else:
                    answer = await self._answer(name, method, target, body)
                    if name in self.silent:
                        await asyncio.sleep(3600)
                fields = {"Content-Type": "application/json"}
                writer.write(make_message(answer[0], fields, json.dumps(answer[1]).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            abort(writer)

    async def _answer(self, name: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/v1/")
        if call == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            truncated = len(keys) > 500
            found = {"items": items, "truncated": truncated, "store-revision": self.revision}
            return 200, found
        if call == "kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if call == "kv-watch":
            self._watched_s[name] = time.monotonic()
            return await self._watch(query)
        if call == "kv-txn":
            return await self._transact(name, json.loads(body))
        if call == "kv-lease":
            ttl_s = json.loads(body)["ttl-s"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl-s": ttl_s}
        kind, _, number = call.partition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if kind == "kv-lease-end":
            await self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl-s": ttl_s}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left_s)

    async def _transact(self, name: str, call: dict[str, Any]) -> tuple[int, Any]:
        expected = call.get("expect", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[row["key"]] for row in expected if row["key"] in self.items]
                return 412, {"items": found}
        puts = []
        for row in call.get("puts", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {"error": "no such lease"}
            puts.append((row["key"], base64.b64decode(row["value"]), lease))
            self.record.note(f"store: {name} writes {row['key']} {puts[-1][1].decode()}")
        return 200, {"revision": await self._apply(puts, call.get("remove", []))}


class Backend:
    """A backend server beside one node.

    :param name: service.
    """

    def __init__(
        self,
        record: Record,
        instance: str,
        service: str,
        zone: str,
        ip: str,
        slots: int = 6,
        work_s: float = 0.03,
    ) -> None:
        self.record, self.instance, self.service, self.zone = record, instance, service, zone
        self.ip, self.slots, self.work_s = ip, slots, work_s
        self.control = ""
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.extra_fields: dict[str, str] = {}
        self.runs: list[tuple[float, str, str]] = []
        self.beats: list[tuple[float, bytes]] = []
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[Any] | None = None

    async def start(self) -> None:
        """Serve, and begin to announce."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def announce(self) -> None:
        """Send a heartbeat now and then."""
        self._beating = asyncio.get_running_loop().create_task(self._beat_on())

    def stop_announcing(self) -> None:
        """Send no further heartbeat."""
        if self._beating is not None:
            self._beating.cancel()

    async def _beat_on(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def next_beat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        body = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold-left-s": 0},
        }
        return json.dumps(body).encode()

    async def beat(self) -> int:
        """Send the next heartbeat, and return the status of the answer."""
        return await self.call("PUT", self.next_beat())

    async def call(self, method: str, body: bytes) -> int:
        """Send a heartbeat or a departure."""
        host, port = self.control.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                (
                    f"{method} /v1/instances/{self.instance} HTTP/1.1\r\nHost: {self.control}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            head = await asyncio.wait_for(read_head(reader), 1.0)
            status = int(head[0].split(" ")[1]) if head else 0
        except TimeoutError:
            status = 0
        finally:
            abort(writer)
        text = body.decode() if method == "DELETE" or b'"ready"' not in body else "ready"
        self.record.note(f"backend {self.instance}: {method} {text} -> {status}")
        return status

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                await self.respond(method, target, head[1], body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            abort(writer)

    async def respond(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request and answer it."""
        request = fields.get("attempt-id", "")
        if fields.get("expected-instance", self.instance) != self.instance:
            writer.write(make_message(421, {"Instance-Id": self.instance}))
            return
        async with self._free:
            self.runs.append((self.record.now_s(), request, target))
            self.record.note(f"backend {self.instance}: runs {request} {method} {target}")
            await asyncio.sleep(self.work_s)
        answer = {
            "Attempt-Id": request,
            "Response-Signature": f"{request}.1",
            **self.extra_fields,
        }
        writer.write(make_message(200, answer, f"answer to {request} ".encode() * 4))

    async def close(self) -> None:
        """End."""
        self.stop_announcing()
        if self._server is not None:
            self._server.close()


class Node:
    """One process of the project, with the settings of a small deployment."""

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        zone: str,
        region: str,
        number: int,
        directory: Path,
        bounds: dict[str, str],
    ) -> None:
        self.record, self.name, self.service = record, name, service
        self.zone, self.region, self.bounds = zone, region, bounds
        self.ip = f"{NET}.{number}"
        self.ports = {key: free_port(self.ip) for key in ("peer", "admin", "out", "ready", "ctl")}
        self.outbound = f"{self.ip}:{self.ports['out']}"
        self.ready = f"{self.ip}:{self.ports['ready']}"
        self.control = f"{self.ip}:{self.ports['ctl']}"
        self.settings_path = directory / f"{name}.ini"
        self.log_path = directory / f"{name}.log"
        self.store_address = ""
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> None:
        """Fill in the template of the deploy file."""
        values = {
            "node": self.name,
            "region": self.region,
            "zone": self.zone,
            "service": self.service,
            "ip": self.ip,
            "internal-port-range.0": str(self.ports["peer"]),
            "listen-addrs.outbound": self.outbound,
            "listen-addrs.ready": self.ready,
            "listen-addrs.control": self.control,
            "limits.link-mbps": self.bounds.get("link-mbps", "1000.0"),
            "platform.address": self.store_address,
            "heartbeat-s": str(HEARTBEAT_S),
            "bounds.grace-s": self.bounds["grace-s"],
            "bounds.retry-budget-ratio": self.bounds["retry-budget-ratio"],
            "bounds.retry-budget-slack": self.bounds["retry-budget-slack"],
        }
        text = (ROOT / "deploy" / "node.ini").read_text()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match.group(1)], text)
        text = text.replace(f"{self.ip}:7601", f"{self.ip}:{self.ports['admin']}")
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process as the deploy file says."""
        self.write_settings()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BAMBOONOTCH_CONFIG": str(self.settings_path),
            "BAMBOONOTCH_REQUESTS_MEMORY_MB": "300",
            "BAMBOONOTCH_ACCESS_FRESHNESS_MS": f"{self.bounds['config-apply-s']} s",
        }
        for name, value in self.bounds.items():
            if name.startswith("BAMBOONOTCH_"):
                environment[name] = value
        log = self.log_path.open("ab")
        self.process = subprocess.Popen(
            ["python3", "-OO", "-S", "-m", "bamboonotch_platform"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        _processes.append(self.process)
        self.record.note(f"{self.name}: started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.note(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.send(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness check."""
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and " 200 " in head[0]
        except (TimeoutError, OSError):
            return False
        finally:
            abort(writer)


class Answer:
    """What a client got for one request."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes) -> None:
        self.status, self.fields, self.body = status, fields, body


_numbers = iter(range(1, 1 << 40))
_run_id = random.randint(0, 0xFFFFFF)


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{_run_id:06x}{next(_numbers):010x}"


async def send_request(
    record: Record,
    node: Node,
    method: str,
    host: str,
    path: str,
    timeout_ms: int = 2500,
    body: bytes = b"",
    request: str = "",
    fields: dict[str, str] | None = None,
    quiet: bool = False,
) -> Answer:
    """Send one request on a new connection; status 0 when there was no complete answer."""
    request = request or new_id()
    address, port = node.outbound.split(":")
    if not quiet:
        record.note(f"client at {node.name}: sends {request} {method} {path}")
    answer = Answer(0, {}, b"")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, int(port)), 1.0)
    except (OSError, TimeoutError):
        return answer
    try:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Attempt-Id: {request}",
            f"Timeout-Remaining: {timeout_ms}",
            *(f"{name}: {value}" for name, value in (fields or {}).items()),
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(timeout_ms / 1000 + 0.5):
            head = await read_head(reader)
            if head is not None:
                data = await read_body(reader, head[1])
                answer = Answer(int(head[0].split(" ")[1]), head[1], data)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        abort(writer)
    if not quiet:
        record.note(f"client at {node.name}: gets {request} {answer.status}")
    return answer


HIMAL = {
    "grace-s": "6",
    "retry-budget-ratio": "0.2",
    "retry-budget-slack": "62",
    "config-apply-s": "2",
}


def make_rule(
    name: str, prefix: str, action: dict[str, Any], kind: str = "safe", **more: Any
) -> dict[str, Any]:
    """Return a rule of a configuration."""
    return {
        "name": name,
        "route-kind": kind,
        "target-latency-s": 0.4,
        "priority": 2,
        "match": {"prefix": prefix},
        "action": {"timeout-s": 1.2, "max-attempts": 2, **action},
        **more,
    }


def make_configuration(
    version: int, rules: dict[str, list[dict[str, Any]]], services: list[str], **more: Any
) -> bytes:
    """Return a configuration as the operator writes it."""
    return json.dumps(
        {
            "version": f"r{version}",
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout-s": 3,
                "idle-timeout-s": 15,
            },
            "listeners": [{"host": host, "rules": items} for host, items in rules.items()],
            "clusters": [
                {
                    "name": name,
                    "health-path": "/health",
                    "max-connections": 130,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            **more,
        }
    ).encode()


class World:
    """A small deployment; a context manager that ends everything that it started."""

    def __init__(self, folder: Path, bounds: dict[str, str] | None = None) -> None:
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="bamboonotch-review-"))
        self.store = Store(self.record)
        self.bounds = bounds or HIMAL
        self.nodes: list[Node] = []
        self.backends: list[Backend] = []

    async def __aenter__(self) -> World:
        self.store.start()
        return self

    async def __aexit__(self, *error: Any) -> None:
        for node in self.nodes:
            with contextlib.suppress(Exception):
                if node.process is not None:
                    node.process.send_signal(signal.SIGCONT)
                node.kill()
        for backend in self.backends:
            await backend.close()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for node in self.nodes:
                shutil.copy(node.log_path, logs)
        shutil.rmtree(self.directory, ignore_errors=True)

    async def add(
        self,
        service: str,
        zone: str = "ktm-a",
        region: str = "bagmati",
        kind: type[Backend] | None = None,
        **options: Any,
    ) -> tuple[Node, Any]:
        """Start a node and the backend beside it."""
        number = len(self.nodes) + 1
        node = Node(
            self.record,
            f"sidecar-{zone}-{number}",
            service,
            zone,
            region,
            number,
            self.directory,
            self.bounds,
        )
        node.store_address = await self.store.listen(node.name, f"{NET}.200")
        backend = (kind or Backend)(
            self.record, f"i-{number:04x}", service, zone, node.ip, **options
        )
        await backend.start()
        backend.control = node.control
        node.start()
        backend.announce()
        self.nodes.append(node)
        self.backends.append(backend)
        return node, backend

    async def wait_until(self, condition: Any, limit_s: float, what: str) -> None:
        """Wait for a condition, or end the case as one that could not run."""
        end_s = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > end_s:
                raise CannotRunError(f"no {what} after {limit_s} s")
            await asyncio.sleep(0.1)

    async def wait_served(self, node: Node, host: str, path: str, limit_s: float = 25.0) -> None:
        """Wait until a request through a node is served."""

        async def served() -> bool:
            answer = await send_request(self.record, node, "GET", host, path, quiet=True)
            return answer.status == 200

        await self.wait_until(served, limit_s, f"served request at {node.name}")


class CannotRunError(Exception):
    """The case could not run."""


def run_case(folder: Path, play: Any) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def end(status: int) -> None:
        # Signals may come twice; no lock of the library may be waited for here.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for process in _processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
        sys.stdout.flush()
        os._exit(status)

    def give_up() -> None:
        print("the case could not run: it took too long")
        for process in _processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
        sys.stdout.flush()
        os._exit(2)

    signal.signal(signal.SIGTERM, lambda number, frame: end(2))
    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()

    async def main() -> None:
        try:
            broken = await play(folder, trouble)
        except (CannotRunError, TimeoutError, OSError) as error:
            print(f"the case could not run: {error!r}")
            end(2)
        print("the rule was broken" if broken else "the rule held")
        # The stand-ins' own tasks need no orderly end.
        end(1 if broken else 0)

    asyncio.run(main())
