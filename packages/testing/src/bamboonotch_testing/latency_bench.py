"""Measure the latency that the mesh adds to a call.

A caller sends the same open-loop load, in turns, directly to a backend server and through an
ingress node and an owner node to it. Every part is a process of its own on loopback. The nodes run
the product's request path with fixed decisions, so the figures hold for the path without the
decision code.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Chooses the threads of gRPC, so it comes before the first import of grpc.
from bamboonotch_node.http_ingress import RequestPath
from bamboonotch_testing.caller import (
    CallClass,
    CallerClient,
    CallRecord,
    LoadPlan,
    percentile,
    run_load,
    run_with_reactor,
)

__all__ = ["main"]

ROUNDS = 4
WARM_UP_S = 2.0
STOP_TIMEOUT_S = 20.0


@dataclass
class _Process:
    process: subprocess.Popen[str]
    values: dict[str, str]


def _schedule_ms(pid: int) -> tuple[float, float]:
    """Return how long a process ran, and how long it waited for a core, in milliseconds.

    :param pid: the process.
    """
    run_ns = wait_ns = 0
    for file in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        run, wait, _ = file.read_text().split()
        run_ns += int(run)
        wait_ns += int(wait)
    return run_ns / 1e6, wait_ns / 1e6


def _start(arguments: list[str]) -> _Process:
    """Start a Python module and read the ``name=value`` pairs of its first line.

    :param arguments: module and options.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    return _Process(process, dict(pair.split("=", 1) for pair in line.split()))


class _FixedDecisions:
    """Forwards everything to one owner and dispatches everything at once."""

    def __init__(self, node_id: str, owner_id: str, owner_address: str) -> None:
        self.node_id = node_id
        self.owner = (owner_id, owner_address)
        self.path: Any = None

    def dispatch(self, event: Any) -> None:
        """Carry out the fixed reaction to an event.

        :param event: the event.
        """
        from bamboonotch_core import request_effects as effects
        from bamboonotch_core import request_events as events

        if isinstance(event, events.RequestArrived):
            self.path.carry_out(
                effects.ForwardAttempt(
                    request_id=event.request_id,
                    attempt_id=f"{event.request_id}/1",
                    owner_id=self.owner[0],
                    owner_address=self.owner[1],
                    service="bench",
                    request_class="bench",
                    deadline_ms=event.now_ms + (event.timeout_ms or 10_000),
                    idempotent=True,
                    idempotency_key=event.idempotency_key,
                    attempt=0,
                )
            )
        elif isinstance(event, events.OwnerResponded):
            self.path.carry_out(effects.PassResponse(event.request_id, event.attempt_id))
        elif isinstance(event, events.WorkOffered):
            self.path.carry_out(effects.DispatchToBackend(event.attempt_id))
        elif isinstance(event, events.BackendFinished):
            if event.result is not events.BackendResult.DONE:
                self.path.carry_out(
                    effects.RefuseWork(event.attempt_id, event.result, "backend-failed", 0)
                )
        elif isinstance(event, (events.OwnerRefused, events.AttemptLost)):
            self.path.carry_out(
                effects.RespondToCaller(event.request_id, effects.Outcome.UNKNOWN, "bench", 502, 0)
            )


async def _run_node(options: argparse.Namespace) -> None:
    import grpc
    from twisted.internet import reactor

    from bamboonotch_core.settings import IdentitySettings, NodeSettings, StoreSettings
    from bamboonotch_wire import bamboonotch_pb2_grpc as pb_grpc

    identity = IdentitySettings(options.node_id, "bench", "r", "d", "", "", "")
    settings = NodeSettings(identity, StoreSettings("", "r"))
    decisions = _FixedDecisions(options.node_id, options.owner_id, options.owner_address)
    path = RequestPath(
        settings=settings,
        incarnation=1,
        reactor=reactor,
        dispatch=decisions.dispatch,
        running_version=lambda: 1,
        load=lambda: 0,
        report=lambda report: print(report, file=sys.stderr),
    )
    decisions.path = path
    path.backend.address = options.backend

    class Servicer(pb_grpc.NodeServicer):
        """Serves forward streams only."""

        async def Forward(self, request_iterator: Any, context: Any) -> None:  # noqa: N802
            """Serve a stream.

            :param request_iterator: frames.
            :param context: the call.
            """
            await path.server.forward(request_iterator, context)

    server = grpc.aio.server()
    pb_grpc.add_NodeServicer_to_server(Servicer(), server)
    peer_port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    listener = reactor.listenTCP(0, path.ingress.factory, interface="127.0.0.1", backlog=1024)
    print(f"http={listener.getHost().port} peer={peer_port}", flush=True)
    if options.freeze:
        gc.collect()
        gc.freeze()
        gc.set_threshold(10_000, 50, 100)
    if options.profile:
        await _profile(options.profile)
    await asyncio.get_running_loop().create_future()


async def _profile(file: str) -> None:
    import cProfile

    profile = cProfile.Profile()
    await asyncio.sleep(WARM_UP_S)
    profile.enable()
    await asyncio.sleep(6.0)
    profile.disable()
    profile.dump_stats(f"{file}.{os.getpid()}")


