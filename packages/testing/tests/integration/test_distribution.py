"""Versions reach every node whole, quickly and never backwards, under failures."""

from __future__ import annotations

import json
import time
import unittest

from bamboonotch_core.configuration import Document, encode_entry, make_entry, parse_patch
from bamboonotch_testing.fleet import call_http, wait_until
from tests.integration.fleet_case import (
    CONVERGENCE_S,
    START_S,
    FleetCase,
    call_in_threads,
    timeout_patch,
)

EXIT_STALE = 3
STAYS_S = 2.0


class AcceptanceTest(FleetCase):
    """Operators' patches."""

    def test_racing_operators(self) -> None:
        """Guards against two patches on one base both being accepted, or one lost silently."""
        statuses: list[int] = []

        def submit(value: int) -> int:
            path = self.fleet.directory / f"race-{value}.json"
            path.write_text(json.dumps(timeout_patch(value)))
            for status in (0, EXIT_STALE):
                try:
                    self.fleet.command("submit", "--base", "1", str(path), expected_status=status)
                except AssertionError:
                    continue
                return status
            return -1

        statuses = call_in_threads([lambda value=v: submit(value) for v in (1100, 1200, 1300)])
        self.assertEqual(sorted(statuses), [0, EXIT_STALE, EXIT_STALE])
        self.fleet.wait_for_version(2, CONVERGENCE_S)
        documents = {
            json.dumps(call_json_configuration(node.addresses.admin)) for node in self.fleet.nodes
        }
        self.assertEqual(len(documents), 1)

    def test_lost_answer_of_the_deciding_write(self) -> None:
        """Guards against an accepted version that its author takes for refused."""
        self.fleet.set_store_fault(drop_prefix="bamboonotch/himal-thali/log/", drop_count=1)
        self.assertEqual(self.submit(1100), 2)
        self.fleet.wait_for_version(2, CONVERGENCE_S)

    def test_store_outage_right_after_acceptance(self) -> None:
        """Guards against a version that some nodes get and others never do (P9)."""
        version = self.submit(1100)
        self.fleet.set_store_fault(refuse="abort")
        self.fleet.wait_for_version(version, CONVERGENCE_S)


def call_json_configuration(admin_address: str) -> Document:
    """Return the configuration that a node holds.

    :param admin_address: address of its admin interface.
    """
    document: Document = json.loads(call_http(admin_address, "GET", "/v1/configuration").body)
    return document


class BadVersionTest(FleetCase):
    """Log entries that do not pass the checks."""

    def test_corrupt_entry_is_refused_whole(self) -> None:
        """Guards against a bad version being applied in part, or stopping the node (P3)."""
        document = call_json_configuration(self.fleet.nodes[0].addresses.admin)["document"]
        patch = parse_patch(
            json.dumps([*timeout_patch(1100), {"op": "remove", "path": "/services/menu"}])
        )
        good, _ = make_entry(
            1,
            document,
            patch[:1],
            patch_id="bad",
            author="test",
            comment="",
            now_unix_ms=int(time.time() * 1000),
        )
        bad = encode_entry(type(good)(**{**vars(good), "patch": patch}))
        path = "/v1/kv/bamboonotch/himal-thali/log/000000000002?cas=0"
        answer = call_http(self.fleet.store_address, "PUT", path, body=bad)
        self.assertEqual(answer.body.strip(), b"true")
        reader = next(node for node in self.fleet.nodes if node.status()["store_reader"])
        wait_until("refused", lambda: reader.events("version-refused"), CONVERGENCE_S)
        for node in self.fleet.nodes:
            self.assertEqual(node.status()["running_version"], 1)
            self.assertEqual(call_json_configuration(node.addresses.admin)["document"], document)
            self.assertEqual(node.request("GET", "/menu").outcome, "done")


