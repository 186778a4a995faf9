"""The store client: the published API as typed calls."""

from __future__ import annotations

import base64
import binascii
import json
import re
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from types import TracebackType
from typing import Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred

from bamboonotch_core.errors import StoreError, StoreUnavailableError, StoreValueError
from bamboonotch_core.settings import StoreSettings
from bamboonotch_store._types import (
    CallKind,
    CallResult,
    KeyRead,
    OnCall,
    StoreCall,
    StoredEntry,
    classify_error,
)
from bamboonotch_store.errors import SessionInvalidError, StoreRefusedError
from bamboonotch_store.http import (
    ExchangeFailedError,
    HttpAnswer,
    HttpExchange,
    HttpTransport,
)

__all__ = ["StoreClient"]

ROOT = "bamboonotch"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500
INVALID_SESSION = b"invalid session"
# The API lets a blocking read take up to a sixteenth longer than asked.
WAIT_TOLERANCE = 1 / 16
MAX_SHOWN_BYTES = 200
INDEX_PATTERN = re.compile(r"[0-9]{1,20}\Z")

_Result = TypeVar("_Result")
_Parameters = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class _Call:
    """A request together with its kind for metrics."""

    kind: CallKind
    method: str
    path: str
    parameters: _Parameters = ()
    body: bytes = b""
    wait_ms: float = 0


def _parse_json(answer: HttpAnswer) -> Any:
    try:
        return json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise StoreValueError(f"answer of the store is not JSON: {error}") from error


def _parse_boolean(answer: HttpAnswer) -> bool:
    value = _parse_json(answer)
    if not isinstance(value, bool):
        raise StoreValueError("answer of the store is not true or false")
    return value


def _parse_index(answer: HttpAnswer) -> int:
    if not INDEX_PATTERN.match(answer.index):
        raise StoreValueError(f"header X-Consul-Index is not a number: {answer.index!r}")
    return int(answer.index)


def _parse_entry(value: Any, prefix: str) -> StoredEntry:
    if not isinstance(value, dict):
        raise StoreValueError("entry of the store is not a JSON object")
    key, data, index = value.get("Key"), value.get("Value"), value.get("ModifyIndex")
    session = value.get("Session", "")
    if not isinstance(key, str) or not key.startswith(prefix) or type(index) is not int:
        raise StoreValueError("entry of the store has a malformed Key or ModifyIndex")
    if not isinstance(session, str) or not isinstance(data, str | None):
        raise StoreValueError(f"entry {key!r} of the store has a malformed Session or Value")
    try:
        decoded = base64.b64decode(data or "", validate=True)
    except (binascii.Error, ValueError) as error:
        raise StoreValueError(f"value of {key!r} is not base64: {error}") from error
    return StoredEntry(key.removeprefix(prefix), decoded, index, session)


def _parse_entries(answer: HttpAnswer, prefix: str) -> tuple[StoredEntry, ...]:
    values = _parse_json(answer)
    if not isinstance(values, list):
        raise StoreValueError("answer of the store is not a list of entries")
    return tuple(_parse_entry(value, prefix) for value in values)


def _parse_keys(answer: HttpAnswer, prefix: str) -> tuple[str, ...]:
    keys = _parse_json(answer)
    if not isinstance(keys, list):
        raise StoreValueError("answer of the store is not a list of keys")
    for key in keys:
        if not isinstance(key, str) or not key.startswith(prefix):
            raise StoreValueError("answer of the store holds a malformed key")
    return tuple(key.removeprefix(prefix) for key in keys)


