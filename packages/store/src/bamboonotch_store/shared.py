"""Interface of a store that the operators share with the nodes.

It holds the newest configuration as one whole document, which operators write, and leased entries,
by which nodes find one another. Every call ends by the deadline of the settings and raises

* ``StoreUnavailableError`` when no answer came in time, the connection was lost or the store
  refuses calls for now; a write may then have taken effect or may still do so;
* ``StoreValueError`` when an answer or value is malformed;
* ``LeaseEndedError`` when the lease of a call has ended;
* ``EntryChangedError`` when an entry is not as the writer of it believed.

A store that was restored from a copy begins a new epoch. It has lost what was written since the
copy, and gives the revisions and lease ids after it out again; so these mean something only
together with their epoch. Epochs are numbers that rise, and 0 at a store that states none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from bamboonotch_core.configuration import Document
from bamboonotch_core.rollout_messages import RolloutOrder

__all__ = ["Lease", "SharedEntry", "SharedStore", "StoredDocument", "WrittenEntry"]


@dataclass(frozen=True)
class StoredDocument:
    """What a read or watch of the document showed.

    :param revision: revision to wait after in the next watch; 0 when that is not known.
    :param version: version of the document, 0 without one.
    :param document: the document in the product's own form, or ``None`` when there is none or the
        wait ended without a change.
    :param epoch: epoch of the store that answered.
    :param waited: whether the store says that the whole wait passed without any change.
    :param orders: orders of roll-outs that were read, and withdrawn ones without a version.
    :param orders_whole: whether these are all orders in the store.
    :param fault: why the document of this version cannot be read; empty if it can.
    """

    revision: int
    version: int = 0
    document: Document | None = None
    epoch: int = 0
    waited: bool = False
    orders: tuple[RolloutOrder, ...] = ()
    orders_whole: bool = False
    fault: str = ""


@dataclass(frozen=True)
class SharedEntry:
    """One key and its value.

    :param key: the key.
    :param value: its value.
    :param revision: revision of its last change; 0 in a listing.
    """

    key: str
    value: bytes
    revision: int = 0


@dataclass(frozen=True)
class WrittenEntry:
    """What the store says of a write.

    :param revision: revision of the entry from now on.
    :param epoch: epoch of the store that wrote it.
    """

    revision: int
    epoch: int = 0


@dataclass(frozen=True)
class Lease:
    """A lease of this process.

    :param lease_id: its id.
    :param lifetime_ms: how long it lasts without renewal, in milliseconds.
    :param epoch: epoch of the store that created it; the id may name another lease in a later one.
    """

    lease_id: int
    lifetime_ms: float
    epoch: int = 0


class SharedStore(Protocol):
    """Client of such a store."""

    def watch_document(self, revision: int, wait_ms: int) -> Deferred[StoredDocument]:
        """Read the newest document, or wait for a change of it after a revision.

        :param revision: revision to wait after; 0 reads at once.
        :param wait_ms: longest wait, in milliseconds.
        """

    def read_entries(self, prefix: str) -> Deferred[tuple[SharedEntry, ...]]:
        """Read the entries whose keys start with a prefix; they may be seconds old.

        :param prefix: the prefix.
        """

    def create_lease(self, lifetime_ms: int) -> Deferred[Lease]:
        """Create a lease.

        :param lifetime_ms: lifetime without renewal, in milliseconds.
        """

    def renew_lease(self, lease: Lease) -> Deferred[int]:
        """Restart the lifetime of a lease.

        :param lease: the lease.
        :returns: epoch of the store that renewed it.
        """

    def end_lease(self, lease: Lease) -> Deferred[None]:
        """End a lease and remove its entries.

        :param lease: the lease.
        """

    def write_entry(
        self, key: str, value: bytes, lease: Lease, revision: int
    ) -> Deferred[WrittenEntry]:
        """Write an entry that lasts as long as a lease, if it has not changed.

        A write without an answer may still take effect, but only while the entry is as before.

        :param key: the key.
        :param value: the value.
        :param lease: the lease.
        :param revision: revision of the entry that is replaced; 0 if there is none.
        :raises EntryChangedError: when the entry has another revision; nothing was written.
        """

    def read_rollout(self, service: str) -> Deferred[SharedEntry]:
        """Read the entry in which drivers keep the roll-out of a service, as it is now.

        :param service: the service.
        :returns: the entry; with an empty value and revision 0 when there is none.
        """

    def write_rollout(
        self, order: RolloutOrder, value: bytes, revision: int, status: str
    ) -> Deferred[WrittenEntry]:
        """Write the entry of a roll-out if neither it nor its order has changed.

        :param order: the order that the entry belongs to.
        :param value: the entry.
        :param revision: revision of the entry that is replaced; 0 if there is none.
        :param status: state of the roll-out that operators are to read from now on; empty when it
            has not changed.
        :raises EntryChangedError: when the entry or the order has changed; nothing was written.
        """

    def close(self) -> Deferred[None]:
        """End calls in progress and close the connections."""
