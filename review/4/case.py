"""A backend that has left gets requests again after a restart of its node."""

from __future__ import annotations

import asyncio
import os
import time

from standins.case import Case, CannotRun, main
from standins.node import free_ports
from standins.proxy import DelayProxy
from standins.store import configuration, rule

# Bounds of the site.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
STALE_S = 5.5  # age of serializable reads
LATE_S = 4.5  # delay of one heartbeat
KILL_AFTER_S = 0.3  # from the ack of the departure
RESTART_AFTER_S = 0.5
SERVES_ON_S = 11.0  # how long the backend goes on serving after the ack


async def play(case: Case) -> bool:
    case.store.stale_s = STALE_S
    case.store.put(
        "op/config", configuration("r3", [rule("r-a", "safe", "/menu/", "menu", 1.2)], ["menu"])
    )
    await case.store.listen(case.store_address)
    ingress = case.add_node("sidecar-ktm-a-1", "orders")
    staying_node = case.add_node("sidecar-ktm-a-2", "menu")
    leaving_node = case.add_node("sidecar-ktm-a-3", "menu")
    for node in case.nodes:
        node.start()
    staying = case.add_backend("i-stays", "menu", staying_node, 0.02)
    leaving = case.add_backend("i-leaves", "menu", leaving_node, 0.02)
    await staying.start()
    await leaving.start()
    ends_s = time.monotonic() + 30
    while not (leaving.runs and staying.runs):
        if time.monotonic() > ends_s:
            raise CannotRun("a backend gets no requests")
        await case.call(ingress, "/menu/1")
        await asyncio.sleep(0.05)
    await asyncio.sleep(STABLE_WINDOW_S + STALE_S)

    # The last heartbeat before the departure takes some seconds.
    proxy = DelayProxy(leaving_node.control, LATE_S)
    ip = leaving_node.control.rpartition(":")[0]
    proxy_address = f"{ip}:{free_ports(ip, 1)[0]}"
    await proxy.listen(proxy_address)
    leaving.stop_beating()
    late = None
    if case.trouble:
        late = asyncio.create_task(leaving.beat(proxy_address))
        await asyncio.sleep(0.05)
    if not await leaving.leave():
        raise CannotRun("the departure was not acknowledged")
    acknowledged_s = time.monotonic()
    case.note("departure of i-leaves is acknowledged by its node")
    started_s = acknowledged_s
    if case.trouble:
        await asyncio.sleep(KILL_AFTER_S)
        leaving_node.kill()
        case.note("node of i-leaves is killed")
        await asyncio.sleep(RESTART_AFTER_S)
        leaving_node.start()
        started_s = time.monotonic()
        case.note("node of i-leaves is started again")
    while time.monotonic() < acknowledged_s + SERVES_ON_S:
        if proxy.delivered.is_set():
            proxy.delivered.clear()
            case.note(f"the late heartbeat has arrived: {proxy.answer[:15]!r}")
        await case.call(ingress, "/menu/1")
        await asyncio.sleep(0.03)
    if late is not None:
        await late
    in_touch_s = started_s + STABLE_WINDOW_S if case.trouble else acknowledged_s
    late_runs = [
        run for run in leaving.runs if run.at_s > acknowledged_s + DRAIN_S and run.at_s > in_touch_s
    ]
    for run in late_runs:
        case.note(f"too late: {run.attempt_id}, {run.at_s - acknowledged_s:.3f} s after the ack")
    return not late_runs


main(os.path.dirname(os.path.abspath(__file__)), play)
