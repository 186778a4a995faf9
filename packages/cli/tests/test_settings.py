"""Tests of the connection settings."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from bamboonotch_cli.errors import CommandError, ExitStatus
from bamboonotch_cli.settings import OperatorSettings, override, read_settings
from bamboonotch_core.errors import SettingsError
from tests.support import EXAMPLES, run_command

GOOD = """
[operator]
store_address = 127.0.0.1:8500
store_region = bagmati
tenant = himal-thali
node_admin_addresses = 127.0.0.1:7, [::1]:8
timeout_ms = 500
"""


class SettingsTest(unittest.TestCase):
    """Reading and overriding settings."""

    def setUp(self) -> None:
        """Make a directory for the file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "operator.ini"

    def read(self, text: str) -> OperatorSettings:
        """Read settings from text."""
        self.path.write_text(text)
        return read_settings(self.path)

    def test_every_key_is_read(self) -> None:
        """Guards against a key that has no effect."""
        settings = self.read(GOOD)
        self.assertEqual(
            settings,
            OperatorSettings(
                "127.0.0.1:8500", "bagmati", "himal-thali", ("127.0.0.1:7", "[::1]:8"), 500
            ),
        )

    def test_options_win(self) -> None:
        """Guards against an option that the file overrides."""
        options = {"tenant": "mkaa-bora", "node_admin_addresses": ("127.0.0.1:9",), "timeout_ms": 0}
        settings = override(self.read(GOOD), options)
        self.assertEqual(settings.tenant, "mkaa-bora")
        self.assertEqual(settings.node_admin_addresses, ("127.0.0.1:9",))
        self.assertEqual(settings.timeout_ms, 500)
        with self.assertRaisesRegex(ValueError, "timeout-ms"):
            override(settings, {"timeout_ms": 5})

    def test_faults_name_their_place(self) -> None:
        """Guards against a bad settings file that is used or whose fault cannot be found."""
        faults = (
            ("", "section"),
            ("[other]\n", "other"),
            ("[operator]\nspeed = 1\n", "key speed"),
            ("[operator]\ntenant = A B\n", "key tenant, value 'A B'"),
            ("[operator]\nstore_address = store:1\n", "key store_address"),
            ("[operator]\nstore_address = 127.0.0.1:0\n", "key store_address"),
            ("[operator]\nnode_admin_addresses = 127.0.0.1:1,x\n", "key node_admin_addresses"),
            ("[operator]\ntimeout_ms = 1s\n", "key timeout_ms"),
            ("[operator]\ntenant = a\ntenant = b\n", "tenant"),
            ("tenant = a\n", "section"),
        )
        for text, place in faults:
            with self.assertRaisesRegex(SettingsError, place):
                self.read(text)
        self.path.write_bytes(b"[operator]\ntenant = \xff\n")
        with self.assertRaises(SettingsError):
            read_settings(self.path)

    def test_missing_settings_name_the_option(self) -> None:
        """Guards against a missing setting whose error does not say how to give it."""
        with self.assertRaises(CommandError) as caught:
            OperatorSettings().admin_addresses()
        self.assertEqual(caught.exception.status, ExitStatus.USAGE)
        self.assertIn("--node-admin-address,", caught.exception.next_step)

    def test_bad_file_ends_the_command(self) -> None:
        """Guards against a command that goes on with a bad settings file."""
        self.path.write_text("[operator]\nspeed = 1\n")
        result = run_command(["--settings", str(self.path), "versions"])
        self.assertEqual(result.status, ExitStatus.USAGE)
        self.assertIn("key speed", result.errors)
        missing = run_command(["--settings", str(self.path) + ".absent", "versions"])
        self.assertEqual(missing.status, ExitStatus.USAGE)


class ExampleSettingsTest(unittest.TestCase):
    """The example files."""

    def test_examples_are_valid(self) -> None:
        """Guards against an example that a newcomer cannot use."""
        for tenant in ("himal-thali", "mkaa-bora"):
            with self.subTest(tenant=tenant):
                settings = read_settings(EXAMPLES / tenant / "operator.ini")
                self.assertEqual(settings.tenant, tenant)
                self.assertEqual(len(settings.node_admin_addresses), 2)
