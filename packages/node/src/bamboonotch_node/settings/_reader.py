"""Reads a settings file into settings objects."""

from __future__ import annotations

import configparser
import difflib
import ipaddress
import os
import re
from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any

from bamboonotch_core.errors import SettingsError
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.settings._reference import SECTIONS, SettingRule, section_rules

__all__ = ["read_settings"]

NAME_PATTERN = re.compile(r"[a-z0-9.-]{1,64}\Z")
MAX_PORT = 65_535
_TRANSLATION_SECTION = "address_translation"
MILLISECONDS = "milliseconds"
# A time may also be given in seconds, with fractions.
SECONDS_SUFFIX = " s"
# A shorter bound is reached between two confirmations of the version, and refuses every key.
MIN_REVOCATION_MS = 1000
VARIABLE_PREFIX = "bamboonotch_"
_SECTION_FIELDS = {"node": "identity"}


def read_settings(path: Path, environment: Mapping[str, str] = os.environ) -> NodeSettings:
    """Read and check a settings file.

    :param path: path of an INI file.
    :param environment: variables named ``BAMBOONOTCH_<SECTION>_<KEY>`` go before the file.
    :raises SettingsError: when the file cannot be read, or holds an unknown section or key or a
        value that is not allowed.
    """
    parser = _parse_file(path)
    _check_sections(path, parser)
    sections = {name: _read_section(path, parser, name, environment) for name in SECTIONS}
    translation = _read_translation(path, parser)
    _check_relations(path, sections)
    fields = {_SECTION_FIELDS.get(name, name): value for name, value in sections.items()}
    return NodeSettings(address_translation=translation, **fields)


def _parse_file(path: Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",), strict=True)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        detail = " ".join(str(error).split())
        raise SettingsError(f"{path}: not an INI file: {detail}") from error
    return parser


def _suggest(name: str, known: list[str]) -> str:
    close = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else f"; allowed: {', '.join(known)}"


def _check_sections(path: Path, parser: configparser.ConfigParser) -> None:
    known = [*SECTIONS, _TRANSLATION_SECTION]
    for section in parser.sections():
        if section not in known:
            raise SettingsError(f"{path}: unknown section [{section}]{_suggest(section, known)}")


def _read_section(
    path: Path, parser: configparser.ConfigParser, section: str, environment: Mapping[str, str]
) -> Any:
    rules = section_rules(section)
    given = dict(parser[section]) if parser.has_section(section) else {}
    for key, value in given.items():
        if key not in rules:
            hint = _suggest(key, list(rules))
            raise SettingsError(f"{path}: [{section}] {key} = {value}: unknown key{hint}")
    given |= _read_variables(rules, environment)
    # A template leaves a value empty where the installation has none; the default holds then.
    given = {key: value for key, value in given.items() if not _is_absent(rules[key], value)}
    values = {key: _parse_value(path, rules[key], value) for key, value in given.items()}
    for rule in rules.values():
        if rule.required and rule.key not in values:
            raise SettingsError(
                f"{path}: [{section}] {rule.key} is missing; must be {rule.allowed}"
            )
    return SECTIONS[section](**values)


def _read_variables(
    rules: Mapping[str, SettingRule], environment: Mapping[str, str]
) -> dict[str, str]:
    """Return the values of a section that the environment gives."""
    names = {f"{VARIABLE_PREFIX}{rule.section}_{key}".upper(): key for key, rule in rules.items()}
    return {
        key: environment[name]
        for name, key in names.items()
        if name in environment and not _is_absent(rules[key], environment[name])
    }


def _parse_value(path: Path, rule: SettingRule, text: str) -> Any:
    try:
        return _convert(rule, text.strip())
    except ValueError as error:
        raise SettingsError(
            f"{path}: [{rule.section}] {rule.key} = {text}: must be {rule.allowed}"
        ) from error


def _convert(rule: SettingRule, text: str) -> Any:
    if rule.is_list:
        return tuple(_parse_address(item.strip()) for item in text.split(",") if item.strip())
    if issubclass(rule.kind, Enum):
        return rule.kind(text)
    if _is_number(rule):
        return _parse_number(rule, text)
    if "address" in rule.key:
        return _parse_address(text) if text or rule.required else ""
    if not NAME_PATTERN.match(text):
        raise ValueError(text)
    return text


def _is_absent(rule: SettingRule, text: str) -> bool:
    """Tell whether the value of a number is empty, or a unit alone."""
    return _is_number(rule) and text.strip() in ("", SECONDS_SUFFIX.strip())


def _is_number(rule: SettingRule) -> bool:
    return rule.kind in (int, float)


def _parse_number(rule: SettingRule, text: str) -> int | float:
    value: int | float
    if rule.unit == MILLISECONDS and text.endswith(SECONDS_SUFFIX):
        value = round(float(text.removesuffix(SECONDS_SUFFIX)) * 1000)
    else:
        value = int(text) if rule.kind is int else float(text)
    if not rule.minimum <= value <= rule.maximum:
        raise ValueError(text)
    return value


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    ipaddress.ip_address(host.strip("[]"))
    return text


def _read_translation(path: Path, parser: configparser.ConfigParser) -> tuple[tuple[str, str], ...]:
    if not parser.has_section(_TRANSLATION_SECTION):
        return ()
    pairs = []
    for announced, dialled in parser[_TRANSLATION_SECTION].items():
        try:
            pairs.append((_parse_address(announced), _parse_address(dialled)))
        except ValueError as error:
            raise SettingsError(
                f"{path}: [{_TRANSLATION_SECTION}] {announced} = {dialled}: "
                "must be ip:port = ip:port"
            ) from error
    return tuple(pairs)


def _check_relations(path: Path, sections: dict[str, Any]) -> None:
    membership = sections["membership"]
    if membership.silent_after_ms < 2 * membership.heartbeat_interval_ms:
        raise SettingsError(
            f"{path}: [membership] silent_after_ms = {membership.silent_after_ms}: must be at "
            f"least twice heartbeat_interval_ms ({membership.heartbeat_interval_ms})"
        )
    if membership.backoff_max_ms < membership.backoff_min_ms:
        raise SettingsError(
            f"{path}: [membership] backoff_max_ms = {membership.backoff_max_ms}: must be at least "
            f"backoff_min_ms ({membership.backoff_min_ms})"
        )
    access = sections["access"]
    if 0 < access.revocation_ms < MIN_REVOCATION_MS:
        raise SettingsError(
            f"{path}: [access] revocation_ms = {access.revocation_ms}: must be 0 or at least "
            f"{MIN_REVOCATION_MS}"
        )
