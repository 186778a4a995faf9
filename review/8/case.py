"""The complete answer before a broken one on the same connection is lost."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import (  # noqa: E402
    Backend,
    World,
    abort,
    make_configuration,
    make_message,
    make_rule,
    new_id,
    read_body,
    read_head,
    run_case,
)

HOST, MENU_PATH, PDF_PATH = "jepu9.example", "/lepu270/2f", "/fiti832/2f"
BODY_BYTES = 90_000
SENT_BYTES = 20_000
SILENT_S = 0.35
CONNECTIONS = 10
ALLOWED = 3


class PdfBackend(Backend):
    """Sends long answers, and breaks some of them off when it is at fault."""

    breaks_off = False

    async def respond(self, method, target, fields, body, writer) -> None:
        """Answer a request whole or in part."""
        request = fields.get("attempt-id", "")
        self.runs.append((self.record.now_s(), request, target))
        self.record.note(f"backend {self.instance}: runs {request}")
        await asyncio.sleep(0.03)
        answer = {"Attempt-Id": request, "Response-Signature": f"{request}.1"}
        message = make_message(200, answer, b"x" * BODY_BYTES)
        if self.breaks_off:
            self.record.note(f"backend {self.instance}: breaks off its answer to {request}")
            writer.write(message[:SENT_BYTES])
            await writer.drain()
            await asyncio.sleep(SILENT_S)
            writer.close()
            return
        writer.write(message)


async def call(world: World, node) -> tuple[str, bool]:
    """Send a menu read and a download behind it; return the first's id, and if it is answered."""
    record = world.record
    host, port = node.outbound.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))

    def send(path: str) -> str:
        request = new_id()
        record.note(f"client at {node.name}: sends {request} {path}")
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request}\r\n"
            f"Timeout-Remaining: 2500\r\n\r\n".encode()
        )
        return request

    async def receive(request: str) -> bool:
        head = await read_head(reader)
        if head is None:
            record.note(f"client at {node.name}: {request}: the connection is closed")
            return False
        whole = True
        try:
            await read_body(reader, head[1])
        except (asyncio.IncompleteReadError, OSError):
            whole = False
        record.note(f"client at {node.name}: gets {request} {head[0]}, whole: {whole}")
        return whole

    answered = False
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(5.0):
            # The connection is a kept one.
            await receive(send(MENU_PATH))
            first, second = send(MENU_PATH), send(PDF_PATH)
            answered = await receive(first)
            if answered:
                await receive(second)
    abort(writer)
    return first, answered


async def play(folder: Path, trouble: bool) -> bool:
    """Play the case and return whether the rule was broken."""
    async with World(folder) as world:
        record = world.record
        rules = {
            HOST: [
                make_rule("r-menu", "/lepu270/", {"service": "menu"}),
                make_rule("r-pdf", "/fiti832/", {"service": "plans"}, "download"),
            ]
        }
        await world.store.put(
            "op/config", make_configuration(3, rules, ["menu", "plans", "orders"])
        )
        await world.add("menu", work_s=0.7)
        await world.add("menu", zone="ktm-b", work_s=0.7)
        ingress, _ = await world.add("orders")
        _, faulty = await world.add("plans", zone="ktm-b", kind=PdfBackend)
        for node in world.nodes:
            await world.wait_served(node, HOST, MENU_PATH)
            await world.wait_served(node, HOST, PDF_PATH)
        await asyncio.sleep(4.0)
        faulty.breaks_off = trouble
        results = [await call(world, ingress) for _ in range(CONNECTIONS)]
        ran = {
            run[1]
            for backend in world.backends
            if backend.service == "menu"
            for run in backend.runs
        }
        lost = [request for request, answered in results if not answered and request in ran]
        record.note(
            f"{len(lost)} of {CONNECTIONS} menu reads were run by a sound backend, and their kept "
            f"connection was closed without an answer; more than {ALLOWED} break the rule",
            echo=True,
        )
        return len(lost) > ALLOWED


run_case(Path(__file__).resolve().parent, play)
