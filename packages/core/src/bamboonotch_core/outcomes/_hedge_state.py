"""State that decides when and whether hedged copies are sent, and the queue of those due.

A request enters the queue once, when it is first sent, and leaves it when its copy is due. Entries
of requests that were answered before are dropped then. The queue is divided into short intervals,
so an entry costs the same whatever the number of requests, and nothing scans all requests.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.outcomes._response_times import ResponseTimes
from bamboonotch_core.replace import replace_fields

__all__ = ["NO_HEDGES", "HedgeState", "forget_services", "next_due_ms", "schedule", "take_due"]

# A copy is due up to this much late. The response times that it is compared with are known to 5 %.
INTERVAL_MS = 10.0


@dataclass(frozen=True)
class HedgeState:
    """What this ingress knows for hedging.

    :param response_times: recent response times, by service and request class.
    :param tokens: copies that may be sent now, by service.
    :param short_until_ms: until when a service counts as short of room, by service, on the
        monotonic clock in milliseconds.
    :param due: ids of the requests whose copy is due in an interval, by the number of its end.
    :param next_interval: number of the first interval that has not been handled.
    """

    response_times: Map[tuple[str, str], ResponseTimes] = field(default_factory=Map)
    tokens: Map[str, float] = field(default_factory=Map)
    short_until_ms: Map[str, float] = field(default_factory=Map)
    due: Map[int, tuple[str, ...]] = field(default_factory=Map)
    next_interval: int = 0


NO_HEDGES = HedgeState()


def schedule(hedging: HedgeState, request_id: str, due_ms: float) -> HedgeState:
    """Enter a request in the queue.

    :param due_ms: when its copy is due, on the monotonic clock in milliseconds.
    """
    interval = math.ceil(due_ms / INTERVAL_MS)
    earliest = min(hedging.next_interval, interval) if hedging.due else interval
    ids = (*hedging.due.get(interval, ()), request_id)
    return replace_fields(hedging, due=hedging.due.set(interval, ids), next_interval=earliest)


def next_due_ms(hedging: HedgeState) -> float:
    """Return a time before which nothing in the queue is due, in milliseconds."""
    return hedging.next_interval * INTERVAL_MS if hedging.due else math.inf


def take_due(hedging: HedgeState, now_ms: float) -> tuple[HedgeState, list[str]]:
    """Take the requests out of the queue whose copy is due.

    :param now_ms: monotonic clock, in milliseconds.
    :returns: the state without them, and their ids.
    """
    last = math.floor(now_ms / INTERVAL_MS)
    if last - hedging.next_interval < len(hedging.due):
        intervals = [
            number for number in range(hedging.next_interval, last + 1) if number in hedging.due
        ]
    else:
        # The process was paused, or the next request is due much later.
        intervals = sorted(number for number in hedging.due if number <= last)
    due = hedging.due
    request_ids: list[str] = []
    for number in intervals:
        request_ids.extend(due[number])
        due = due.delete(number)
    return replace_fields(hedging, due=due, next_interval=last + 1), request_ids


def forget_services(hedging: HedgeState, services: Container[str]) -> HedgeState:
    """Remove what is known of services that no longer exist.

    :param services: the services that exist.
    :returns: the new state; the same object when all services exist.
    """
    response_times, tokens, short_until_ms = (
        hedging.response_times,
        hedging.tokens,
        hedging.short_until_ms,
    )
    for key in [key for key in response_times if key[0] not in services]:
        response_times = response_times.delete(key)
    for service in [name for name in tokens if name not in services]:
        tokens = tokens.delete(service)
    for service in [name for name in short_until_ms if name not in services]:
        short_until_ms = short_until_ms.delete(service)
    before = (hedging.response_times, hedging.tokens, hedging.short_until_ms)
    if (response_times, tokens, short_until_ms) == before:
        return hedging
    return replace_fields(
        hedging, response_times=response_times, tokens=tokens, short_until_ms=short_until_ms
    )
