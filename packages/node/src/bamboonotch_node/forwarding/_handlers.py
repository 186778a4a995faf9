"""What carries out effects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboonotch_core.effects import Effect

__all__ = ["EffectHandlers", "merge_handlers"]

# A map by exact type. Through ``singledispatchmethod`` each effect cost three calls, each of 33
# microseconds under the profiler.
EffectHandlers = dict[type[Effect], Callable[[Any], None]]


def merge_handlers(*parts: EffectHandlers) -> dict[type[Effect], tuple[Callable[[Any], None], ...]]:
    """Return all handlers of each type of effect, in the order of the parts.

    :param parts: handlers of the parts of a node; two parts may handle the same type.
    """
    merged: dict[type[Effect], tuple[Callable[[Any], None], ...]] = {}
    for handlers in parts:
        for kind, handler in handlers.items():
            merged[kind] = (*merged.get(kind, ()), handler)
    return merged
