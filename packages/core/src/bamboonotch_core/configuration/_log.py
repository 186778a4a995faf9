"""Log entries, each of which creates a version, and snapshots of whole documents."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from bamboonotch_core.configuration._document import (
    Configuration,
    Document,
    canonical_json,
    digest_document,
)
from bamboonotch_core.configuration._patch import (
    Patch,
    apply_patch,
    check_operations,
    exceeds_depth,
)
from bamboonotch_core.configuration._validation import parse_configuration
from bamboonotch_core.errors import LogEntryError, PatchError

__all__ = [
    "LogEntry",
    "apply_entry",
    "decode_entry",
    "decode_snapshot",
    "encode_entry",
    "encode_snapshot",
    "make_entry",
]

MAX_ENTRY_BYTES = 1024 * 1024
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# A valid document has 4 levels; a patch may add up to its own depth, at most 32, below any of them.
MAX_DOCUMENT_DEPTH = 64
COMPRESSION_LEVEL = 9
_TEXT_FIELDS = ("patch_id", "author", "comment", "result_digest")
_INTEGER_FIELDS = ("version", "base_version", "accepted_at_unix_ms")


@dataclass(frozen=True)
class LogEntry:
    """One accepted version, as stored in the store under ``log/<version>``.

    :param base_version: version that the patch applies to, which is ``version`` - 1.
    :param patch_id: unique id of the submission.
    :param author: who submitted the patch.
    :param comment: why the patch was submitted.
    :param patch: operations that turn the base document into the document of this version.
    :param result_digest: SHA-256 of the resulting document's canonical JSON, hexadecimal.
    :param accepted_at_unix_ms: submitter's clock when the entry was made, in milliseconds since
        1970.
    """

    version: int
    base_version: int
    patch_id: str
    author: str
    comment: str
    patch: Patch
    result_digest: str
    accepted_at_unix_ms: int


def make_entry(
    base_version: int,
    base_document: Document,
    patch: Patch,
    *,
    patch_id: str,
    author: str,
    comment: str,
    now_unix_ms: int,
) -> tuple[LogEntry, Document]:
    """Apply a patch, validate the result and make the log entry of the next version.

    :param base_document: document of ``base_version``.
    :param patch_id: unique id of the submission.
    :param author: who submits the patch.
    :param comment: why the patch is submitted.
    :param now_unix_ms: submitter's clock, in milliseconds since 1970.
    :returns: the entry and the resulting document.
    :raises PatchError: when the patch is malformed or does not apply, or when the canonical JSON of
        the resulting document is larger than 8 MiB.
    :raises ConfigurationError: when the resulting document has faults.
    """
    check_operations(list(patch))
    document = apply_patch(base_document, patch)
    parse_configuration(document)
    if len(canonical_json(document)) > MAX_DOCUMENT_BYTES:
        raise PatchError(
            f"version {base_version + 1}: resulting document has"
            f" {len(canonical_json(document))} bytes, more than {MAX_DOCUMENT_BYTES}"
        )
    entry = LogEntry(
        version=base_version + 1,
        base_version=base_version,
        patch_id=patch_id,
        author=author,
        comment=comment,
        patch=patch,
        result_digest=digest_document(document),
        accepted_at_unix_ms=now_unix_ms,
    )
    return entry, document


def apply_entry(base_document: Document, entry: LogEntry) -> tuple[Document, Configuration]:
    """Apply an entry to its base document, check the digest and validate the result.

    :param base_document: document of ``entry.base_version``.
    :returns: the resulting document, as JSON and as typed values.
    :raises PatchError: when the patch does not apply.
    :raises LogEntryError: when the digest of the result is not ``entry.result_digest``.
    :raises ConfigurationError: when the resulting document has faults.
    """
    document = apply_patch(base_document, entry.patch)
    if digest_document(document) != entry.result_digest:
        raise LogEntryError(
            f"version {entry.version}: digest of the resulting document is not the entry's"
            f" result_digest {entry.result_digest!r:.66}"
        )
    return document, parse_configuration(document)


def _decompress(data: bytes, limit_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, limit_bytes)
    except zlib.error as error:
        raise LogEntryError(f"{len(data)} bytes are not zlib data: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise LogEntryError(
            f"{len(data)} bytes of zlib data are truncated, are followed by other data, or"
            f" decompress to more than {limit_bytes} bytes"
        )
    return plain


def _parse_json_object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise LogEntryError(f"{len(data)} bytes are not JSON: {error}") from error
    if not isinstance(value, dict):
        raise LogEntryError(f"JSON value is of type {type(value).__name__}, must be an object")
    if exceeds_depth(value, MAX_DOCUMENT_DEPTH):
        raise LogEntryError(f"JSON is nested more than {MAX_DOCUMENT_DEPTH} levels deep")
    return value


def encode_entry(entry: LogEntry) -> bytes:
    """Encode a log entry as zlib-compressed canonical JSON."""
    value: Mapping[str, Any] = {**vars(entry), "patch": list(entry.patch)}
    return zlib.compress(canonical_json(value), COMPRESSION_LEVEL)


def decode_entry(data: bytes) -> LogEntry:
    """Decode a log entry and check the type of every field.

    :param data: output of :func:`encode_entry`.
    :raises LogEntryError: when the data is malformed.
    """
    value = _parse_json_object(_decompress(data, MAX_ENTRY_BYTES))
    for field in _TEXT_FIELDS:
        if not isinstance(value.get(field), str):
            raise LogEntryError(f"field {field} is {value.get(field)!r:.40}, must be a string")
    for field in _INTEGER_FIELDS:
        if type(value.get(field)) is not int or value[field] < 0:
            raise LogEntryError(
                f"field {field} is {value.get(field)!r:.40}, must be an integer of 0 or more"
            )
    if value["version"] != value["base_version"] + 1:
        raise LogEntryError(
            f"field version is {value['version']}, must be base_version {value['base_version']} + 1"
        )
    try:
        patch = check_operations(value.get("patch"))
    except PatchError as error:
        raise LogEntryError(str(error)) from error
    fields = {name: value[name] for name in (*_TEXT_FIELDS, *_INTEGER_FIELDS)}
    return LogEntry(patch=patch, **fields)


def encode_snapshot(document: Document) -> bytes:
    """Encode a document as zlib-compressed canonical JSON."""
    return zlib.compress(canonical_json(document), COMPRESSION_LEVEL)


def decode_snapshot(
    data: bytes, expected_digest: str, held: tuple[Document, Configuration] | None = None
) -> tuple[Document, Configuration]:
    """Decode a snapshot, check its digest and validate the document.

    :param data: output of :func:`encode_snapshot`.
    :param expected_digest: SHA-256 of the document's canonical JSON, hexadecimal.
    :param held: an earlier document with its typed values, of which unchanged parts are taken over.
    :returns: the document, as JSON and as typed values.
    :raises LogEntryError: when the data is malformed or the document has another digest.
    :raises ConfigurationError: when the document has faults.
    """
    plain = _decompress(data, MAX_DOCUMENT_BYTES)
    document = _parse_json_object(plain)
    # The data usually is the canonical JSON itself, which then need not be made once more.
    is_whole = sha256(plain).hexdigest() == expected_digest
    if not is_whole and digest_document(document) != expected_digest:
        raise LogEntryError(f"digest of the snapshot is not {expected_digest!r:.66}")
    return document, parse_configuration(document, held)
