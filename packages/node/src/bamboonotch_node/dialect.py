"""Names and rules of the HTTP that callers, this node and the backend server speak."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from bamboonotch_core.errors import RateLimitError, ServerLoadError
from bamboonotch_core.slowdown import UNKNOWN_SLOWDOWN

__all__ = ["CREDENTIALS_HEADER", "OWN_DIALECT", "HttpDialect"]

# RFC 9110 section 11.6.2; every dialect has it.
CREDENTIALS_HEADER = b"authorization"
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# Requests that run and wait, slots, and how long work takes in percent of usual.
SERVER_LOAD = re.compile(
    rb"[0-9]{1,9}[ \t]*(?:,[ \t]*[0-9]{1,9}[ \t]*){2}"
    rb"(?:,[ \t]*([0-9]{1,9}(?:\.[0-9]{1,9})?)[ \t]*)?"
)
PERCENT = 100.0


@dataclass(frozen=True)
class HttpDialect:
    """Header names in lower case, and what certain responses of a backend server mean.

    An empty name means that the header is not used.

    :param timeout: milliseconds that the caller, or this node, still waits.
    :param attempt: number of the attempt, to the backend server.
    :param idempotency_key: the caller's key.
    :param request_id: id of the caller's request.
    :param expected_instance: id of the backend server process that the request is meant for.
    :param caller_service: service of the VM that the request comes from.
    :param workspace: name of the caller's workspace, to the backend server.
    :param load: header of a response with the load of its backend server.
    :param not_run: header of a response that says that the request was not run.
    :param not_run_values: values of that header which say so; empty for any value.
    :param not_run_status: status that the response must have besides; 0 for any status.
    :param misdirected_status: status which says that another process was expected; 0 for none.
    :param proof: header that every response made by a backend server's work has.
    :param rate_limit: requests a second that the backend server takes, as a decimal number.
    :param leaving: header with the value 1 in responses of a backend server that leaves.
    :param echoes_request_id: whether a response repeats the request id.
    :param retry_after_decimals: digits after the decimal point of ``Retry-After``.
    :param trusts_close: whether a body without a length is complete when its connection ends
        in order; otherwise it always counts as cut short.
    """

    timeout: bytes = b"request-timeout-ms"
    attempt: bytes = b"bamboonotch-attempt"
    idempotency_key: bytes = b"idempotency-key"
    request_id: bytes = b"x-request-id"
    expected_instance: bytes = b""
    caller_service: bytes = b""
    workspace: bytes = b""
    load: bytes = b""
    not_run: bytes = b"bamboonotch-outcome"
    not_run_values: frozenset[bytes] = frozenset({b"not-run"})
    not_run_status: int = 503
    misdirected_status: int = 0
    proof: bytes = b""
    rate_limit: bytes = b"bamboonotch-rate-limit"
    leaving: bytes = b"bamboonotch-leaving"
    echoes_request_id: bool = False
    retry_after_decimals: int = 0
    trusts_close: bool = False

    @property
    def mesh_headers(self) -> frozenset[bytes]:
        """Headers of a caller's request that the owner writes anew."""
        names = (
            self.timeout,
            self.attempt,
            self.idempotency_key,
            self.expected_instance,
            self.caller_service,
        )
        return frozenset(name for name in names if name)

    @property
    def access_headers(self) -> frozenset[bytes]:
        """Headers of a caller's request that no backend server gets where there are workspaces."""
        return frozenset(name for name in (CREDENTIALS_HEADER, self.workspace) if name)

    def is_not_run(self, status: int, headers: Any) -> bool:
        """Tell whether a response proves that the request was not run.

        :param status: HTTP status.
        :param headers: the library's headers.
        """
        if self.misdirected_status and status == self.misdirected_status:
            return True
        if self.not_run_status and status != self.not_run_status:
            return False
        values = headers.getRawHeaders(self.not_run, [])
        if not self.not_run_values:
            return bool(values)
        return len(values) == 1 and values[0].strip().lower() in self.not_run_values

    def is_of_other_request(self, request_id: str, headers: Any) -> bool:
        """Tell whether a response names another request than the one that waits for it.

        :param request_id: value of the request id header that was sent.
        :param headers: the library's headers.
        """
        if not self.echoes_request_id:
            return False
        values = headers.getRawHeaders(self.request_id, [])
        return bool(values) and values != [request_id.encode("latin-1")]

    def read_rate_limit(self, headers: Any) -> float | None:
        """Return the requests a second that a backend server takes; ``None`` for no limit.

        :param headers: the library's headers.
        :raises RateLimitError: when there are several values, or the value is no decimal number.
        """
        values = headers.getRawHeaders(self.rate_limit, []) if self.rate_limit else []
        if not values:
            return None
        if len(values) > 1:
            raise RateLimitError(f"response has {len(values)} rate limits, not one")
        if DECIMAL_NUMBER.fullmatch(values[0].strip()) is None:
            raise RateLimitError(f"rate limit {values[0]!r:.40} is no number of requests a second")
        return float(values[0])

    def read_slowdown(self, headers: Any) -> float:
        """Return how long work takes at a backend server, where 1 is usual.

        The load in slots and queue that it states is not used; the owner knows its own.

        :param headers: the library's headers.
        :returns: the figure, or ``UNKNOWN_SLOWDOWN`` when the response states none.
        :raises ServerLoadError: when there are several values, or the value cannot be read.
        """
        values = headers.getRawHeaders(self.load, []) if self.load else []
        if not values:
            return UNKNOWN_SLOWDOWN
        if len(values) > 1:
            raise ServerLoadError(f"response states {len(values)} loads, not one")
        match = SERVER_LOAD.fullmatch(values[0].strip())
        if match is None:
            raise ServerLoadError(f"load {values[0]!r:.40} is not running,waiting,slots,percent")
        if match[1] is None:
            return UNKNOWN_SLOWDOWN
        if not float(match[1]):
            raise ServerLoadError(f"load {values[0]!r:.40} states 0 percent, not above 0")
        return float(match[1]) / PERCENT

    def says_leaving(self, headers: Any) -> bool:
        """Tell whether a response says that its backend server leaves.

        :param headers: the library's headers.
        """
        values = headers.getRawHeaders(self.leaving, []) if self.leaving else []
        return any(value.strip() == b"1" for value in values)

    def names_request(self, headers: Any) -> bool:
        """Tell whether a response names the request that it belongs to.

        :param headers: the library's headers.
        """
        return self.echoes_request_id and headers.hasHeader(self.request_id)

    def has_proof(self, headers: Any) -> bool:
        """Tell whether a response was made by a backend server's work.

        :param headers: the library's headers.
        """
        return not self.proof or headers.hasHeader(self.proof)


OWN_DIALECT = HttpDialect()
"""The product's own interface, as ``docs/interfaces.md`` specifies it."""
