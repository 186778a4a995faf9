"""Many requests while streams to the owner break and go silent."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from tests.forwarding.support import PathTest, get

CALLS = 300
AT_ONCE = 20


class FaultsTest(PathTest):
    """A steady load with faults at seeded points of it."""

    def test_every_answer_is_true(self) -> None:
        """Guards against work that ran twice (P6), a false "not run" (P5) or a wrong body (P4)."""

        async def main() -> None:
            server, address = self.start_backend("uniform:0:40")
            owner = await self.start_node("owner", backend=address)
            proxy = self.start_proxy(owner.peer_address)
            ingress = await self.start_node("ingress")
            ingress.owner = ("owner", proxy.address)
            caller = self.start_caller(ingress.http_address)
            source = random.Random(11)
            faults = {50: proxy.freeze, 120: proxy.cut, 180: proxy.freeze, 240: proxy.cut}
            records = []
            numbers = iter(range(CALLS))

            async def work() -> None:
                for number in numbers:
                    if number in faults:
                        faults[number]()
                    size = source.choice((0, 500, 20_000, 200_000))
                    call = get(
                        f"faults-{number}", f"/?size={size}", method="POST", body=b"x" * size
                    )
                    records.append(await caller.send(call))

            await asyncio.gather(*(work() for _ in range(AT_ONCE)))
            runs = Counter(run.request_id for run in server.state.runs)
            self.assertEqual(len(records), CALLS)
            for record in records:
                count = runs[record.call.request_id]
                self.assertLessEqual(count, 1, record)
                if record.complete and record.outcome == "done":
                    self.assertEqual(count, 1, record)
                if record.outcome == "not-run":
                    self.assertEqual(count, 0, record)
                if record.complete and record.status == 200:
                    self.assertTrue(record.own_answer, record)
            done = sum(record.complete and record.outcome == "done" for record in records)
            # A fault can only take the calls that were in progress when it came.
            self.assertGreaterEqual(done, CALLS - len(faults) * AT_ONCE)
            self.assertGreaterEqual(proxy.connections, 5)

        self.run_async(main)
