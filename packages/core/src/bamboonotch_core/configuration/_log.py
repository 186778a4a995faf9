"""Log entries, which make a version, and snapshots of whole documents."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
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
# A valid document has four levels; a patch may add up to its own depth below any of them.
MAX_DOCUMENT_DEPTH = 64
COMPRESSION_LEVEL = 9
_TEXT_FIELDS = ("patch_id", "author", "comment", "result_digest")
_INTEGER_FIELDS = ("version", "base_version", "accepted_at_unix_ms")


@dataclass(frozen=True)
class LogEntry:
    """One accepted version, as kept under ``log/<version>`` in the store.

    :param version: the number of the version.
    :param base_version: the version that the patch builds on, one less.
    :param patch_id: unique id of the submission.
    :param author: who submitted it.
    :param comment: why.
    :param patch: operations that turn the base document into this version's.
    :param result_digest: SHA-256 of the resulting document's canonical JSON, hexadecimal.
    :param accepted_at_unix_ms: the submitter's clock, in milliseconds since 1970.
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
    """Apply and validate a patch and return the entry that would make it the next version.

    :param base_version: number of the base version.
    :param base_document: document of the base version.
    :param patch: operations to apply.
    :param patch_id: unique id of the submission.
    :param author: who submits it.
    :param comment: why.
    :param now_unix_ms: the submitter's clock, in milliseconds since 1970.
    :raises PatchError: when the patch does not apply or the result is too large.
    :raises ConfigurationError: when the resulting document has faults.
    """
    check_operations(list(patch))
    document = apply_patch(base_document, patch)
    parse_configuration(document)
    if len(canonical_json(document)) > MAX_DOCUMENT_BYTES:
        raise PatchError(f"resulting document is larger than {MAX_DOCUMENT_BYTES} bytes")
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
    :param entry: the entry.
    :raises PatchError: when the patch does not apply.
    :raises LogEntryError: when the result does not match the entry's digest.
    :raises ConfigurationError: when the resulting document has faults.
    """
    document = apply_patch(base_document, entry.patch)
    if digest_document(document) != entry.result_digest:
        raise LogEntryError(f"version {entry.version}: digest of the result does not match")
    return document, parse_configuration(document)


def _decompress(data: bytes, limit_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, limit_bytes)
    except zlib.error as error:
        raise LogEntryError(f"not zlib data: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise LogEntryError(f"truncated, or larger than {limit_bytes} bytes")
    return plain


def _parse_json_object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise LogEntryError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise LogEntryError("not a JSON object")
    if exceeds_depth(value, MAX_DOCUMENT_DEPTH):
        raise LogEntryError(f"nested more than {MAX_DOCUMENT_DEPTH} levels deep")
    return value


def encode_entry(entry: LogEntry) -> bytes:
    """Encode an entry as zlib-compressed canonical JSON.

    :param entry: the entry.
    """
    value: Mapping[str, Any] = {**vars(entry), "patch": list(entry.patch)}
    return zlib.compress(canonical_json(value), COMPRESSION_LEVEL)


def decode_entry(data: bytes) -> LogEntry:
    """Decode an entry and check the type of every field.

    :param data: output of :func:`encode_entry`.
    :raises LogEntryError: when the data is malformed.
    """
    value = _parse_json_object(_decompress(data, MAX_ENTRY_BYTES))
    for field in _TEXT_FIELDS:
        if not isinstance(value.get(field), str):
            raise LogEntryError(f"field {field} must be a string")
    for field in _INTEGER_FIELDS:
        if type(value.get(field)) is not int or value[field] < 0:
            raise LogEntryError(f"field {field} must be an integer of 0 or more")
    if value["version"] != value["base_version"] + 1:
        raise LogEntryError("field version must be one more than base_version")
    try:
        patch = check_operations(value.get("patch"))
    except PatchError as error:
        raise LogEntryError(str(error)) from error
    fields = {name: value[name] for name in (*_TEXT_FIELDS, *_INTEGER_FIELDS)}
    return LogEntry(patch=patch, **fields)


def encode_snapshot(document: Document) -> bytes:
    """Encode a document as zlib-compressed canonical JSON.

    :param document: the document.
    """
    return zlib.compress(canonical_json(document), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes, expected_digest: str) -> tuple[Document, Configuration]:
    """Decode a snapshot, check its digest and validate it.

    :param data: output of :func:`encode_snapshot`.
    :param expected_digest: SHA-256 of the document's canonical JSON, hexadecimal.
    :raises LogEntryError: when the data is malformed or has another digest.
    :raises ConfigurationError: when the document has faults.
    """
    document = _parse_json_object(_decompress(data, MAX_DOCUMENT_BYTES))
    if digest_document(document) != expected_digest:
        raise LogEntryError("digest of the snapshot does not match")
    return document, parse_configuration(document)
