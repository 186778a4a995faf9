"""Encoding of the departures that neighbours keep for each other."""

from __future__ import annotations

from typing import Any

from bamboonotch_core.announcements import MAX_DEPARTURES
from bamboonotch_core.departure_messages import Departures
from bamboonotch_core.errors import MessageError
from bamboonotch_core.events import BackendServerAnnounced
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["decode_departures", "encode_departures"]

MAX_TEXT_CHARACTERS = 128


def encode_departures(message: Departures) -> pb.ControlFrame:
    """Encode departures."""
    items = [_encode_departure(item) for item in message.departures]
    return pb.ControlFrame(departures=pb.Departures(node_id=message.node_id, departures=items))


def _encode_departure(departure: BackendServerAnnounced) -> pb.Departure:
    return pb.Departure(
        instance_id=departure.instance_id,
        service=departure.service,
        address=departure.address,
        slots=departure.slots,
        state=departure.state,
        started_unix_ms=departure.started_unix_ms,
        sequence=departure.sequence,
        heard_unix_ms=departure.heard_unix_ms,
        leaving=departure.leaving,
    )


def decode_departures(body: Any) -> Departures:
    """Decode departures.

    :raises MessageError: when there are too many, or a text is too long.
    """
    if len(body.departures) > MAX_DEPARTURES:
        raise MessageError(f"message has more than {MAX_DEPARTURES} departures")
    return Departures(
        _checked("node_id", body.node_id),
        tuple(_decode_departure(item) for item in body.departures),
    )


def _decode_departure(body: Any) -> BackendServerAnnounced:
    return BackendServerAnnounced(
        now_ms=0.0,
        service=_checked("service", body.service),
        address=_checked("address", body.address),
        slots=body.slots,
        state=_checked("state", body.state),
        instance_id=_checked("instance_id", body.instance_id),
        started_unix_ms=body.started_unix_ms,
        sequence=body.sequence if body.HasField("sequence") else None,
        heard_unix_ms=body.heard_unix_ms,
        leaving=body.leaving,
    )


def _checked(name: str, value: str) -> str:
    if len(value) > MAX_TEXT_CHARACTERS:
        raise MessageError(f"field {name} is longer than {MAX_TEXT_CHARACTERS} characters")
    return value
