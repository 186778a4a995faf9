"""Tests of the commands show, diff and versions."""

from __future__ import annotations

import json

from bamboonotch_cli.errors import ExitStatus
from tests.support import FULL_PREFIX, CommandTestCase


class VersionsTest(CommandTestCase):
    """Reading versions."""

    async def test_read_commands(self) -> None:
        """Guards against commands that disagree on what a version holds."""
        await self.submit_example("1-first-version.json", 0, "--patch-id", "p1")
        await self.submit_example("2-add-allergen-check.json", 1, "--patch-id", "p2")
        newest = (await self.command("show")).json
        self.assertEqual(newest["version"], 2)
        self.assertIn("check-allergens", newest["document"]["routes"])
        first = (await self.command("show", "1")).json
        self.assertNotIn("check-allergens", first["document"]["routes"])
        text = await self.command("show", "1", output="text")
        self.assertEqual(json.loads(text.output), first["document"])
        diff = await self.command("diff", "2", "1", output="text")
        lines = diff.output.splitlines()
        self.assertEqual(lines, ["- /classes/allergen-check", "- /routes/check-allergens"])
        listed = (await self.command("versions", "--limit", "1")).json["versions"]
        self.assertEqual([item["patch_id"] for item in listed], ["p2"])

    async def test_absent_version(self) -> None:
        """Guards against an empty document shown for a version that does not exist."""
        for arguments in (["show", "3"], ["diff", "0", "3"]):
            result = await self.command(*arguments, output="text")
            self.assertEqual((result.status, result.output), (ExitStatus.NOT_FOUND, ""))
            self.assertIn("next:", result.errors)

    async def test_malformed_store_value(self) -> None:
        """Guards against a malformed store value that ends in a traceback."""
        self.server.data.put(f"{FULL_PREFIX}log/000000000001", b"garbage")
        for arguments in (["show"], ["versions"], ["fate", "--base", "0", "p"]):
            result = await self.command(*arguments)
            self.assertEqual(result.status, ExitStatus.STORE_VALUE)
            self.assertIn("log/000000000001", result.json["message"])
