"""A backend server with slots, work times and heartbeats."""

from __future__ import annotations

import json
import time
from collections import deque
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError, DNSLookupError
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, ResponseFailed, readBody
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bamboonotch_store.http import BytesProducer

__all__ = ["ABSENT_NODE", "Answer", "Arrival", "BackendPlan", "PlatformBackend", "Run", "make_body"]

SLOW_PREFIX = "/slow/"
# How a call ends when the node does not run, or this stand-in is closed meanwhile.
ABSENT_NODE = (
    CancelledError,
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
    ResponseFailed,
)


def make_body(request_id: str, size_bytes: int) -> bytes:
    """Return the body of the answer to one request, which no other answer has.

    :param request_id: the request.
    :param size_bytes: size of the body.
    """
    text = f"{request_id or 'none'} ".encode()
    return (text * (size_bytes // len(text) + 1))[:size_bytes]


class Answer(Enum):
    """How a request that was run is answered."""

    WHOLE = "whole"
    CUT = "cut"  # the body breaks off
    UNFRAMED = "unframed"  # no length; ends with the connection
    UNSIGNED = "unsigned"  # without the signature
    FOREIGN = "foreign"  # names another request
    LOST = "lost"  # the connection is reset after the run
    ERROR = "error"  # 500 with a signature


@dataclass(frozen=True)
class BackendPlan:
    """What a backend server is.

    :param instance_id: id of its process.
    :param service: its service.
    :param slots: requests that it runs at once.
    :param queue: requests that wait for a slot; more are refused.
    :param work_ms: time that a request takes, in milliseconds.
    :param body_bytes: size of a response.
    :param slow_ms: time that a request below ``/slow/`` takes, in milliseconds.
    :param heartbeat_ms: time between two heartbeats, in milliseconds.
    :param started_unix_ms: start of the process, in milliseconds since 1970.
    :param version: version of its software.
    """

    instance_id: str
    service: str
    slots: int = 6
    queue: int = 24
    work_ms: float = 20.0
    body_bytes: int = 5000
    slow_ms: float = 700.0
    heartbeat_ms: float = 300.0
    started_unix_ms: int = 1_700_000_000_000
    version: str = "v1"


@dataclass(frozen=True)
class Arrival:
    """One request that arrived, whether or not it was run.

    :param request_id: value of ``Attempt-Id``.
    :param instance_id: process that it arrived at.
    :param arrived_s: monotonic clock, in seconds.
    """

    request_id: str
    instance_id: str
    arrived_s: float


@dataclass
class Run:
    """One request that was run.

    :param request_id: value of ``Attempt-Id``.
    :param method: HTTP method.
    :param path: request path with query.
    :param body: request body.
    :param caller_service: value of ``Caller-Service``.
    :param remaining_ms: value of ``Timeout-Remaining``.
    :param workspace: value of ``Tenant``.
    :param credentials: value of ``Authorization``.
    :param started_s: when a slot took it, on the monotonic clock, in seconds.
    :param ended_s: when it left its slot, also where its caller had left; 0 while it runs.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    caller_service: str
    remaining_ms: int
    workspace: str = ""
    credentials: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0


class PlatformBackend:
    """Serves requests on a port of its own and announces itself to a node.

    :param reactor: Twisted reactor.
    :param plan: what it is.
    :param control_address: ``ip:port`` for its announcements.

    ``rate_limits`` holds the values of the header in which its responses name a rate;
    ``says_leaving`` is whether they say that it leaves, and ``told_leaving_ids`` the requests of
    those that did.
    """

    def __init__(self, reactor: Any, plan: BackendPlan, control_address: str) -> None:
        self._reactor = reactor
        self.plan = plan
        self._control_address = control_address
        self.answer = Answer.WHOLE
        self.state = "ready"
        self.rate_limits: tuple[str, ...] = ()
        self.says_leaving = False
        self.told_leaving_ids: list[str] = []
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.cancelled = 0
        self.acknowledged: list[str] = []
        self.address = ""
        self._agent = Agent(reactor, connectTimeout=1)
        self._sequence = 0
        self._running = 0
        self._waiting: deque[tuple[Request, Run]] = deque()
        self._timers: dict[int, Any] = {}
        self._port: Any = None
        self._beating: Deferred[Any] | None = None
        self._beats = LoopingCall(self._beat_quietly)

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to serve and to announce, and return ``ip:port``.

        :param host: address to bind.
        :param port: port to bind, 0 for a free one.
        """
        site = Site(_Everything(self))
        site.noisy = False
        site.log = lambda request: None
        self._port = self._reactor.listenTCP(port, site, interface=host)
        bound = self._port.getHost()
        self.address = f"{bound.host}:{bound.port}"
        self._beats.clock = self._reactor
        self._beats.start(self.plan.heartbeat_ms / 1000)
        return self.address

    def stop_announcing(self) -> None:
        """Say nothing more."""
        if self._beats.running:
            self._beats.stop()
        if self._beating is not None:
            self._beating.cancel()

    def close(self) -> Any:
        """Stop to serve and to announce."""
        self.stop_announcing()
        return None if self._port is None else self._port.stopListening()

    def replace_process(self, instance_id: str) -> None:
        """Become another process at the same address.

        :param instance_id: id of the new process.
        """
        self.plan = replace(
            self.plan,
            instance_id=instance_id,
            started_unix_ms=self.plan.started_unix_ms + 1000,
        )
        self._sequence = 0

    async def beat(self) -> int:
        """Send a heartbeat and return the status of its acknowledgement."""
        self._sequence += 1
        return await self._send_heartbeat(self.state, self._sequence)

    async def beat_late(self) -> int:
        """Send the heartbeat before the last one again, as if it had been delayed.

        :returns: the status of its acknowledgement.
        """
        return await self._send_heartbeat("ready", self._sequence - 1)

    async def _send_heartbeat(self, state: str, sequence: int) -> int:
        body = {
            "address": self.address,
            "born": self.plan.started_unix_ms,
            "info": {
                "service": self.plan.service,
                "version": self.plan.version,
                "zone": "ktm-a",
                "slots": self.plan.slots,
            },
            "status": {"state": state, "sequence": sequence, "cold-left-s": 0},
        }
        return await self._call(b"PUT", json.dumps(body).encode())

    async def leave(self) -> int:
        """Send the call by which a process leaves, and return the status."""
        self.stop_announcing()
        return await self._call(b"DELETE", b"")

    async def _call(self, method: bytes, body: bytes) -> int:
        path = f"http://{self._control_address}/v1/instances/{self.plan.instance_id}"
        headers = Headers({b"Content-Type": [b"application/json"]})
        producer = BytesProducer(body) if body else None
        response = await self._agent.request(method, path.encode(), headers, producer)
        await readBody(response)
        self.acknowledged.append(self.state)
        return int(response.code)

    def _beat_quietly(self) -> Deferred[Any]:
        # The node may not run yet, or not any more; the next heartbeat tries again.
        beat: Deferred[Any] = Deferred.fromCoroutine(self.beat())
        self._beating = beat
        return beat.addErrback(lambda failure: failure.trap(*ABSENT_NODE))

    def arrive(self, request: Request) -> Any:
        """Take a request.

        :param request: the request.
        """
        request_id = request.getHeader("Attempt-Id") or ""
        expected = request.getHeader("Expected-Instance")
        if expected is not None and expected != self.plan.instance_id:
            request.setResponseCode(421)
            request.setHeader("Instance-Id", self.plan.instance_id)
            return b""
        self.arrivals.append(Arrival(request_id, self.plan.instance_id, time.monotonic()))
        run = Run(
            request_id=request_id,
            method=request.method.decode("ascii"),
            path=request.uri.decode("ascii"),
            body=request.content.read(),
            caller_service=request.getHeader("Caller-Service") or "",
            remaining_ms=int(request.getHeader("Timeout-Remaining") or 0),
            workspace=request.getHeader("Tenant") or "",
            credentials=request.getHeader("Authorization") or "",
        )
        if len(self._waiting) >= self.plan.queue:
            request.setResponseCode(503)
            request.setHeader("Not-Executed", "1")
            return b""
        self._waiting.append((request, run))
        request.notifyFinish().addErrback(lambda failure: self._caller_left(request, run))
        self._start_next()
        return NOT_DONE_YET

    def _start_next(self) -> None:
        while self._waiting and self._running < self.plan.slots:
            request, run = self._waiting.popleft()
            self._running += 1
            run.started_s = time.monotonic()
            self.runs.append(run)
            work_ms = self.plan.slow_ms if run.path.startswith(SLOW_PREFIX) else self.plan.work_ms
            self._timers[id(run)] = self._reactor.callLater(work_ms / 1000, self._end, request, run)

    def _caller_left(self, request: Request, run: Run) -> None:
        if (request, run) in self._waiting:
            self._waiting.remove((request, run))
            return
        timer = self._timers.pop(id(run), None)
        if timer is not None:
            timer.cancel()
            run.ended_s = time.monotonic()
            self.cancelled += 1
            self._running -= 1
            self._start_next()

    def _end(self, request: Request, run: Run) -> None:
        del self._timers[id(run)]
        run.ended_s = time.monotonic()
        self._running -= 1
        self._respond(request, run)
        self._start_next()

    def _respond(self, request: Request, run: Run) -> None:
        answer = self.answer
        if answer is Answer.LOST:
            request.transport.abortConnection()
            return
        body = make_body(run.request_id, self.plan.body_bytes)
        request_id = "0" * 16 if answer is Answer.FOREIGN else run.request_id
        signature = f"{run.request_id}.1"
        request.setHeader("Attempt-Id", request_id)
        if self.says_leaving:
            request.setHeader("Server-Leaving", "1")
            self.told_leaving_ids.append(run.request_id)
        for rate_limit in self.rate_limits:
            request.responseHeaders.addRawHeader("Server-Limit", rate_limit)
        request.setHeader("Server-Load", f"{self._running},{len(self._waiting)},{self.plan.slots}")
        if answer is not Answer.UNSIGNED:
            request.setHeader("Response-Signature", signature)
        if answer is Answer.ERROR:
            request.setResponseCode(500)
        if answer is Answer.UNFRAMED:
            names = f"Attempt-Id: {request_id}\r\nResponse-Signature: {signature}\r\n"
            request.transport.write(f"HTTP/1.1 200 OK\r\n{names}\r\n".encode() + body)
            request.transport.loseConnection()
            return
        request.setHeader("Content-Length", str(len(body)))
        if answer is Answer.CUT:
            request.write(body[:-10])
            request.transport.loseConnection()
            return
        request.write(body)
        request.finish()


class _Everything(Resource):
    """Takes every request."""

    isLeaf = True  # noqa: N815

    def __init__(self, backend: PlatformBackend) -> None:
        super().__init__()
        self._backend = backend

    def render(self, request: Request) -> Any:
        """Take a request."""
        return self._backend.arrive(request)