class StoreClient:
    """Calls to the store for one tenant; a context manager that owns its connections.

    Works with ``with`` and, to wait until the connections are closed, with ``async with``.

    :param settings: section ``[store]``.
    :param tenant: the customer whose keys are used.
    :param reactor: Twisted reactor.
    :param on_call: called at the end of each call, for metrics.
    """

    def __init__(
        self,
        settings: StoreSettings,
        tenant: str,
        reactor: Any,
        on_call: OnCall | None = None,
    ) -> None:
        self._settings = settings
        self._on_call = on_call
        self._transport = HttpTransport(reactor)
        self._prefix = f"{ROOT}/{tenant}/"

    def __enter__(self) -> StoreClient:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    async def __aenter__(self) -> StoreClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    def close(self) -> Deferred[None]:
        """End calls in progress with ``StoreUnavailableError`` and close the connections."""
        return self._transport.close()

    @property
    def settings(self) -> StoreSettings:
        """The settings given at construction."""
        return self._settings

    def read_key(self, key: str) -> Deferred[KeyRead]:
        """Read one key.

        :param key: the key.
        """
        return self._start(self._read(key, CallKind.READ, (), 0))

    def watch_key(self, key: str, index: int, wait_ms: int) -> Deferred[KeyRead]:
        """Wait until a key, which may be absent, changes after an index, or the wait has passed.

        :param key: the key.
        :param index: index of the last read of this key; 0 reads at once. An index in the answer
            that is lower than this one means that the store was reset: go on with 0.
        :param wait_ms: longest wait, in milliseconds.
        """
        if index <= 0:
            return self.read_key(key)
        parameters = (("index", str(index)), ("wait", f"{wait_ms}ms"))
        return self._start(self._read(key, CallKind.WATCH, parameters, wait_ms))

    def create_key(self, key: str, value: bytes) -> Deferred[bool]:
        """Write a key if it is absent; returns whether it was written.

        :param key: the key.
        :param value: the value.
        """
        return self.compare_and_swap(key, value, 0)

    def compare_and_swap(self, key: str, value: bytes, index: int) -> Deferred[bool]:
        """Write a key if its index is the given one; returns whether it was written.

        :param key: the key.
        :param value: the value.
        :param index: index from reading the key, 0 for an absent key.
        """
        call = _Call(CallKind.WRITE, "PUT", self._path(key), (("cas", str(index)),), value)
        return self._start(self._perform(call, _parse_boolean))

    def delete_prefix(self, prefix: str) -> Deferred[bool]:
        """Delete all keys that start with a prefix.

        :param prefix: the prefix, not empty.
        """
        if not prefix:
            raise ValueError("an empty prefix would delete every key of the tenant")
        call = _Call(CallKind.DELETE, "DELETE", self._path(prefix), (("recurse", "true"),))
        return self._start(self._perform(call, _parse_boolean))

    def list_keys(self, prefix: str, separator: str = "") -> Deferred[tuple[str, ...]]:
        """List the keys that start with a prefix, in order; none when there are none.

        :param prefix: the prefix.
        :param separator: when given, keys are cut after its first occurrence behind the prefix,
            and each result is listed once.
        """
        parameters: _Parameters = (("keys", "true"),)
        if separator:
            parameters += (("separator", separator),)
        call = _Call(CallKind.LIST, "GET", self._path(prefix), parameters)
        none: tuple[str, ...] = ()
        return self._start(
            self._perform(call, lambda answer: _parse_keys(answer, self._prefix), absent=none)
        )

    def read_prefix(self, prefix: str) -> Deferred[tuple[StoredEntry, ...]]:
        """Read all keys that start with a prefix, with values and holding sessions.

        :param prefix: the prefix.
        """
        call = _Call(CallKind.LIST, "GET", self._path(prefix), (("recurse", "true"),))
        none: tuple[StoredEntry, ...] = ()
        return self._start(
            self._perform(call, lambda answer: _parse_entries(answer, self._prefix), absent=none)
        )

    def create_session(self, lease_ms: int) -> Deferred[str]:
        """Create a session and return its id; the keys it holds are deleted when it ends.

        :param lease_ms: lifetime without renewal, in milliseconds.
        """
        body = json.dumps(
            {"TTL": f"{lease_ms}ms", "Behavior": "delete", "LockDelay": "0s"}
        ).encode()
        call = _Call(CallKind.SESSION, "PUT", "/v1/session/create", (), body)
        return self._start(self._perform(call, self._parse_session))

    def renew_session(self, session: str) -> Deferred[bool]:
        """Restart the lease of a session; returns false when the session has ended.

        :param session: the session.
        """
        call = _Call(CallKind.SESSION, "PUT", f"/v1/session/renew/{session}")
        return self._start(self._perform(call, lambda _: True, absent=False))

    def destroy_session(self, session: str) -> Deferred[bool]:
        """End a session and delete the keys that it holds.

        :param session: the session.
        """
        call = _Call(CallKind.SESSION, "PUT", f"/v1/session/destroy/{session}")
        return self._start(self._perform(call, _parse_boolean))

    def acquire_slot(self, key: str, value: bytes, session: str) -> Deferred[bool]:
        """Hold a key with a session; returns false when another session holds it.

        :param key: the key.
        :param value: the value to write.
        :param session: the session.
        :raises SessionInvalidError: when the session has ended.
        """
        call = _Call(CallKind.SLOT, "PUT", self._path(key), (("acquire", session),), value)
        return self._start(self._perform(call, _parse_boolean))

    def release_slot(self, key: str, session: str) -> Deferred[bool]:
        """Stop holding a key, which stays with an empty value.

        :param key: the key.
        :param session: the session.
        """
        call = _Call(CallKind.SLOT, "PUT", self._path(key), (("release", session),))
        return self._start(self._perform(call, _parse_boolean))

    def _start(self, coroutine: Coroutine[Deferred[Any], Any, _Result]) -> Deferred[_Result]:
        return Deferred.fromCoroutine(coroutine)

    def _path(self, key: str) -> str:
        return f"/v1/kv/{self._prefix}{key}"

    def _parse_session(self, answer: HttpAnswer) -> str:
        value = _parse_json(answer)
        session = value.get("ID") if isinstance(value, dict) else None
        if not isinstance(session, str) or not session:
            raise StoreValueError("answer of the store holds no session ID")
        return session

    async def _read(
        self, key: str, kind: CallKind, parameters: _Parameters, wait_ms: float
    ) -> KeyRead:
        call = _Call(kind, "GET", self._path(key), (("raw", "true"), *parameters), b"", wait_ms)

        def parse(answer: HttpAnswer) -> KeyRead:
            value = None if answer.status == HTTP_NOT_FOUND else answer.body
            return KeyRead(value, _parse_index(answer))

        return await self._perform(call, parse, parse_absent=True)

    async def _perform(
        self,
        call: _Call,
        parse: Callable[[HttpAnswer], _Result],
        *,
        absent: _Result | None = None,
        parse_absent: bool = False,
    ) -> _Result:
        started_s = time.monotonic()
        result = CallResult.ANSWERED
        try:
            answer = await self._exchange(call)
            self._check(answer)
            if answer.status == HTTP_NOT_FOUND and not parse_absent:
                if absent is None:
                    raise StoreRefusedError(f"store does not know {call.path}")
                return absent
            return parse(answer)
        except (StoreError, CancelledError) as error:
            result = classify_error(error)
            raise
        finally:
            if self._on_call is not None:
                duration_ms = (time.monotonic() - started_s) * 1000
                self._on_call(StoreCall(call.kind, result, duration_ms))

    async def _exchange(self, call: _Call) -> HttpAnswer:
        address = self._settings.address
        deadline_ms = self._settings.timeout_ms + call.wait_ms * (1 + WAIT_TOLERANCE)
        exchange = HttpExchange(
            address, call.method, call.path, call.parameters, call.body, deadline_ms
        )
        try:
            return await self._transport.exchange(exchange)
        except ExchangeFailedError as error:
            raise StoreUnavailableError(f"store {address}: {error}") from error

    def _check(self, answer: HttpAnswer) -> None:
        if answer.status in (HTTP_OK, HTTP_NOT_FOUND):
            return
        text = answer.body[:MAX_SHOWN_BYTES].decode("utf-8", "replace")
        message = f"store {self._settings.address}: status {answer.status}: {text}"
        if INVALID_SESSION in answer.body:
            raise SessionInvalidError(message)
        if answer.status >= HTTP_SERVER_ERROR:
            raise StoreUnavailableError(message)
        raise StoreRefusedError(message)
