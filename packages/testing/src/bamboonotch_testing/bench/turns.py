"""Send the same load to several addresses in turns, after a warm-up, and print the latencies.

Turns on kept connections make the figures comparable when the machine is busy with other work.
"""

from __future__ import annotations

import argparse
import json

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

WARM_UP_S = 0.5


async def _run(options: argparse.Namespace) -> None:
    from twisted.internet import reactor

    targets = json.loads(options.targets)
    clients = {name: CallerClient(reactor, target["address"]) for name, target in targets.items()}
    records: dict[str, list[CallRecord]] = {name: [] for name in targets}
    for number in range(options.rounds + 1):
        for index, (name, client) in enumerate(clients.items()):
            plan = LoadPlan(
                classes=(CallClass(**targets[name]["class"]),),
                rate_per_s=options.rate,
                duration_s=options.seconds / options.rounds if number else WARM_UP_S,
                seed=number,
                prefix=f"turn-{index}-{number}",
            )
            found = await run_load(client, plan)
            if number:
                records[name].extend(found)
    for client in clients.values():
        await client.close()
    print(json.dumps({name: _summarize(found) for name, found in records.items()}))


def _summarize(records: list[CallRecord]) -> dict[str, float]:
    good = [record for record in records if record.complete and record.own_answer]
    times = [record.latency_ms for record in good if record.status == 200]
    return {
        "calls": len(records),
        "good": len(times),
        "median_ms": percentile(times, 0.5),
        "p99_ms": percentile(times, 0.99),
    }


def main() -> None:
    """Run the turns."""
    parser = argparse.ArgumentParser(prog="bamboonotch_testing.bench.turns", description=__doc__)
    parser.add_argument("--targets", required=True, help="JSON: name to address and call class")
    parser.add_argument("--rate", type=float, required=True, help="calls a second")
    parser.add_argument("--seconds", type=float, required=True, help="length for each address")
    parser.add_argument("--rounds", type=int, default=4, help="number of turns")
    options = parser.parse_args()
    run_with_reactor(lambda: _run(options))


if __name__ == "__main__":
    main()
