"""A backend that leaves just after a restart of its node gets requests again."""

from __future__ import annotations

import asyncio
import os
import signal
import time

from standins.case import Case, CannotRun, main
from standins.http import exchange
from standins.node import free_ports
from standins.proxy import DelayProxy
from standins.store import configuration, rule

# Bounds of the site.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 6.0
LATE_S = 2.5  # delay of one heartbeat
SERVES_ON_S = 9.0  # how long the backend goes on serving after the ack


async def wait_until_open(address: str) -> None:
    """Wait until a process accepts connections at an address."""
    host, _, port = address.rpartition(":")
    ends_s = time.monotonic() + 20
    while time.monotonic() < ends_s:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.01)
        else:
            writer.close()
            return
    raise CannotRun(f"nothing listens at {address}")


async def play(case: Case) -> bool:
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
    await asyncio.sleep(STABLE_WINDOW_S)

    proxy = DelayProxy(leaving_node.control, LATE_S)
    ip = leaving_node.control.rpartition(":")[0]
    proxy_address = f"{ip}:{free_ports(ip, 1)[0]}"
    await proxy.listen(proxy_address)
    late = None
    leaving.stop_beating()
    if case.trouble:
        leaving_node.send(signal.SIGTERM)
        case.note("node of i-leaves gets SIGTERM")
        assert leaving_node.process is not None
        await asyncio.wait_for(asyncio.to_thread(leaving_node.process.wait), GRACE_S)
        leaving_node.start()
        case.note("node of i-leaves is started again")
    started_s = time.monotonic()
    if case.trouble:
        await wait_until_open(leaving_node.control)
        # The last heartbeat before the departure takes some seconds.
        late = asyncio.create_task(leaving.beat(proxy_address))
        await asyncio.sleep(0.05)
    acknowledged = False
    while not acknowledged and time.monotonic() < started_s + 10:
        answer = await exchange(
            leaving_node.control,
            f"DELETE /v1/instances/{leaving.instance} HTTP/1.1",
            {"Host": leaving_node.control},
            b"",
            1.0,
        )
        acknowledged = answer is not None and answer.status // 100 == 2
        await asyncio.sleep(0 if acknowledged else 0.02)
    if not acknowledged:
        raise CannotRun("the departure was not acknowledged")
    acknowledged_s = time.monotonic()
    case.note("departure of i-leaves is acknowledged by its node")
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