class RestartTest(FleetCase):
    """Processes that return with nothing kept."""

    def test_restart_during_store_outage(self) -> None:
        """Guards against a restarted node that runs an older version, or stays away (P1)."""
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S)
        self.fleet.set_store_fault(refuse="abort")
        node = self.fleet.of_service("orders")[0]
        node.node.kill()
        node.node.start()
        self.fleet.wait_for_version(version, START_S, [node])
        versions = [event["version"] for event in node.events("version-running")]
        self.assertEqual(versions, [version])

    def test_whole_fleet_restarts_during_store_outage(self) -> None:
        """Guards against a node that serves an old or empty version because nobody knows (P1)."""
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S)
        self.fleet.set_store_fault(refuse="abort")
        for node in self.fleet.nodes:
            node.node.kill()
        for node in self.fleet.nodes:
            node.node.start()
        for node in self.fleet.nodes:
            wait_until("answers", node.status, START_S)
        deadline = time.monotonic() + STAYS_S
        while time.monotonic() < deadline:
            for node in self.fleet.nodes:
                status = node.status()
                self.assertFalse(status["serving"], status)
                self.assertNotEqual(status["reason"], "")
                answer = node.request("GET", "/menu")
                self.assertEqual((answer.status, answer.outcome), (503, "not-run"))
        self.fleet.set_store_fault(clear=True)
        self.fleet.wait_for_version(version, START_S)

    def test_paused_relay_reader(self) -> None:
        """Guards against a paused holder of a lapsed lease delaying or undoing a version (P1)."""
        readers = [node for node in self.fleet.nodes if node.status()["store_reader"]]
        paused = readers[0]
        paused.node.pause()
        self.addCleanup(paused.node.resume)
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S, self.others(paused))
        self.version = version
        version = self.submit(1200)
        self.fleet.wait_for_version(version, CONVERGENCE_S, self.others(paused))
        paused.node.resume()
        self.fleet.wait_for_version(version, CONVERGENCE_S)
        versions = [event["version"] for event in paused.events("version-running")]
        self.assertEqual(versions, sorted(versions))

    def test_killed_readers(self) -> None:
        """Guards against a fleet that waits for leases to lapse before it reads again (P9)."""
        readers = [node for node in self.fleet.nodes if node.status()["store_reader"]]
        for node in readers[:-1]:
            node.node.kill()
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S, self.others(*readers[:-1]))

    def test_herd_death_and_return(self) -> None:
        """Guards against a reconnect storm that does not settle."""
        killed = self.fleet.nodes[1:]
        for node in killed:
            node.node.kill()
        version = self.submit(1100)
        for node in killed:
            node.node.start()
        self.fleet.wait_for_version(version, START_S)
        self.fleet.wait_for_members(START_S)


class PartitionTest(FleetCase):
    """Faults on the links."""

    proxied = True

    def test_region_cut_and_healed(self) -> None:
        """Guards against a region that stays behind after its link has healed (P9)."""
        first, second = self.layout.regions
        self.fleet.partition_regions(first, second)
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S, self.in_region(first))
        for node in self.in_region(second):
            self.assertTrue(node.status()["serving"])
            self.assertEqual(node.status()["running_version"], version - 1)
        self.fleet.inject("clear")
        self.fleet.wait_for_version(version, CONVERGENCE_S)
        self.fleet.wait_for_members(START_S)

    def test_region_cut_and_restart_behind_it(self) -> None:
        """Guards against a restarted node that believes a peer which lags behind the cut (P1)."""
        first, second = self.layout.regions
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S)
        self.fleet.partition_regions(first, second)
        node = self.in_region(second)[0]
        node.node.kill()
        node.node.start()
        self.fleet.wait_for_version(version, START_S, [node])

    def test_connections_gone_silent(self) -> None:
        """Guards against streams that are silent for good while new ones work (P9)."""
        self.fleet.inject("freeze")
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S)

    def test_slow_links(self) -> None:
        """Guards against missing the target at today's distances between regions (P9)."""
        first, second = self.layout.regions
        for source, target in ((first, second), (second, first)):
            self.fleet.inject("delay", source=source, target_region=target, delay_ms=10)
        version = self.submit(1100)
        self.fleet.wait_for_version(version, CONVERGENCE_S)


if __name__ == "__main__":
    unittest.main()
