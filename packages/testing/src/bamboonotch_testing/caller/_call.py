"""One HTTP call and what became of it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

from bamboonotch_testing.backend_server import AddressEndpoints, MemoryBody, answer_body

__all__ = ["Call", "CallRecord", "CallerClient"]

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 512


@dataclass(frozen=True)
class Call:
    """What to send.

    :param request_class: name for the statistics.
    :param method: HTTP method.
    :param path: path with query.
    :param request_id: value of ``X-Request-Id``.
    :param idempotency_key: value of ``Idempotency-Key``, or empty.
    :param timeout_ms: value of ``Request-Timeout-Ms``, or 0 for none.
    :param body: the body.
    :param headers: more headers.
    """

    request_class: str
    method: str
    path: str
    request_id: str
    idempotency_key: str = ""
    timeout_ms: int = 0
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class CallRecord:
    """What became of a call.

    :param call: the call.
    :param status: HTTP status, or 0 when no head arrived.
    :param outcome: value of ``Bamboonotch-Outcome``, or empty.
    :param reason: value of ``Bamboonotch-Reason``, or empty.
    :param latency_ms: time from the planned start to the end of the answer, in milliseconds.
    :param complete: whether the transfer ended as HTTP demands.
    :param own_answer: whether a body with status 200 is the one that belongs to the request id.
    :param size_bytes: length of the body.
    :param error: why there is no complete answer, or empty.
    """

    call: Call
    status: int
    outcome: str
    reason: str
    latency_ms: float
    complete: bool
    own_answer: bool
    size_bytes: int
    error: str


class _Collector(Protocol):
    """Collects a response body."""

    def __init__(self, done: asyncio.Future[tuple[bytes, str]]) -> None:
        self._pieces: list[bytes] = []
        self._done = done

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece.

        :param data: the piece.
        """
        self._pieces.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the body.

        :param reason: ``ResponseDone`` when it is complete.
        """
        error = "" if reason.check(ResponseDone) else reason.type.__name__
        if not self._done.done():
            self._done.set_result((b"".join(self._pieces), error))


class CallerClient:
    """Sends calls over persistent connections; never sends one twice.

    :param reactor: the reactor.
    :param address: ``ip:port`` of a node or of a backend server.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        self._base = f"http://{address}"
        self._pool = HTTPConnectionPool(reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        endpoints = AddressEndpoints(reactor, CONNECT_TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)

    async def close(self) -> None:
        """Close the idle connections."""
        closing: Deferred[Any] = self._pool.closeCachedConnections()
        await closing.asFuture(asyncio.get_running_loop())

    async def send(self, call: Call, started_s: float | None = None) -> CallRecord:
        """Send a call and wait for the end of its answer.

        :param call: the call.
        :param started_s: planned start on the monotonic clock, in seconds; now when absent.
        """
        loop = asyncio.get_running_loop()
        start_s = time.monotonic() if started_s is None else started_s
        try:
            response = await self._request(call).asFuture(loop)
            done: asyncio.Future[tuple[bytes, str]] = loop.create_future()
            response.deliverBody(_Collector(done))
            body, error = await done
        except asyncio.CancelledError:
            raise
        except Exception as failure:
            return self._record(call, start_s, None, b"", type(failure).__name__)
        return self._record(call, start_s, response, body, error)

    def _request(self, call: Call) -> Any:
        headers = Headers({name: [value] for name, value in call.headers})
        headers.setRawHeaders(b"X-Request-Id", [call.request_id.encode("ascii")])
        if call.idempotency_key:
            headers.setRawHeaders(b"Idempotency-Key", [call.idempotency_key.encode("ascii")])
        if call.timeout_ms:
            headers.setRawHeaders(b"Request-Timeout-Ms", [b"%d" % call.timeout_ms])
        return self._agent.request(
            call.method.encode("ascii"),
            (self._base + call.path).encode("ascii"),
            headers,
            MemoryBody(call.body) if call.body else None,
        )

    @staticmethod
    def _record(call: Call, start_s: float, response: Any, body: bytes, error: str) -> CallRecord:
        def header(name: bytes) -> str:
            if response is None:
                return ""
            value: bytes = response.headers.getRawHeaders(name, [b""])[0]
            return value.decode("latin-1")

        own_answer = bool(body) and body == answer_body(call.request_id, len(body))
        return CallRecord(
            call=call,
            status=0 if response is None else response.code,
            outcome=header(b"Bamboonotch-Outcome"),
            reason=header(b"Bamboonotch-Reason"),
            latency_ms=(time.monotonic() - start_s) * 1000,
            complete=response is not None and not error,
            own_answer=own_answer,
            size_bytes=len(body),
            error=error,
        )
