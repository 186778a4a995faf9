"""Tests of what a run does."""

from __future__ import annotations

import unittest

from bamboonotch_testing.soak._plan import FaultKind, make_plan

FAULTS_S = 20.0


class PlanTest(unittest.TestCase):
    """Plans drawn from seeds."""

    def test_seed_decides_the_plan(self) -> None:
        """Guards against a failure that its seed does not bring back."""
        self.assertEqual(make_plan(7, FAULTS_S), make_plan(7, FAULTS_S))
        self.assertNotEqual(make_plan(7, FAULTS_S).steps, make_plan(8, FAULTS_S).steps)

    def test_steps_are_in_order_and_overlap(self) -> None:
        """Guards against faults that only ever come one at a time."""
        overlapping = 0
        for seed in range(50):
            steps = make_plan(seed, FAULTS_S).steps
            self.assertEqual([step.at_s for step in steps], sorted(step.at_s for step in steps))
            self.assertLess(steps[-1].at_s, FAULTS_S)
            pairs = zip(steps, steps[1:], strict=False)
            overlapping += any(one.at_s + one.hold_s > two.at_s for one, two in pairs)
        self.assertEqual(overlapping, 50)

    def test_every_kind_comes(self) -> None:
        """Guards against a kind of fault that is never drawn."""
        seen = {step.kind for seed in range(50) for step in make_plan(seed, FAULTS_S).steps}
        self.assertEqual(seen, set(FaultKind))

    def test_kinds_can_be_chosen(self) -> None:
        """Guards against a fault that a run was not asked for."""
        kinds = (FaultKind.NODE_STOP,)
        self.assertEqual(
            {step.kind for step in make_plan(1, FAULTS_S, kinds=kinds).steps}, set(kinds)
        )
