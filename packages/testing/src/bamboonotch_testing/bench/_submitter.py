"""Submits versions straight to the store, so that the moment of acceptance is known exactly."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from bamboonotch_core.configuration import (
    EMPTY_DOCUMENT,
    Document,
    digest_document,
    encode_entry,
    encode_snapshot,
    make_entry,
    parse_patch,
)
from bamboonotch_testing.fleet import Layout, call_http

__all__ = ["AcceptedVersion", "Submitter", "timeout_patch"]

Operations = Sequence[Mapping[str, Any]]


@dataclass(frozen=True)
class AcceptedVersion:
    """A version that the store has accepted.

    :param version: its number.
    :param accepted_unix_ms: when the store answered, in milliseconds since 1970.
    :param entry_bytes: size of the compressed log entry, in bytes.
    """

    version: int
    accepted_unix_ms: float
    entry_bytes: int


def timeout_patch(route: str, timeout_ms: int) -> Operations:
    """Return a patch that changes the timeout of one route.

    :param route: name of the route.
    :param timeout_ms: the new value, in milliseconds.
    """
    return [{"op": "replace", "path": f"/routes/{route}/timeout_ms", "value": timeout_ms}]


class Submitter:
    """The only writer of a fleet's log; keeps the document in memory.

    :param store_address: ``ip:port`` of the store.
    :param tenant: the customer.
    """

    def __init__(self, store_address: str, tenant: str) -> None:
        self._store = store_address
        self._root = f"/v1/kv/bamboonotch/{tenant}"
        self.document: Document = EMPTY_DOCUMENT
        self.version = 0

    def submit_document(self, layout: Layout) -> AcceptedVersion:
        """Submit a layout's whole document.

        :param layout: the layout.
        """
        operations = [
            {"op": "replace", "path": f"/{section}", "value": value}
            for section, value in layout.document.items()
        ]
        return self.submit(operations)

    def submit(self, operations: Operations, *, with_snapshot: bool = False) -> AcceptedVersion:
        """Write the next log entry.

        :param operations: the patch.
        :param with_snapshot: whether to write the snapshot of the new version first, for readers
            that take whole snapshots.
        :raises AssertionError: when the store does not accept it.
        """
        entry, document = make_entry(
            self.version,
            self.document,
            parse_patch(json.dumps(operations).encode()),
            patch_id=uuid.uuid4().hex,
            author="bench",
            comment="bench",
            now_unix_ms=int(time.time() * 1000),
        )
        if with_snapshot:
            self._put_snapshot(entry.version, document)
        data = encode_entry(entry)
        self._put(f"log/{entry.version:012d}?cas=0", data)
        accepted_unix_ms = time.time() * 1000
        self.document, self.version = document, entry.version
        return AcceptedVersion(entry.version, accepted_unix_ms, len(data))

    def _put_snapshot(self, version: int, document: Document) -> None:
        """Write the snapshot in one piece; the documents of the bench are small."""
        self._put(f"snapshot/{version:012d}/0", encode_snapshot(document))
        value = {"version": version, "pieces": 1, "digest": digest_document(document)}
        self._put("snapshot/latest", json.dumps(value).encode())

    def _put(self, key: str, value: bytes) -> None:
        answer = call_http(self._store, "PUT", f"{self._root}/{key}", body=value)
        assert answer.body.strip() == b"true", f"PUT {key}: {answer.status} {answer.body[:200]!r}"
