"""A stand-in backend server over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import deque
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from bamboonotch_testing.backend_server._body import answer_body
from bamboonotch_testing.backend_server._service_time import ServiceTimes

__all__ = ["BackendServer", "Mode", "RunRecord"]

MAX_RUNS = 1_000_000
MAX_ANSWER_BYTES = 256 * 1024 * 1024
PIECE_BYTES = 64 * 1024
CRASH_EXIT_STATUS = 70


class Mode(Enum):
    """How the server treats requests."""

    SERVE = "serve"
    SHED = "shed"
    SLOW = "slow"
    STOP_READING = "stop-reading"
    CRASH_AFTER_EFFECT = "crash-after-effect"
    EXIT_AFTER_EFFECT = "exit-after-effect"
    DRAIN = "drain"


@dataclass
class RunRecord:
    """One run of one request.

    :param request_id: value of ``X-Request-Id``.
    :param idempotency_key: value of ``Idempotency-Key``, or empty.
    :param attempt: value of ``Bamboonotch-Attempt``, or empty.
    :param timeout_ms: value of ``Request-Timeout-Ms``, or empty.
    :param method: HTTP method.
    :param path: request path with query.
    :param started_unix_ms: when the work took effect, in milliseconds since 1970.
    :param end: ``running``, ``answered``, ``cancelled`` or ``crashed``.
    """

    request_id: str
    idempotency_key: str
    attempt: str
    timeout_ms: str
    method: str
    path: str
    started_unix_ms: int
    end: str = "running"


@dataclass
class _State:
    mode: Mode = Mode.SERVE
    extra_ms: float = 0.0
    in_flight: int = 0
    most_in_flight: int = 0
    refused: int = 0
    connections: int = 0
    runs: deque[RunRecord] = field(default_factory=lambda: deque(maxlen=MAX_RUNS))


class _Pieces:
    """Writes a large body as fast as the peer reads; a pull producer."""

    def __init__(self, request: Any, body: bytes, finished: Any) -> None:
        self._request = request
        self._body = memoryview(body)
        self._finished = finished

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece."""
        piece, self._body = self._body[:PIECE_BYTES], self._body[PIECE_BYTES:]
        self._request.write(bytes(piece))
        if not self._body:
            self._request.unregisterProducer()
            self._finished()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the rest."""
        self._body = self._body[:0]


class _Work(Resource):
    """Every path but ``/control``."""

    isLeaf = True  # noqa: N815

    def __init__(self, server: BackendServer) -> None:
        super().__init__()
        self._server = server

    def render(self, request: Any) -> Any:
        """Answer a request later.

        :param request: the request.
        """
        self._server.take(request)
        return NOT_DONE_YET


class _Control(Resource):
    """``GET /control/runs`` and ``POST /control/mode``."""

    isLeaf = True  # noqa: N815

    def __init__(self, server: BackendServer) -> None:
        super().__init__()
        self._server = server

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Return what ran.

        :param request: the request.
        """
        if request.path != b"/control/runs":
            return self._fail(request, 404, "only /control/runs can be read")
        request.setHeader(b"Content-Type", b"application/json")
        return json.dumps(self._server.describe()).encode("utf-8")

    def render_POST(self, request: Any) -> bytes:  # noqa: N802
        """Change the mode.

        :param request: its body is ``{"mode": ..., "extra_ms": ...}``.
        """
        if request.path != b"/control/mode":
            return self._fail(request, 404, "only /control/mode can be changed")
        try:
            document = json.loads(request.content.read())
            self._server.set_mode(Mode(document["mode"]), float(document.get("extra_ms", 0)))
        except (ValueError, KeyError, TypeError) as error:
            return self._fail(request, 400, f"mode is not valid: {error}")
        return b"{}\n"

    @staticmethod
    def _fail(request: Any, status: int, message: str) -> bytes:
        request.setResponseCode(status)
        return message.encode("utf-8") + b"\n"


