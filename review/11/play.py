"""After one heartbeat with missing fields, requests are run by the backend of another service."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from mesh import (  # noqa: E402
    BROKEN, HELD, NOT_RUN, TROUBLE, configuration, rule, run_case,
)

JUDGED_S = 6.0


async def play(mesh) -> int:
    record = mesh.record
    await mesh.start_store()
    menu, orders = "huvo11a", "wuno96b"
    rules = [rule("r-menu", "/lepu270/", menu),
             rule("r-order", "/xapu221/", orders, "unsafe", 1.5)]
    mesh.store.put("op/config", configuration("r3", [menu, orders], rules))
    for zone, region, service in (("ktm-a", "bagmati", menu), ("ktm-b", "bagmati", orders),
                                  ("pkr-a", "gandaki", menu), ("pkr-b", "gandaki", orders)):
        mesh.add_node(service, region, zone)
    for node in mesh.nodes:
        node.start()
    for number, node in enumerate(mesh.nodes):
        await mesh.add_backend(node).boot(f"i-7f3a91c{number}")
    if not await mesh.wait_served(["/lepu270/0", "/xapu221/0"]):
        return NOT_RUN
    of_menu, of_orders = mesh.backends[0], mesh.backends[1]
    if TROUBLE:
        # Of another writer: "version" and "zone" are missing.
        beat = {
            "address": of_menu.address, "born": int(time.time() * 1000),
            "info": {"service": orders, "slots": 6},
            "status": {"state": "ready", "sequence": 1, "cold-left-s": 0},
        }
        real, of_orders.instance_id = of_orders.instance_id, of_menu.instance_id
        sending = asyncio.ensure_future(
            of_orders.send_beat(json.dumps(beat).encode(), "heartbeat of another writer"))
        await asyncio.sleep(0)
        of_orders.instance_id = real
        if not await sending:
            return NOT_RUN
    until = time.monotonic() + JUDGED_S
    while time.monotonic() < until:
        await asyncio.gather(*(
            mesh.call(node, path, method, body) for node in mesh.nodes
            for path, method, body in (("/lepu270/1", "GET", b""), ("/xapu221/1", "POST", b"x"))))
        await asyncio.sleep(0.1)
    allowed = {"/lepu270/": menu, "/xapu221/": orders}
    runs = [(backend.service, path) for backend in mesh.backends for _, _, path in backend.runs]
    wrong = [path for service, path in runs
             if not any(path.startswith(prefix) and service == named
                        for prefix, named in allowed.items())]
    record.note(f"{len(wrong)} of {len(runs)} requests were run by a service to which no "
                f"configuration ever sent them: {sorted(set(wrong))}")
    return BROKEN if wrong else HELD


run_case(__file__, play)
