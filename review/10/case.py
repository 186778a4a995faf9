"""A key that a configuration takes away stays in use when a rank in it is above 15."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import World, make_configuration, make_rule, run_case, send_request  # noqa: E402

HOST, OTHER_HOST, PATH = "jepu9.example", "hulo84.example", "/lepu270/2f"
KEPT_KEY, REMOVED_KEY = "dedev3nax7u27gxprymh", "2rrytapjsujqurtyiikd"
REVOKE_S = 5.0
WATCHED_S = 12.0
BOUNDS = {
    "grace-s": "6",
    "retry-budget-ratio": "0.2",
    "retry-budget-slack": "216",
    "config-apply-s": "3",
    "BAMBOONOTCH_ACCESS_REVOCATION_MS": "5 s",
    "BAMBOONOTCH_QUOTAS_WINDOW_MS": "5 s",
    "BAMBOONOTCH_QUOTAS_OVERAGE": "0.1",
    "BAMBOONOTCH_QUOTAS_SLACK": "20",
}


def configuration(version: int, keys: list[str], rules: dict[str, list]) -> bytes:
    """Return a configuration with one tenant."""
    tenants = [{"name": "bozi300", "api-keys": keys, "priority": 1, "rate-per-s": 0, "burst": 0}]
    return make_configuration(version, rules, ["releves", "facturation"], tenants=tenants)


async def play(folder: Path, trouble: bool) -> bool:
    """Play the case and return whether the rule was broken."""
    async with World(folder, BOUNDS) as world:
        record, store = world.record, world.store
        first = make_rule("lookup", "/lepu270/", {"service": "releves"})
        await store.put("op/config", configuration(3, [KEPT_KEY, REMOVED_KEY], {HOST: [first]}))
        for service, zone in (("releves", "ktm-a"), ("releves", "ktm-b"), ("facturation", "ktm-a")):
            await world.add(service, zone)

        async def call(node, key: str, request: str = "") -> int:
            answer = await send_request(
                record,
                node,
                "GET",
                HOST,
                PATH,
                request=request,
                fields={"Authorization": f"Bearer {key}"},
                quiet=not request,
            )
            return answer.status

        for node in world.nodes:

            async def served(node=node) -> bool:
                return await call(node, REMOVED_KEY) == 200

            await world.wait_until(served, 25.0, "served request")
        await asyncio.sleep(4.0)
        second = make_rule("history", "/xapu221/", {"service": "facturation"})
        second["priority"] = 20 if trouble else 2
        value = configuration(4, [KEPT_KEY], {HOST: [first], OTHER_HOST: [second]})
        record.note(f"r4 is written: {json.loads(value)['listeners']}")
        await store.put("op/config", value)
        acked_s = record.now_s()
        record.note("r4 is acknowledged: it takes a key away and adds a route", echo=True)
        sent: dict[str, float] = {}
        while record.now_s() < acked_s + WATCHED_S:
            for number, node in enumerate(world.nodes):
                request = f"late-{number}-{len(sent)}"
                sent[request] = record.now_s()
                await call(node, REMOVED_KEY, request)
            await asyncio.sleep(0.3)
        ran = {run[1] for backend in world.backends for run in backend.runs}
        late = [sent[item] - acked_s for item in sent if item in ran]
        late = [item for item in late if item > REVOKE_S]
        record.note(
            f"{len(late)} requests with the removed key, sent up to {max(late, default=0.0):.1f} s "
            f"after the acknowledgement, were run",
            echo=True,
        )
        return bool(late)


run_case(Path(__file__).resolve().parent, play)
