"""HTTP side of the stand-in."""

from __future__ import annotations

import base64
import json
import re
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bamboonotch_testing.store_server._data import (
    Entry,
    InvalidSessionError,
    Selection,
    StoreData,
)
from bamboonotch_testing.store_server._faults import (
    Faults,
    RefusalMode,
    change_faults,
    describe_faults,
)

__all__ = ["MAX_VALUE_BYTES", "StoreServer"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 600.0
DEFAULT_WAIT_S = 300.0
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m)\Z")
DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0}


class _BadRequestError(Exception):
    """A request does not follow the API."""


def _parse_duration_s(text: str) -> float:
    match = DURATION_PATTERN.match(text)
    if match is None:
        raise _BadRequestError(f"invalid duration {text!r}")
    return float(match[1]) * DURATION_UNITS_S[match[2]]


def _parse_index(text: str) -> int:
    if not re.fullmatch(r"\d{1,19}", text):
        raise _BadRequestError(f"invalid index {text!r}")
    return int(text)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body or b"{}")
    except (ValueError, RecursionError) as error:
        raise _BadRequestError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise _BadRequestError("not a JSON object")
    return value


def _describe(key: str, entry: Entry) -> dict[str, Any]:
    value: dict[str, Any] = {
        "Key": key,
        "Value": base64.b64encode(entry.value).decode(),
        "Flags": 0,
        "LockIndex": entry.lock_index,
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
    }
    if entry.session:
        value["Session"] = entry.session
    return value


def _group(keys: list[str], prefix: str, separator: str) -> list[str]:
    if not separator:
        return keys
    groups = []
    for key in keys:
        end = key.find(separator, len(prefix))
        groups.append(key if end < 0 else key[: end + len(separator)])
    return sorted(set(groups))


class _Call:
    """One request: its parameters and its answer, to which the faults apply."""

    def __init__(self, server: StoreServer, request: Request) -> None:
        self._server = server
        self.request = request
        self.method = request.method.decode("ascii", "replace")
        self.path = unquote(request.path.decode("ascii", "replace"))
        # Request.args lacks parameters without a value, such as "raw".
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        self._parameters = parse_qs(query, keep_blank_values=True)
        self.body: bytes = request.content.read()
        self.finished = False
        request.notifyFinish().addBoth(self._note_finished)

    def _note_finished(self, _: object) -> None:
        self.finished = True

    def parameter(self, name: str) -> str | None:
        """Return a query parameter, empty when it has no value, or ``None`` when absent."""
        values = self._parameters.get(name)
        return None if values is None else values[0]

    def answer_json(self, value: Any, status: int = 200) -> None:
        """Answer with a JSON value."""
        self.answer(json.dumps(value).encode(), status, "application/json")

    def answer(self, body: bytes, status: int = 200, kind: str = "text/plain") -> None:
        """Answer now, later or never, as the faults say."""
        self.request.setResponseCode(status)
        self.request.setHeader(b"content-type", kind.encode())
        faults = self._server.faults
        if faults.hold:
            self._server.held.append(lambda: self._finish(body))
        elif faults.delay_ms:
            self._server.reactor.callLater(faults.delay_ms / 1000, self._finish, body)
        else:
            self._finish(body)

    def _finish(self, body: bytes) -> None:
        if not self.finished:
            self.request.setHeader(b"content-length", str(len(body)).encode())
            self.request.write(body)
            self.request.finish()

    def abort(self) -> None:
        """Close the connection without an answer."""
        if not self.finished and self.request.transport is not None:
            self.request.transport.abortConnection()

    def refuse(self, mode: RefusalMode) -> None:
        """End the call without effect."""
        if mode is RefusalMode.ABORT:
            self.abort()
        else:
            self.request.setResponseCode(500)
            self._finish(b"No cluster leader")


