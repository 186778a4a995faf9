"""Tests of record updates and of the exchange between directories."""

from __future__ import annotations

import unittest

from bamboonotch_core import events
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import find_member, live_members
from bamboonotch_core.membership._spreading import MAX_RECORDS_PER_UPDATE
from bamboonotch_core.messages import (
    Heartbeat,
    MemberDigests,
    MemberRequest,
    MemberUpdate,
    MemberVersion,
)
from tests.membership.fleet import (
    SingleNode,
    make_peer,
    make_record,
    make_settings,
    messages_of,
    reports_of,
)


class UpdateTest(unittest.TestCase):
    """Sending of changed records."""

    def setUp(self) -> None:
        """Start a node with two links in its region and two to others."""
        self.node = SingleNode(make_settings("a"))
        self.near, self.other = self.node.link("b"), self.node.link("c")
        self.west, self.north = self.node.link("w", "west"), self.node.link("n", "north")
        self.node.advance(100)

    def sent(self, duration_ms: float = 100) -> dict[str, list[str]]:
        """Return the node ids sent on each link while time passes, one list for all messages."""
        found: dict[str, list[str]] = {}
        for link_id, message in messages_of(self.node.advance(duration_ms), MemberUpdate):
            assert isinstance(message, MemberUpdate)
            found.setdefault(link_id, []).extend(record.node_id for record in message.records)
        return found

    def test_not_sent_back(self) -> None:
        """Guards against updates that are sent back to their sender."""
        self.node.receive(self.near, MemberUpdate((make_record("x"),)))
        self.assertEqual(set(self.sent()), {self.other, self.west, self.north})
        self.assertEqual(self.sent(), {})

    def test_not_passed_to_third_region(self) -> None:
        """Guards against each update crossing the billed links twice."""
        record = make_record("x", region="west", data_centre="west-1")
        self.node.receive(self.west, MemberUpdate((record,)))
        self.assertEqual(set(self.sent()), {self.near, self.other})

    def test_one_message_for_many_changes(self) -> None:
        """Guards against one message for each change while many records change."""
        for number in range(20):
            self.node.receive(self.near, MemberUpdate((make_record(f"x{number}"),)))
        out = self.node.advance(100)
        sizes = [
            len(message.records)  # type: ignore[attr-defined]
            for link_id, message in messages_of(out, MemberUpdate)
            if link_id == self.other
        ]
        self.assertEqual(sizes, [20])

    def test_not_sent_to_a_peer_that_has_it(self) -> None:
        """Guards against each update crossing each link in both directions."""
        for link_id in (self.near, self.other):
            self.node.receive(link_id, MemberUpdate((make_record("x"),)))
        self.assertEqual(set(self.sent()), {self.west, self.north})

    def test_leaving_waits_for_no_tick(self) -> None:
        """Guards against requests for a member that has begun to leave (P7)."""
        self.node.receive(self.near, MemberUpdate((make_record("x"),)))
        self.node.advance(100)
        leaving = make_record("x", sequence=2, state=MemberState.DRAINING)
        out = self.node.receive(self.near, MemberUpdate((leaving,)))
        self.assertEqual(len(messages_of(out, MemberUpdate)), 3)

    def test_impossible_fields_are_refused(self) -> None:
        """Guards against invalid records of a faulty peer that are stored and sent on."""
        bad = [
            {"incarnation": 0},
            {"incarnation": 1 << 63},
            {"sequence": -1},
            {"service": "Menu"},
            {"service": ""},
            {"slots": 0},
            {"slots": 10_001},
            {"region": ""},
            {"data_centre": "a b"},
            {"peer_address": "x"},
            {"admin_address": "x:0"},
            {"relay_slot": -2},
        ]
        for changes in bad:
            with self.subTest(changes=changes):
                before = self.node.state.directory
                record = make_record("x", **changes)
                out = self.node.receive(self.near, MemberUpdate((record,)))
                self.assertIs(self.node.state.directory, before)
                self.assertEqual(reports_of(out, "record-refused")[0]["peer"], "b")

    def test_members_are_bounded(self) -> None:
        """Guards against a peer that exhausts the memory with records."""
        node = SingleNode(make_settings("a"))
        link_id = node.link("b")
        limit = node.state.settings.membership.max_members
        records = tuple(make_record(f"x{number}") for number in range(limit + 5))
        out = node.receive(link_id, MemberUpdate(records))
        self.assertEqual(len(live_members(node.state)), limit)
        self.assertEqual(len(reports_of(out, "reports-omitted")), 1)


