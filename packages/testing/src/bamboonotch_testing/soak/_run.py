"""One run of the soak."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from bamboonotch_testing.fleet import WaitTimeoutError
from bamboonotch_testing.platform_node import PROGRAM
from bamboonotch_testing.soak._callers import Callers
from bamboonotch_testing.soak._checks import RECOVERY_S, Breach, find_breaches
from bamboonotch_testing.soak._faults import FaultRunner
from bamboonotch_testing.soak._plan import SoakPlan
from bamboonotch_testing.soak._record import OBSERVER, Record, Span
from bamboonotch_testing.soak._world import World, end_all

__all__ = ["SoakReport", "run_soak"]

START_TIMEOUT_S = 40.0
POLL_S = 0.05
# Load before the first fault, and after the time that the fleet has to recover.
CALM_S = 1.0
AFTER_S = 3.0
# With stalls of 1.4 to 2.4 s, 504s that nodes had sent in time were read 2 s late.
STALL_S = 0.2


@dataclass(frozen=True)
class SoakReport:
    """Result of a run.

    :param seed: its seed.
    :param breaches: broken promises.
    :param calls: calls that were sent.
    :param served: calls that were served.
    :param worst_stall_ms: longest time in which this process did not run, in milliseconds. Answers
        that come meanwhile seem late.
    """

    seed: int
    breaches: tuple[Breach, ...]
    calls: int
    served: int
    worst_stall_ms: float


async def run_soak(
    reactor: Any, plan: SoakPlan, directory: Path, program: tuple[str, ...] = PROGRAM
) -> SoakReport:
    """Run a plan and check every promise.

    :param reactor: Twisted reactor, on the running loop.
    :param plan: what happens.
    :param directory: where settings and logs of the nodes go.
    :param program: arguments of the interpreter that start a node.
    """
    async with World(reactor, plan.nodes, directory, program) as world:
        await _wait_until_started(world)
        callers = Callers(world, Random(plan.seed))
        load = asyncio.create_task(callers.run())
        watches = [asyncio.create_task(_watch_processes(world))]
        watches.append(asyncio.create_task(_watch_stalls(world.record)))
        await asyncio.sleep(CALM_S)
        await FaultRunner(world).run(plan.steps)
        world.record.healed_s = time.monotonic()
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        await end_all((load,))
        await callers.finish()
        await end_all(watches)
        record = world.collect()
    return _make_report(plan, record)


def _make_report(plan: SoakPlan, record: Record) -> SoakReport:
    served = sum(call.status == 200 for call in record.calls.values())
    breaches = tuple(find_breaches(record))
    return SoakReport(plan.seed, breaches, len(record.calls), served, record.worst_stall_ms)


async def _wait_until_started(world: World) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while any(place.is_starting() for place in world.places):
        if time.monotonic() > deadline_s:
            raise WaitTimeoutError(f"nodes have not started within {START_TIMEOUT_S:g} s")
        await asyncio.sleep(POLL_S)


async def _watch_processes(world: World) -> None:
    """Note processes that end while nothing asks them to."""
    noted: set[tuple[int, int]] = set()
    while True:
        now_s = time.monotonic()
        for place in world.places:
            life = (place.number, place.lives)
            ended = not place.node.is_running and life not in noted
            if ended and world.record.is_calm(place.number, now_s - POLL_S, now_s):
                noted.add(life)
                world.record.ends.append(f"n{place.number} ended by itself, life {place.lives}")
        await asyncio.sleep(POLL_S)


async def _watch_stalls(record: Record) -> None:
    """Note when this process, and so perhaps every other, was kept from running."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + POLL_S
        await asyncio.sleep(POLL_S)
        stall_s = loop.time() - due_s
        record.worst_stall_ms = max(record.worst_stall_ms, stall_s * 1000)
        if stall_s > STALL_S:
            record.spans.append(Span(OBSERVER, "stall", False, due_s, due_s + stall_s))
