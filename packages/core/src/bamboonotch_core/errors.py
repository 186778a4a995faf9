"""Exceptions raised by bamboonotch."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "BamboonotchError",
    "ConfigurationError",
    "ConfigurationFault",
    "LogEntryError",
    "MessageError",
    "PatchError",
    "RateLimitError",
    "ServerLoadError",
    "SettingsError",
    "StoreError",
    "StoreUnavailableError",
    "StoreValueError",
]


class BamboonotchError(Exception):
    """Base class of every error that bamboonotch raises on purpose."""


@dataclass(frozen=True)
class ConfigurationFault:
    """One fault of a configuration document.

    :param pointer: JSON pointer (RFC 6901) to the faulty value.
    :param message: what is wrong and what is allowed.
    """

    pointer: str
    message: str

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: {self.message}"


class ConfigurationError(BamboonotchError):
    """A configuration document does not pass validation."""

    def __init__(self, faults: tuple[ConfigurationFault, ...]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class PatchError(BamboonotchError):
    """A patch is malformed or does not apply to its base version."""


class LogEntryError(BamboonotchError):
    """A log entry is malformed or does not match its digest."""


class MessageError(BamboonotchError):
    """A message from another node is malformed or exceeds a limit."""


class RateLimitError(BamboonotchError):
    """A backend server named a rate limit that is malformed."""


class SettingsError(BamboonotchError):
    """A settings file holds an unknown key or a value that is not allowed."""


class StoreError(BamboonotchError):
    """A call to the platform's key-value service failed."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may or may not have taken effect."""


class StoreValueError(StoreError):
    """A value in the store is malformed."""


class ServerLoadError(BamboonotchError):
    """A response states the load of its backend server in a form that cannot be read."""
