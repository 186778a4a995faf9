"""Conversion of control messages to and from their protobuf encoding."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from typing import Any

from bamboonotch_core.departure_messages import Departures
from bamboonotch_core.errors import MessageError
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
from bamboonotch_core.rollout_messages import RolloutCounts, RolloutPlan
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire._departures import decode_departures, encode_departures
from bamboonotch_wire._rollouts import decode_counts, decode_plan, encode_counts, encode_plan

__all__ = [
    "MAX_FRAME_BYTES",
    "PartialMessageError",
    "decode_message",
    "encode_message",
    "message_kind",
]

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_TEXT_CHARACTERS = 128
MAX_WITNESSES = 64
MAX_LINK_MBPS = 1_000_000.0
MAX_RATE_LIMIT_PER_S = 1e9
MAX_QUOTA_SHARDS = 256

_STATE_TO_WIRE: dict[MemberState, Any] = {
    state: pb.MemberState.Value(f"MEMBER_STATE_{state.name}") for state in MemberState
}
_STATE_FROM_WIRE = {number: state for state, number in _STATE_TO_WIRE.items()}


class PartialMessageError(MessageError):
    """Some of the records of an update are malformed.

    :param fault: what is wrong with the first one.
    :param rest: the update with the other records.
    """

    def __init__(self, fault: str, rest: MemberUpdate) -> None:
        super().__init__(fault)
        self.rest = rest


def message_kind(message: Message) -> str:
    """Return the name of a message's type, for metrics.

    :param message: the message.
    """
    return type(message).__name__


def _check_text(name: str, value: str) -> str:
    if len(value) > MAX_TEXT_CHARACTERS:
        raise MessageError(f"field {name} is longer than {MAX_TEXT_CHARACTERS} characters")
    return value


def _check_node_id(value: str) -> str:
    if not value:
        raise MessageError("field node_id is empty")
    return _check_text("node_id", value)


@singledispatch
def encode_message(message: Message) -> pb.ControlFrame:
    """Encode a control message.

    :param message: the message.
    :raises MessageError: when the type has no encoding.
    """
    raise MessageError(f"no encoding for {type(message).__name__}")


@encode_message.register
def _(message: Heartbeat) -> pb.ControlFrame:
    return pb.ControlFrame(
        heartbeat=pb.Heartbeat(
            held_version=message.held_version,
            running_version=message.running_version,
            membership_digest=message.membership_digest,
            serving=message.serving,
            confirmed_revision=message.confirmed_revision,
            confirmed_age_ms=message.confirmed_age_ms,
            store_epoch=message.store_epoch,
            number=message.number,
            echo=message.echo,
            confirmed_version=message.confirmed_version,
            lost_store=message.lost_store,
        )
    )


@encode_message.register
def _(message: VersionPush) -> pb.ControlFrame:
    return pb.ControlFrame(
        version_push=pb.VersionPush(version=message.version, entry=message.entry)
    )


@encode_message.register
def _(message: VersionAnnounce) -> pb.ControlFrame:
    return pb.ControlFrame(
        version_announce=pb.VersionAnnounce(
            version=message.version, store_epoch=message.store_epoch
        )
    )


@encode_message.register
def _(message: VersionRequest) -> pb.ControlFrame:
    return pb.ControlFrame(version_request=pb.VersionRequest(after_version=message.after_version))


@encode_message.register
def _(message: SnapshotChunk) -> pb.ControlFrame:
    return pb.ControlFrame(
        snapshot_chunk=pb.SnapshotChunk(
            version=message.version,
            digest=message.digest,
            index=message.index,
            count=message.count,
            data=message.data,
        )
    )


def _encode_record(record: MemberRecord) -> pb.MemberRecord:
    return pb.MemberRecord(
        node_id=record.node_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        region=record.region,
        data_centre=record.data_centre,
        peer_address=record.peer_address,
        http_address=record.http_address,
        admin_address=record.admin_address,
        service=record.service,
        slots=record.slots,
        state=_STATE_TO_WIRE[record.state],
        relay_slot=record.relay_slot,
        link_mbps=record.link_mbps,
        rate_limit_per_s=record.rate_limit_per_s,
        quota_shards=record.quota_shards,
        software_version=record.software_version,
    )


@encode_message.register
def _(message: MemberUpdate) -> pb.ControlFrame:
    records = [_encode_record(record) for record in message.records]
    return pb.ControlFrame(member_update=pb.MemberUpdate(records=records))


@encode_message.register
def _(message: MemberDigests) -> pb.ControlFrame:
    digests = [
        pb.DataCentreDigest(data_centre=data_centre, digest=digest)
        for data_centre, digest in message.digests
    ]
    return pb.ControlFrame(member_digests=pb.MemberDigests(digests=digests))


@encode_message.register
def _(message: MemberRequest) -> pb.ControlFrame:
    known = [
        pb.MemberVersion(
            node_id=item.node_id,
            incarnation=item.incarnation,
            sequence=item.sequence,
            state_rank=item.state_rank,
        )
        for item in message.known
    ]
    return pb.ControlFrame(
        member_request=pb.MemberRequest(data_centres=message.data_centres, known=known)
    )


@encode_message.register
def _(message: Suspicion) -> pb.ControlFrame:
    return pb.ControlFrame(
        suspicion=pb.Suspicion(
            node_id=message.node_id,
            incarnation=message.incarnation,
            sequence=message.sequence,
            reporter=message.reporter,
        )
    )


def _encode_witness_record(record: WitnessRecord) -> pb.WitnessRecord:
    return pb.WitnessRecord(
        node_id=record.node_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        version=record.version,
        witnesses=record.witnesses,
    )


@encode_message.register
def _(message: WitnessWrite) -> pb.ControlFrame:
    record = _encode_witness_record(message.record)
    return pb.ControlFrame(witness_write=pb.WitnessWrite(record=record))


@encode_message.register
def _(message: WitnessAck) -> pb.ControlFrame:
    record = _encode_witness_record(message.record)
    return pb.ControlFrame(witness_ack=pb.WitnessAck(record=record))


@encode_message.register
def _(message: WitnessQuery) -> pb.ControlFrame:
    return pb.ControlFrame(witness_query=pb.WitnessQuery(node_id=message.node_id))


@encode_message.register
def _(message: WitnessReply) -> pb.ControlFrame:
    record = None if message.record is None else _encode_witness_record(message.record)
    reply = pb.WitnessReply(
        node_id=message.node_id, record=record, held_version=message.held_version
    )
    return pb.ControlFrame(witness_reply=reply)


encode_message.register(Departures, encode_departures)
encode_message.register(RolloutPlan, encode_plan)
encode_message.register(RolloutCounts, encode_counts)


def _decode_heartbeat(body: Any) -> Message:
    return Heartbeat(
        body.held_version,
        body.running_version,
        body.membership_digest,
        body.serving,
        body.confirmed_revision,
        body.confirmed_age_ms if body.HasField("confirmed_age_ms") else None,
        body.store_epoch,
        body.number,
        body.echo,
        body.confirmed_version,
        body.lost_store,
    )


def _decode_version_push(body: Any) -> Message:
    return VersionPush(body.version, body.entry)


def _decode_version_announce(body: Any) -> Message:
    return VersionAnnounce(body.version, body.store_epoch)


def _decode_version_request(body: Any) -> Message:
    return VersionRequest(body.after_version)


def _decode_snapshot_chunk(body: Any) -> Message:
    if not 0 <= body.index < body.count:
        raise MessageError("snapshot chunk index is not below its count")
    return SnapshotChunk(body.version, body.digest, body.index, body.count, body.data)


def _check_link_mbps(value: float) -> float:
    if not 0 <= value <= MAX_LINK_MBPS:
        raise MessageError(f"link_mbps {value} of a member is out of range")
    return value


def _check_rate_limit(body: Any) -> float | None:
    if not body.HasField("rate_limit_per_s"):
        return None
    # Written so that a value that is not a number is refused as well.
    if not 0 <= body.rate_limit_per_s <= MAX_RATE_LIMIT_PER_S:
        raise MessageError(f"rate limit {body.rate_limit_per_s} of a member is out of range")
    return float(body.rate_limit_per_s)


def _check_quota_shards(body: Any) -> tuple[int, ...]:
    if len(body.quota_shards) > MAX_QUOTA_SHARDS:
        raise MessageError(f"member names more than {MAX_QUOTA_SHARDS} quota shards")
    return tuple(body.quota_shards)


def _decode_record(body: Any) -> MemberRecord:
    state = _STATE_FROM_WIRE.get(body.state)
    if state is None:
        raise MessageError(f"member state {body.state} is not known")
    return MemberRecord(
        node_id=_check_node_id(body.node_id),
        incarnation=body.incarnation,
        sequence=body.sequence,
        region=_check_text("region", body.region),
        data_centre=_check_text("data_centre", body.data_centre),
        peer_address=_check_text("peer_address", body.peer_address),
        http_address=_check_text("http_address", body.http_address),
        admin_address=_check_text("admin_address", body.admin_address),
        service=_check_text("service", body.service),
        slots=body.slots,
        state=state,
        relay_slot=body.relay_slot,
        link_mbps=_check_link_mbps(body.link_mbps),
        rate_limit_per_s=_check_rate_limit(body),
        quota_shards=_check_quota_shards(body),
        software_version=_check_text("software_version", body.software_version),
    )


def _decode_member_update(body: Any) -> Message:
    records = []
    faults = []
    for record in body.records:
        try:
            records.append(_decode_record(record))
        except MessageError as error:
            faults.append(str(error))
    update = MemberUpdate(tuple(records))
    if faults:
        fault = f"{len(faults)} of {len(body.records)} member records: {faults[0]}"
        raise PartialMessageError(fault, update)
    return update


def _decode_member_digests(body: Any) -> Message:
    return MemberDigests(
        tuple((_check_text("data_centre", item.data_centre), item.digest) for item in body.digests)
    )


def _decode_member_request(body: Any) -> Message:
    known = tuple(
        MemberVersion(
            _check_node_id(item.node_id), item.incarnation, item.sequence, item.state_rank
        )
        for item in body.known
    )
    return MemberRequest(tuple(body.data_centres), known)


def _decode_suspicion(body: Any) -> Message:
    return Suspicion(
        _check_node_id(body.node_id),
        body.incarnation,
        body.sequence,
        _check_text("reporter", body.reporter),
    )


def _decode_witness_record(body: Any) -> WitnessRecord:
    if len(body.witnesses) > MAX_WITNESSES:
        raise MessageError(f"witness record names more than {MAX_WITNESSES} witnesses")
    return WitnessRecord(
        _check_node_id(body.node_id),
        body.incarnation,
        body.sequence,
        body.version,
        tuple(_check_text("witnesses", name) for name in body.witnesses),
    )


def _decode_witness_write(body: Any) -> Message:
    return WitnessWrite(_decode_witness_record(body.record))


def _decode_witness_ack(body: Any) -> Message:
    return WitnessAck(_decode_witness_record(body.record))


def _decode_witness_query(body: Any) -> Message:
    return WitnessQuery(_check_node_id(body.node_id))


def _decode_witness_reply(body: Any) -> Message:
    record = _decode_witness_record(body.record) if body.HasField("record") else None
    return WitnessReply(_check_node_id(body.node_id), record, body.held_version)


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "heartbeat": _decode_heartbeat,
    "version_push": _decode_version_push,
    "version_announce": _decode_version_announce,
    "version_request": _decode_version_request,
    "snapshot_chunk": _decode_snapshot_chunk,
    "member_update": _decode_member_update,
    "member_digests": _decode_member_digests,
    "member_request": _decode_member_request,
    "suspicion": _decode_suspicion,
    "witness_write": _decode_witness_write,
    "witness_ack": _decode_witness_ack,
    "witness_query": _decode_witness_query,
    "witness_reply": _decode_witness_reply,
    "departures": decode_departures,
    "rollout_plan": decode_plan,
    "rollout_counts": decode_counts,
}


def decode_message(frame: pb.ControlFrame) -> Message | None:
    """Decode a control message.

    :param frame: the frame.
    :returns: the message, or ``None`` for a frame of a kind that this version does not know.
    :raises PartialMessageError: when only some records of an update are malformed.
    :raises MessageError: when a field is malformed or exceeds its limit.
    """
    kind = frame.WhichOneof("body")
    decoder = _DECODERS.get(kind or "")
    return None if decoder is None else decoder(getattr(frame, kind))
