"""Keys, sessions and waiting watches of the stand-in; knows nothing of HTTP."""

from __future__ import annotations

import uuid
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice, takewhile
from typing import Any

__all__ = ["Entry", "InvalidSessionError", "Selection", "StoreData"]

MAX_TOMBSTONES = 100_000


class InvalidSessionError(Exception):
    """A write names a session that does not exist."""


@dataclass(frozen=True)
class Entry:
    """One key with its value.

    :param value: the value.
    :param create_index: index of the write that created the key.
    :param modify_index: index of the last write.
    :param lock_index: number of times that the key was acquired.
    :param session: session that holds the key, or empty.
    """

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str = ""


@dataclass(frozen=True)
class Selection:
    """What a read or watch looks at.

    :param key: a key, or a prefix of keys.
    :param recurse: whether ``key`` is a prefix.
    """

    key: str
    recurse: bool = False

    def matches(self, key: str) -> bool:
        """Tell whether a key is selected.

        :param key: the key.
        """
        return key.startswith(self.key) if self.recurse else key == self.key


@dataclass
class _Session:
    ttl_s: float
    expiry: Any


class StoreData:
    """Keys and sessions in memory.

    :param clock: Twisted clock that times the expiry of sessions.
    """

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._keys: list[str] = []
        self._tombstones: dict[str, int] = {}
        self._sessions: dict[str, _Session] = {}
        self._listeners: dict[int, tuple[Selection, Callable[[], None]]] = {}
        self._next_listener = 0
        self._closed = False
        self.index = 1

    def select(self, selection: Selection) -> dict[str, Entry]:
        """Return the selected keys in order.

        :param selection: which keys.
        """
        if not selection.recurse:
            entry = self._entries.get(selection.key)
            return {} if entry is None else {selection.key: entry}
        start = bisect_left(self._keys, selection.key)
        keys = takewhile(selection.matches, islice(self._keys, start, None))
        return {key: self._entries[key] for key in keys}

    def last_change(self, selection: Selection) -> int:
        """Return the index of the last write to the selected keys, 0 when there was none.

        :param selection: which keys.
        """
        if not selection.recurse:
            entry = self._entries.get(selection.key)
            return entry.modify_index if entry else self._tombstones.get(selection.key, 0)
        written = [entry.modify_index for entry in self.select(selection).values()]
        removed = [index for key, index in self._tombstones.items() if selection.matches(key)]
        return max(written + removed, default=0)

    def listen(self, selection: Selection, notify: Callable[[], None]) -> Callable[[], None]:
        """Call back after each write to the selected keys; returns a function that ends this.

        :param selection: which keys.
        :param notify: called after a write.
        """
        number = self._next_listener
        self._next_listener += 1
        self._listeners[number] = (selection, notify)

        def stop() -> None:
            self._listeners.pop(number, None)

        return stop

    def _notify(self, key: str) -> None:
        for selection, notify in list(self._listeners.values()):
            if selection.matches(key):
                notify()

    def _store(self, key: str, value: bytes, **changes: Any) -> None:
        self.index += 1
        if key not in self._entries:
            insort(self._keys, key)
        old = self._entries.get(key) or Entry(b"", self.index, self.index)
        self._entries[key] = replace(old, value=value, modify_index=self.index, **changes)
        self._tombstones.pop(key, None)
        self._notify(key)

    def _remove(self, key: str) -> None:
        self.index += 1
        del self._entries[key]
        del self._keys[bisect_left(self._keys, key)]
        self._tombstones[key] = self.index
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        self._notify(key)

    def put(self, key: str, value: bytes, expected_index: int | None = None) -> bool:
        """Write a key; returns whether the write took effect.

        :param key: the key.
        :param value: the value.
        :param expected_index: modify index that the key must have, 0 for an absent key, or
            ``None`` for no condition.
        """
        entry = self._entries.get(key)
        if expected_index is not None:
            current_index = entry.modify_index if entry else 0
            if current_index != expected_index:
                return False
        self._store(key, value)
        return True

    def acquire(self, key: str, value: bytes, session: str) -> bool:
        """Write a key and hold it with a session; returns whether the session holds it.

        :param key: the key.
        :param value: the value.
        :param session: the session.
        :raises InvalidSessionError: when the session does not exist.
        """
        if session not in self._sessions:
            raise InvalidSessionError(session)
        entry = self._entries.get(key)
        if entry and entry.session == session:
            self._store(key, value)
            return True
        if entry and entry.session:
            return False
        lock_index = (entry.lock_index if entry else 0) + 1
        self._store(key, value, session=session, lock_index=lock_index)
        return True

    def release(self, key: str, value: bytes, session: str) -> bool:
        """Stop holding a key; returns whether the session held it.

        :param key: the key.
        :param value: the value to leave.
        :param session: the session.
        """
        entry = self._entries.get(key)
        if entry is None or entry.session != session:
            return False
        self._store(key, value, session="")
        return True

    def delete(self, selection: Selection) -> None:
        """Delete the selected keys.

        :param selection: which keys.
        """
        for key in self.select(selection):
            self._remove(key)

    def create_session(self, ttl_s: float) -> str:
        """Create a session and return its id.

        :param ttl_s: lifetime without renewal, in seconds.
        """
        session = str(uuid.uuid4())
        if self._closed:
            # The call was on its way at the end; nothing would stop its timer.
            return session
        expiry = self._clock.callLater(ttl_s, self.destroy_session, session)
        self._sessions[session] = _Session(ttl_s, expiry)
        return session

    def renew_session(self, session: str) -> float | None:
        """Restart the lifetime of a session; returns it in seconds, or ``None`` when unknown.

        :param session: the session.
        """
        held = self._sessions.get(session)
        if held is None:
            return None
        held.expiry.reset(held.ttl_s)
        return held.ttl_s

    def destroy_session(self, session: str) -> None:
        """End a session and delete the keys that it holds.

        :param session: the session.
        """
        held = self._sessions.pop(session, None)
        if held is None:
            return
        if held.expiry.active():
            held.expiry.cancel()
        for key in [key for key, entry in self._entries.items() if entry.session == session]:
            self._remove(key)

    def close(self) -> None:
        """Stop the timers of all sessions; later sessions have none."""
        self._closed = True
        for session in self._sessions.values():
            if session.expiry.active():
                session.expiry.cancel()
        self._sessions.clear()
