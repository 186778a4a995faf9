"""Exceptions of the store adapter, next to those of ``bamboonotch_core.errors``."""

from __future__ import annotations

from bamboonotch_core.errors import BamboonotchError, StoreError

__all__ = [
    "ClaimKeyError",
    "EntryChangedError",
    "LeaseEndedError",
    "SessionInvalidError",
    "StoreRefusedError",
    "StoreRestoredError",
    "VersionAbsentError",
]


class StoreRefusedError(StoreError):
    """The store refused a call as wrong, for example a value above its size limit."""


class SessionInvalidError(StoreError):
    """The session of a call does not exist, or its lease has lapsed."""


class VersionAbsentError(BamboonotchError):
    """A version was asked for that has not been accepted."""


class ClaimKeyError(BamboonotchError):
    """An idempotency key is not a UUID of version 7, or its time is outside the window."""


class LeaseEndedError(StoreError):
    """The lease of a call does not exist, or has ended."""


class EntryChangedError(StoreError):
    """An entry has another revision than its writer believed, so that nothing was written.

    :param key: the key.
    :param value: the value that the entry has, empty if there is none.
    :param revision: revision of the entry, 0 if there is none.
    :param epoch: epoch of the store that answered.
    """

    def __init__(self, key: str, value: bytes, revision: int, epoch: int) -> None:
        super().__init__(f"entry {key} has revision {revision}")
        self.value = value
        self.revision = revision
        self.epoch = epoch


class StoreRestoredError(StoreError):
    """The store was restored from a copy, so that a lease of before is not this process's."""
