"""Run a group of fault proxies."""

from __future__ import annotations

import argparse
import asyncio
import json
from pathlib import Path

from bamboonotch_testing.caller import run_with_reactor
from bamboonotch_testing.proxy_group import ProxyGroup, ProxyPlan, make_control_site


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.proxy_group", description=__doc__)
    parser.add_argument("--specification", required=True, type=Path, help="JSON list of proxies")
    parser.add_argument("--control", required=True, help="ip:port of the control HTTP")
    return parser.parse_args()


async def _run(options: argparse.Namespace) -> None:
    from twisted.internet import reactor

    plans = [ProxyPlan(**item) for item in json.loads(options.specification.read_text())]
    group = ProxyGroup(reactor, plans)
    host, _, port = options.control.rpartition(":")
    reactor.listenTCP(int(port), make_control_site(group), interface=host)  # type: ignore[attr-defined]
    await asyncio.get_running_loop().create_future()


if __name__ == "__main__":
    options = _parse()
    run_with_reactor(lambda: _run(options))
