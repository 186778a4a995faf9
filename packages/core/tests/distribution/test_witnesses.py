"""Tests of the witness register and of the records kept for other nodes."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboonotch_core.distribution import Neighbour, _witness_storage
from bamboonotch_core.distribution._witness_register import choose_witnesses
from bamboonotch_core.distribution._witness_storage import (
    WitnessStorage,
    find_record,
    see_incarnation,
    write_record,
)
from bamboonotch_core.effects import OpenLink
from bamboonotch_core.events import LinkClosed, LinkOpened, PeerIdentity
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.messages import (
    MemberUpdate,
    VersionPush,
    WitnessAck,
    WitnessQuery,
    WitnessRecord,
    WitnessReply,
    WitnessWrite,
)
from bamboonotch_core.settings import DistributionSettings
from tests.distribution.support import Driver, entry_of, make_settings, neighbour


def started(*names: str, witness_count: int = 5) -> Driver:
    """Return a node that serves version 1 with its neighbours as witnesses."""
    distribution = DistributionSettings(witness_count=witness_count)
    driver = Driver(make_settings(distribution=distribution))
    driver.start(1, *(neighbour(name) for name in names))
    driver.tick(0.0)
    return driver


def disconnect(driver: Driver, name: str, *, dead: bool = False) -> None:
    """Close a neighbour's link, which membership may list as dead."""
    view = driver.view
    kept = tuple(item for item in view.neighbours if item.node_id != name)
    live = view.live_node_ids - {name} if dead else view.live_node_ids
    driver.view = replace(view, neighbours=kept, live_node_ids=live)
    driver.feed(LinkClosed(driver.now_ms, f"link-{name}", ""))


