"""HTTP side of the stand-in."""

from __future__ import annotations

import base64
import json
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bamboonotch_testing.platform_store._data import (
    CONTROLLED_BY_OTHERS,
    HistoryGoneError,
    Item,
    NoLeaseError,
    PlatformData,
)

__all__ = ["Fault", "PlatformStoreServer"]

LEASE_CHECK_S = 0.05
PAGE_ITEMS = 500
LATE_WRITE_S = 0.3


class Fault(Enum):
    """How calls go wrong while the fault is in force."""

    BUSY = "busy"  # 503, nothing is done
    MANY = "many"  # 429, nothing is done
    RESET = "reset"  # the connection is reset, nothing is done
    SILENT = "silent"  # nothing is done or answered
    LOST = "lost"  # writes are done and not answered
    LATE = "late"  # writes are not answered and done later
    GARBLED = "garbled"  # answers are not JSON


_WRITES = frozenset({"kv-txn", "kv-lease", "kv-keep", "kv-lease-end"})
_REFUSALS = {Fault.BUSY: 503, Fault.MANY: 429}
_Answer = tuple[int, Any]


def _describe(item: Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "revision": item.revision,
        "created-rev": item.created,
        "lease": item.lease,
    }


class PlatformStoreServer:
    """Serves the store on a port of its own; a context manager that closes it.

    While ``stale_items`` is set, serializable reads see these items.

    :param reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.data = PlatformData(time.monotonic)
        self.fault: Fault | None = None
        self.stale_items: dict[str, Item] | None = None
        self.calls: Counter[str] = Counter()
        self.states_era = True
        self._port: Any = None
        self._leases = LoopingCall(self.data.expire_leases)

    def __enter__(self) -> PlatformStoreServer:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to serve and return ``ip:port``.

        :param host: address to bind.
        :param port: port to bind, 0 for a free one.
        """
        root = Resource()
        version_1 = _Calls(self)
        root.putChild(b"v1", version_1)
        site = Site(root)
        site.noisy = False
        site.log = lambda request: None
        self._port = self._reactor.listenTCP(port, site, interface=host)
        self._leases.clock = self._reactor
        self._leases.start(LEASE_CHECK_S)
        address = self._port.getHost()
        return f"{address.host}:{address.port}"

    def close(self) -> Any:
        """Stop to serve."""
        if self._leases.running:
            self._leases.stop()
        return None if self._port is None else self._port.stopListening()

    def perform(self, name: str, path: list[str], request: Request) -> Any:
        """Carry out one call, subject to the fault in force.

        :param name: name of the call.
        :param path: further segments of the path.
        :param request: the request.
        """
        self.calls[name] += 1
        fault = self.fault
        if fault is Fault.SILENT:
            return NOT_DONE_YET
        if fault is Fault.RESET:
            request.transport.abortConnection()
            return NOT_DONE_YET
        if fault in _REFUSALS:
            return self._send(request, (_REFUSALS[fault], {"error": fault.value}))
        if name in _WRITES and fault in (Fault.LOST, Fault.LATE):
            body = request.content.read()
            delay_s = LATE_WRITE_S if fault is Fault.LATE else 0.0
            self._reactor.callLater(delay_s, self._answer, name, path, request.args, body)
            return NOT_DONE_YET
        if name == "kv-watch":
            return self._watch(request)
        answer = self._answer(name, path, request.args, request.content.read())
        if fault is Fault.GARBLED:
            self.state_era(request)
            request.write(b"{not json")
            return b""
        return self._send(request, answer)

    def state_era(self, request: Request) -> None:
        """Set the header of the era, unless the store is one without eras.

        :param request: the request that is answered.
        """
        if self.states_era:
            request.setHeader(b"store-era", str(self.data.era).encode())

    def _send(self, request: Request, answer: _Answer) -> bytes:
        status, value = answer
        self.state_era(request)
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(value).encode()

    def _answer(
        self, name: str, path: list[str], query: dict[bytes, list[bytes]], body: bytes
    ) -> _Answer:
        handlers: dict[str, Callable[[], _Answer]] = {
            "kv-key": lambda: self._read_key(query),
            "kv-range": lambda: self._read_range(query),
            "kv-txn": lambda: self._transact(json.loads(body)),
            "kv-lease": lambda: self._create_lease(json.loads(body)["ttl-s"]),
            "kv-keep": lambda: (200, {"ttl-s": self.data.renew_lease(int(path[0]))}),
            "kv-lease-end": lambda: self._end_lease(int(path[0])),
        }
        try:
            return handlers[name]()
        except NoLeaseError:
            return 404, {"error": "no such lease"}

    def _seen_items(self, query: dict[bytes, list[bytes]]) -> dict[str, Item]:
        """Return the items that a read sees."""
        if self.stale_items is None or _text(query, b"serializable") != "1":
            return self.data.items
        return self.stale_items

    def _read_key(self, query: dict[bytes, list[bytes]]) -> _Answer:
        item = self._seen_items(query).get(_text(query, b"key"))
        if item is None:
            return 404, {"store-revision": self.data.revision}
        return 200, {**_describe(item), "store-revision": self.data.revision}

    def _read_range(self, query: dict[bytes, list[bytes]]) -> _Answer:
        prefix, after = _text(query, b"prefix"), _text(query, b"after")
        items = self._seen_items(query)
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = [_describe(items[key]) for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "truncated": truncated, "store-revision": self.data.revision}

    def _transact(self, call: dict[str, Any]) -> _Answer:
        expected = call.get("expect", [])
        for row in expected:
            item = self.data.items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                found = [self.data.items.get(row["key"]) for row in expected]
                return 412, {"items": [_describe(item) for item in found if item is not None]}
        puts = {
            row["key"]: (base64.b64decode(row["value"]), row.get("lease", 0))
            for row in call.get("puts", [])
        }
        if any(key.startswith(CONTROLLED_BY_OTHERS) for key in puts):
            return 403, {"error": "not for the system"}
        return 200, {"revision": self.data.apply(puts, tuple(call.get("remove", [])))}

    def _create_lease(self, ttl_s: float) -> _Answer:
        return 200, {"lease": self.data.create_lease(ttl_s), "ttl-s": ttl_s}

    def _end_lease(self, lease: int) -> _Answer:
        self.data.end_lease(lease)
        return 200, {}

    def _watch(self, request: Request) -> Any:
        prefix, after = _text(request.args, b"prefix"), int(_text(request.args, b"after"))
        wait_s = int(_text(request.args, b"wait-ms")) / 1000
        waiting = _Watch(self, request, prefix, after)
        if not waiting.answer_if_changed():
            waiting.wait(self._reactor, wait_s)
        return NOT_DONE_YET

    def answer_watch(self, prefix: str, after: int) -> _Answer:
        """Return the answer of a watch as of now.

        :param prefix: prefix of the keys.
        :param after: revision to look after.
        """
        try:
            changes = self.data.changes_after(prefix, after)
        except HistoryGoneError:
            return 410, {"error": "history is gone"}
        events = [
            (
                {"key": change.key, "revision": change.revision, "deleted": True}
                if change.item is None
                else _describe(change.item)
            )
            for change in changes
        ]
        return 200, {"events": events, "store-revision": self.data.revision}


