"""Attempts on their way between the ingress node and the owner, over gRPC streams."""

from bamboonotch_node.forwarding._client import ForwardingClient
from bamboonotch_node.forwarding._handlers import EffectHandlers, merge_handlers
from bamboonotch_node.forwarding._incoming import IncomingAttempt
from bamboonotch_node.forwarding._outbox import WINDOW_BYTES
from bamboonotch_node.forwarding._owner import OwnerSide
from bamboonotch_node.forwarding._quotas import QuotaAnswers
from bamboonotch_node.forwarding._server import ForwardingServer
from bamboonotch_node.forwarding._sink import AttemptSink
from bamboonotch_node.forwarding._uplink import Uplink

__all__ = [
    "AttemptSink",
    "EffectHandlers",
    "ForwardingClient",
    "ForwardingServer",
    "IncomingAttempt",
    "OwnerSide",
    "QuotaAnswers",
    "Uplink",
    "WINDOW_BYTES",
    "merge_handlers",
]
