"""Service times of the stand-in backend server, constant or drawn from a distribution."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["ServiceTimes", "parse_service_time"]

Draw = Callable[[random.Random], float]


def _draw(kind: str, numbers: list[float]) -> Draw:
    if kind == "constant" and len(numbers) == 1:
        return lambda source: numbers[0]
    if kind == "exponential" and len(numbers) == 1 and numbers[0] > 0:
        return lambda source: source.expovariate(1 / numbers[0])
    if kind == "uniform" and len(numbers) == 2:
        return lambda source: source.uniform(numbers[0], numbers[1])
    raise ValueError(
        f"service time {kind!r} with {len(numbers)} numbers is not known; allowed are a number, "
        "exponential:MEAN and uniform:LOW:HIGH, in milliseconds"
    )


@dataclass(frozen=True)
class _Rule:
    prefix: str
    draw: Draw


def parse_service_time(text: str) -> _Rule:
    """Parse ``[PATH_PREFIX=]TIME``, where the time is ``5``, ``exponential:5`` or ``uniform:1:9``.

    :param text: the option's value; times are in milliseconds.
    :raises ValueError: when it is malformed.
    """
    prefix, separator, time = text.rpartition("=")
    kind, *rest = time.split(":")
    if not rest:
        kind, rest = "constant", [kind]
    return _Rule(prefix if separator else "/", _draw(kind, [float(number) for number in rest]))


class ServiceTimes:
    """Draws the service time of each request; the longest matching prefix decides.

    :param rules: what :func:`parse_service_time` returned.
    :param seed: seed of the draws.
    """

    def __init__(self, rules: list[_Rule], seed: int) -> None:
        self._rules = sorted(rules, key=lambda rule: len(rule.prefix), reverse=True)
        self._random = random.Random(seed)

    def draw_ms(self, path: str) -> float:
        """Return the service time of a request in milliseconds.

        :param path: the request path.
        """
        for rule in self._rules:
            if path.startswith(rule.prefix):
                return max(0.0, rule.draw(self._random))
        return 0.0
