"""The platform's store: keys, leases and watches, kept in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.http import Message, encode, serve

ANSWER_S = 0.004


class Store:
    """A store whose serializable reads are a set time old.

    :param stale_s: age of serializable reads, in seconds.
    """

    def __init__(self, stale_s: float = 0.0) -> None:
        self.stale_s = stale_s
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.versions: list[tuple[float, dict[str, dict[str, Any]]]] = [(0.0, {})]
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.note = lambda text: None

    async def listen(self, address: str) -> None:
        self.server = await serve(address, self.handle)
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created-rev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created-rev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._changed(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._changed({"key": key, "revision": self.revision, "deleted": True})

    def _changed(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self.versions.append((time.monotonic(), dict(self.items)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends) in list(self.leases.items()):
                if ends < now:
                    self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _seen(self, serializable: bool) -> dict[str, dict[str, Any]]:
        if not serializable or not self.stale_s:
            return self.items
        before = time.monotonic() - self.stale_s
        return next(items for at, items in reversed(self.versions) if at <= before)

    async def handle(self, request: Message) -> bytes:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        call = parts[1]
        if call == "kv-watch":
            status, value = await self._watch(query)
        else:
            status, value = self._answer(call, parts[2:], query, request.body)
        await asyncio.sleep(ANSWER_S)
        body = json.dumps(value).encode()
        return encode(f"HTTP/1.1 {status} x", {"Content-Type": "application/json"}, body)

    def _answer(
        self, call: str, rest: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if call == "kv-range":
            items = self._seen(query.get("serializable") == "1")
            keys = sorted(
                key
                for key in items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            if query.get("serializable") == "1":
                self.note(f"store: stale read of {query['prefix']}: {len(keys)} items")
            page = [items[key] for key in keys[:500]]
            truncated = len(keys) > 500
            return 200, {"items": page, "truncated": truncated, "store-revision": self.revision}
        if call == "kv-key":
            item = self._seen(query.get("serializable") == "1").get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if call == "kv-txn":
            return self._transact(json.loads(body))
        if call == "kv-lease":
            ttl = float(json.loads(body)["ttl-s"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttl-s": ttl}
        lease = int(rest[0])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if call == "kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl-s": ttl}
        self._end(lease)
        return 200, {}

    def _transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        for row in call.get("expect", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                found = [self.items.get(row["key"]) for row in call["expect"]]
                return 412, {"items": [item for item in found if item]}
        for row in call.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {"error": "no such lease"}
        for row in call.get("puts", []):
            value = base64.b64decode(row["value"])
            self.note(f"store: write of {row['key']}: {value.decode()}")
            self.put(row["key"], value, row.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        ends = time.monotonic() + int(query["wait-ms"]) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store-revision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass


def configuration(version: str, rules: list[dict[str, Any]], services: list[str]) -> bytes:
    """Return a configuration as the operator writes it."""
    clusters = [
        {
            "name": name,
            "health-path": "/health",
            "max-connections": 130,
            "protocol": "h1",
            "tls": False,
        }
        for name in services
    ]
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    }
    value = {
        "version": version,
        "limits": limits,
        "listeners": [{"host": "jepu9.example", "rules": rules}],
        "clusters": clusters,
    }
    return json.dumps(value).encode()


def rule(name: str, kind: str, prefix: str, service: str, timeout_s: float) -> dict[str, Any]:
    """Return one rule of a configuration."""
    return {
        "name": name,
        "route-kind": kind,
        "target-latency-s": 0.4,
        "priority": 2,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout-s": timeout_s, "max-attempts": 2},
    }