class RegisterTest(unittest.TestCase):
    """A version runs once its record is acknowledged."""

    def test_waits_for_a_majority(self) -> None:
        """Guards against a version that runs before a majority holds its record (P1)."""
        driver = started("a", "b", "c")
        self.assertEqual(driver.state.running_version, 1)
        driver.receive("a", VersionPush(2, entry_of(2)))
        writes = driver.sent(WitnessWrite)
        self.assertEqual([name for name, _ in writes], ["a", "b", "c"])
        record = writes[0][1].record
        self.assertEqual((record.version, record.witnesses), (2, ("a", "b", "c")))
        driver.receive("a", WitnessAck(record))
        self.assertEqual(driver.state.running_version, 1)
        driver.receive("a", WitnessAck(record))
        self.assertEqual(driver.state.running_version, 1)
        driver.receive("c", WitnessAck(record))
        self.assertEqual(driver.state.running_version, 2)
        self.assertIn("version-running", driver.reports())

    def test_writes_again_to_silent_witnesses_and_reports_once(self) -> None:
        """Guards against a lost write that is not repeated or not reported (P9)."""
        driver = started("a", "b", "c")
        driver.receive("a", VersionPush(2, entry_of(2)))
        driver.tick(1000.0)
        self.assertEqual(len(driver.sent(WitnessWrite)), 3)
        self.assertEqual(driver.reports().count("witness-wait"), 1)
        driver.tick(1000.0)
        self.assertEqual(driver.reports(), [])

    def test_no_writes_at_rest(self) -> None:
        """Guards against control messages while nothing changes."""
        driver = started("a", "b", "c")
        for _ in range(50):
            self.assertEqual(driver.tick(), ())

    def test_dead_witness_ends_the_wait(self) -> None:
        """Guards against a dead witness for which a version waits without end (P9)."""
        driver = started("a", "b")
        driver.receive("a", VersionPush(2, entry_of(2)))
        driver.acknowledge("a")
        self.assertEqual(driver.state.running_version, 1)
        disconnect(driver, "b", dead=True)
        driver.acknowledge("a")
        self.assertEqual(driver.state.running_version, 2)

    def test_live_member_of_the_old_set_is_waited_for(self) -> None:
        """Guards against a former witness set that holds a record of an older version (P1)."""
        driver = started("a", "b", witness_count=2)
        driver.connect(neighbour("c"))
        self.assertEqual(
            driver.sent(WitnessWrite), [], "the witness set changed although no witness left"
        )
        disconnect(driver, "b")
        driver.tick(2500.0)
        driver.acknowledge()
        self.assertEqual(driver.state.register.witnesses, ("a", "c"))
        driver.receive("a", VersionPush(2, entry_of(2)))
        driver.acknowledge("a", "c")
        self.assertEqual(driver.state.running_version, 1)
        driver.connect(neighbour("b"))
        driver.acknowledge("b")
        self.assertEqual(driver.state.running_version, 2)
        self.assertEqual(driver.state.register.former, frozenset())

    def test_unlinked_member_of_the_old_set_is_dialled(self) -> None:
        """Guards against an endless wait for a live node that is no longer a neighbour (P9)."""
        driver = started("a", "b", witness_count=2)
        driver.view = replace(driver.view, peer_addresses={"b": "b:1"})
        disconnect(driver, "b")
        driver.tick(2500.0)
        self.assertEqual(driver.of_type(OpenLink), [OpenLink("b:1")])

    def test_short_loss_of_a_link_keeps_the_set(self) -> None:
        """Guards against a new record at each reconnection."""
        driver = started("a", "b", "c")
        sequence = driver.state.register.sequence
        disconnect(driver, "b")
        driver.tick(1000.0)
        driver.connect(neighbour("b"))
        self.assertEqual(driver.state.register.sequence, sequence)
        self.assertEqual(driver.sent(WitnessWrite), [])

    def test_passing_link_makes_no_witness(self) -> None:
        """Guards against a witness set that changes with every short-lived link."""
        driver = started("a")
        driver.connect(replace(neighbour("b"), is_lasting=False))
        self.assertEqual(driver.state.register.witnesses, ("a",))
        self.assertEqual(driver.sent(WitnessWrite), [])

    def test_restarted_witness_is_written_again(self) -> None:
        """Guards against counting on a witness that has lost its record (P1)."""
        driver = started("a", "b", "c")
        disconnect(driver, "b")
        driver.connect(neighbour("b", incarnation=2))
        self.assertEqual([name for name, _ in driver.sent(WitnessWrite)], ["b"])

    def test_newer_record_raises_the_sequence(self) -> None:
        """Guards against writes that a witness always refuses as older (P9)."""
        driver = started("a", "b", "c")
        newer = WitnessRecord("n", 10, 99, 1, ("a", "b"))
        driver.receive("a", WitnessAck(newer))
        self.assertIn("witness-record-newer", driver.reports())
        self.assertEqual({w.record.sequence for _, w in driver.sent(WitnessWrite)}, {100})

    def test_raised_incarnation_is_followed(self) -> None:
        """Guards against witnesses that mistake a raised incarnation for a restart (P9)."""
        driver = started("a", "b", "c")
        driver.view = replace(driver.view, own_incarnation=11)
        driver.tick()
        self.assertEqual({w.record.incarnation for _, w in driver.sent(WitnessWrite)}, {11})

    def test_hostile_acknowledgements_change_nothing(self) -> None:
        """Guards against an acknowledgement that is malformed or of a node that got no write."""
        driver = started("a", "b", witness_count=1)
        record = WitnessRecord("n", 10, 99, 1, ("b",))
        for name, message in (
            ("b", WitnessAck(record)),
            ("a", WitnessAck(replace(record, node_id="x"))),
            ("a", WitnessAck(replace(record, witnesses=()))),
        ):
            before = driver.state
            driver.receive(name, message)
            self.assertEqual(driver.state, before)
            self.assertEqual(driver.reports(), ["message-refused"])

    def test_witnesses_are_spread_over_data_centres(self) -> None:
        """Guards against a majority of witnesses in one data centre."""
        peers = [
            Neighbour(f"l{name}", name, 1, region, data_centre)
            for name, region, data_centre in (
                ("a", "east", "east-1"),
                ("b", "east", "east-1"),
                ("c", "east", "east-2"),
                ("d", "west", "west-1"),
            )
        ]
        self.assertEqual(choose_witnesses((), peers, "east", 2), ("a", "c"))
        self.assertEqual(choose_witnesses(("b",), peers, "east", 3), ("a", "b", "c"))
        self.assertEqual(choose_witnesses((), peers, "east", 9), ("a", "b", "c", "d"))


