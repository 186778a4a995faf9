"""Tests of the encoding of control messages."""

from __future__ import annotations

import unittest

from bamboonotch_core.departure_messages import Departures
from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.messages import (
    Heartbeat,
    MemberDigests,
    MemberRequest,
    MemberUpdate,
    MemberVersion,
    Message,
    SnapshotChunk,
    Suspicion,
    VersionAnnounce,
    VersionPush,
    VersionRequest,
    WitnessAck,
    WitnessQuery,
    WitnessRecord,
    WitnessReply,
    WitnessWrite,
)
from bamboonotch_core.rollout_messages import (
    RolloutCounts,
    RolloutGrant,
    RolloutOrder,
    RolloutPlan,
    RouteCounts,
)
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire.control import decode_message, encode_message

WITNESS_RECORD = WitnessRecord("menu-1", 10**12, 3, 7, ("menu-2", "orders-1"))


def make_record(state: MemberState) -> MemberRecord:
    """Return a record with every field set."""
    return MemberRecord(
        node_id="menu-1",
        incarnation=10**12,
        sequence=4,
        region="bagmati",
        data_centre="bagmati-1",
        peer_address="10.0.0.1:7100",
        http_address="10.0.0.1:7101",
        admin_address="10.0.0.1:7102",
        service="menu",
        slots=6,
        state=state,
        relay_slot=-1,
        link_mbps=4.55,
        quota_shards=(0, 3),
        software_version="v2.1",
    )


MESSAGES: tuple[Message, ...] = (
    Heartbeat(5, 4, 2**64 - 1, True),
    Heartbeat(5, 4, 2**64 - 1, True, 2**63, 1200, 2**63),
    Heartbeat(5, 4, 0, True, 7, 1200, 1, number=2**63, echo=2**62),
    Heartbeat(5, 4, 0, True, 7, 1200, 1, number=2, echo=1, confirmed_version=2**63),
    Heartbeat(5, 4, 0, True, 7, 1200, 1, number=2, echo=1, lost_store=True),
    Departures(
        "menu-1",
        (
            BackendServerAnnounced(
                0.0, "menu", "10.0.0.1:80", 6, "draining", "i-1", 10**12, 0, 0.0, 10**12, True
            ),
            BackendServerAnnounced(0.0, "", "", 0, "stopped", "i-2", heard_unix_ms=10**12),
        ),
    ),
    Departures("menu-1", ()),
    VersionPush(5, b"entry"),
    VersionAnnounce(5),
    RolloutPlan(RolloutOrder("orders", "", 0, 107, 3)),
    RolloutPlan(
        RolloutOrder("orders", "v2", 30_000, 107, 3, 105),
        2**40,
        "running",
        0.02,
        12,
        1500.5,
        ("v0",),
        (RolloutGrant("orders-1", 10**12, 6),),
        True,
    ),
    RolloutCounts(
        "orders-1",
        10**12,
        9,
        "orders",
        "105/30000/v2",
        "v2",
        6,
        1,
        True,
        (RouteCounts("read", 2, ((-1, 1), (10, 3))), RouteCounts("", 0, ())),
    ),
    VersionAnnounce(5, 2**63),
    VersionRequest(4),
    SnapshotChunk(5, "ab" * 32, 0, 2, b"data"),
    MemberUpdate(tuple(make_record(state) for state in MemberState)),
    MemberDigests((("bagmati-1", 2**63), ("gandaki-1", 0))),
    MemberRequest(("bagmati-1",), (MemberVersion("menu-1", 10**12, 4, 2),)),
    Suspicion("menu-1", 10**12, 4, "menu-2"),
    WitnessWrite(WITNESS_RECORD),
    WitnessAck(WITNESS_RECORD),
    WitnessQuery("menu-1"),
    WitnessReply("menu-1", WITNESS_RECORD, 7),
    WitnessReply("menu-1", None, 0),
)


class RoundTripTest(unittest.TestCase):
    """Encoding and decoding."""

    def test_every_message(self) -> None:
        """Guards against a field or message lost between two nodes."""
        for message in MESSAGES:
            with self.subTest(message=type(message).__name__):
                data = encode_message(message).SerializeToString()
                self.assertEqual(decode_message(pb.ControlFrame.FromString(data)), message)

    def test_every_message_type_is_covered(self) -> None:
        """Guards against a new message type that is missing from the round trip."""
        self.assertEqual({type(message) for message in MESSAGES}, set(Message.__subclasses__()))

    def test_unknown_frame_is_ignored(self) -> None:
        """Guards against a newer node's message breaking an older node."""
        frame = pb.ControlFrame.FromString(b"\xfa\x07\x03abc")
        self.assertIsNone(decode_message(frame))


class MalformedTest(unittest.TestCase):
    """Frames that must be refused."""

    def test_malformed_fields(self) -> None:
        """Guards against hostile peers filling memory or crashing a node."""
        long_name = "x" * 200
        record = pb.MemberRecord(node_id="a", state=pb.MEMBER_STATE_READY)
        frames = (
            pb.ControlFrame(snapshot_chunk=pb.SnapshotChunk(index=2, count=2)),
            pb.ControlFrame(snapshot_chunk=pb.SnapshotChunk()),
            pb.ControlFrame(member_update=pb.MemberUpdate(records=[pb.MemberRecord()])),
            pb.ControlFrame(member_update=pb.MemberUpdate(records=[pb.MemberRecord(node_id="a")])),
            pb.ControlFrame(
                member_update=pb.MemberUpdate(
                    records=[record, pb.MemberRecord(node_id=long_name, state=2)]
                )
            ),
            pb.ControlFrame(witness_query=pb.WitnessQuery()),
            pb.ControlFrame(
                witness_write=pb.WitnessWrite(
                    record=pb.WitnessRecord(node_id="a", witnesses=["w"] * 100)
                )
            ),
            pb.ControlFrame(suspicion=pb.Suspicion(node_id="a", reporter=long_name)),
        )
        for frame in frames:
            with self.subTest(frame=frame), self.assertRaises(MessageError):
                decode_message(frame)
