"""A document of the size to build towards and its versions."""

from __future__ import annotations

import json
from dataclasses import dataclass

from bamboonotch_core.configuration import (
    EMPTY_DOCUMENT,
    Document,
    apply_patch,
    digest_document,
    encode_entry,
    encode_snapshot,
    make_entry,
    parse_patch,
)

__all__ = ["BASE_VERSION", "Documents", "make_documents"]

BASE_VERSION = 500
CLASSES = ("order-placement", "stock-check", "manifest", "menu-read", "plan-download")
PATCH = [{"op": "replace", "path": "/routes/read-7/timeout_ms", "value": 1500}]


@dataclass(frozen=True)
class Documents:
    """What a node gets from the store and from its peers.

    :param digest: digest of the base document.
    :param snapshot: the compressed base document.
    :param entry: the log entry of the next version.
    :param document_bytes: size of the base document as JSON, in bytes.
    """

    digest: str
    snapshot: bytes
    entry: bytes
    document_bytes: int


def _make_document(services: int) -> Document:
    value = {
        "classes": {
            name: {"priority": rank, "queue_limit": 64, "queue_timeout_ms": 500}
            for rank, name in enumerate(CLASSES)
        },
        "services": {
            f"service-{number}": {
                "tenant": "himal-thali",
                "slots_per_backend_server": 6,
                "ramp_ms": 5000,
            }
            for number in range(services)
        },
        "routes": {
            f"{verb}-{number}": {
                "path_prefix": f"/service-{number}/{verb}",
                "methods": ["POST" if verb == "place" else "GET"],
                "service": f"service-{number}",
                "request_class": CLASSES[rank],
                "idempotent": verb != "place",
                "timeout_ms": 2000,
            }
            for number in range(services)
            for rank, verb in ((0, "place"), (1, "check"), (3, "read"))
        },
    }
    operations = [
        {"op": "replace", "path": f"/{key}", "value": part} for key, part in value.items()
    ]
    return apply_patch(EMPTY_DOCUMENT, parse_patch(json.dumps(operations).encode()))


def make_documents(services: int) -> Documents:
    """Return a document with three routes for each service, and a version that changes one route.

    :param services: number of services; at least 8.
    """
    document = _make_document(services)
    entry, _ = make_entry(
        BASE_VERSION,
        document,
        parse_patch(json.dumps(PATCH).encode()),
        patch_id="01890000-0000-7000-8000-000000000000",
        author="operator@example",
        comment="raise the timeout of one route",
        now_unix_ms=1_700_000_000_000,
    )
    return Documents(
        digest_document(document),
        encode_snapshot(document),
        encode_entry(entry),
        len(json.dumps(document)),
    )
