"""Tests of workspaces and anonymous routes in configuration documents."""

from __future__ import annotations

import copy
import math
import unittest
from typing import Any

from bamboonotch_core.configuration import (
    Workspace,
    diff_documents,
    digest_key,
    parse_configuration,
)
from bamboonotch_core.errors import ConfigurationError
from tests.routing.builders import CLASSES, ROUTES, SERVICES

SECRET = "Secret-Key-of-a-Caller"
DIGEST, OTHER_DIGEST = digest_key(SECRET), digest_key("another")
ACME = {"priority": 2, "keys": [DIGEST], "rate_per_s": 12.5, "burst": 40}
DOCUMENT: dict[str, Any] = {
    "classes": CLASSES,
    "services": SERVICES,
    "routes": ROUTES,
    "workspaces": {"acme": ACME, "bolt": {"keys": [OTHER_DIGEST]}},
}


def change(path: str, value: Any) -> dict[str, Any]:
    """Return the document with one value changed."""
    document = copy.deepcopy(DOCUMENT)
    *parents, field = path.split("/")
    place = document
    for name in parents:
        place = place[name]
    place[field] = value
    return document


class ValidationTest(unittest.TestCase):
    """What a document may say of workspaces."""

    def find_faults(self, document: dict[str, Any]) -> list[str]:
        """Return where a document is faulty."""
        with self.assertRaises(ConfigurationError) as raised:
            parse_configuration(document)
        # What an operator or the log sees must not repeat a key that was written in plain text.
        self.assertNotIn(SECRET, str(raised.exception))
        self.assertNotIn(SECRET, repr(raised.exception.faults))
        return [fault.pointer for fault in raised.exception.faults]

    def test_workspaces(self) -> None:
        """Guards against a workspace that loses its keys, priority or quota."""
        configuration = parse_configuration(DOCUMENT)
        self.assertEqual(
            dict(configuration.workspaces),
            {
                "acme": Workspace("acme", 2, (DIGEST,), 12.5, 40.0),
                "bolt": Workspace("bolt", 0, (OTHER_DIGEST,)),
            },
        )
        self.assertEqual(
            dict(configuration.workspace_by_key), {DIGEST: "acme", OTHER_DIGEST: "bolt"}
        )
        self.assertFalse(any(route.anonymous for route in configuration.routes.values()))

    def test_no_workspaces(self) -> None:
        """Guards against a document without the section that is refused."""
        document = {name: value for name, value in DOCUMENT.items() if name != "workspaces"}
        for held in (document, document | {"workspaces": {}}):
            self.assertEqual(len(parse_configuration(held).workspaces), 0)

    def test_anonymous_route(self) -> None:
        """Guards against a route that needs no key by mistake, or needs one."""
        configuration = parse_configuration(change("routes/read-order/anonymous", True))
        anonymous = [name for name, route in configuration.routes.items() if route.anonymous]
        self.assertEqual(anonymous, ["read-order"])
        for value in (1, 0, "true", None, []):
            document = change("routes/read-order/anonymous", value)
            self.assertEqual(self.find_faults(document), ["/routes/read-order/anonymous"])

    def test_faulty_fields(self) -> None:
        """Guards against a version with a faulty workspace that is partly accepted."""
        faulty = {
            "keys": (SECRET, [SECRET], [DIGEST, SECRET], [DIGEST.upper()], [7], None, {DIGEST: 1}),
            "priority": (-1, 2**63, "1", True, 1.0, None),
            "rate_per_s": (-1, "9", math.nan, math.inf, True, 2.0**64),
            "burst": (-0.5, [], -math.inf, 2.0**64),
            SECRET[:6]: (1,),
        }
        for field, values in faulty.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    document = change(f"workspaces/acme/{field}", value)
                    self.assertEqual(self.find_faults(document), [f"/workspaces/acme/{field}"])
        for value in ([], "acme", 5):
            self.assertIn("/workspaces/acme", self.find_faults(change("workspaces/acme", value)))
            self.assertIn("/workspaces", self.find_faults(change("workspaces", value)))
        for name in ("", "Acme", "a b", "x" * 65):
            self.assertNotEqual(self.find_faults(change(f"workspaces/{name}", ACME)), [])

    def test_key_of_two_workspaces(self) -> None:
        """Guards against a key whose workspace depends on the order in a document."""
        document = change("workspaces/bolt/keys", [OTHER_DIGEST, DIGEST])
        self.assertEqual(self.find_faults(document), ["/workspaces/bolt/keys"])
        document = change("workspaces/bolt/keys", [OTHER_DIGEST, OTHER_DIGEST])
        self.assertEqual(len(parse_configuration(document).workspace_by_key), 2)

    def test_held_version_changes_nothing(self) -> None:
        """Guards against a key that stays valid because its workspace was taken over."""
        held = (DOCUMENT, parse_configuration(DOCUMENT))
        for path, value in (
            ("workspaces/acme/keys", []),
            ("workspaces/acme/keys", [digest_key("new")]),
            ("workspaces/acme/priority", 0),
            ("workspaces", {}),
            ("routes/read-order/anonymous", True),
        ):
            document = change(path, value)
            after = parse_configuration(document, held)
            self.assertEqual(after, parse_configuration(document))
            self.assertNotEqual(after, held[1])


class DifferenceTest(unittest.TestCase):
    """What an operator is shown of two versions."""

    def test_digests_only(self) -> None:
        """Guards against a difference of keys that is overlooked, or shows more than a digest."""
        new_digest = digest_key("new")
        differences = diff_documents(DOCUMENT, change("workspaces/acme/keys", [new_digest]))
        self.assertEqual(
            [(item.operation, item.pointer, item.old, item.new) for item in differences],
            [("replace", "/workspaces/acme/keys/0", DIGEST, new_digest)],
        )
        differences = diff_documents(DOCUMENT, change("routes/read-order/anonymous", True))
        self.assertEqual(
            [(item.operation, item.pointer, item.new) for item in differences],
            [("add", "/routes/read-order/anonymous", True)],
        )
        differences = diff_documents(DOCUMENT, change("workspaces/cask", {"keys": [new_digest]}))
        self.assertEqual(
            [(item.operation, item.pointer) for item in differences], [("add", "/workspaces/cask")]
        )