class _QuietSite(Site):
    """Writes no access log and counts connections."""

    def __init__(self, server: BackendServer, root: Any, reactor: Any) -> None:
        super().__init__(root, reactor=reactor)
        self.displayTracebacks = False
        self._server = server

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make a connection.

        :param addr: address of the peer.
        """
        self._server.state.connections += 1
        return super().buildProtocol(addr)

    def log(self, request: Any) -> None:
        """Write no line.

        :param request: the finished request.
        """


class BackendServer:
    """Runs requests for their service time and records each run.

    Query parameters of a request: ``size`` (length of the answer in bytes), ``chunked=1`` (no
    ``Content-Length``), ``status`` (status of the answer), ``break`` (bytes of the answer after
    which the connection is broken).

    :param reactor: the reactor.
    :param slots: requests run at once; more are shed. 0 means any number.
    :param times: service times.
    """

    def __init__(self, reactor: Any, slots: int, times: ServiceTimes) -> None:
        self.state = _State()
        self.slots = slots
        self._times = times
        root = _Root(_Work(self), _Control(self))
        self.site = _QuietSite(self, root, reactor)
        self.last_headers: Any = None

    @property
    def announced_state(self) -> str:
        """The state to announce to the node."""
        return "draining" if self.state.mode is Mode.DRAIN else "ready"

    def set_mode(self, mode: Mode, extra_ms: float = 0.0) -> None:
        """Change the mode.

        :param mode: the mode.
        :param extra_ms: added service time in the mode ``slow``, in milliseconds.
        """
        self.state.mode = mode
        self.state.extra_ms = extra_ms

    def describe(self) -> dict[str, Any]:
        """Return the runs and counters."""
        state = self.state
        return {
            "mode": state.mode.value,
            "in_flight": state.in_flight,
            "most_in_flight": state.most_in_flight,
            "refused": state.refused,
            "connections": state.connections,
            "runs": [asdict(run) for run in state.runs],
        }

    def take(self, request: Any) -> None:
        """Run, refuse or ignore a request.

        :param request: the request.
        """
        state = self.state
        if state.mode is Mode.STOP_READING:
            request.transport.pauseProducing()
            return
        full = bool(self.slots) and state.in_flight >= self.slots
        if state.mode in (Mode.SHED, Mode.DRAIN) or full:
            self._shed(request)
            return
        self._run(request)

    def _shed(self, request: Any) -> None:
        self.state.refused += 1
        request.setResponseCode(503)
        request.setHeader(b"Bamboonotch-Outcome", b"not-run")
        request.setHeader(b"Content-Length", b"0")
        request.finish()

    def _run(self, request: Any) -> None:
        def header(name: str) -> str:
            return request.getHeader(name) or ""

        run = RunRecord(
            request_id=header("X-Request-Id"),
            idempotency_key=header("Idempotency-Key"),
            attempt=header("Bamboonotch-Attempt"),
            timeout_ms=header("Request-Timeout-Ms"),
            method=request.method.decode("latin-1"),
            path=request.uri.decode("latin-1"),
            started_unix_ms=int(time.time() * 1000),
        )
        self.last_headers = request.requestHeaders
        state = self.state
        state.runs.append(run)
        state.in_flight += 1
        state.most_in_flight = max(state.most_in_flight, state.in_flight)
        request.notifyFinish().addBoth(self._ended, run)
        if state.mode is Mode.EXIT_AFTER_EFFECT:
            os._exit(CRASH_EXIT_STATUS)
        if state.mode is Mode.CRASH_AFTER_EFFECT:
            run.end = "crashed"
            request.channel.transport.abortConnection()
            return
        service_ms = self._times.draw_ms(run.path)
        if state.mode is Mode.SLOW:
            service_ms += state.extra_ms
        if service_ms > 0:
            asyncio.get_running_loop().call_later(service_ms / 1000, self._answer, request, run)
        else:
            self._answer(request, run)

    def _ended(self, result: Any, run: RunRecord) -> None:
        self.state.in_flight -= 1
        if run.end == "running":
            run.end = "answered" if result is None else "cancelled"

    def _answer(self, request: Any, run: RunRecord) -> None:
        if run.end != "running":
            return

        def number(name: bytes) -> int:
            return int(request.args.get(name, [b"0"])[0])

        body = answer_body(run.request_id, min(number(b"size"), MAX_ANSWER_BYTES))
        request.setResponseCode(number(b"status") or 200)
        request.setHeader(b"Content-Type", b"text/plain")
        if not number(b"chunked"):
            request.setHeader(b"Content-Length", b"%d" % len(body))
        break_after_bytes = number(b"break")
        if break_after_bytes:
            request.write(body[:break_after_bytes])
            # The channel also ends its own part as a producer, which a long answer leaves paused.
            request.channel.loseConnection()
        elif len(body) <= PIECE_BYTES:
            request.write(body)
            request.finish()
        else:
            request.registerProducer(_Pieces(request, body, request.finish), False)


class _Root(Resource):
    """Chooses between control and work."""

    def __init__(self, work: Resource, control: Resource) -> None:
        super().__init__()
        self._work = work
        self._control = control

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        """Return the resource for a path.

        :param path: first part of the path.
        :param request: the request.
        """
        return self._control if path == b"control" else self._work
