"""Checks received versions and holds the valid ones."""

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

__all__ = ["NewestReadResult", "accept_entry", "accept_newest_read", "accept_snapshot"]

MAX_REFUSED_COPIES = 64
MAX_KEPT_ENTRY_BYTES = 8 * 1024 * 1024
"""Upper bound of all log entries kept for neighbours; one entry may take 1 MiB."""

# Hostile JSON makes the patch and JSON libraries raise errors other than their own, for example
# RecursionError for deep nesting and UnicodeEncodeError for lone surrogates.
_INVALID_CONTENT_ERRORS = (
    BamboonotchError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True)
class NewestReadResult:
    """Result of the checks of a read of the newest version.

    :param snapshot_valid: whether the snapshot passed its checks or there is none.
    :param version: newest version that passed its checks; 0 if the snapshot did not.
    :param complete: whether every entry passed its checks.
    """

    snapshot_valid: bool
    version: int
    complete: bool


def _digest_copy(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def _is_refused(step: Step, version: int, data: bytes) -> bool:
    return (version, _digest_copy(data)) in step.state.refused


def _refuse_copy(step: Step, version: int, data: bytes, source: Source, error: Exception) -> None:
    key = (version, _digest_copy(data))
    if key in step.state.refused:
        return
    step.update(refused=(*step.state.refused, key)[-MAX_REFUSED_COPIES:])
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
        entries=_trim_entries(
            entries, version, step.state.settings.distribution.max_delta_versions
        ),
    )
    step.report(
        "version-held", version=version, after=after, source=source.kind, peer=source.node_id
    )


def _trim_entries(entries: Map[int, bytes], newest: int, max_entries: int) -> Map[int, bytes]:
    """Return the newest entries without a gap, within the bounds of number and total size."""
    kept: dict[int, bytes] = {}
    size_bytes = 0
    version = newest
    while version in entries and len(kept) < max_entries:
        size_bytes += len(entries[version])
        if size_bytes > MAX_KEPT_ENTRY_BYTES:
            break
        kept[version] = entries[version]
        version -= 1
    return Map(kept)


def _check_entry(version: int, document: Document, data: bytes) -> tuple[Document, Configuration]:
    entry = decode_entry(data)
    if entry.version != version:
        raise LogEntryError(f"log entry has version {entry.version} instead of {version}")
    return apply_entry(document, entry)


def accept_entry(step: Step, data: bytes, source: Source) -> bool:
    """Check the entry of the version after the held one, and hold that version if it is valid.

    :param data: the encoded entry.
    :param source: origin of the entry.
    :returns: whether the entry is valid; an invalid one changes nothing but is reported.
    """
    version = step.state.held_version + 1
    if _is_refused(step, version, data):
        return False
    try:
        document, configuration = _check_entry(version, step.state.held_document, data)
    except _INVALID_CONTENT_ERRORS as error:
        _refuse_copy(step, version, data, source, error)
        return False
    entries = step.state.entries.set(version, data)
    _hold(step, version, document, configuration, source, entries)
    return True


def accept_snapshot(step: Step, version: int, digest: str, data: bytes, source: Source) -> bool:
    """Check a snapshot that is newer than the held version, and hold its version if it is valid.

    :param digest: expected SHA-256 of the document's canonical JSON, hexadecimal.
    :param data: the compressed document.
    :param source: origin of the snapshot.
    :returns: whether the snapshot is valid; an invalid one changes nothing but is reported.
    """
    if _is_refused(step, version, data):
        return False
    try:
        document, configuration = decode_snapshot(data, digest)
    except _INVALID_CONTENT_ERRORS as error:
        _refuse_copy(step, version, data, source, error)
        return False
    _hold(step, version, document, configuration, source, Map())
    return True


def accept_newest_read(step: Step, event: StoreNewestRead) -> NewestReadResult:
    """Check the stored snapshot and the entries after it, and hold the newest valid version.

    The entries are applied to the store's snapshot and not to the held document, so that a wrong
    document from a peer is replaced.
    """
    source = Source("store")
    version = event.snapshot_version
    document: Document = EMPTY_DOCUMENT
    configuration = EMPTY_CONFIGURATION
    if version:
        try:
            document, configuration = decode_snapshot(event.snapshot, event.snapshot_digest)
        except _INVALID_CONTENT_ERRORS as error:
            _refuse_copy(step, version, event.snapshot, source, error)
            return NewestReadResult(False, 0, False)
    entries: dict[int, bytes] = {}
    complete = True
    for data in event.entries:
        try:
            document, configuration = _check_entry(version + 1, document, data)
        except _INVALID_CONTENT_ERRORS as error:
            _refuse_copy(step, version + 1, data, source, error)
            complete = False
            break
        version += 1
        entries[version] = data
    state = step.state
    if version > state.held_version or (version == state.held_version and not state.serving):
        _hold(step, version, document, configuration, source, Map(entries))
    return NewestReadResult(True, version, complete)
