"""Keys, leases and history of the stand-in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "CONTROLLED_BY_OTHERS",
    "Change",
    "HistoryGoneError",
    "Item",
    "NoLeaseError",
    "PlatformData",
    "StoreCopy",
]

# Prefixes of the keys that only the operator and the backends write.
CONTROLLED_BY_OTHERS = ("op/", "servers/")
FIRST_REVISION = 100


class HistoryGoneError(Exception):
    """The history after a revision was dropped, or the store never had that revision."""


class NoLeaseError(Exception):
    """A lease does not exist or has ended."""


@dataclass(frozen=True)
class Item:
    """One key.

    :param key: the key.
    :param value: its value.
    :param revision: revision of its last change.
    :param created: revision of its creation.
    :param lease: its lease, or 0.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(frozen=True)
class Change:
    """One change.

    :param key: the key.
    :param revision: revision of the change.
    :param item: the item as it was written, or ``None`` when it was removed.
    """

    key: str
    revision: int
    item: Item | None


@dataclass(frozen=True)
class StoreCopy:
    """A copy of the whole store, from which it can be restored.

    :param revision: revision of the store.
    :param oldest: revision after which the history is known.
    :param next_lease: id of the next lease.
    :param items: items by key.
    :param lifetimes_s: lifetimes of the leases by id, in seconds.
    :param changes: the history.
    """

    revision: int
    oldest: int
    next_lease: int
    items: dict[str, Item]
    lifetimes_s: dict[int, float]
    changes: tuple[Change, ...]


class PlatformData:
    """The state of the store.

    :param clock_s: monotonic clock in seconds.
    """

    def __init__(self, clock_s: Callable[[], float]) -> None:
        self._clock_s = clock_s
        self.era = 1
        self.revision = FIRST_REVISION
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.changes: list[Change] = []
        self._oldest = FIRST_REVISION
        self._next_lease = 1
        self.on_change: list[Callable[[], object]] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision.

        :param key: the key.
        :param value: the value.
        :param lease: its lease, or 0.
        """
        return self.apply({key: (value, lease)}, ())

    def apply(self, puts: dict[str, tuple[bytes, int]], removals: tuple[str, ...]) -> int:
        """Make several changes at one revision and return it.

        :param puts: values and leases by key.
        :param removals: keys to remove.
        :raises NoLeaseError: when a lease does not exist; nothing changes.
        """
        for _, lease in puts.values():
            if lease and lease not in self.leases:
                raise NoLeaseError
        self.revision += 1
        for key, (value, lease) in puts.items():
            before = self.items.get(key)
            created = self.revision if before is None else before.created
            item = Item(key, value, self.revision, created, lease)
            self.items[key] = item
            self.changes.append(Change(key, self.revision, item))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.changes.append(Change(key, self.revision, None))
        self._notify()
        return self.revision

    def changes_after(self, prefix: str, revision: int) -> list[Change]:
        """Return the changes of the keys with a prefix after a revision.

        :param prefix: the prefix.
        :param revision: the revision.
        :raises HistoryGoneError: when that history was dropped or the revision does not exist.
        """
        if not self._oldest <= revision <= self.revision:
            raise HistoryGoneError
        return [
            change
            for change in self.changes
            if change.revision > revision and change.key.startswith(prefix)
        ]

    def drop_history(self) -> None:
        """Forget all changes."""
        self.changes.clear()
        self._oldest = self.revision

    def copy(self) -> StoreCopy:
        """Copy the whole store."""
        lifetimes_s = {lease: ttl_s for lease, (ttl_s, _) in self.leases.items()}
        return StoreCopy(
            self.revision,
            self._oldest,
            self._next_lease,
            dict(self.items),
            lifetimes_s,
            tuple(self.changes),
        )

    def restore(self, copy: StoreCopy) -> dict[str, bytes]:
        """Go back to a copy, as a store does that lost its disk, and begin the next era.

        Revisions and lease ids after those of the copy are given out again.

        :param copy: the copy.
        :returns: what others than the system had written since, for ``write_again``.
        """
        now_s = self._clock_s()
        lost = {
            key: item.value
            for key, item in self.items.items()
            if key.startswith(CONTROLLED_BY_OTHERS) and copy.items.get(key) != item
        }
        self.era += 1
        self.revision, self._oldest = copy.revision, copy.oldest
        self._next_lease = copy.next_lease
        self.items = dict(copy.items)
        self.leases = {lease: (ttl_s, now_s + ttl_s) for lease, ttl_s in copy.lifetimes_s.items()}
        self.changes = list(copy.changes)
        self._notify()
        return lost

    def write_again(self, values: dict[str, bytes]) -> None:
        """Write what others than the system had written before a restore.

        :param values: values by key.
        """
        for key, value in values.items():
            self.put(key, value)

    def _notify(self) -> None:
        for notify in list(self.on_change):
            notify()

    def create_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id.

        :param ttl_s: lifetime without renewal, in seconds.
        """
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = (ttl_s, self._clock_s() + ttl_s)
        return lease

    def renew_lease(self, lease: int) -> float:
        """Restart a lease and return its lifetime in seconds.

        :param lease: its id.
        :raises NoLeaseError: when it does not exist.
        """
        if lease not in self.leases:
            raise NoLeaseError
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, self._clock_s() + ttl_s)
        return ttl_s

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys.

        :param lease: its id.
        :raises NoLeaseError: when it does not exist.
        """
        if self.leases.pop(lease, None) is None:
            raise NoLeaseError
        keys = tuple(item.key for item in self.items.values() if item.lease == lease)
        if keys:
            self.apply({}, keys)

    def expire_leases(self) -> None:
        """End the leases that were not renewed in time."""
        now_s = self._clock_s()
        for lease, (_, ends_s) in list(self.leases.items()):
            if ends_s <= now_s:
                self.end_lease(lease)
