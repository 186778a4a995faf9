"""An acknowledged departure is forgotten when the store was down and the nodes are killed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from mesh import (  # noqa: E402
    BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, configuration, rule, run_case,
)

STORE_DOWN_S = 2.5  # platform_down for_s = 4.5
DOWN_S = 1.0  # herd_kill for_s = 2.0
LATE_S = 3.0
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
    await asyncio.sleep(3)
    leaving = mesh.backends[0]
    leaving.stop_beats()
    last = leaving.make_beat()

    async def last_heartbeat() -> None:
        await asyncio.sleep(LATE_S)
        for _ in range(20):
            if await leaving.send_beat(last, "late heartbeat"):
                return
            await asyncio.sleep(0.1)

    arriving = asyncio.create_task(last_heartbeat())
    await asyncio.sleep(0.1)
    if TROUBLE:
        mesh.store.silent = True
        record.note("the store is down")
    down = time.monotonic()
    await asyncio.sleep(0.3)
    if await leaving.leave() != 200:
        return NOT_RUN
    acked = time.monotonic()
    record.note("the departure is acknowledged")
    await asyncio.sleep(0.1)
    for node in mesh.nodes:
        node.kill()
    await asyncio.sleep(DOWN_S)
    for node in mesh.nodes:
        node.start()
    started = time.monotonic()
    await asyncio.sleep(max(0.0, down + STORE_DOWN_S - time.monotonic()))
    if TROUBLE:
        mesh.store.silent = False
        record.note("the store is back")
    back = time.monotonic()
    in_touch = max(started, back) + BOUNDS["stable-window-s"]
    until = acked + SERVES_ON_S
    while time.monotonic() < until:
        sent = time.monotonic()
        await asyncio.gather(*(mesh.call(node, "/lepu270/1") for node in mesh.nodes))
        await asyncio.sleep(0.05)
    del sent
    await arriving
    late = [round(at - acked, 2) for at, _, _ in leaving.runs
            if at > max(acked + BOUNDS["drain-s"], in_touch + 0.1)]
    record.note(f"all machines are in touch {in_touch - acked:.2f} s after the acknowledgement; "
                f"{len(late)} requests reached the backend after that and later than drain-s, "
                f"from {late[:1]} to {late[-1:]} s after the acknowledgement")
    return BROKEN if late else HELD


run_case(__file__, play)
