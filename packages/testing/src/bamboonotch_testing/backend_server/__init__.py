"""Stand-in backend server."""

from bamboonotch_testing.backend_server._announcer import Announcer, MemoryBody
from bamboonotch_testing.backend_server._body import answer_body
from bamboonotch_testing.backend_server._endpoints import AddressEndpoints
from bamboonotch_testing.backend_server._server import BackendServer, Mode, RunRecord
from bamboonotch_testing.backend_server._service_time import ServiceTimes, parse_service_time

__all__ = [
    "AddressEndpoints",
    "Announcer",
    "BackendServer",
    "MemoryBody",
    "Mode",
    "RunRecord",
    "ServiceTimes",
    "answer_body",
    "parse_service_time",
]
