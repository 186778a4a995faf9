"""How current the configuration of a node is known to be."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["UNCONFIRMED", "ConfigurationKnowledge"]


@dataclass(frozen=True)
class ConfigurationKnowledge:
    """What a node knows of how current its running configuration is.

    :param confirmed_ms: time as of which the running version was the newest, on the monotonic clock
        in milliseconds; ``None`` if that is not known.
    :param newer_exists: whether a newer version is known to exist.
    """

    confirmed_ms: float | None = None
    newer_exists: bool = False

    def age_ms(self, now_ms: float) -> float:
        """Return how long ago the running version was the newest, in milliseconds.

        :param now_ms: monotonic clock, in milliseconds.
        :returns: the age; infinity if the version was never confirmed.
        """
        return math.inf if self.confirmed_ms is None else max(0.0, now_ms - self.confirmed_ms)


UNCONFIRMED = ConfigurationKnowledge()
"""The knowledge of a node whose version was never confirmed."""
