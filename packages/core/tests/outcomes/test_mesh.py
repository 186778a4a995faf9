"""Property tests of ingress and owner reducers against each other."""

from __future__ import annotations

import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.outcomes.mesh import Mesh

ACTIONS = (
    "arrive " * 5
    + "deliver " * 14
    + "duplicate drop close connect restart restart-unseen refresh leave backend advance "
    + "finish " * 4
    + "claim body " * 3
).split()
LONG_RUNS = 700
LONG_RUN_STEPS = 250
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 1000)), min_size=10, max_size=150
)


def take_step(mesh: Mesh, action: str, choice: int) -> None:
    """Carry out one step of a test case."""
    steps = {
        "arrive": mesh.send_request,
        "deliver": mesh.deliver,
        "duplicate": lambda choice: mesh.deliver(choice, duplicate=True),
        "drop": mesh.lose_message,
        "close": lambda choice: mesh.close_stream(choice, choice),
        "connect": mesh.fail_to_connect,
        "restart": lambda choice: mesh.restart(choice, table_follows=True),
        "restart-unseen": lambda choice: mesh.restart(choice, table_follows=False),
        "refresh": lambda _: mesh.refresh_table(),
        "finish": mesh.end_dispatch,
        "claim": mesh.answer_claim,
        "body": mesh.finish_response,
        "leave": mesh.close_caller_connection,
        "backend": mesh.change_backend,
        "advance": mesh.advance,
    }
    steps[action](choice)


class MeshTest(unittest.TestCase):
    """Loss, duplication, reordering, restarts and fences in any order."""

    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
    @given(st.integers(1, 3), STEPS)
    def test_guarantees_hold_in_short_runs(
        self, owner_count: int, steps: list[tuple[str, int]]
    ) -> None:
        """Guards against untrue not-run, repeated orders, and lost or double answers."""
        mesh = Mesh(owner_count)
        for action, choice in steps:
            take_step(mesh, action, choice)
        mesh.settle()

    @settings(max_examples=LONG_RUNS, derandomize=True, deadline=None, database=None)
    @given(st.integers(1, 3), st.integers(0, 2**32 - 1))
    def test_guarantees_hold_in_long_runs(self, owner_count: int, seed: int) -> None:
        """Guards against the same in states that only many steps reach."""
        drawn = random.Random(seed)
        mesh = Mesh(owner_count)
        for _ in range(LONG_RUN_STEPS):
            take_step(mesh, drawn.choice(ACTIONS), drawn.randrange(1001))
        mesh.settle()


if __name__ == "__main__":
    unittest.main()
