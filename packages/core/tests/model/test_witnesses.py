"""Checks of the model of start-up and witnesses, and of broken variants of it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest import mock

from immutables import Map
from minicheck import check_liveness

from bamboonotch_core.configuration import Document, parse_configuration
from bamboonotch_core.distribution import (
    _recovery,
    _running,
    _versions,
)
from bamboonotch_core.distribution._witness_register import WitnessRegister, waiting_for
from bamboonotch_core.distribution._witness_storage import (
    StoredRecord,
    WitnessStorage,
    newest_record,
    write_record,
)
from bamboonotch_core.messages import (
    WitnessRecord,
)
from tests.model.support import ModelTestCase
from tests.model.witness_model import NODE, Bounds, WitnessModel

ALL_LIVES = Bounds(lives=3, witness_restarts=0, link_changes=0)
LATE_WRITES = Bounds(
    witnesses=1,
    witness_count=1,
    lives=3,
    witness_restarts=0,
    link_changes=0,
    restart_links=((), (0,)),
)
DEATHS = Bounds(link_changes=0, restart_links=((0, 1),), mortal=(0,))
DEATHS_ONE_LINK = Bounds(link_changes=0, restart_links=((0,),))
ONE_LIFE = Bounds(lives=1, link_changes=0)
TWO_LIVES = Bounds(witness_restarts=0, link_changes=0)
LINKS = Bounds(witness_restarts=0)
THREE = Bounds(
    witnesses=3,
    witness_count=3,
    witness_restarts=0,
    link_changes=0,
    restart_links=((2,), (0, 1), (1, 2)),
)
CHANGED_SET = Bounds(witnesses=3, witness_count=2, witness_restarts=0, restart_links=((0, 1),))
LONE_WITNESS = Bounds(witness_count=1, witness_restarts=0, restart_links=((0,), (1,)))


def wait_without_former(register: WitnessRegister, live: frozenset[str]) -> tuple[str, ...]:
    """Wait for the present witness set only."""
    return waiting_for(replace(register, former=frozenset()), live)


def write_anything(
    storage: WitnessStorage, record: WitnessRecord
) -> tuple[WitnessStorage, WitnessRecord]:
    """Keep a record even if a newer one is held."""
    records = storage.records.set(NODE, StoredRecord(record, None, 0))
    return replace(storage, records=records), record


def write_late(
    storage: WitnessStorage, record: WitnessRecord
) -> tuple[WitnessStorage, WitnessRecord | None]:
    """Take records of lives that have ended."""
    written, newest = write_record(replace(storage, seen=Map()), record)
    return replace(written, seen=storage.seen), newest


def apply_without_routes(version: int, document: Document, data: bytes) -> Any:
    """Take the new document and keep the old configuration."""
    new_document, _ = CHECK_ENTRY(version, document, data)
    return new_document, parse_configuration(document)


CHECK_ENTRY = _versions._check_entry


class WitnessModelTest(ModelTestCase):
    """Start-up and witnesses, with restarts that keep nothing."""

    def check(self, bounds: Bounds, states: int) -> None:
        """Search a model that must hold."""
        self.assert_holds(WitnessModel(bounds).protocol(), states)

    def test_three_lives(self) -> None:
        """Guards against believing a record that a later life has made obsolete (P1)."""
        self.check(ALL_LIVES, 71_655)

    def test_witness_deaths(self) -> None:
        """Guards against counting a witness that has lost its record (P1)."""
        self.check(DEATHS, 69_636)

    def test_witness_deaths_one_link(self) -> None:
        """Guards against counting an unreachable witness as one that holds a record (P1)."""
        self.check(DEATHS_ONE_LINK, 58_623)

    def test_link_changes(self) -> None:
        """Guards against a record left behind at a witness that is no longer linked (P1)."""
        self.check(LINKS, 89_356)

    def test_three_witnesses(self) -> None:
        """Guards against majorities that do not overlap (P1)."""
        self.check(THREE, 31_277)

    def test_changed_witness_set(self) -> None:
        """Guards against an old witness set that outvotes the present one (P1)."""
        self.check(CHANGED_SET, 71_070)

    def test_lone_witness(self) -> None:
        """Guards against an old witness set that does not overlap the present one (P1)."""
        self.check(LONE_WITNESS, 10_765)

    def test_always_able_to_converge(self) -> None:
        """Guards against a state from which the newest version can never run (P9)."""
        result = check_liveness(WitnessModel(ONE_LIFE).protocol())
        self.assertIs(result["holds"], True, result)


class BrokenWitnessModelTest(ModelTestCase):
    """Variants that must be refuted, so that the model is known to see the fault."""

    def refute(
        self,
        bounds: Bounds,
        steps: int,
        invariant: str = "P1-never-backwards",
        *,
        gossip: bool = True,
        true_deaths: bool = True,
    ) -> None:
        """Search a broken variant."""
        model = WitnessModel(bounds, gossip=gossip, true_deaths=true_deaths)
        self.assert_refuted(model.protocol(), invariant, steps)

    def test_no_wait_for_witnesses(self) -> None:
        """Guards against running a version before its record is acknowledged."""
        with mock.patch.object(_running, "waiting_for", lambda register, live: ()):
            self.refute(TWO_LIVES, 13)

    def test_one_reply_is_enough(self) -> None:
        """Guards against recovery from a minority.

        The wait for the witnesses of the record found would hide the fault while they live.
        """
        with mock.patch.multiple(
            _recovery,
            decide_recovery=lambda replies: newest_record(replies.values()),
            adopt_record=lambda register, record: register,
        ):
            self.refute(THREE, 19)

    def test_no_wait_for_former_witnesses(self) -> None:
        """Guards against a changed witness set that leaves the old records in place."""
        with mock.patch.object(_running, "waiting_for", wait_without_former):
            self.refute(LONE_WITNESS, 13)

    def test_older_write_replaces_newer(self) -> None:
        """Guards against a repeated or crossed write that takes a record back."""
        with mock.patch.object(_recovery, "write_record", write_anything):
            self.refute(TWO_LIVES, 25)

    def test_late_write_is_kept(self) -> None:
        """Guards against the write of an ended life that arrives after later lives."""
        with mock.patch.object(_recovery, "write_record", write_late):
            self.refute(LATE_WRITES, 14)

    def test_obsolete_record_is_kept(self) -> None:
        """Guards against a record that outlives two lives of its node."""
        with mock.patch.object(
            _recovery, "see_incarnation", lambda storage, node_id, incarnation: storage
        ):
            self.refute(LATE_WRITES, 14)

    def test_limit_without_gossip(self) -> None:
        """States the known limit: witnesses that missed the whole of a life are believed."""
        self.refute(LATE_WRITES, 14, gossip=False)

    def test_limit_of_false_deaths(self) -> None:
        """States the known limit: a cut-off witness that is listed as dead keeps its record."""
        self.refute(LONE_WITNESS, 13, true_deaths=False)

    def test_serving_without_proof(self) -> None:
        """Guards against serving before either way of start-up has succeeded."""
        with mock.patch.object(_running, "_lowest_allowed", lambda step: 0):
            self.refute(TWO_LIVES, 2, "serves-after-proof")

    def test_partial_application(self) -> None:
        """Guards against a model that does not see a version applied in part."""
        with mock.patch.object(_versions, "_check_entry", apply_without_routes):
            self.refute(TWO_LIVES, 3, "P3-whole-version")

    def test_forged_version(self) -> None:
        """Guards against a model that does not see a version that was never accepted."""
        model = WitnessModel(TWO_LIVES)
        model.pushed_ahead = 1
        self.assert_refuted(model.protocol(), "P9-accepted-only", 6)

    def test_no_writes(self) -> None:
        """Guards against a model in which the newest version is reached by no means of the node."""
        with mock.patch.object(_running, "needs_write", lambda register, name: False):
            result = check_liveness(WitnessModel(ONE_LIFE).protocol())
        self.assertIs(result["holds"], False)
        self.assertEqual(len(result["counterexample"]) - 1, 0)