class StorageTest(unittest.TestCase):
    """Records kept for other nodes."""

    record = WitnessRecord("a", 5, 2, 7, ("n", "x"))

    def test_remembers_and_answers(self) -> None:
        """Guards against a witness that loses a record or replies with another node's."""
        driver = started("a", "b")
        driver.receive("a", WitnessWrite(self.record))
        self.assertEqual(driver.sent(WitnessAck), [("a", WitnessAck(self.record))])
        driver.receive("a", WitnessQuery("a"))
        self.assertEqual(driver.sent(WitnessReply), [("a", WitnessReply("a", self.record, 1))])
        driver.receive("b", WitnessQuery("b"))
        self.assertEqual(driver.sent(WitnessReply), [("b", WitnessReply("b", None, 1))])

    def test_older_write_is_answered_with_the_newer_record(self) -> None:
        """Guards against a reordered or repeated write that restores an older record (P1)."""
        driver = started("a")
        driver.receive("a", WitnessWrite(self.record))
        for older in (
            replace(self.record, sequence=1),
            replace(self.record, incarnation=4, sequence=9),
            replace(self.record, incarnation=6, version=6),
        ):
            driver.receive("a", WitnessWrite(older))
            self.assertEqual(driver.sent(WitnessAck), [("a", WitnessAck(self.record))])

    def test_record_of_another_node_is_refused(self) -> None:
        """Guards against one node that writes another's record."""
        driver = started("a", "b")
        driver.receive("b", WitnessWrite(self.record))
        self.assertEqual(driver.reports(), ["message-refused"])
        driver.receive("b", WitnessQuery("a"))
        self.assertEqual(driver.reports(), ["message-refused"])
        self.assertIsNone(find_record(driver.state.storage, "a"))

    def test_first_later_life_may_still_ask(self) -> None:
        """Guards against dropping the record that a restarted node needs."""
        storage, _ = write_record(WitnessStorage(), self.record)
        storage = see_incarnation(storage, "a", 6)
        self.assertEqual(find_record(storage, "a"), self.record)
        self.assertIsNone(find_record(see_incarnation(storage, "a", 7), "a"))

    def test_late_write_of_an_ended_life_is_refused(self) -> None:
        """Guards against a write that was in flight while its node restarted twice (P1)."""
        storage, newest = write_record(see_incarnation(WitnessStorage(), "a", 6), self.record)
        self.assertIsNone(newest)
        self.assertIsNone(find_record(storage, "a"))

    def test_gossip_and_links_show_lives(self) -> None:
        """Guards against an obsolete record that is kept because its node is no neighbour."""
        driver = started("a")
        driver.receive("a", WitnessWrite(self.record))
        identity = PeerIdentity("a", 6, "east", "east-1", "a:1")
        driver.feed(LinkOpened(driver.now_ms, "other", identity, False))
        self.assertEqual(find_record(driver.state.storage, "a"), self.record)
        member = MemberRecord("a", 7, 1, "east", "east-1", "", "", "", "", 0, MemberState.READY, -1)
        driver.receive("a", MemberUpdate((member,)))
        self.assertIsNone(find_record(driver.state.storage, "a"))
        self.assertEqual(driver.reports(), ["witness-record-dropped"])

    def test_storage_is_bounded(self) -> None:
        """Guards against unbounded memory use by the records of many nodes."""
        storage = WitnessStorage()
        for number in range(_witness_storage.MAX_RECORDS + 10):
            storage, _ = write_record(storage, replace(self.record, node_id=f"m{number}"))
        self.assertEqual(len(storage.records), _witness_storage.MAX_RECORDS)
        self.assertIsNone(find_record(storage, "m0"))
        self.assertIsNotNone(find_record(storage, f"m{_witness_storage.MAX_RECORDS + 9}"))
