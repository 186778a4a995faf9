"""Open-loop load: calls start at planned times, whether or not earlier ones have ended."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from bamboonotch_testing.caller._call import Call, CallerClient, CallRecord
from bamboonotch_testing.caller._keys import make_key

__all__ = ["CallClass", "LoadPlan", "percentile", "run_load", "summarize"]


@dataclass(frozen=True)
class CallClass:
    """A kind of call.

    :param name: name for the statistics.
    :param weight: share of the calls, relative to the other weights.
    :param method: HTTP method.
    :param path: path with query.
    :param keyed: whether each call has an idempotency key.
    :param timeout_ms: timeout of each call, or 0 for none.
    :param body_bytes: length of the request body.
    """

    name: str
    weight: float = 1.0
    method: str = "GET"
    path: str = "/"
    keyed: bool = False
    timeout_ms: int = 0
    body_bytes: int = 0


@dataclass(frozen=True)
class LoadPlan:
    """How much to send.

    :param classes: kinds of calls.
    :param rate_per_s: mean calls a second; arrivals are a Poisson process.
    :param duration_s: length, in seconds.
    :param seed: seed of arrivals, classes, ids and keys.
    :param max_in_flight: calls in progress at most; further ones are not sent, but recorded.
    :param prefix: start of each request id.
    """

    classes: tuple[CallClass, ...]
    rate_per_s: float
    duration_s: float
    seed: int = 1
    max_in_flight: int = 1000
    prefix: str = "load"


def _make_call(kind: CallClass, request_id: str, source: random.Random) -> Call:
    key = make_key(int(time.time() * 1000), source) if kind.keyed else ""
    return Call(
        request_class=kind.name,
        method=kind.method,
        path=kind.path,
        request_id=request_id,
        idempotency_key=key,
        timeout_ms=kind.timeout_ms,
        body=b"x" * kind.body_bytes,
    )


def _unsent(call: Call) -> CallRecord:
    return CallRecord(call, 0, "", "", 0.0, False, False, 0, "not-sent")


async def run_load(
    client: CallerClient, plan: LoadPlan, on_record: Callable[[CallRecord], None] | None = None
) -> list[CallRecord]:
    """Send the calls of a plan and return what became of each, in order of completion.

    :param client: sends the calls.
    :param plan: what to send.
    :param on_record: called with each record as it comes.
    """
    source = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.classes]
    records: list[CallRecord] = []
    tasks: set[asyncio.Task[None]] = set()

    def keep(record: CallRecord) -> None:
        records.append(record)
        if on_record is not None:
            on_record(record)

    async def send(call: Call, planned_s: float) -> None:
        keep(await client.send(call, planned_s))

    start_s = time.monotonic()
    planned_s = start_s
    number = 0
    while True:
        planned_s += source.expovariate(plan.rate_per_s)
        if planned_s > start_s + plan.duration_s:
            break
        await asyncio.sleep(max(0.0, planned_s - time.monotonic()))
        number += 1
        kind = source.choices(plan.classes, weights)[0]
        call = _make_call(kind, f"{plan.prefix}-{plan.seed}-{number}", source)
        if len(tasks) >= plan.max_in_flight:
            keep(_unsent(call))
            continue
        # The sleep ends late by up to a timer step, which is not the server's doing.
        task = asyncio.get_running_loop().create_task(send(call, time.monotonic()))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(tasks)
    return records


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by the nearest-rank method, or 0 without values.

    :param values: the values.
    :param share: for example 0.99.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-int(len(ordered) * share * 1e6) // 10**6) - 1))]


def summarize(records: list[CallRecord]) -> dict[str, dict[str, float]]:
    """Return counts and latencies for each class.

    :param records: what became of the calls.
    """
    summary: dict[str, dict[str, float]] = {}
    for name in sorted({record.call.request_class for record in records}):
        mine = [record for record in records if record.call.request_class == name]
        answered = [record.latency_ms for record in mine if record.complete]
        mixed = [r for r in mine if r.status == 200 and r.complete and not r.own_answer]
        summary[name] = {
            "calls": len(mine),
            "complete": len(answered),
            "done": sum(record.outcome == "done" for record in mine),
            "not_run": sum(record.outcome == "not-run" for record in mine),
            "unknown": sum(record.outcome == "unknown" for record in mine),
            "broken": sum(not record.complete for record in mine),
            "mixed_up": len(mixed),
            "median_ms": percentile(answered, 0.5),
            "p99_ms": percentile(answered, 0.99),
            "worst_ms": max(answered, default=0.0),
        }
    return summary
