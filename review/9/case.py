"""A departure that was acknowledged while the store refused calls is forgotten with the process."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import World, make_configuration, make_rule, run_case, send_request  # noqa: E402

HOST, PATH = "jepu9.example", "/lepu270/2f"
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
STORE_BUSY_S = 1.5
HEARTBEAT_LATE_S = 5.0
STAYS_S = 12.0


async def play(folder: Path, trouble: bool) -> bool:
    """Play the case and return whether the rule was broken."""
    async with World(folder) as world:
        record, store = world.record, world.store
        rules = {HOST: [make_rule("r-menu", "/lepu270/", {"service": "menu"})]}
        await store.put("op/config", make_configuration(3, rules, ["menu", "orders"]))
        leaving, backend = await world.add("menu", work_s=0.1)
        other, _ = await world.add("menu", zone="ktm-b", work_s=0.1)
        caller, _ = await world.add("orders", zone="ktm-b")
        for node in (leaving, other, caller):
            await world.wait_served(node, HOST, PATH)

        async def in_use() -> bool:
            burst = [send_request(record, caller, "GET", HOST, PATH, quiet=True) for _ in range(12)]
            await asyncio.gather(*burst)
            return bool(backend.runs)

        await world.wait_until(in_use, 15.0, "request at the backend that leaves")
        await asyncio.sleep(STABLE_WINDOW_S)

        async def send_on() -> None:
            while True:
                tasks.add(asyncio.create_task(send_request(record, caller, "GET", HOST, PATH)))
                await asyncio.sleep(0.012)

        tasks: set[asyncio.Task[object]] = set()
        traffic = asyncio.create_task(send_on())
        # This heartbeat is on its way for some seconds.
        backend.stop_announcing()
        late_beat = backend.next_beat()
        record.note(f"backend {backend.instance}: sends a heartbeat that arrives late", echo=True)
        sent_s = record.now_s()
        await asyncio.sleep(1.0)
        if trouble:
            store.refused = {node.name for node in world.nodes}
            record.note("store: answers 503", echo=True)
        await asyncio.sleep(0.3)
        status = await backend.call("DELETE", b"")
        acked_s = record.now_s()
        record.note(f"backend {backend.instance}: departure acknowledged with {status}", echo=True)
        await asyncio.sleep(STORE_BUSY_S - 0.8)
        store.refused = set()
        stable_s = record.now_s()
        record.note("store: answers again", echo=True)
        await asyncio.sleep(1.0)
        if trouble:
            leaving.kill()
            await asyncio.sleep(0.3)
            leaving.start()
            stable_s = record.now_s()
        await asyncio.sleep(max(0.0, sent_s + HEARTBEAT_LATE_S - record.now_s()))
        with contextlib.suppress(OSError):
            await backend.call("PUT", late_beat)
        record.note("the late heartbeat has arrived", echo=True)
        await asyncio.sleep(max(0.0, acked_s + STAYS_S - record.now_s()))
        traffic.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Only what is judged: in touch again, and later than drain-s after the acknowledgement.
        from_s = max(acked_s + DRAIN_S, stable_s + STABLE_WINDOW_S) + 0.1
        late = [run for run in backend.runs if run[0] > from_s]
        record.note(
            f"{len(late)} requests reached {backend.instance} more than {from_s - acked_s:.1f} s "
            f"after the acknowledgement of its departure, all from machines in touch",
            echo=True,
        )
        return status == 200 and bool(late)


run_case(Path(__file__).resolve().parent, play)
