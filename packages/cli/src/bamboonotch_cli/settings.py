"""Connection settings of the command, from an INI file and from options."""

from __future__ import annotations

import configparser
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from bamboonotch_cli.errors import CommandError, ExitStatus
from bamboonotch_core.errors import SettingsError
from bamboonotch_core.settings import StoreSettings

__all__ = ["OperatorSettings", "check_address", "override", "read_settings"]

SECTION = "operator"
DEFAULT_TIMEOUT_MS = 2000
MIN_TIMEOUT_MS = 10
MAX_TIMEOUT_MS = 60_000
MAX_PORT = 65_535
ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}|\[[0-9A-Fa-f:.]{2,45}\]):(\d{1,5})\Z")
TENANT_PATTERN = re.compile(r"[a-z0-9-]{1,64}\Z")


@dataclass(frozen=True)
class OperatorSettings:
    """Section ``[operator]``: where the store and the nodes are.

    :param store_address: ``ip:port`` of the platform's key-value service, or empty.
    :param store_region: region that the service is in, or empty.
    :param tenant: the customer, or empty.
    :param node_admin_addresses: admin ``ip:port`` of one or more nodes.
    :param timeout_ms: longest wait for one answer, in milliseconds.
    """

    store_address: str = ""
    store_region: str = ""
    tenant: str = ""
    node_admin_addresses: tuple[str, ...] = ()
    timeout_ms: int = DEFAULT_TIMEOUT_MS

    def store_settings(self) -> StoreSettings:
        """Return the settings of the store client.

        :raises CommandError: when the store's address or the customer is not given.
        """
        self._require("store_address", self.store_address)
        self._require("tenant", self.tenant)
        return StoreSettings(self.store_address, self.store_region, timeout_ms=self.timeout_ms)

    def admin_addresses(self) -> tuple[str, ...]:
        """Return the nodes' admin addresses.

        :raises CommandError: when none is given.
        """
        self._require("node_admin_addresses", self.node_admin_addresses)
        return self.node_admin_addresses

    def _require(self, key: str, value: object) -> None:
        if value:
            return
        option = key.removesuffix("es") if key == "node_admin_addresses" else key
        raise CommandError(
            ExitStatus.USAGE,
            f"{key} is not given",
            f"give --{option.replace('_', '-')}, or the key {key} in section [{SECTION}] of the "
            "file named by --settings",
        )


def check_address(text: str) -> str:
    """Check an address and return it.

    :param text: ``ip:port``.
    :raises ValueError: when it is none.
    """
    match = ADDRESS_PATTERN.match(text)
    if match is None or not 1 <= int(match[2]) <= MAX_PORT:
        raise ValueError("must be IP:PORT with a port from 1 to 65535")
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(check_address(item.strip()) for item in text.split(",") if item.strip())


def _parse_tenant(text: str) -> str:
    if not TENANT_PATTERN.match(text):
        raise ValueError("must be 1 to 64 characters of a-z, 0-9 and -")
    return text


def _parse_timeout(text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,6}", text) or not MIN_TIMEOUT_MS <= int(text) <= MAX_TIMEOUT_MS:
        raise ValueError(f"must be an integer from {MIN_TIMEOUT_MS} to {MAX_TIMEOUT_MS}")
    return int(text)


_PARSERS: dict[str, Callable[[str], Any]] = {
    "store_address": check_address,
    "store_region": str,
    "tenant": _parse_tenant,
    "node_admin_addresses": _parse_addresses,
    "timeout_ms": _parse_timeout,
}


def read_settings(path: Path) -> OperatorSettings:
    """Read a settings file.

    :param path: INI file with section ``[operator]``.
    :raises SettingsError: naming file, section, key, value and what is allowed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f"{path}: {error}") from error
    unknown = [name for name in parser.sections() if name != SECTION]
    if unknown or not parser.has_section(SECTION):
        found = ", ".join(f"[{name}]" for name in parser.sections()) or "none"
        raise SettingsError(f"{path}: must have only section [{SECTION}], has {found}")
    values: dict[str, Any] = {}
    for key, text in parser.items(SECTION):
        values[key] = _parse_value(path, key, text)
    return OperatorSettings(**values)


def _parse_value(path: Path, key: str, text: str) -> Any:
    place = f"{path}: section [{SECTION}], key {key}"
    parse = _PARSERS.get(key)
    if parse is None:
        raise SettingsError(f"{place}: is not a known key; known are {', '.join(_PARSERS)}")
    try:
        return parse(text)
    except ValueError as error:
        raise SettingsError(f"{place}, value {text!r}: {error}") from error


def override(settings: OperatorSettings, options: dict[str, Any]) -> OperatorSettings:
    """Return settings with the options that were given.

    :param settings: settings of the file.
    :param options: values by field; empty ones are not given.
    :raises ValueError: naming the option and what is allowed.
    """
    given: dict[str, Any] = {}
    for key, value in options.items():
        if not value:
            continue
        text = ",".join(value) if isinstance(value, tuple) else str(value)
        try:
            given[key] = _PARSERS[key](text)
        except ValueError as error:
            raise ValueError(f"{key.replace('_', '-')} {text!r}: {error}") from error
    return replace(settings, **given)