class _Watch:
    """One waiting read."""

    def __init__(
        self, server: StoreServer, call: _Call, selection: Selection, index: int, wait_s: float
    ) -> None:
        self._server = server
        self._selection = selection
        self._index = index
        self.call = call
        self._stop_listening = server.data.listen(selection, self._check)
        self._timer = server.reactor.callLater(wait_s, self._answer)
        call.request.notifyFinish().addBoth(lambda _: self.close())

    def _check(self) -> None:
        if self._server.data.last_change(self._selection) > self._index:
            self._answer()

    def _answer(self) -> None:
        self.close()
        self._server.answer_read(self.call, self._selection)

    def close(self) -> None:
        """Stop waiting."""
        self._stop_listening()
        if self._timer.active():
            self._timer.cancel()
        self._server.watches.discard(self)


class StoreServer:
    """The stand-in; a context manager that owns its port.

    :param reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.data = StoreData(reactor)
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.watches: set[_Watch] = set()
        self.held: list[Callable[[], None]] = []
        self._port: Any = None

    def __enter__(self) -> StoreServer:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Take connections; returns the address as ``ip:port``.

        :param host: IP address.
        :param port: port, 0 for a free one.
        """
        site = Site(_Root(self))
        # Nothing reads the access log, and it costs time on every call.
        site.log = lambda request: None
        self._port = self.reactor.listenTCP(port, site, interface=host)
        return self.address

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def close(self) -> Deferred[None]:
        """Stop listening, end waiting watches and drop open connections."""
        for watch in list(self.watches):
            watch.close()
            watch.call.abort()
        self.held.clear()
        self.data.close()
        port, self._port = self._port, None
        if port is None:
            return succeed(None)
        return maybeDeferred(port.stopListening)

    def change_faults(self, **changes: Any) -> None:
        """Set faults; the fields are those of :class:`Faults`, and ``clear`` sets all back.

        :raises ValueError: when a field is not known or its value is not allowed.
        """
        self.faults = change_faults(self.faults, changes)
        if self.faults.refuse is not RefusalMode.OFF:
            for watch in list(self.watches):
                watch.close()
                watch.call.refuse(self.faults.refuse)
        if not self.faults.hold:
            held, self.held = self.held, []
            for release in held:
                release()

    def count(self, kind: str) -> None:
        """Count one call.

        :param kind: kind of the call.
        """
        self.calls[kind] += 1

    def handle(self, call: _Call) -> None:
        """Carry out one call.

        :param call: the call.
        """
        try:
            self._dispatch(call)
        except _BadRequestError as error:
            call.answer(str(error).encode(), 400)
        except InvalidSessionError as error:
            call.answer(f'invalid session "{error}"'.encode(), 500)

    def _dispatch(self, call: _Call) -> None:
        if call.path.startswith("/control/"):
            self._control(call)
        elif call.path.startswith("/v1/kv/"):
            self._key(call, call.path.removeprefix("/v1/kv/"))
        elif call.path.startswith("/v1/session/") and call.method == "PUT":
            self._session(call)
        else:
            call.answer(b"not found", 404)

    def _refused(self, call: _Call, kind: str) -> bool:
        self.count(kind)
        if self.faults.refuse is RefusalMode.OFF:
            return False
        call.refuse(self.faults.refuse)
        return True

    def _key(self, call: _Call, key: str) -> None:
        recurse = call.parameter("recurse") is not None or call.parameter("keys") is not None
        selection = Selection(key, recurse)
        if call.method == "GET":
            self._read(call, selection)
        elif call.method == "PUT":
            self._write(call, key)
        elif call.method == "DELETE":
            if not self._refused(call, "delete"):
                self.data.delete(selection)
                self._answer_write(call, key, True)
        else:
            call.answer(b"method not allowed", 405)

    def _read(self, call: _Call, selection: Selection) -> None:
        index = _parse_index(call.parameter("index") or "0")
        wait_s = min(_parse_duration_s(call.parameter("wait") or f"{DEFAULT_WAIT_S}s"), MAX_WAIT_S)
        kind = "watch" if index else "list" if selection.recurse else "read"
        if self._refused(call, kind):
            return
        if index and self.data.last_change(selection) <= index:
            self.watches.add(_Watch(self, call, selection, index, wait_s))
        else:
            self.answer_read(call, selection)

    def answer_read(self, call: _Call, selection: Selection) -> None:
        """Answer a read with the present state.

        :param call: the call.
        :param selection: which keys it reads.
        """
        entries = self.data.select(selection)
        single = entries and not selection.recurse
        index = self.data.last_change(selection) if single else self.data.index
        call.request.setHeader(b"x-consul-index", str(index).encode())
        if not entries:
            call.answer(b"", 404)
        elif call.parameter("keys") is not None:
            separator = call.parameter("separator") or ""
            call.answer_json(_group(list(entries), selection.key, separator))
        elif call.parameter("raw") is not None:
            call.answer(next(iter(entries.values())).value, 200, "application/octet-stream")
        else:
            call.answer_json([_describe(key, entry) for key, entry in entries.items()])

    def _write(self, call: _Call, key: str) -> None:
        acquire, release = call.parameter("acquire"), call.parameter("release")
        cas = call.parameter("cas")
        kind = "acquire" if acquire else "release" if release else "cas" if cas else "write"
        if self._refused(call, kind):
            return
        if len(call.body) > MAX_VALUE_BYTES:
            call.answer(b"Value exceeds the limit of 1048576 bytes", 413)
            return
        if acquire:
            result = self.data.acquire(key, call.body, acquire)
        elif release:
            result = self.data.release(key, call.body, release)
        else:
            result = self.data.put(key, call.body, None if cas is None else _parse_index(cas))
        self._answer_write(call, key, result)

    def _answer_write(self, call: _Call, key: str, result: bool) -> None:
        if self.faults.drops(key):
            self.faults = change_faults(self.faults, {"drop_count": self.faults.drop_count - 1})
            call.abort()
        else:
            call.answer_json(result)

    def _session(self, call: _Call) -> None:
        action, _, session = call.path.removeprefix("/v1/session/").partition("/")
        if action not in ("create", "renew", "destroy"):
            call.answer(b"not found", 404)
            return
        if self._refused(call, f"session_{action}"):
            return
        if action == "create":
            self._create_session(call)
        elif action == "destroy":
            self.data.destroy_session(session)
            call.answer_json(True)
        else:
            ttl_s = self.data.renew_session(session)
            if ttl_s is None:
                call.answer(f'Session id "{session}" not found'.encode(), 404)
            else:
                call.answer_json([{"ID": session, "TTL": f"{ttl_s:g}s", "Behavior": "delete"}])

    def _create_session(self, call: _Call) -> None:
        values = _parse_object(call.body)
        if values.get("Behavior") != "delete":
            raise _BadRequestError("only the session behavior delete is served")
        ttl_s = _parse_duration_s(str(values.get("TTL")))
        if not 0 < ttl_s <= 86_400:
            raise _BadRequestError("invalid session TTL")
        call.answer_json({"ID": self.data.create_session(ttl_s)})

    def _control(self, call: _Call) -> None:
        if call.path == "/control/calls" and call.method == "GET":
            answer: dict[str, Any] = {
                "calls": dict(self.calls),
                "total": self.calls.total(),
                "waiting_watches": len(self.watches),
            }
        elif call.path == "/control/fault" and call.method == "GET":
            answer = describe_faults(self.faults)
        elif call.path == "/control/fault" and call.method == "POST":
            try:
                self.change_faults(**_parse_object(call.body))
            except (TypeError, ValueError) as error:
                raise _BadRequestError(str(error)) from error
            answer = describe_faults(self.faults)
        else:
            call.request.setResponseCode(404)
            answer = {}
        call.request.setHeader(b"content-type", b"application/json")
        call._finish(json.dumps(answer).encode())


class _Root(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, server: StoreServer) -> None:
        super().__init__()
        self._server = server

    def render(self, request: Request) -> int:
        """Handle every path."""
        self._server.handle(_Call(self._server, request))
        return int(NOT_DONE_YET)