class ExchangeTest(unittest.TestCase):
    """Exchange of records between directories that differ."""

    def setUp(self) -> None:
        """Start a node that knows two members of different data centres."""
        self.node = SingleNode(make_settings("a"))
        self.link_id = self.node.link("b")
        self.far = make_record("y", region="west", data_centre="west-1")
        self.node.receive(self.link_id, MemberUpdate((make_record("x"), self.far)))
        self.node.advance(100)

    def digests(self, **changes: int) -> MemberDigests:
        """Return the node's own digests with some changed."""
        own = dict(self.node.state.directory.digests)
        own.update({name.replace("_", "-"): digest for name, digest in changes.items()})
        return MemberDigests(tuple(own.items()))

    def test_digests_on_open(self) -> None:
        """Guards against a new node that receives only the records that change."""
        out = self.node.handle(events.LinkOpened, "l", make_peer("c"), True)
        sent = messages_of(out, MemberDigests)
        self.assertEqual(dict(sent[0][1].digests), dict(self.node.state.directory.digests))

    def test_only_differing_data_centres(self) -> None:
        """Guards against whole directories crossing the links for one difference."""
        out = self.node.receive(self.link_id, self.digests(west_1=5))
        request = messages_of(out, MemberRequest)[0][1]
        self.assertEqual(request, MemberRequest(("west-1",), (MemberVersion("y", 1, 1, 0),)))
        self.assertEqual(self.node.receive(self.link_id, self.digests()), ())

    def test_answer_holds_what_differs(self) -> None:
        """Guards against sending records that the peer already has."""
        known = (MemberVersion("x", 1, 1, 0), MemberVersion("a", 1, 0, 0))
        out = self.node.receive(self.link_id, MemberRequest(("east-1",), known))
        records = messages_of(out, MemberUpdate)[0][1].records
        self.assertEqual([record.node_id for record in records], ["a"])

    def test_answer_is_cut_into_messages(self) -> None:
        """Guards against a frame above the limit."""
        records = tuple(make_record(f"x{number}") for number in range(300))
        self.node.receive(self.link_id, MemberUpdate(records))
        out = self.node.receive(self.link_id, MemberRequest(("east-1",), ()))
        sizes = [len(message.records) for _, message in messages_of(out, MemberUpdate)]
        self.assertEqual(sum(sizes), 302)
        self.assertLessEqual(max(sizes), MAX_RECORDS_PER_UPDATE)

    def test_request_reports_deaths(self) -> None:
        """Guards against a missed death of a data centre's last member, which has no digest."""
        known = (MemberVersion("y", 1, 1, 2),)
        self.node.receive(self.link_id, MemberRequest(("west-1",), known))
        self.assertIs(find_member(self.node.state, "y").state, MemberState.SUSPECT)
        self.node.advance(1000)
        self.assertIs(find_member(self.node.state, "y").state, MemberState.DEAD)

    def test_heartbeat_difference_must_last(self) -> None:
        """Guards against an exchange for each update that is still in transit."""
        same = self.node.state.directory.digest
        for digest, wait_ms, expected in ((1, 500, 0), (same, 500, 0), (1, 500, 0), (2, 500, 1)):
            out = self.node.receive(self.link_id, Heartbeat(3, 3, digest, True))
            self.assertEqual(len(messages_of(out, MemberDigests)), expected)
            self.node.now_ms += wait_ms


class DeadTest(unittest.TestCase):
    """Retention of dead members."""

    def setUp(self) -> None:
        """Start a node that has seen a member die."""
        self.node = SingleNode(make_settings("a"))
        self.link_id = self.node.link("b")
        self.live = make_record("x", region="west", data_centre="west-1")
        self.node.receive(self.link_id, MemberUpdate((self.live,)))
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            self.receive_record(state=state)

    def receive_record(self, **changes: object) -> tuple:
        """Receive a record of the member and return the effects."""
        place = {"region": "west", "data_centre": "west-1"}
        record = make_record("x", **(place | changes))
        return self.node.receive(self.link_id, MemberUpdate((record,)))

    def pass_retention(self) -> None:
        """Advance the clock to the end of the retention."""
        self.node.now_ms += self.node.state.settings.membership.dead_retention_ms
        self.node.handle(events.Tick)

    def test_dropped_after_retention(self) -> None:
        """Guards against records of dead members that are never dropped."""
        self.assertIs(find_member(self.node.state, "x").state, MemberState.DEAD)
        self.pass_retention()
        self.assertIsNone(find_member(self.node.state, "x"))

    def test_outdated_record_does_not_revive_member(self) -> None:
        """Guards against an outdated record that makes a dead member live again."""
        self.receive_record()
        self.assertIs(find_member(self.node.state, "x").state, MemberState.DEAD)
        self.pass_retention()
        link_id = self.node.link("c")
        out = self.node.receive(link_id, MemberUpdate((self.live,)))
        self.assertIsNone(find_member(self.node.state, "x"))
        answer = messages_of(out, MemberUpdate)[0][1].records
        self.assertIs(answer[0].state, MemberState.DEAD)

    def test_return_is_accepted(self) -> None:
        """Guards against a restarted node that stays dead."""
        self.pass_retention()
        self.receive_record(incarnation=2)
        self.assertIs(find_member(self.node.state, "x").state, MemberState.READY)

    def test_last_version_is_dropped(self) -> None:
        """Guards against memory that grows with each node that has ever existed."""
        self.pass_retention()
        self.assertEqual(len(self.node.state.detection.forgotten), 1)
        for _ in range(12):
            self.pass_retention()
        self.assertEqual(len(self.node.state.detection.forgotten), 0)
