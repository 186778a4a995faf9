"""Machines in touch run an old version when the store turns others away."""

import asyncio
import json
import sys
import time
from hashlib import blake2b
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from mesh import (  # noqa: E402
    BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Store, configuration, make_message, read_message,
    rule, run_case,
)

MACHINES = 20  # in two regions
TURNED_AWAY_EACH = 3  # 6 of 20; platform_down how = "nodes", share = 0.35
CHANGE_AFTER_S = 0.1
JUDGED_S = 3.5
# Whether the rule breaks depends on when the readers last had an answer, so the disturbance comes
# again, up to this often; each lasts 3.6 s (for_s = 9.0 in the site file).
TIMES = 6
CALM_S = 6.0


class TurningStore(Store):
    """A store with an address for each machine, that answers nothing to some of them."""

    turned_away: set[int] = set()
    addresses = 0

    async def listen(self, ip: str) -> int:
        """Listen for one more machine and return its number."""
        self.addresses += 1
        number = self.addresses
        server = await asyncio.start_server(
            lambda reader, writer: self._serve_one(number, reader, writer), ip, 0, limit=1 << 22)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        return number

    async def _serve_one(self, number: int, reader, writer) -> None:
        try:
            while (call := await read_message(reader)) is not None:
                if number in self.turned_away:
                    await asyncio.sleep(3600)
                status, value = await self._perform(call)
                if number in self.turned_away:
                    await asyncio.sleep(3600)
                writer.write(make_message(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json")], json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def place(name: str) -> bytes:
    """Return the place of a node among the equal ones that may read the store."""
    return blake2b(name.encode(), digest_size=8).digest()


async def play(mesh) -> int:
    record = mesh.record
    mesh.store = TurningStore(record)
    old, new = "huvo11a", "kafi81c"
    services = [old, new]
    mesh.store.put("op/config", configuration("r3", services, [rule("r-menu", "/lepu270/", old)]))
    numbers = {}
    for number in range(MACHINES):
        far = number >= MACHINES // 2
        zone = f"{'pkr' if far else 'ktm'}-{'ab'[number % 2]}"
        address_number = await mesh.store.listen(f"{mesh.net}.250")
        node = mesh.add_node(services[number // 2 % 2], "gandaki" if far else "bagmati", zone)
        numbers[node.name] = address_number
    for node in mesh.nodes:
        node.start()
    for number, node in enumerate(mesh.nodes):
        await mesh.add_backend(node).boot(f"i-7f3a91{number:02d}")
    if not await mesh.wait_served(["/lepu270/0"], 50):
        return NOT_RUN
    await asyncio.sleep(8)

    away = []
    for region in (mesh.nodes[:MACHINES // 2], mesh.nodes[MACHINES // 2:]):
        away += sorted(region, key=lambda node: place(node.name))[:TURNED_AWAY_EACH]
    in_touch = [node for node in mesh.nodes if node not in away]
    for turn in range(TIMES):
        before, after = (old, new) if turn % 2 == 0 else (new, old)
        if TROUBLE:
            mesh.store.turned_away = {numbers[node.name] for node in away}
            record.note(f"the store turns away {', '.join(node.name for node in away)}")
        await asyncio.sleep(CHANGE_AFTER_S)
        version = f"r{5 + 2 * turn}"
        mesh.store.put("op/config", configuration(
            version, services, [rule("r-menu", "/lepu270/", after)]))
        record.note(f"{version} is acknowledged: the route goes from {before} to {after}")
        late = await judge(mesh, in_touch, before, time.monotonic())
        record.note(f"{len(late)} requests that were sent to machines in touch later than "
                    f"config-apply-s after the acknowledgement were run by the former service, "
                    f"the last one sent {late[-1:]} s after it")
        if late:
            return BROKEN
        mesh.store.turned_away = set()
        record.note("the store serves all")
        await asyncio.sleep(CALM_S)
    return HELD


async def judge(mesh, in_touch, before: str, acked: float) -> list[float]:
    """Send requests for a while, and return when those were sent that ran as before too late."""
    sent: dict[str, float] = {}

    async def client(node) -> None:
        while time.monotonic() < acked + JUDGED_S:
            at = time.monotonic()
            _, _, attempt = await mesh.call(node, "/lepu270/1")
            sent[attempt] = at - acked
            await asyncio.sleep(0.03)

    await asyncio.gather(*(client(node) for node in in_touch))
    return sorted(
        round(sent[attempt], 2) for backend in mesh.backends if backend.service == before
        for _, attempt, _ in backend.runs if sent.get(attempt, 0.0) > BOUNDS["config-apply-s"])


run_case(__file__, play)
