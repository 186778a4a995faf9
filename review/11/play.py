"""One heartbeat that names an unknown service shuts the backend of a machine out for good."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from mesh import (  # noqa: E402
    BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, configuration, rule, run_case,
)

DOWN_S = 1.5  # closing = { kind = "kill_all", down_s = 1.5 }
JUDGED_S = 5.0


async def play(mesh) -> int:
    record = mesh.record
    await mesh.start_store()
    services = ["huvo11a", "kafi81c"]
    rules = [rule("r-menu", "/lepu270/", "huvo11a"), rule("r-plan", "/fiti832/", "kafi81c")]
    mesh.store.put("op/config", configuration("r3", services, rules))
    for zone, region, service in (("ktm-a", "bagmati", services[0]),
                                  ("ktm-b", "bagmati", services[1]),
                                  ("pkr-a", "gandaki", services[0]),
                                  ("pkr-b", "gandaki", services[1])):
        mesh.add_node(service, region, zone)
    for node in mesh.nodes:
        node.start()
    for number, node in enumerate(mesh.nodes):
        await mesh.add_backend(node).boot(f"i-7f3a91c{number}")
    if not await mesh.wait_served(["/lepu270/0", "/fiti832/0"]):
        return NOT_RUN

    async def send_for(seconds: float) -> float:
        """Send requests to all nodes and return the share that was served."""
        served = sent = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answers = await asyncio.gather(*(
                mesh.call(node, path) for node in mesh.nodes
                for path in ("/lepu270/1", "/fiti832/1")))
            sent += len(answers)
            served += sum(status == 200 for status, _, _ in answers)
            await asyncio.sleep(0.1)
        return served / sent

    before = await send_for(3.0)
    record.note(f"share served before the final fault: {before:.2f}")
    for node in mesh.nodes:
        node.kill()
    await asyncio.sleep(DOWN_S)
    for node in mesh.nodes:
        node.start()
    back = time.monotonic()
    if TROUBLE:
        await asyncio.gather(*(stray_heartbeat(mesh, backend) for backend in mesh.backends))
    await send_for(back + BOUNDS["recovery-s"] - time.monotonic())
    after = await send_for(JUDGED_S)
    record.note(f"share served of the requests sent later than recovery-s after the machines "
                f"were back: {after:.2f}")
    if before < 0.25:
        return NOT_RUN
    return BROKEN if after < 0.25 else HELD


async def stray_heartbeat(mesh, backend) -> None:
    """Send one heartbeat of another writer, of a service that no configuration names."""
    beat = {
        "address": f"{backend.node.ip}:8700", "born": int(time.time() * 1000),
        "info": {"service": "zulo55d", "version": "v1", "zone": backend.zone, "slots": 6},
        "status": {"state": "ready", "sequence": 1, "cold-left-s": 0},
    }
    real, status = backend.instance_id, 0
    for _ in range(100):
        backend.instance_id = "i-00c0ffee"
        call = backend.send_beat(json.dumps(beat).encode(), "heartbeat of another writer")
        task = asyncio.ensure_future(call)
        await asyncio.sleep(0)
        backend.instance_id = real
        status = await task
        if status:
            break
        await asyncio.sleep(0.1)
    if not status:
        raise RuntimeError("the node takes no heartbeat")


run_case(__file__, play)
