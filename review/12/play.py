"""A backend that restarted under its id and left gets work again after a late heartbeat."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from mesh import (  # noqa: E402
    BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, configuration, rule, run_case,
)

# How late the first heartbeat of the new boot arrives; heartbeats come every 1.5 s.
LATE_S = 2.5
LEAVES_AFTER_S = 1.0
SERVES_ON_S = 9.0


async def play(mesh) -> int:
    record = mesh.record
    await mesh.start_store()
    mesh.store.put("op/config", configuration(
        "r3", ["huvo11a"], [rule("r-menu", "/lepu270/", "huvo11a")]))
    for zone, region in (("ktm-a", "bagmati"), ("ktm-b", "bagmati"), ("pkr-a", "gandaki")):
        mesh.add_node("huvo11a", region, zone)
    for node in mesh.nodes:
        node.start()
    for number, node in enumerate(mesh.nodes):
        await mesh.add_backend(node).boot(f"i-7f3a91c{number}")
    if not await mesh.wait_served(["/lepu270/0"]):
        return NOT_RUN
    leaving = mesh.backends[0]

    # It crashes, and starts again under the id that it had.
    await leaving.end()
    await asyncio.sleep(1.0)
    await leaving.boot(leaving.instance_id, beats=False)
    first = leaving.make_beat()

    async def first_heartbeat() -> None:
        if TROUBLE:
            await asyncio.sleep(LATE_S)
        await leaving.send_beat(first, "first heartbeat")

    arriving = asyncio.create_task(first_heartbeat())
    await asyncio.sleep(LEAVES_AFTER_S)
    # It never reports draining: it sends DELETE first, serves on, and exits.
    if await leaving.leave() != 200:
        return NOT_RUN
    acked = time.monotonic()
    record.note("the departure is acknowledged")
    until = acked + SERVES_ON_S
    while time.monotonic() < until:
        await asyncio.gather(*(mesh.call(node, "/lepu270/1") for node in mesh.nodes))
        await asyncio.sleep(0.05)
    await arriving
    late = [round(at - acked, 2) for at, _, _ in leaving.runs
            if at > acked + BOUNDS["drain-s"]]
    record.note(f"{len(late)} requests reached the backend later than drain-s after the "
                f"acknowledgement, from {late[:1]} to {late[-1:]} s after it")
    return BROKEN if late else HELD


run_case(__file__, play)
