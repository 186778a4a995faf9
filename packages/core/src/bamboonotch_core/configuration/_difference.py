"""Differences between two configuration documents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import jsonpatch  # type: ignore[import-untyped]
import jsonpointer  # type: ignore[import-untyped]

from bamboonotch_core.configuration._document import Document

__all__ = ["Difference", "diff_documents"]


@dataclass(frozen=True)
class Difference:
    """One change between two documents.

    :param operation: ``add``, ``remove`` or ``replace``.
    :param pointer: JSON pointer to the changed value.
    :param old: value before the change; ``None`` for an addition.
    :param new: value after the change; ``None`` for a removal.
    """

    operation: str
    pointer: str
    old: Any
    new: Any


def diff_documents(old: Document, new: Document) -> tuple[Difference, ...]:
    """Return the changes that turn ``old`` into ``new``, sorted by pointer.

    A moved value is reported as a removal and an addition.
    """
    differences = []
    for change in jsonpatch.make_patch(old, new):
        pointer = change["path"]
        kind = change["op"]
        if kind == "move":
            source = change["from"]
            value = jsonpointer.resolve_pointer(old, source, None)
            differences.append(Difference("remove", source, value, None))
            differences.append(Difference("add", pointer, None, value))
            continue
        before = None if kind == "add" else jsonpointer.resolve_pointer(old, pointer, None)
        differences.append(Difference(kind, pointer, before, change.get("value")))
    return tuple(sorted(differences, key=lambda item: item.pointer))
