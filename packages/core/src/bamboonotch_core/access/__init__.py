"""Which workspace a request belongs to, and whether its key may be used."""

from bamboonotch_core.access._decision import (
    CLOCK_MARGIN_MS,
    AccessGranted,
    AccessReason,
    AccessRefused,
    decide_access,
)
from bamboonotch_core.access._knowledge import UNCONFIRMED, ConfigurationKnowledge

__all__ = [
    "CLOCK_MARGIN_MS",
    "UNCONFIRMED",
    "AccessGranted",
    "AccessReason",
    "AccessRefused",
    "ConfigurationKnowledge",
    "decide_access",
]
