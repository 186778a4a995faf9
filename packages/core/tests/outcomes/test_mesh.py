"""Property tests of ingress and owner reducers against each other."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.outcomes.mesh import Mesh

WEIGHTS = {
    "arrive": 3,
    "deliver": 5,
    "duplicate": 1,
    "drop": 1,
    "close": 1,
    "connect": 1,
    "restart": 1,
    "restart-unseen": 1,
    "refresh": 1,
    "finish": 2,
    "claim": 2,
    "body": 1,
    "leave": 1,
    "backend": 1,
    "advance": 1,
}
ACTIONS = [action for action, weight in WEIGHTS.items() for _ in range(weight)]
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 1000)), min_size=10, max_size=150
)


def take_step(mesh: Mesh, action: str, choice: int) -> None:
    """Carry out one step of a test case."""
    steps = {
        "arrive": mesh.arrive,
        "deliver": mesh.deliver,
        "duplicate": lambda choice: mesh.deliver(choice, duplicate=True),
        "drop": mesh.drop,
        "close": lambda choice: mesh.close_stream(choice, choice),
        "connect": mesh.fail_to_connect,
        "restart": lambda choice: mesh.restart(choice, table_follows=True),
        "restart-unseen": lambda choice: mesh.restart(choice, table_follows=False),
        "refresh": lambda _: mesh.refresh_table(),
        "finish": mesh.finish_work,
        "claim": mesh.answer_claim,
        "body": mesh.finish_response,
        "leave": mesh.leave,
        "backend": mesh.change_backend,
        "advance": mesh.advance,
    }
    steps[action](choice)


class MeshTest(unittest.TestCase):
    """Loss, duplication, crossing, restarts and fences in any order."""

    @settings(
        max_examples=600,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
    @given(STEPS)
    def test_guarantees_hold_in_any_order(self, steps: list[tuple[str, int]]) -> None:
        """Guards against untrue not-run, repeated orders, and lost or double answers."""
        mesh = Mesh()
        for action, choice in steps:
            take_step(mesh, action, choice)
        mesh.settle()


if __name__ == "__main__":
    unittest.main()
