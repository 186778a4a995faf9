"""Decoders of configuration data against any JSON: one typed error, and no other exception."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from bamboonotch_core.configuration import parse_configuration, parse_patch
from bamboonotch_core.configuration._patch import check_operations
from bamboonotch_core.errors import BamboonotchError, PatchError

SCALARS = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8))
WORDS = st.sampled_from(
    ["op", "path", "add", "routes", "services", "classes", "limits", "host", "split", "timeout_ms"]
)
JSON = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.one_of(WORDS, st.text(max_size=4)), inner, max_size=4),
    ),
    max_leaves=12,
)


class AnyJsonTest(unittest.TestCase):
    """Values that a store or an operator may hold."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.one_of(JSON, st.fixed_dictionaries({"op": JSON, "path": JSON})), max_size=3))
    @example([{"op": [], "path": ""}])
    @example([{"op": {}, "path": ""}])
    def test_patch(self, operations: list[Any]) -> None:
        """Guards against a stored entry whose decoding ends the process that reads it."""
        try:
            check_operations(operations)
        except PatchError:
            return

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.dictionaries(WORDS, JSON, max_size=4))
    def test_document(self, document: dict[str, Any]) -> None:
        """Guards against a document of a peer whose check raises an unexpected exception."""
        try:
            parse_configuration(document)
        except BamboonotchError:
            return

    def test_size_is_counted_in_bytes(self) -> None:
        """Guards against a text that is longer than the limit once it is encoded."""
        value = "\u00e9" * 200_000
        text = json.dumps([{"op": "add", "path": "/a", "value": value}], ensure_ascii=False)
        with self.assertRaisesRegex(PatchError, "length"):
            parse_patch(text)


if __name__ == "__main__":
    unittest.main()
