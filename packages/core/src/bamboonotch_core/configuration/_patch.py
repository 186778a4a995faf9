"""Patches in the format of RFC 6902."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import jsonpatch  # type: ignore[import-untyped]
import jsonpointer  # type: ignore[import-untyped]

from bamboonotch_core.configuration._document import Document
from bamboonotch_core.errors import PatchError

__all__ = [
    "MAX_PATCH_BYTES",
    "MAX_PATCH_DEPTH",
    "Patch",
    "apply_patch",
    "check_operations",
    "exceeds_depth",
    "parse_patch",
]

MAX_PATCH_BYTES = 256 * 1024
MAX_OPERATIONS = 10_000
# Recursion on deeply nested JSON exhausts the stack at a depth that depends on the caller, so
# without this limit one node could accept a version that another node refuses.
MAX_PATCH_DEPTH = 32
OPERATIONS = frozenset({"add", "copy", "move", "remove", "replace", "test"})

Patch = tuple[Mapping[str, Any], ...]
"""The operations of a patch, as parsed JSON."""


def exceeds_depth(value: Any, max_depth: int) -> bool:
    """Return whether parsed JSON has more than a number of nested levels.

    :param max_depth: largest allowed number of nested levels of arrays and objects.
    """
    level: list[Any] = [value]
    for _ in range(max_depth + 1):
        children: list[Any] = []
        for item in level:
            # Nearly all values are of these types, and the check for ``Mapping`` is slow.
            if isinstance(item, str | int | float):
                continue
            if isinstance(item, Mapping):
                children.extend(item.values())
            elif isinstance(item, list | tuple):
                children.extend(item)
        level = children
    return bool(level)


def _check_operation(index: int, operation: Any) -> None:
    if not isinstance(operation, dict):
        raise PatchError(
            f"operation {index} is of type {type(operation).__name__}, must be an object"
        )
    name = operation.get("op")
    if not isinstance(name, str) or name not in OPERATIONS:
        allowed = ", ".join(sorted(OPERATIONS))
        raise PatchError(f"operation {index}: op is {name!r:.40}, must be one of {allowed}")
    if not isinstance(operation.get("path"), str):
        raise PatchError(
            f"operation {index}: path is {operation.get('path')!r:.40}, must be a JSON pointer"
        )


def parse_patch(text: str | bytes) -> Patch:
    """Parse the text of a patch and check its operations.

    :param text: JSON text, at most 256 KiB.
    :raises PatchError: when the text is not a list of RFC 6902 operations.
    """
    size_bytes = len(text if isinstance(text, bytes) else text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_PATCH_BYTES:
        raise PatchError(f"patch has a length of {size_bytes}, more than {MAX_PATCH_BYTES} bytes")
    try:
        operations = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise PatchError(f"patch is not JSON: {error}") from error
    return check_operations(operations)


def check_operations(operations: Any) -> Patch:
    """Check that parsed JSON is a list of RFC 6902 operations.

    :returns: the operations, unchanged.
    :raises PatchError: when it is not, or exceeds 10,000 operations or 32 nested levels.
    """
    if not isinstance(operations, list) or not operations:
        raise PatchError("patch must be a list of one or more operations")
    if exceeds_depth(operations, MAX_PATCH_DEPTH):
        raise PatchError(f"patch is nested more than {MAX_PATCH_DEPTH} levels deep")
    if len(operations) > MAX_OPERATIONS:
        raise PatchError(f"patch has {len(operations)} operations, more than {MAX_OPERATIONS}")
    for index, operation in enumerate(operations):
        _check_operation(index, operation)
    return tuple(operations)


def apply_patch(document: Document, patch: Patch) -> Document:
    """Return a copy of a document with the patch applied.

    :raises PatchError: when an operation does not apply, or the result is not an object.
    """
    try:
        result = jsonpatch.JsonPatch(list(patch)).apply(document)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise PatchError(f"patch does not apply: {error}") from error
    if not isinstance(result, dict):
        raise PatchError(
            f"resulting document is of type {type(result).__name__}, must be an object"
        )
    return result
