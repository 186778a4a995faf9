"""Checks versions and holds the good ones."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.configuration import (
    EMPTY_CONFIGURATION,
    EMPTY_DOCUMENT,
    Configuration,
    Document,
    apply_entry,
    decode_entry,
    decode_snapshot,
)
from bamboonotch_core.distribution._state import Source
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.errors import BamboonotchError, LogEntryError
from bamboonotch_core.events import StoreNewestRead

__all__ = ["WholeRead", "accept_entry", "accept_snapshot", "accept_whole_read"]

MAX_REFUSED = 64
MAX_KEPT_BYTES = 8 * 1024 * 1024
"""Bound of the log entries kept for neighbours; an entry may take 1 MiB."""

# Hostile JSON makes the patch and JSON libraries raise more than their own errors, for example
# RecursionError for deep nesting and UnicodeEncodeError for lone surrogates.
_CHECK_ERRORS = (
    BamboonotchError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True)
class WholeRead:
    """What a read of the newest version showed.

    :param snapshot_good: whether the snapshot passed its checks.
    :param version: newest version that passed its checks.
    :param complete: whether every entry passed.
    """

    snapshot_good: bool
    version: int
    complete: bool


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def _is_refused(step: Step, version: int, data: bytes) -> bool:
    return (version, _digest(data)) in step.state.refused


def _refuse(step: Step, version: int, data: bytes, source: Source, error: Exception) -> None:
    key = (version, _digest(data))
    if key in step.state.refused:
        return
    step.update(refused=(*step.state.refused, key)[-MAX_REFUSED:])
    reason = f"{type(error).__name__}: {error}"[:500]
    step.report(
        "version-refused", version=version, source=source.kind, peer=source.node_id, reason=reason
    )


def _hold(
    step: Step,
    version: int,
    document: Document,
    configuration: Configuration,
    source: Source,
    entries: Map[int, bytes],
) -> None:
    after = step.state.held_version
    step.update(
        held_version=version,
        held_document=document,
        held_configuration=configuration,
        held_source=source,
        held_ms=step.now_ms,
        entries=_trim(entries, version, step.state.settings.distribution.max_delta_versions),
    )
    step.report(
        "version-held", version=version, after=after, source=source.kind, peer=source.node_id
    )


def _trim(entries: Map[int, bytes], newest: int, max_entries: int) -> Map[int, bytes]:
    """Keep the newest entries without a gap, within the bounds of number and size."""
    kept: dict[int, bytes] = {}
    size_bytes = 0
    version = newest
    while version in entries and len(kept) < max_entries:
        size_bytes += len(entries[version])
        if size_bytes > MAX_KEPT_BYTES:
            break
        kept[version] = entries[version]
        version -= 1
    return Map(kept)


def _check_entry(version: int, document: Document, data: bytes) -> tuple[Document, Configuration]:
    entry = decode_entry(data)
    if entry.version != version:
        raise LogEntryError(f"entry is of version {entry.version}, not {version}")
    return apply_entry(document, entry)


def accept_entry(step: Step, data: bytes, source: Source) -> bool:
    """Check the entry of the version after the held one and hold it; refuse it whole if bad.

    :param step: the step.
    :param data: the entry.
    :param source: where it came from.
    """
    version = step.state.held_version + 1
    if _is_refused(step, version, data):
        return False
    try:
        document, configuration = _check_entry(version, step.state.held_document, data)
    except _CHECK_ERRORS as error:
        _refuse(step, version, data, source, error)
        return False
    entries = step.state.entries.set(version, data)
    _hold(step, version, document, configuration, source, entries)
    return True


def accept_snapshot(step: Step, version: int, digest: str, data: bytes, source: Source) -> bool:
    """Check a snapshot newer than the held version and hold it; refuse it whole if bad.

    :param step: the step.
    :param version: version of the snapshot.
    :param digest: its digest.
    :param data: the compressed document.
    :param source: where it came from.
    """
    if _is_refused(step, version, data):
        return False
    try:
        document, configuration = decode_snapshot(data, digest)
    except _CHECK_ERRORS as error:
        _refuse(step, version, data, source, error)
        return False
    _hold(step, version, document, configuration, source, Map())
    return True


def accept_whole_read(step: Step, event: StoreNewestRead) -> WholeRead:
    """Check what the store holds from its snapshot upwards and hold the newest good version.

    The chain starts at the store's own snapshot and not at the held document, so that a wrong
    document from a peer is replaced.

    :param step: the step.
    :param event: the read.
    """
    source = Source("store")
    version = event.snapshot_version
    document: Document = EMPTY_DOCUMENT
    configuration = EMPTY_CONFIGURATION
    if version:
        try:
            document, configuration = decode_snapshot(event.snapshot, event.snapshot_digest)
        except _CHECK_ERRORS as error:
            _refuse(step, version, event.snapshot, source, error)
            return WholeRead(False, 0, False)
    entries: dict[int, bytes] = {}
    complete = True
    for data in event.entries:
        try:
            document, configuration = _check_entry(version + 1, document, data)
        except _CHECK_ERRORS as error:
            _refuse(step, version + 1, data, source, error)
            complete = False
            break
        version += 1
        entries[version] = data
    state = step.state
    if version > state.held_version or (version == state.held_version and not state.serving):
        _hold(step, version, document, configuration, source, Map(entries))
    return WholeRead(True, version, complete)
