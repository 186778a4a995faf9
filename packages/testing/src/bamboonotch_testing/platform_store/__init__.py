"""Stand-in of the platform's key-value service, with the faults that it can have."""

from bamboonotch_testing.platform_store._configuration import (
    CONFIGURED_HOST,
    CONFIGURED_SERVICES,
    make_configuration,
    make_rule,
)
from bamboonotch_testing.platform_store._data import Item, PlatformData, StoreCopy
from bamboonotch_testing.platform_store._server import Fault, PlatformStoreServer

__all__ = [
    "CONFIGURED_HOST",
    "CONFIGURED_SERVICES",
    "Fault",
    "Item",
    "PlatformData",
    "PlatformStoreServer",
    "StoreCopy",
    "make_configuration",
    "make_rule",
]
