"""Accepted versions and snapshots in the store."""

from __future__ import annotations

import contextlib
import json
import re
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TypeGuard

from twisted.internet.defer import Deferred, DeferredSemaphore, FirstError, gatherResults

from bamboonotch_core.configuration import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    Configuration,
    Document,
    LogEntry,
    apply_entry,
    decode_entry,
    decode_snapshot,
    encode_snapshot,
)
from bamboonotch_core.errors import (
    ConfigurationError,
    LogEntryError,
    PatchError,
    StoreError,
    StoreValueError,
)
from bamboonotch_store.client import KeyRead, StoreClient
from bamboonotch_store.errors import VersionAbsentError

__all__ = [
    "MAX_VERSION",
    "PIECE_BYTES",
    "NewestState",
    "VersionLog",
    "VersionState",
    "entry_key",
]

PIECE_BYTES = 511 * 1024
# The largest document has 8 MiB; a piece more covers data that does not compress.
MAX_PIECES = 18
# The highest version that twelve digits of a key can name.
MAX_VERSION = 10**12 - 1
RETAINED_SNAPSHOTS = 4
ARCHIVE_INTERVAL_VERSIONS = 1024
MAX_CONCURRENT_READS = 8
LATEST_KEY = "snapshot/latest"
SNAPSHOT_KEY_PATTERN = re.compile(r"snapshot/(\d{12})/(\d{1,4})\Z")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}\Z")


@dataclass(frozen=True)
class NewestState:
    """The newest snapshot and the entries after it; the fields of event ``StoreNewestRead``.

    :param snapshot_version: version of the snapshot, 0 when there is none.
    :param snapshot_digest: SHA-256 of the snapshot's canonical JSON, hexadecimal, or empty.
    :param snapshot: the compressed document, or empty.
    :param entries: the encoded entries after it, in order.
    """

    snapshot_version: int
    snapshot_digest: str
    snapshot: bytes
    entries: tuple[bytes, ...]

    @property
    def version(self) -> int:
        """The newest version."""
        return self.snapshot_version + len(self.entries)


@dataclass(frozen=True)
class VersionState:
    """One version with its document.

    :param version: the version.
    :param document: its document.
    :param configuration: the same, validated.
    """

    version: int
    document: Document
    configuration: Configuration


@dataclass(frozen=True)
class _Latest:
    version: int
    pieces: int
    digest: str
    index: int


def entry_key(version: int) -> str:
    """Return the key of a log entry.

    :param version: the version.
    """
    return f"log/{version:012d}"


def _piece_key(version: int, piece: int) -> str:
    return f"snapshot/{version:012d}/{piece}"


def _is_count(value: Any, minimum: int, maximum: int) -> TypeGuard[int]:
    return type(value) is int and minimum <= value <= maximum


def _parse_latest(data: bytes, index: int) -> _Latest:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise StoreValueError(f"{LATEST_KEY}: not JSON: {error}") from error
    if not isinstance(value, dict):
        raise StoreValueError(f"{LATEST_KEY}: not a JSON object")
    version, pieces, digest = value.get("version"), value.get("pieces"), value.get("digest")
    if not _is_count(version, 1, MAX_VERSION) or not _is_count(pieces, 1, MAX_PIECES):
        raise StoreValueError(f"{LATEST_KEY}: version or pieces is out of range")
    if not isinstance(digest, str) or not DIGEST_PATTERN.match(digest):
        raise StoreValueError(f"{LATEST_KEY}: digest is not 64 hexadecimal digits")
    return _Latest(version, pieces, digest, index)


def _decode(version: int, data: bytes) -> LogEntry:
    try:
        entry = decode_entry(data)
    except (LogEntryError, RecursionError) as error:
        raise StoreValueError(f"{entry_key(version)}: {error}") from error
    if entry.version != version:
        raise StoreValueError(f"{entry_key(version)}: holds version {entry.version}")
    return entry


def _apply(state: VersionState, entry: LogEntry) -> VersionState:
    try:
        document, configuration = apply_entry(state.document, entry)
    except (ConfigurationError, LogEntryError, PatchError, RecursionError) as error:
        raise StoreValueError(f"{entry_key(entry.version)}: {error}") from error
    return VersionState(entry.version, document, configuration)


