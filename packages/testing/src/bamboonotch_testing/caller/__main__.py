"""Send open-loop load and print what became of the calls."""

from __future__ import annotations

import argparse
import json

from bamboonotch_testing.caller import (
    CallClass,
    CallerClient,
    LoadPlan,
    run_load,
    run_with_reactor,
    summarize,
)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.caller", description=__doc__)
    parser.add_argument("--address", required=True, help="ip:port of a node")
    parser.add_argument("--rate", type=float, default=100.0, help="calls a second")
    parser.add_argument("--seconds", type=float, default=10.0, help="length of the load")
    parser.add_argument("--seed", type=int, default=1, help="seed of arrivals and keys")
    parser.add_argument("--max-in-flight", type=int, default=1000, help="calls in progress")
    parser.add_argument(
        "--class",
        dest="classes",
        action="append",
        metavar="JSON",
        help='for example {"name": "orders", "weight": 2, "method": "POST", "path": "/orders", '
        '"keyed": true, "timeout_ms": 2000, "body_bytes": 100}; may be given several times',
    )
    return parser.parse_args()


async def _run(options: argparse.Namespace) -> None:
    from twisted.internet import reactor

    classes = [CallClass(**json.loads(text)) for text in options.classes or ['{"name": "get"}']]
    client = CallerClient(reactor, options.address)
    plan = LoadPlan(
        classes=tuple(classes),
        rate_per_s=options.rate,
        duration_s=options.seconds,
        seed=options.seed,
        max_in_flight=options.max_in_flight,
    )
    records = await run_load(client, plan)
    await client.close()
    print(json.dumps(summarize(records), indent=2))


def main() -> None:
    """Run the load."""
    options = _parse()
    run_with_reactor(lambda: _run(options))


if __name__ == "__main__":
    main()
