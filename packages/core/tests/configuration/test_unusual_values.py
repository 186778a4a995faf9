"""Tests of values that are unusual and valid: a bound must rest on the format or protect memory."""

from __future__ import annotations

import copy
import math
import unittest
from typing import Any

from bamboonotch_core.configuration import Configuration, digest_key, parse_configuration
from bamboonotch_core.errors import ConfigurationError
from bamboonotch_core.outcomes._reducer import _draw_service
from bamboonotch_core.routing import next_seed

SERVICE = {"tenant": "mesh", "slots_per_backend_server": 6}
DOCUMENT: dict[str, Any] = {
    "classes": {"read": {"priority": 1, "target_ms": 500}},
    "services": {f"s{number}": SERVICE for number in range(100)},
    "routes": {
        "a": {
            "path_prefix": "/a/",
            "service": "s0",
            "request_class": "read",
            "idempotent": True,
            "timeout_ms": 1000,
        }
    },
    "workspaces": {"acme": {"keys": []}},
    "limits": {},
}


def change(pointer: str, value: Any) -> dict[str, Any]:
    """Return the document with another value at a place."""
    document = copy.deepcopy(DOCUMENT)
    *path, last = pointer.split("/")
    target = document
    for name in path:
        target = target[name]
    target[last] = value
    return document


def split(weights: list[Any]) -> dict[str, Any]:
    """Return the document with a route that is split among services."""
    document = copy.deepcopy(DOCUMENT)
    route = document["routes"]["a"]
    del route["service"]
    route["split"] = [
        {"service": f"s{number}", "weight": weight} for number, weight in enumerate(weights)
    ]
    return document


class UnusualValuesTest(unittest.TestCase):
    """Values that no rule of the format forbids."""

    def test_accepted(self) -> None:
        """Guards against a valid version that every node refuses because of a bound of its own."""
        for pointer, value in (
            ("classes/read/priority", 20),
            ("classes/read/priority", 2**63 - 1),
            ("classes/read/target_ms", 3_600_000),
            ("workspaces/acme/priority", 1000),
            ("workspaces/acme/rate_per_s", 1e9),
            ("workspaces/acme/burst", 1e12),
            ("workspaces/acme/keys", [digest_key(str(number)) for number in range(3000)]),
            ("routes/a/max_attempts", 1000),
            ("routes/a/timeout_ms", 3_600_000),
            ("routes/a/path_prefix", "/" + "a" * 2000 + "/"),
            ("limits/max_header_bytes", 500),
            ("limits/max_body_bytes", 1),
            ("limits/idle_timeout_ms", 24 * 3_600_000),
        ):
            with self.subTest(pointer=pointer, value=str(value)[:20]):
                parse_configuration(change(pointer, value))

    def test_refused(self) -> None:
        """Guards against a value without a meaning, or beyond what a message or memory can hold."""
        for pointer, values in {
            "classes/read/priority": (-1, 2**63, 1.5, True),
            "routes/a/max_attempts": (-1, 2**63, math.inf),
            "routes/a/timeout_ms": (0, 2**31),
            "workspaces/acme/rate_per_s": (-1, 2.0**64, math.nan, math.inf),
            "limits/max_header_bytes": (0, 2 * 1024 * 1024),
            "limits/max_body_bytes": (0, 2 * 1024**3),
        }.items():
            for value in values:
                with (
                    self.subTest(pointer=pointer, value=value),
                    self.assertRaises(ConfigurationError),
                ):
                    parse_configuration(change(pointer, value))

    def test_splits(self) -> None:
        """Guards against a split that is refused for its number of parts or its fractions."""
        for weights in ([1] * 100, [0.9, 0.1], [0.5], [0, 1e-9], [3_000_000, 1_000_000]):
            with self.subTest(weights=weights[:3]):
                parse_configuration(split(weights))
        for weights in ([], [0, 0.0], [-0.1, 1], [math.nan], [math.inf], [True], ["1"], [None]):
            with self.subTest(weights=weights), self.assertRaises(ConfigurationError):
                parse_configuration(split(weights))


class FractionsTest(unittest.TestCase):
    """Splits whose weights are fractions."""

    def test_shares(self) -> None:
        """Guards against fractions that are rounded, and a part without weight that is drawn."""
        configuration: Configuration = parse_configuration(split([0.25, 0.75, 0.0]))
        counts = {"s0": 0, "s1": 0, "s2": 0}
        seed = 1
        for _ in range(4000):
            seed = next_seed(seed)
            counts[_draw_service(configuration.routes["a"], seed)] += 1
        self.assertAlmostEqual(counts["s0"] / 4000, 0.25, delta=0.03)
        self.assertEqual(counts["s2"], 0)


if __name__ == "__main__":
    unittest.main()