def _restore(version: int, data: bytes, digest: str) -> VersionState:
    try:
        document, configuration = decode_snapshot(data, digest)
    except (ConfigurationError, LogEntryError, RecursionError) as error:
        raise StoreValueError(f"snapshot of version {version}: {error}") from error
    return VersionState(version, document, configuration)


def _find_superseded(versions: Sequence[int]) -> tuple[int, ...]:
    """Choose the snapshots to delete.

    Keeps the newest few, and the oldest of each archive interval so that any version can be
    rebuilt from at most that many entries.
    """
    archived: dict[int, int] = {}
    for version in sorted(versions):
        archived.setdefault(version // ARCHIVE_INTERVAL_VERSIONS, version)
    kept = {*archived.values(), *sorted(versions)[-RETAINED_SNAPSHOTS:]}
    return tuple(version for version in versions if version not in kept)


class VersionLog:
    """Reads and writes of the log of one tenant.

    :param client: the store client, which stays open while this is used.
    """

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    @property
    def client(self) -> StoreClient:
        """The store client."""
        return self._client

    async def read_entry_data(self, version: int) -> bytes | None:
        """Read one entry as stored, ``None`` when it is absent.

        :param version: the version.
        :raises StoreUnavailableError: when the store does not answer.
        """
        read: KeyRead = await self._client.read_key(entry_key(version))
        return read.value

    async def read_entry(self, version: int) -> LogEntry | None:
        """Read and decode one entry, ``None`` when it is absent.

        :param version: the version.
        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when the entry is malformed.
        """
        data = await self.read_entry_data(version)
        return None if data is None else _decode(version, data)

    async def watch_entry(self, version: int, wait_ms: int) -> bytes | None:
        """Wait for an entry; returns it as stored, or ``None`` when the wait ended without it.

        :param version: the version.
        :param wait_ms: longest wait, in milliseconds; 0 reads at once.
        :raises StoreUnavailableError: when the store does not answer.
        """
        key = entry_key(version)
        read: KeyRead = await self._client.read_key(key)
        if read.value is None and wait_ms > 0:
            read = await self._client.watch_key(key, read.index, wait_ms)
        return read.value

    async def read_newest(self) -> NewestState:
        """Read the newest snapshot and every entry after it, up to an absent one.

        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when the snapshot is malformed or incomplete; its digest and the
            entries are not checked here.
        """
        latest = await self._read_latest()
        version, digest, snapshot = 0, "", b""
        if latest is not None:
            version, digest = latest.version, latest.digest
            snapshot = await self._read_pieces(version, latest.pieces)
        entries: list[bytes] = []
        while (data := await self.read_entry_data(version + len(entries) + 1)) is not None:
            entries.append(data)
        return NewestState(version, digest, snapshot, tuple(entries))

    async def find_newest_version(self) -> int:
        """Find the number of the newest version without reading the snapshot.

        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when ``snapshot/latest`` is malformed.
        """
        latest = await self._read_latest()
        version = 0 if latest is None else latest.version
        while await self.read_entry_data(version + 1) is not None:
            version += 1
        return version

    async def load_newest(self) -> VersionState:
        """Read the newest version and check it.

        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when a stored value is malformed.
        """
        newest = await self.read_newest()
        state = VersionState(0, EMPTY_DOCUMENT, EMPTY_CONFIGURATION)
        if newest.snapshot_version:
            state = _restore(newest.snapshot_version, newest.snapshot, newest.snapshot_digest)
        for data in newest.entries:
            state = _apply(state, _decode(state.version + 1, data))
        return state

    async def load_version(self, version: int) -> VersionState:
        """Read any accepted version and check it.

        :param version: the version; 0 is the empty document.
        :raises VersionAbsentError: when the version has not been accepted.
        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when a stored value is malformed.
        """
        state = VersionState(0, EMPTY_DOCUMENT, EMPTY_CONFIGURATION)
        if version == 0:
            return state
        if await self.read_entry_data(version) is None:
            raise VersionAbsentError(f"version {version} has not been accepted")
        state = await self._load_snapshot_up_to(version) or state
        for entry in await self._read_entries(range(state.version + 1, version + 1)):
            state = _apply(state, entry)
        return state

    async def list_versions(self, limit: int) -> tuple[LogEntry, ...]:
        """Read the newest entries, newest first.

        :param limit: entries at most.
        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when an entry is malformed.
        """
        newest = await self.find_newest_version()
        entries = await self._read_entries(range(max(1, newest - limit + 1), newest + 1))
        return tuple(reversed(entries))

    async def write_snapshot(self, version: int, digest: str, data: bytes) -> bool:
        """Write a snapshot in pieces and make it the latest.

        Pieces are created and never overwritten, and the latest is only moved once every piece is
        known to be this writer's or equal to it, so a reader never sees a mixture.

        :param version: version of the snapshot.
        :param digest: SHA-256 of the document's canonical JSON, hexadecimal.
        :param data: the compressed document.
        :returns: whether this is now the latest; false when the latest is as new or newer.
        :raises StoreUnavailableError: when the store does not answer; repeating is safe.
        :raises StoreValueError: when other data is stored under a piece of this version.
        """
        latest = await self._read_latest()
        if latest is not None and latest.version >= version:
            return False
        pieces = [data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)]
        if not 1 <= len(pieces) <= MAX_PIECES:
            raise ValueError(f"a snapshot of {len(data)} bytes is not allowed")
        for number, piece in enumerate(pieces):
            await self._write_piece(_piece_key(version, number), piece)
        value = json.dumps({"version": version, "pieces": len(pieces), "digest": digest}).encode()
        index = latest.index if latest is not None else 0
        if not await self._client.compare_and_swap(LATEST_KEY, value, index):
            return False
        # The snapshot is in place; what is not deleted now is deleted by the next writer.
        with contextlib.suppress(StoreError):
            await self._delete_superseded()
        return True

    async def write_state_snapshot(self, state: VersionState, digest: str) -> bool:
        """Write a snapshot of a loaded version, as :meth:`write_snapshot` does.

        :param state: the version.
        :param digest: SHA-256 of the document's canonical JSON, hexadecimal.
        """
        return await self.write_snapshot(state.version, digest, encode_snapshot(state.document))

    async def _write_piece(self, key: str, piece: bytes) -> None:
        if await self._client.create_key(key, piece):
            return
        if (await self._client.read_key(key)).value != piece:
            raise StoreValueError(f"{key}: holds a different piece of this version")

    async def _read_latest(self) -> _Latest | None:
        read = await self._client.read_key(LATEST_KEY)
        return None if read.value is None else _parse_latest(read.value, read.index)

    async def _read_pieces(self, version: int, count: int) -> bytes:
        pieces = []
        for number in range(count):
            read = await self._client.read_key(_piece_key(version, number))
            if read.value is None:
                raise StoreValueError(f"{_piece_key(version, number)}: is absent")
            pieces.append(read.value)
        return b"".join(pieces)

    async def _list_snapshots(self) -> dict[int, int]:
        """Return the number of pieces of each stored snapshot by version."""
        counts: dict[int, int] = defaultdict(int)
        for key in await self._client.list_keys("snapshot/"):
            match = SNAPSHOT_KEY_PATTERN.match(key)
            if match is not None:
                counts[int(match[1])] += 1
        return counts

    async def _load_snapshot_up_to(self, version: int) -> VersionState | None:
        """Load the newest usable snapshot that is not newer than a version.

        A snapshot whose writer died may lack pieces; it fails its digest and an older one is used.
        """
        counts = await self._list_snapshots()
        for candidate in sorted((found for found in counts if found <= version), reverse=True):
            entry = await self.read_entry(candidate)
            if entry is None or counts[candidate] > MAX_PIECES:
                continue
            try:
                data = await self._read_pieces(candidate, counts[candidate])
                return _restore(candidate, data, entry.result_digest)
            except StoreValueError:
                continue
        return None

    async def _read_entries(self, versions: range) -> tuple[LogEntry, ...]:
        semaphore = DeferredSemaphore(MAX_CONCURRENT_READS)

        def start(version: int) -> Deferred[LogEntry | None]:
            return Deferred.fromCoroutine(self.read_entry(version))

        reads = [semaphore.run(start, version) for version in versions]
        try:
            entries = await gatherResults(reads, consumeErrors=True)
        except FirstError as error:
            raise error.subFailure.value from error
        for version, entry in zip(versions, entries, strict=True):
            if entry is None:
                raise StoreValueError(f"{entry_key(version)}: is absent below a later version")
        return tuple(entries)

    async def _delete_superseded(self) -> None:
        versions = tuple(await self._list_snapshots())
        for version in _find_superseded(versions):
            await self._client.delete_prefix(f"snapshot/{version:012d}/")
