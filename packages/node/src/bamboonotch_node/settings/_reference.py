"""What each setting may hold."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, get_type_hints

from bamboonotch_core.settings import (
    AccessSettings,
    AdmissionSettings,
    DistributionSettings,
    IdentitySettings,
    MembershipSettings,
    QuotaSettings,
    RequestSettings,
    StoreSettings,
)

__all__ = ["SECTIONS", "SettingRule", "describe_settings", "section_rules"]

SECTIONS: dict[str, type] = {
    "node": IdentitySettings,
    "store": StoreSettings,
    "distribution": DistributionSettings,
    "membership": MembershipSettings,
    "admission": AdmissionSettings,
    "requests": RequestSettings,
    "access": AccessSettings,
    "quotas": QuotaSettings,
}

_UNITS = {
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_characters": "characters",
    "_mbps": "megabits per second",
    "_mb": "megabytes",
}
_DEFAULT_RANGE = {
    "_ms": (1, 86_400_000),
    "_bytes": (1024, 1024 * 1024 * 1024),
    "_characters": (1, 4096),
    "_mbps": (0, 1_000_000),
    "_mb": (100, 1_000_000),
    "": (1, 1_000_000),
}
_RANGES: dict[str, tuple[float, float]] = {
    "node.max_site_connections": (4, 10_000),
    "store.timeout_ms": (10, 60_000),
    "store.watch_ms": (1000, 600_000),
    "store.lease_ms": (10_000, 86_400_000),
    "store.slots_per_data_centre": (1, 16),
    "distribution.max_delta_versions": (1, 10_000),
    "distribution.witness_count": (1, 15),
    "membership.heartbeat_interval_ms": (100, 60_000),
    "membership.silent_after_ms": (200, 120_000),
    "requests.caller_memory_bytes": (0, 1024 * 1024 * 1024),
    "requests.max_caller_connections": (0, 1_000_000),
    "requests.retry_budget_ratio": (0.0, 1.0),
    "requests.retry_budget_initial": (0.0, 5.0),
    "requests.overload_retry_share": (0.0, 1.0),
    "requests.fleet_retry_ratio": (0.0, 1.0),
    "requests.fleet_retry_slack": (0.0, 1_000_000.0),
    "requests.hedge_share": (0.0, 1.0),
    "requests.kill_after_ms": (0, 86_400_000),
    "requests.shutdown_serve_ms": (0, 86_400_000),
    "access.revocation_ms": (0, 86_400_000),
    "quotas.window_ms": (100, 3_600_000),
    "quotas.overage": (0.0, 10.0),
    "quotas.slack": (0.0, 1_000_000.0),
    "quotas.shards": (1, 64),
    "quotas.lease_ms": (1000, 60_000),
    "quotas.validity_ms": (50, 60_000),
    "quotas.wait_ms": (1, 60_000),
    "admission.latency_factor": (1.0, 100.0),
}


@dataclass(frozen=True)
class SettingRule:
    """What one key of the settings file may hold.

    :param section: section of the file.
    :param key: the key.
    :param kind: type of the value.
    :param unit: unit of a number, or empty.
    :param minimum: smallest number allowed.
    :param maximum: largest number allowed.
    :param default: value when the key is absent; ``dataclasses.MISSING`` when it is required.
    """

    section: str
    key: str
    kind: Any
    unit: str
    minimum: float
    maximum: float
    default: Any

    @property
    def required(self) -> bool:
        """Whether the key must be present."""
        return self.default is dataclasses.MISSING

    @property
    def allowed(self) -> str:
        """What is allowed, in words."""
        if isinstance(self.kind, type) and issubclass(self.kind, Enum):
            return "one of " + ", ".join(str(item.value) for item in self.kind)
        if self.kind in (int, float):
            number = "an integer" if self.kind is int else "a number"
            unit = f" of {self.unit}" if self.unit else ""
            return f"{number}{unit} from {self.minimum:g} to {self.maximum:g}"
        if "address" in self.key:
            return "addresses as ip:port, separated by commas" if self.is_list else "ip:port"
        return "1 to 64 characters of a-z, 0-9, . and -"

    @property
    def is_list(self) -> bool:
        """Whether the value is a list separated by commas."""
        return self.kind not in (str, int, float) and not isinstance(self.kind, type)


def _make_rule(section: str, field: dataclasses.Field[Any], kind: Any) -> SettingRule:
    suffix = next((suffix for suffix in _UNITS if field.name.endswith(suffix)), "")
    minimum, maximum = _RANGES.get(f"{section}.{field.name}", _DEFAULT_RANGE[suffix])
    return SettingRule(
        section, field.name, kind, _UNITS.get(suffix, ""), minimum, maximum, field.default
    )


def section_rules(section: str) -> dict[str, SettingRule]:
    """Return the rules of one section by key.

    :param section: name of the section.
    """
    settings_class = SECTIONS[section]
    hints = get_type_hints(settings_class)
    return {
        field.name: _make_rule(section, field, hints[field.name])
        for field in dataclasses.fields(settings_class)
    }


def describe_settings() -> Iterator[SettingRule]:
    """Yield the rule of every key of every section."""
    for section in SECTIONS:
        yield from section_rules(section).values()
