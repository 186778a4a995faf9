"""Tests of pushes, requests, deltas, snapshots and refusals."""

from __future__ import annotations

import unittest
import zlib
from dataclasses import replace
from unittest import mock

from bamboonotch_core.configuration import digest_document, encode_snapshot
from bamboonotch_core.distribution import Neighbour, _snapshots
from bamboonotch_core.events import StoreEntryRead
from bamboonotch_core.messages import (
    Heartbeat,
    Message,
    SnapshotChunk,
    VersionAnnounce,
    VersionPush,
    VersionRequest,
)
from bamboonotch_core.settings import DistributionSettings, PushMode
from tests.distribution.support import Driver, entry_of, make_settings, make_version, neighbour

SHORT_DELTAS = DistributionSettings(max_delta_versions=2)


def started(
    version: int = 0,
    *peers: Neighbour,
    distribution: DistributionSettings | None = None,
) -> Driver:
    """Return a node that serves a version and has neighbours."""
    driver = Driver(make_settings(distribution=distribution))
    driver.start(version, *(peers or (neighbour("a"), neighbour("b"))))
    return driver


def heartbeat(version: int) -> Heartbeat:
    """Return a heartbeat of a node that holds a version."""
    return Heartbeat(version, version, 0, True)


def chunks_of(version: int, count: int = 2) -> list[SnapshotChunk]:
    """Return the chunks of the snapshot of a version."""
    document = make_version(version)[1]
    data, digest = encode_snapshot(document), digest_document(document)
    size = -(-len(data) // count)
    return [
        SnapshotChunk(version, digest, index, count, data[index * size : (index + 1) * size])
        for index in range(count)
    ]


class SpreadTest(unittest.TestCase):
    """Offers of new versions."""

    def test_eager_push_to_all_but_the_sender(self) -> None:
        """Guards against a version that its first receiver does not forward."""
        driver = started(0, neighbour("a"), neighbour("b"), neighbour("far", "west"))
        driver.receive("a", VersionPush(1, entry_of(1)))
        self.assertEqual(driver.sent(VersionPush), [("b", VersionPush(1, entry_of(1)))])
        self.assertEqual(driver.sent(VersionAnnounce), [("far", VersionAnnounce(1))])

    def test_gateway_of_the_store_pushes_to_other_gateways(self) -> None:
        """Guards against an extra announcement and request on links that are billed."""
        peers = (neighbour("a"), neighbour("far", "west"), neighbour("other", "west"))
        driver = started(0, *peers)
        driver.view = replace(driver.view, far_gateways=frozenset({"far"}))
        driver.receive("a", VersionPush(1, entry_of(1)))
        self.assertEqual(driver.sent(VersionPush), [("far", VersionPush(1, entry_of(1)))])
        self.assertEqual(driver.sent(VersionAnnounce), [("other", VersionAnnounce(1))])

    def test_announce_mode_sends_numbers_only(self) -> None:
        """Guards against duplicate deltas where the links are billed."""
        driver = started(distribution=DistributionSettings(push=PushMode.ANNOUNCE))
        driver.receive("a", VersionPush(1, entry_of(1)))
        self.assertEqual(driver.sent(VersionPush), [])
        self.assertEqual(driver.sent(VersionAnnounce), [("b", VersionAnnounce(1))])

    def test_other_region_is_not_passed_to_a_third(self) -> None:
        """Guards against a version that crosses billed links twice."""
        peers = (neighbour("a"), neighbour("w", "west"), neighbour("s", "south"))
        driver = started(0, *peers)
        driver.receive("w", VersionPush(1, entry_of(1)))
        self.assertEqual([name for name, _ in driver.sent(VersionPush)], ["a"])
        self.assertEqual(driver.sent(VersionAnnounce), [])

    def test_known_holders_are_spared(self) -> None:
        """Guards against pushing a version back to a node that said it holds it."""
        driver = started()
        driver.receive("b", heartbeat(1))
        driver.receive("a", VersionPush(1, entry_of(1)))
        self.assertEqual(driver.sent(VersionPush), [])

    def test_new_link_learns_the_version(self) -> None:
        """Guards against a new neighbour that learns the version only from the next heartbeat."""
        driver = started(2)
        driver.connect(neighbour("c"))
        self.assertIn(("c", VersionAnnounce(2)), driver.sent(VersionAnnounce))

    def test_repeated_push_is_ignored(self) -> None:
        """Guards against versions that are forwarded in the overlay without end."""
        driver = started(1)
        driver.receive("a", VersionPush(1, entry_of(1)))
        self.assertEqual(driver.effects, ())

    def test_watching_reader_pushes(self) -> None:
        """Guards against a version that reaches the store readers only."""
        driver = started()
        driver.view = replace(driver.view, is_store_reader=True)
        driver.tick()
        driver.feed(StoreEntryRead(driver.now_ms, 1, entry_of(1)))
        self.assertEqual({name for name, _ in driver.sent(VersionPush)}, {"a", "b"})


class RequestTest(unittest.TestCase):
    """Requests for versions and the answers to them."""

    def test_heartbeat_difference_is_repaired(self) -> None:
        """Guards against a lost push that is never repaired."""
        driver = started()
        driver.receive("a", heartbeat(1))
        self.assertEqual(driver.sent(VersionRequest), [("a", VersionRequest(0))])
        driver.receive("a", heartbeat(1))
        self.assertEqual(driver.sent(VersionRequest), [])

    def test_lower_peer_is_left_alone(self) -> None:
        """Guards against requests by both ends of a link for the same difference."""
        driver = started(2)
        driver.receive("a", heartbeat(1))
        self.assertEqual(driver.sends(), [])

    def test_unanswered_request_goes_to_another(self) -> None:
        """Guards against a neighbour without an answer that delays repair."""
        driver = started()
        driver.receive("a", heartbeat(1))
        driver.receive("b", heartbeat(1))
        driver.tick(999.0)
        self.assertEqual(driver.sent(VersionRequest), [])
        driver.tick(1.0)
        self.assertEqual(driver.sent(VersionRequest), [("b", VersionRequest(0))])

    def test_push_ahead_of_the_base_asks_for_the_gap(self) -> None:
        """Guards against a delta that is dropped because its base is missing."""
        driver = started()
        driver.receive("a", VersionPush(3, entry_of(3)))
        self.assertEqual(driver.sent(VersionRequest), [("a", VersionRequest(0))])

    def test_answer_with_entries_in_order(self) -> None:
        """Guards against entries in an order that the requesting peer cannot apply."""
        driver = started(3)
        driver.receive("a", VersionRequest(1))
        self.assertEqual([m.version for _, m in driver.sent(VersionPush)], [2, 3])

    def test_answer_with_a_snapshot_when_far_behind(self) -> None:
        """Guards against a delta whose first entries are no longer kept."""
        driver = started(3, distribution=SHORT_DELTAS)
        with mock.patch.object(_snapshots, "MAX_CHUNK_BYTES", 50):
            driver.receive("a", VersionRequest(0))
        chunks = [message for _, message in driver.sent(SnapshotChunk)]
        self.assertGreater(len(chunks), 1)
        self.assertEqual({len(chunk.data) for chunk in chunks[:-1]}, {50})
        data = b"".join(chunk.data for chunk in chunks)
        self.assertEqual(data, encode_snapshot(make_version(3)[1]))
        driver.receive("a", VersionRequest(0))
        self.assertEqual(
            driver.sent(SnapshotChunk), [], "a snapshot was repeated within the retry time"
        )

    def test_kept_entries_are_bounded(self) -> None:
        """Guards against memory that grows with every version."""
        driver = started(9, distribution=SHORT_DELTAS)
        self.assertEqual(sorted(driver.state.entries), [8, 9])

    def test_snapshot_is_put_together(self) -> None:
        """Guards against a snapshot whose chunks arrive out of order and are dropped."""
        driver = started()
        driver.receive("a", heartbeat(5))
        for chunk in reversed(chunks_of(5)):
            driver.receive("a", chunk)
        driver.acknowledge()
        self.assertEqual(driver.state.running_version, 5)
        self.assertIsNone(driver.state.assembly)

    def test_chunks_of_others_are_not_kept(self) -> None:
        """Guards against memory use by snapshots that were not requested."""
        driver = started()
        driver.receive("a", heartbeat(5))
        driver.receive("b", chunks_of(5)[0])
        self.assertIsNone(driver.state.assembly)

    def test_endless_transfer_is_given_up(self) -> None:
        """Guards against a peer that sends chunks without end but never a complete snapshot."""
        driver = started()
        driver.receive("a", heartbeat(5))
        for step in range(40):
            for chunk in chunks_of(5, 3)[:2]:
                driver.receive("a", replace(chunk, digest=f"{step:064}"))
            driver.tick(900.0)
        self.assertGreater(driver.state.peers["link-a"].unanswered, 0)


class BadVersionTest(unittest.TestCase):
    """Refusal of invalid versions."""

    def test_bad_delta_is_refused_whole_and_not_forwarded(self) -> None:
        """Guards against an invalid version that is partly applied or forwarded (P3)."""
        driver = started(1)
        before = driver.state.running_configuration
        driver.receive("a", VersionPush(2, entry_of(2)[:-1]))
        self.assertEqual(driver.reports(), ["version-refused"])
        self.assertEqual(driver.sent(VersionPush), [])
        self.assertEqual(driver.state.running_configuration, before)
        self.assertEqual(driver.state.held_version, 1)

    def test_bad_copy_is_reported_once(self) -> None:
        """Guards against repeated reports of one invalid copy."""
        driver = started(1)
        driver.receive("a", VersionPush(2, entry_of(2)[:-1]))
        driver.receive("b", VersionPush(2, entry_of(2)[:-1]))
        self.assertEqual(driver.reports(), [])

    def test_good_copy_of_another_peer_is_taken(self) -> None:
        """Guards against one invalid copy after which valid ones are refused too (P9)."""
        driver = started(1)
        driver.receive("b", heartbeat(2))
        driver.receive("b", VersionPush(2, entry_of(2)[:-1]))
        self.assertEqual(driver.sent(VersionRequest), [])
        driver.receive("a", VersionPush(2, entry_of(2)))
        self.assertEqual(driver.state.held_version, 2)

    def test_bad_snapshot_makes_it_ask_another(self) -> None:
        """Guards against repeated requests to a peer whose snapshot is invalid."""
        driver = started()
        driver.receive("a", heartbeat(5))
        driver.receive("b", heartbeat(5))
        first, second = chunks_of(5)
        driver.receive("a", first)
        driver.receive("a", replace(second, data=second.data[::-1]))
        self.assertEqual(driver.sent(VersionRequest), [("b", VersionRequest(0))])
        for chunk in chunks_of(5):
            driver.receive("b", chunk)
        self.assertEqual(driver.state.held_version, 5)

    def test_hostile_content_is_refused(self) -> None:
        """Guards against content that makes the JSON or patch library raise unexpected errors."""
        nested = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        surrogate = entry_text().replace(b"s2", b"\\ud800")
        for content in (b"", b"x", zlib.compress(nested), zlib.compress(surrogate)):
            driver = started(1)
            driver.receive("a", VersionPush(2, content))
            self.assertEqual(driver.state.held_version, 1)
            self.assertEqual(driver.reports(), ["version-refused"])

    def test_malformed_messages_change_nothing(self) -> None:
        """Guards against fields out of range that change the state."""
        chunk = chunks_of(5)[0]
        invalid: tuple[Message, ...] = (
            heartbeat(-1),
            heartbeat(10**12),
            VersionAnnounce(-1),
            VersionPush(10**12, b""),
            VersionRequest(-1),
            replace(chunk, index=2),
            replace(chunk, count=0),
            replace(chunk, count=34),
            replace(chunk, data=b""),
            replace(chunk, data=bytes(256 * 1024 + 1)),
            replace(chunk, version=0),
            replace(chunk, digest="x"),
        )
        driver = started()
        before = driver.state
        for message in invalid:
            driver.receive("a", message)
            self.assertEqual(driver.state, before)
            self.assertEqual(driver.reports(), ["message-refused"], message)

    def test_unknown_link_is_ignored(self) -> None:
        """Guards against a message that arrives after its link was closed."""
        driver = started()
        before = driver.state
        driver.receive("stranger", VersionPush(1, entry_of(1)))
        self.assertEqual(driver.state, before)


def entry_text() -> bytes:
    """Return the JSON of the entry of version 2."""
    return zlib.decompress(entry_of(2))
