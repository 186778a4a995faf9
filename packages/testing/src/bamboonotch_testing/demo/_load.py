"""A small closed-loop load for the demonstration."""

from __future__ import annotations

import http.client
import random
import threading
import time
from collections import Counter
from collections.abc import Sequence
from types import TracebackType

from bamboonotch_testing.caller import make_key
from bamboonotch_testing.fleet import NodeHandle

__all__ = ["DemoLoad"]

PAUSE_S = 0.01
CALLS = (
    ("menu-read", "GET", "/menu/today", False),
    ("stock-check", "GET", "/menu/nutrients/42", False),
    ("order-placement", "POST", "/orders", True),
    ("plan-download", "GET", "/plans/week", False),
)


class DemoLoad:
    """Sends calls of every class through some nodes until the context is left.

    :param nodes: nodes that take the calls.
    """

    def __init__(self, nodes: Sequence[NodeHandle]) -> None:
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(node, number), daemon=True)
            for number, node in enumerate(nodes)
        ]
        self.outcomes: Counter[tuple[str, str]] = Counter()

    def __enter__(self) -> DemoLoad:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node: NodeHandle, number: int) -> None:
        source = random.Random(number)
        while not self._stop.is_set():
            request_class, method, path, keyed = source.choice(CALLS)
            headers = {"Idempotency-Key": make_key(int(time.time() * 1000), source)}
            try:
                answer = node.request(method, path, headers=headers if keyed else None)
                outcome = answer.outcome or f"status-{answer.status}"
            except (OSError, http.client.HTTPException) as error:
                outcome = type(error).__name__
            with self._lock:
                self.outcomes[request_class, outcome] += 1
            self._stop.wait(PAUSE_S)
