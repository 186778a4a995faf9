"""Machines in touch run an old configuration while the machines that read the store are cut off."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import World, make_configuration, make_rule, run_case, send_request  # noqa: E402

HOST, PATH = "jepu9.example", "/lepu270/2f"
CONFIG_APPLY_S = 2.0
CUT_S = 5.5
MACHINES = 40
PLACES = (("ktm-a", "bagmati"), ("pkr-a", "gandaki"), ("ktm-b", "bagmati"), ("pkr-b", "gandaki"))


def configuration(version: int, service: str) -> bytes:
    rules = {HOST: [make_rule("r-menu", "/lepu270/", {"service": service})]}
    return make_configuration(version, rules, ["menu", "orders"])


async def play(folder: Path, trouble: bool) -> bool:
    """Play the case and return whether the rule was broken."""
    async with World(folder) as world:
        record, store = world.record, world.store
        await store.put("op/config", configuration(3, "menu"))
        for number in range(MACHINES):
            zone, region = PLACES[number % 4]
            await world.add("menu" if number % 2 else "orders", zone, region)
        for node in world.nodes:
            await world.wait_served(node, HOST, PATH, 60.0)
        await asyncio.sleep(8.0)
        readers = store.watching(3.0)
        record.note(f"{len(readers)} of {MACHINES} machines read the store: {sorted(readers)}", echo=True)
        calm = [node for node in world.nodes if node.name not in readers][:16]
        if trouble:
            store.silent = set(readers)
            record.note("these machines are cut off from the store", echo=True)
        await asyncio.sleep(0.05)
        await store.put("op/config", configuration(4, "orders"))
        acked_s = record.now_s()
        record.note("r4 is acknowledged: the route leads to orders", echo=True)
        sent: dict[str, tuple[float, str]] = {}

        async def probe(node) -> None:
            number = 0
            while record.now_s() < acked_s + CUT_S - 0.3:
                number += 1
                request = f"{node.name}-{number}"
                sent[request] = (record.now_s(), node.name)
                await send_request(record, node, "GET", HOST, PATH, request=request, quiet=True)
                await asyncio.sleep(0.15)

        await asyncio.gather(*(probe(node) for node in calm))
        store.silent = set()
        stale = []
        for backend in world.backends:
            if backend.service != "menu":
                continue
            for ran_s, request, _ in backend.runs:
                if request in sent and sent[request][0] > acked_s + CONFIG_APPLY_S:
                    stale.append((sent[request][0] - acked_s, request))
        for late_s, request in sorted(stale):
            record.note(f"{request}: sent {late_s:.2f} s after the acknowledgement, run by menu")
        by_node = {sent[request][1] for _, request in stale}
        record.note(
            f"{len(stale)} requests at {len(by_node)} of {len(calm)} machines in touch were sent later than "
            f"{CONFIG_APPLY_S} s after the acknowledgement and run by the old service, the last "
            f"{max(stale, default=(0.0, ''))[0]:.2f} s after it",
            echo=True,
        )
        return bool(stale)


run_case(Path(__file__).resolve().parent, play)
