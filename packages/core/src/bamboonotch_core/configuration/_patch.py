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
# Deep nesting exhausts the stack at a depth that depends on the caller, so nodes could otherwise
# come to different verdicts on one version.
MAX_PATCH_DEPTH = 32
OPERATIONS = frozenset({"add", "copy", "move", "remove", "replace", "test"})

Patch = tuple[Mapping[str, Any], ...]
"""The operations of a patch, as parsed JSON."""


def exceeds_depth(value: Any, limit: int) -> bool:
    """Tell whether parsed JSON is nested more than a number of levels deep.

    :param value: the parsed JSON.
    :param limit: levels of arrays and objects that are allowed.
    """
    level: list[Any] = [value]
    for _ in range(limit + 1):
        children: list[Any] = []
        for item in level:
            if isinstance(item, Mapping):
                children.extend(item.values())
            elif isinstance(item, list | tuple):
                children.extend(item)
        level = children
    return bool(level)


def _check_operation(index: int, operation: Any) -> None:
    if not isinstance(operation, dict):
        raise PatchError(f"operation {index} must be an object")
    if operation.get("op") not in OPERATIONS:
        allowed = ", ".join(sorted(OPERATIONS))
        raise PatchError(f"operation {index}: op must be one of {allowed}")
    if not isinstance(operation.get("path"), str):
        raise PatchError(f"operation {index}: path must be a JSON pointer")


def parse_patch(text: str | bytes) -> Patch:
    """Parse a patch file.

    :param text: JSON text, at most 256 KiB.
    :raises PatchError: when the text is not a list of RFC 6902 operations.
    """
    if len(text) > MAX_PATCH_BYTES:
        raise PatchError(f"patch is larger than {MAX_PATCH_BYTES} bytes")
    try:
        operations = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise PatchError(f"patch is not JSON: {error}") from error
    return check_operations(operations)


def check_operations(operations: Any) -> Patch:
    """Check that parsed JSON is a list of RFC 6902 operations.

    :param operations: the parsed JSON.
    :raises PatchError: when it is not.
    """
    if not isinstance(operations, list) or not operations:
        raise PatchError("patch must be a list of one or more operations")
    if exceeds_depth(operations, MAX_PATCH_DEPTH):
        raise PatchError(f"patch is nested more than {MAX_PATCH_DEPTH} levels deep")
    if len(operations) > MAX_OPERATIONS:
        raise PatchError(f"patch has more than {MAX_OPERATIONS} operations")
    for index, operation in enumerate(operations):
        _check_operation(index, operation)
    return tuple(operations)


def apply_patch(document: Document, patch: Patch) -> Document:
    """Return the document with the patch applied; the given document stays as it is.

    :param document: the base document.
    :param patch: the operations.
    :raises PatchError: when an operation does not apply.
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
        raise PatchError("patch must leave the document an object")
    return result