class _Watch:
    """One waiting watch."""

    def __init__(
        self, server: PlatformStoreServer, request: Request, prefix: str, after: int
    ) -> None:
        self._server = server
        self._request = request
        self._prefix = prefix
        self._after = after
        self._timer: Any = None
        self._over = False
        request.notifyFinish().addErrback(lambda _: self._end())

    def wait(self, reactor: Any, wait_s: float) -> None:
        """Wait for a change, or until the time has passed."""
        self._server.data.on_change.append(self.answer_if_changed)
        self._timer = reactor.callLater(wait_s, self._send)

    def answer_if_changed(self) -> bool:
        """Answer when there is a change, and tell whether there was."""
        status, value = self._server.answer_watch(self._prefix, self._after)
        if status == 200 and not value["events"]:
            return False
        self._send()
        return True

    def _send(self) -> None:
        if self._over:
            return
        self._end()
        if self._server.fault is Fault.SILENT:
            return
        status, value = self._server.answer_watch(self._prefix, self._after)
        self._server.state_era(self._request)
        self._request.setResponseCode(status)
        self._request.write(json.dumps(value).encode())
        self._request.finish()

    def _end(self) -> None:
        self._over = True
        if self.answer_if_changed in self._server.data.on_change:
            self._server.data.on_change.remove(self.answer_if_changed)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _text(query: dict[bytes, list[bytes]], name: bytes) -> str:
    values = query.get(name)
    return values[0].decode("utf-8") if values else ""


class _Calls(Resource):
    """Hands each call below ``/v1`` to the server."""

    isLeaf = True  # noqa: N815

    def __init__(self, server: PlatformStoreServer) -> None:
        super().__init__()
        self._server = server

    def render(self, request: Request) -> Any:
        """Carry out a call."""
        segments = [segment.decode("ascii") for segment in request.postpath]
        return self._server.perform(segments[0], segments[1:], request)