async def _measure(
    options: argparse.Namespace, direct: str, meshed: str, nodes: dict[str, int]
) -> dict[str, Any]:
    from twisted.internet import reactor

    kind = CallClass(
        name="bench",
        method="POST" if options.body_bytes else "GET",
        path=f"/bench?size={options.answer_bytes}",
        body_bytes=options.body_bytes,
    )
    records: dict[str, list[CallRecord]] = {"direct": [], "meshed": []}
    clients = {
        "direct": CallerClient(reactor, direct),
        "meshed": CallerClient(reactor, meshed),
    }
    used = {node: [0.0, 0.0] for node in nodes}
    for round_number in range(ROUNDS + 1):
        for name, client in clients.items():
            warm_up = round_number == 0
            plan = LoadPlan(
                classes=(kind,),
                rate_per_s=options.rate,
                duration_s=WARM_UP_S if warm_up else options.seconds / ROUNDS,
                seed=options.seed + round_number,
                prefix=f"{name}-{round_number}",
            )
            before = {node: _schedule_ms(pid) for node, pid in nodes.items()}
            result = await run_load(client, plan)
            if warm_up:
                continue
            records[name].extend(result)
            if name == "meshed":
                for node, pid in nodes.items():
                    after = _schedule_ms(pid)
                    used[node][0] += after[0] - before[node][0]
                    used[node][1] += after[1] - before[node][1]
    for client in clients.values():
        await client.close()

    def figures(name: str) -> dict[str, float]:
        good = [r for r in records[name] if r.complete and r.own_answer and r.status == 200]
        latencies = [record.latency_ms for record in good]
        return {
            "calls": len(records[name]),
            "good": len(good),
            "median_ms": round(percentile(latencies, 0.5), 3),
            "p99_ms": round(percentile(latencies, 0.99), 3),
            "worst_ms": round(max(latencies, default=0.0), 3),
        }

    report: dict[str, Any] = {name: figures(name) for name in records}
    report["added"] = {
        key: round(report["meshed"][key] - report["direct"][key], 3)
        for key in ("median_ms", "p99_ms", "worst_ms")
    }
    calls = max(1, len(records["meshed"]))
    report["nodes"] = {
        node: {"run_ms_per_call": round(run / calls, 3), "wait_ms_per_call": round(wait / calls, 3)}
        for node, (run, wait) in used.items()
    }
    report["load"] = {"rate_per_s": options.rate, "seconds": options.seconds}
    return report


def _print(report: dict[str, Any]) -> None:
    print(f"{'':8}{'calls':>8}{'good':>8}{'median':>10}{'99th':>10}{'worst':>10}")
    for name in ("direct", "meshed", "added"):
        row = report[name]
        counts = f"{row.get('calls', ''):>8}{row.get('good', ''):>8}"
        times = "".join(f"{row[key]:>10.3f}" for key in ("median_ms", "p99_ms", "worst_ms"))
        print(f"{name:8}{counts}{times}")
    for node, row in report["nodes"].items():
        run, wait = row["run_ms_per_call"], row["wait_ms_per_call"]
        print(f"{node:8} ran {run:.3f} ms and waited {wait:.3f} ms for a core for each call")


async def _bench(options: argparse.Namespace) -> None:
    running: list[_Process] = []
    module = "bamboonotch_testing.latency_bench"
    try:
        backend = _start(["bamboonotch_testing.backend_server", "--slots", "0"])
        running.append(backend)
        address = backend.values["listening"]
        node = [module, "--role", "node", "--profile", options.profile]
        if options.freeze:
            node.append("--freeze")
        owner = _start([*node, "--node-id", "owner", "--backend", address])
        running.append(owner)
        owner_address = f"127.0.0.1:{owner.values['peer']}"
        ingress = _start(
            [*node, "--node-id", "ingress", "--owner-id", "owner"]
            + ["--owner-address", owner_address]
        )
        running.append(ingress)
        meshed = f"127.0.0.1:{ingress.values['http']}"
        nodes = {"owner": owner.process.pid, "ingress": ingress.process.pid}
        report = await _measure(options, address, meshed, nodes)
    finally:
        for item in running:
            item.process.terminate()
            item.process.wait(timeout=STOP_TIMEOUT_S)
    _print(report)
    if options.json:
        Path(options.json).write_text(json.dumps(report, indent=2) + "\n")


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.latency_bench", description=__doc__)
    parser.add_argument("--rate", type=float, default=200.0, help="calls a second")
    parser.add_argument("--seconds", type=float, default=16.0, help="measured length of each side")
    parser.add_argument("--answer-bytes", type=int, default=512, help="length of an answer")
    parser.add_argument("--body-bytes", type=int, default=0, help="length of a request body")
    parser.add_argument("--seed", type=int, default=1, help="seed of the arrivals")
    parser.add_argument("--json", default="", help="file to write the figures to")
    parser.add_argument("--profile", default="", help="file prefix for profiles of the nodes")
    parser.add_argument("--freeze", action="store_true", help="collect garbage less often")
    parser.add_argument("--role", choices=("bench", "node"), default="bench", help="internal")
    parser.add_argument("--node-id", default="", help="internal")
    parser.add_argument("--owner-id", default="", help="internal")
    parser.add_argument("--owner-address", default="", help="internal")
    parser.add_argument("--backend", default="", help="internal")
    return parser.parse_args()


def main() -> None:
    """Run the measurement, or one of its nodes."""
    options = _parse()
    run_with_reactor(lambda: _run_node(options) if options.role == "node" else _bench(options))


if __name__ == "__main__":
    main()
