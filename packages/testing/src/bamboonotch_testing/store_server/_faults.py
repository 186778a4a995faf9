"""Faults that tests set on the stand-in."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

__all__ = ["Faults", "RefusalMode", "change_faults", "describe_faults"]


class RefusalMode(Enum):
    """How calls are refused."""

    OFF = "off"
    ERROR = "error"
    ABORT = "abort"


@dataclass(frozen=True)
class Faults:
    """The faults in force.

    :param refuse: ``error`` answers every call and waiting watch with status 500, ``abort``
        closes its connection; no call takes effect.
    :param delay_ms: calls take effect at once and are answered this much later, in milliseconds.
    :param drop_prefix: prefix of the full keys whose writes get no answer.
    :param drop_count: number of such writes still to come; each takes effect, and its connection
        is closed in place of an answer.
    :param hold: calls take effect, and their answers are held until this is false again.
    """

    refuse: RefusalMode = RefusalMode.OFF
    delay_ms: int = 0
    drop_prefix: str = ""
    drop_count: int = 0
    hold: bool = False

    def drops(self, key: str) -> bool:
        """Tell whether the answer to a write of a key is to be dropped.

        :param key: the full key.
        """
        return self.drop_count > 0 and key.startswith(self.drop_prefix)


def describe_faults(faults: Faults) -> dict[str, Any]:
    """Return the faults as a JSON object.

    :param faults: the faults.
    """
    return {**vars(faults), "refuse": faults.refuse.value}


def change_faults(faults: Faults, changes: Mapping[str, Any]) -> Faults:
    """Return the faults with fields of a JSON object changed.

    :param faults: the faults in force.
    :param changes: fields to change; ``clear`` sets all back first.
    :raises ValueError: when a field is not known or its value is not allowed.
    """
    values = dict(changes)
    current = Faults() if values.pop("clear", False) else faults
    if "refuse" in values:
        values["refuse"] = RefusalMode(values["refuse"])
    for name, value in values.items():
        expected = type(getattr(current, name, None))
        if expected is type(None) or type(value) is not expected:
            raise ValueError(f"fault {name!r} is not known or has a value of the wrong type")
    return replace(current, **values)
