"""Tests of the directory's indexes and digests."""

from __future__ import annotations

import dataclasses
import unittest
from functools import reduce

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._directory import (
    EMPTY_DIRECTORY,
    LOWEST_KEPT,
    Directory,
    choose_gateway,
    put_record,
    remove_record,
)
from bamboonotch_core.membership._hashing import hash_node_id, hash_record
from tests.membership.fleet import make_record

RECORDS = st.builds(
    make_record,
    st.integers(0, 7).map(lambda number: f"n{number}"),
    sequence=st.integers(0, 3),
    region=st.sampled_from(["east", "west"]),
    data_centre=st.sampled_from(["dc-1", "dc-2", "dc-3"]),
    service=st.sampled_from(["menu", "orders"]),
    state=st.sampled_from(list(MemberState)),
    relay_slot=st.integers(-1, 2),
)


def xor_hashes(records: list[MemberRecord]) -> int:
    """Return the digest of some records."""
    return reduce(lambda number, record: number ^ hash_record(record), records, 0)


def rebuild(records: list[MemberRecord]) -> dict[str, object]:
    """Compute from scratch what the directory keeps incrementally."""
    live = [record for record in records if record.state is not MemberState.DEAD]
    regions = {record.region for record in live}
    centres = {record.data_centre for record in live}
    ready = [record for record in live if record.state is MemberState.READY]
    return {
        "digest": xor_hashes(live),
        "digests": {
            centre: xor_hashes([record for record in live if record.data_centre == centre])
            for centre in centres
        },
        "live": {
            region: {record.node_id for record in live if record.region == region}
            for region in regions
        },
        "lowest": {
            region: tuple(
                sorted(
                    (record.node_id for record in live if record.region == region), key=hash_node_id
                )[:LOWEST_KEPT]
            )
            for region in regions
        },
        "slots": {
            (record.region, record.node_id): (record.data_centre, record.relay_slot)
            for record in live
            if record.relay_slot >= 0
        },
        "services": {
            service: {record.node_id: record for record in ready if record.service == service}
            for service in {record.service for record in ready}
        },
    }


def observe(directory: Directory) -> dict[str, object]:
    """Return what the directory keeps in the form of :func:`rebuild`."""
    regions = directory.regions
    return {
        "digest": directory.digest,
        "digests": dict(directory.digests),
        "live": {name: set(members.live) for name, members in regions.items()},
        "lowest": {name: members.lowest for name, members in regions.items()},
        "slots": {
            (name, node_id): slot
            for name, members in regions.items()
            for node_id, slot in members.slot_holders.items()
        },
        "services": {name: dict(members) for name, members in directory.services.items()},
    }


class DirectoryTest(unittest.TestCase):
    """Incremental updates of the directory."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(RECORDS, max_size=30), st.sets(st.integers(0, 7)))
    def test_equals_rebuild(self, changes: list[MemberRecord], removed: set[int]) -> None:
        """Guards against an index or digest that drifts from the records."""
        directory = EMPTY_DIRECTORY
        for record in changes:
            directory = put_record(directory, record)
        for node_id in [f"n{number}" for number in removed]:
            if node_id in directory.records:
                directory = remove_record(directory, node_id)
        self.assertEqual(observe(directory), rebuild(list(directory.records.values())))
        listed = {name: set(nodes) for name, nodes in directory.data_centres.items()}
        for record in directory.records.values():
            self.assertIn(record.node_id, listed[record.data_centre])
        self.assertEqual(sum(map(len, listed.values())), len(directory.records))

    def test_every_field_counts_in_hash(self) -> None:
        """Guards against a changed field that the digest does not show."""
        record = make_record("a")
        changes = {"incarnation": 2, "sequence": 2, "slots": 7, "relay_slot": 0}
        for field in dataclasses.fields(record):
            value = changes.get(field.name, "x")
            if field.name == "state":
                value = MemberState.DRAINING
            changed = dataclasses.replace(record, **{field.name: value})
            self.assertNotEqual(hash_record(changed), hash_record(record), field.name)

    def test_gateway_choice(self) -> None:
        """Guards against nodes that disagree on the gateway."""
        directory = EMPTY_DIRECTORY
        names = sorted("abcd", key=hash_node_id)
        for name in names:
            directory = put_record(directory, make_record(name))
        self.assertEqual(choose_gateway(directory.regions["east"]), names[0])
        directory = put_record(directory, make_record("c", sequence=2, relay_slot=2))
        holder = make_record("d", sequence=2, relay_slot=1, data_centre="east-2")
        directory = put_record(directory, holder)
        self.assertEqual(choose_gateway(directory.regions["east"]), "c")
        dead = dataclasses.replace(directory.records["c"], state=MemberState.DEAD)
        self.assertEqual(choose_gateway(put_record(directory, dead).regions["east"]), "d")

    def test_state_change_keeps_live_members(self) -> None:
        """Guards against a new ring after each change of a backend server's state."""
        directory = put_record(EMPTY_DIRECTORY, make_record("a"))
        drained = make_record("a", sequence=2, state=MemberState.DRAINING)
        self.assertIs(put_record(directory, drained).regions, directory.regions)
