"""Encoded size of each kind of control message at one fleet size."""

from __future__ import annotations

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
from bamboonotch_testing.capacity._document import BASE_VERSION, Documents
from bamboonotch_testing.capacity._sizes import DATA_CENTRES
from bamboonotch_testing.capacity._state import make_records
from bamboonotch_wire.control import encode_message

__all__ = ["ALL_RECORDS", "FRAME_HEAD_BYTES", "encode_sizes"]

# Five bytes of gRPC and nine of HTTP/2 before each message; TCP and IP are not counted.
FRAME_HEAD_BYTES = 14
ALL_RECORDS = "MemberUpdate, all records"
DIGEST = 2**63 + 12345


def encode_sizes(members: int, documents: Documents) -> dict[str, float]:
    """Return the bytes of each kind of message with its head.

    :param members: member records of the fleet.
    :param documents: what the versions hold.
    """
    records = make_records(members)
    witnesses = tuple(record.node_id for record in records[:5])
    first = records[0]
    record = WitnessRecord(first.node_id, first.incarnation, 9, BASE_VERSION, witnesses)
    centres = sorted({one.data_centre for one in records})
    known = tuple(
        MemberVersion(one.node_id, one.incarnation, one.sequence, 0)
        for one in records
        if one.data_centre == centres[0]
    )
    assert len(centres) <= DATA_CENTRES
    messages: dict[str, Message] = {
        "Heartbeat": Heartbeat(BASE_VERSION, BASE_VERSION, DIGEST, True),
        "VersionPush": VersionPush(BASE_VERSION + 1, documents.entry),
        "VersionAnnounce": VersionAnnounce(BASE_VERSION + 1),
        "VersionRequest": VersionRequest(BASE_VERSION),
        "SnapshotChunk": SnapshotChunk(BASE_VERSION, documents.digest, 0, 1, documents.snapshot),
        "MemberUpdate, one record": MemberUpdate((first,)),
        ALL_RECORDS: MemberUpdate(records),
        "MemberDigests": MemberDigests(tuple((centre, DIGEST) for centre in centres)),
        "MemberRequest, one data centre": MemberRequest((centres[0],), known),
        "Suspicion": Suspicion(first.node_id, first.incarnation, first.sequence, "node-00001"),
        "WitnessWrite": WitnessWrite(record),
        "WitnessAck": WitnessAck(record),
        "WitnessQuery": WitnessQuery(first.node_id),
        "WitnessReply": WitnessReply(first.node_id, record, BASE_VERSION),
    }
    return {
        name: float(encode_message(message).ByteSize() + FRAME_HEAD_BYTES)
        for name, message in messages.items()
    }
