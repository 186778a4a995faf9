"""Tests of the data of the store stand-in."""

from __future__ import annotations

import unittest

from twisted.internet.task import Clock

from bamboonotch_testing.store_server._data import StoreData


class CloseTest(unittest.TestCase):
    """The end of the stand-in."""

    def test_call_after_the_end_starts_no_timer(self) -> None:
        """Guards against a timer left behind by a call that was on its way at the end."""
        clock = Clock()
        data = StoreData(clock)
        data.create_session(1.0)
        data.close()
        session = data.create_session(1.0)
        self.assertEqual(clock.getDelayedCalls(), [])
        self.assertIsNone(data.renew_session(session))
