"""Lines through series, and states and messages that the estimates rest on."""

from __future__ import annotations

import unittest

from bamboonotch_core.membership import neighbours
from bamboonotch_testing.capacity import Series, fit_line
from bamboonotch_testing.capacity._document import BASE_VERSION, make_documents
from bamboonotch_testing.capacity._estimates import Estimate
from bamboonotch_testing.capacity._events import measure_size
from bamboonotch_testing.capacity._messages import ALL_RECORDS, encode_sizes
from bamboonotch_testing.capacity._state import fill_state, make_records


class FitTest(unittest.TestCase):
    """Least squares."""

    def test_exact_line(self) -> None:
        """Guards against a slope and an intercept that are swapped or scaled."""
        fit = fit_line((100, 400, 1600), (7.0, 13.0, 37.0))
        self.assertAlmostEqual(fit.slope, 0.02)
        self.assertAlmostEqual(fit.intercept, 5.0)
        self.assertAlmostEqual(fit.residual, 0.0)
        self.assertAlmostEqual(fit.at(800), 21.0)

    def test_scattered_values(self) -> None:
        """Guards against a residual that hides that the values are not on a line."""
        fit = fit_line((0, 1, 2, 3), (1.0, -1.0, 1.0, -1.0))
        self.assertGreater(fit.residual, 0.5)

    def test_one_size(self) -> None:
        """Guards against an extrapolation from a single point."""
        with self.assertRaises(ValueError):
            fit_line((5, 5), (1.0, 2.0))

    def test_measured_value_comes_first(self) -> None:
        """Guards against replacing a measured value by the line's."""
        series = Series("s", "ms", (1.0, 2.0, 3.0), (1.0, 5.0, 3.0))
        self.assertEqual(series.at(2.0), 5.0)
        self.assertEqual(series.at(4.0), series.fit.at(4.0))


class EstimateTest(unittest.TestCase):
    """Verdicts of estimates."""

    def test_verdicts(self) -> None:
        """Guards against a figure over its limit that is shown as within it."""
        verdicts = [
            Estimate("r", "q", value, limit, "s", "b").verdict
            for value, limit in ((5.0, 5.0), (5.1, 5.0), (5.1, None))
        ]
        self.assertEqual(verdicts, ["within", "OVER", "-"])


class StateTest(unittest.TestCase):
    """States that are filled through the reducer."""

    def test_filled_state(self) -> None:
        """Guards against timing a node that does not serve or does not know the fleet."""
        driver = fill_state(make_records(59), make_documents(20))
        state = driver.state
        self.assertEqual(len(state.membership.directory.records), 60)
        self.assertTrue(state.distribution.serving)
        self.assertEqual(state.distribution.running_version, BASE_VERSION)
        self.assertGreater(len(neighbours(state.membership)), 1)

    def test_gateway_has_links_to_all_regions(self) -> None:
        """Guards against a gateway's cost that is measured on a plain node."""
        driver = fill_state(make_records(139), make_documents(20), relay=True)
        regions = {peer.region for peer in neighbours(driver.state.membership)}
        self.assertEqual(len(regions), 7)

    def test_every_event_kind_is_measured(self) -> None:
        """Guards against an event that takes a short cut, which the timing asserts against."""
        result = measure_size(60, make_documents(120))
        self.assertTrue(all(time_ms > 0 for time_ms in result.times_ms.values()), result)
        self.assertGreater(result.state_mb, 0.0)

    def test_encoded_sizes(self) -> None:
        """Guards against sizes that do not grow with the records they carry."""
        documents = make_documents(20)
        small, large = encode_sizes(50, documents), encode_sizes(100, documents)
        self.assertGreater(large[ALL_RECORDS], 1.9 * small[ALL_RECORDS])
        self.assertEqual(small["Heartbeat"], large["Heartbeat"])


if __name__ == "__main__":
    unittest.main()
