"""HTTP/1.1 client to the local backend server."""

from bamboonotch_node.backend._body import Body, RequestBody, body_pieces, is_released
from bamboonotch_node.backend._client import BackendClient
from bamboonotch_node.backend._exchange import BackendExchange
from bamboonotch_node.backend._work import (
    MAX_RESPONSE_HEADER_BYTES,
    MAX_RESPONSE_HEADERS,
    CallerRequest,
    FlowControl,
    HeaderList,
    OfferedWork,
    ResponseReceiver,
    ResponseStart,
    is_final_status,
)

__all__ = [
    "BackendClient",
    "BackendExchange",
    "Body",
    "CallerRequest",
    "FlowControl",
    "HeaderList",
    "MAX_RESPONSE_HEADERS",
    "MAX_RESPONSE_HEADER_BYTES",
    "OfferedWork",
    "RequestBody",
    "ResponseReceiver",
    "ResponseStart",
    "body_pieces",
    "is_final_status",
    "is_released",
]
