"""Run a stand-in backend server."""

from __future__ import annotations

import argparse
import asyncio

from bamboonotch_testing.backend_server import (
    Announcer,
    BackendServer,
    Mode,
    ServiceTimes,
    parse_service_time,
)
from bamboonotch_testing.caller import run_with_reactor


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.backend_server", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", help="ip:port to take requests on")
    parser.add_argument("--announce", default="", help="ip:port of the node's admin port")
    parser.add_argument("--service", default="orders", help="service to announce")
    parser.add_argument("--slots", type=int, default=6, help="requests run at once")
    parser.add_argument("--seed", type=int, default=1, help="seed of the service times")
    parser.add_argument(
        "--service-time",
        type=parse_service_time,
        action="append",
        default=[],
        metavar="[PREFIX=]TIME",
        help="5, exponential:5 or uniform:1:9, in milliseconds; may be given several times",
    )
    parser.add_argument("--mode", default="serve", help="mode at the start")
    return parser.parse_args()


async def _run(options: argparse.Namespace) -> None:
    from twisted.internet import reactor

    host, _, port = options.listen.rpartition(":")
    times = ServiceTimes(options.service_time, options.seed)
    server = BackendServer(reactor, options.slots, times)
    server.set_mode(Mode(options.mode))
    listener = reactor.listenTCP(int(port), server.site, interface=host, backlog=1024)
    address = f"{host}:{listener.getHost().port}"
    print(f"listening={address}", flush=True)
    if options.announce:
        Announcer(reactor, server, options.service, address, options.announce).start()
    await asyncio.get_running_loop().create_future()


def main() -> None:
    """Run until interrupted."""
    options = _parse()
    run_with_reactor(lambda: _run(options))


if __name__ == "__main__":
    main()
