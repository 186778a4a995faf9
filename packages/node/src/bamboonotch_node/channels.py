"""Options of the gRPC channels between nodes."""

from __future__ import annotations

from bamboonotch_wire.control import MAX_FRAME_BYTES

__all__ = ["CHANNEL_OPTIONS"]

CHANNEL_OPTIONS = (
    # Channels with equal targets otherwise share a connection, and a redial would be put on the
    # connection that went silent.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    # The reducer decides when to dial again.
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
)
