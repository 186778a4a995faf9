"""Run a fault-injecting TCP proxy."""

from __future__ import annotations

import argparse
import asyncio

from bamboonotch_testing.caller import run_with_reactor
from bamboonotch_testing.fault_proxy import FaultProxy, control_site


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.fault_proxy", description=__doc__)
    parser.add_argument("--target", required=True, help="ip:port of the server")
    parser.add_argument("--listen", default="127.0.0.1:0", help="ip:port to take connections on")
    parser.add_argument("--control", default="127.0.0.1:0", help="ip:port of the control HTTP")
    return parser.parse_args()


async def _run(options: argparse.Namespace) -> None:
    from twisted.internet import reactor

    proxy = FaultProxy(reactor, options.target, options.listen)
    host, _, port = options.control.rpartition(":")
    listener = reactor.listenTCP(int(port), control_site(proxy, reactor), interface=host)
    control = f"{host}:{listener.getHost().port}"
    print(f"listening={proxy.address} control={control}", flush=True)
    await asyncio.get_running_loop().create_future()


def main() -> None:
    """Run until interrupted."""
    options = _parse()
    run_with_reactor(lambda: _run(options))


if __name__ == "__main__":
    main()
