"""Callers that keep their connections and send calls of several kinds."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
    DNSLookupError,
)
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    PartialDownloadError,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    readBody,
)
from twisted.web.http_headers import Headers

from bamboonotch_store.http import BytesProducer
from bamboonotch_testing.platform_store import CONFIGURED_HOST
from bamboonotch_testing.soak._record import CallRecord, Ending
from bamboonotch_testing.soak._world import Place, World, as_future

__all__ = ["Callers"]

CALLS_PER_S = 8.0
REMAINING_MS = (800, 2500)
# Share of the calls whose caller closes the connection early, and when.
LEAVING_SHARE = 0.05
LEAVING_S = (0.02, 0.4)
# Longest wait of a caller beyond the time that it named.
PATIENCE_S = 2.0
KINDS = {"read": 4.0, "order": 3.0, "page": 2.0, "slow": 1.0, "added": 2.0}
_NOT_SENT = (RequestNotSent, ConnectError, ConnectingCancelledError, DNSLookupError)
_CUT = (ConnectionClosed, ResponseFailed, PartialDownloadError, RequestTransmissionFailed)


class Callers:
    """Sends calls to each node until it is stopped.

    :param world: the run.
    :param random: source of random numbers.
    """

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._sent = 0
        self._pools = [HTTPConnectionPool(world.reactor) for _ in world.places]
        for pool in self._pools:
            pool.retryAutomatically = False
            pool.maxPersistentPerHost = 4
        self._agents = [Agent(world.reactor, connectTimeout=1, pool=pool) for pool in self._pools]
        self._open: set[asyncio.Task[None]] = set()
        self._errors: list[Exception] = []

    async def run(self) -> None:
        """Send calls until cancelled."""
        await asyncio.gather(*(self._send_to(place) for place in self._world.places))

    async def finish(self) -> None:
        """Wait for the calls under way and close the connections.

        :raises ExceptionGroup: when calls ended in a way that this class does not know.
        """
        if self._open:
            await asyncio.wait(self._open)
        for pool in self._pools:
            await as_future(pool.closeCachedConnections())
        if self._errors:
            raise ExceptionGroup("calls that could not be classified", self._errors)

    async def _send_to(self, place: Place) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(CALLS_PER_S))
            task = asyncio.create_task(self._call(place, self._make_call(place)))
            self._open.add(task)
            task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._open.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            self._errors.append(error)

    def _make_call(self, place: Place) -> CallRecord:
        self._sent += 1
        kind = self._random.choices(list(KINDS), list(KINDS.values()))[0]
        if kind == "added":
            kind = f"added-{self._random.randint(1, self._world.version)}"
        order = kind == "order"
        call = CallRecord(
            request_id=f"{self._sent:016x}",
            node=place.number,
            life=place.lives,
            kind=kind,
            method="POST" if order else "GET",
            path=f"/{kind}/{self._sent}?q=%20{self._sent}",
            body=f"order {self._sent}".encode() if order else b"",
            remaining_ms=self._random.randint(*REMAINING_MS),
            sent_s=time.monotonic(),
        )
        self._world.record.calls[call.request_id] = call
        return call

    async def _call(self, place: Place, call: CallRecord) -> None:
        leaving = self._random.random() < LEAVING_SHARE
        wait_s = call.remaining_ms / 1000 + PATIENCE_S
        if leaving:
            wait_s = self._random.uniform(*LEAVING_S)
        headers = Headers(
            {
                "Host": [CONFIGURED_HOST],
                "Attempt-Id": [call.request_id],
                "Timeout-Remaining": [str(call.remaining_ms)],
            }
        )
        producer = BytesProducer(call.body) if call.body else None
        request = self._agents[place.number].request(
            call.method.encode(),
            f"http://{place.node.outbound}{call.path}".encode(),
            headers,
            producer,
        )
        request.addCallback(self._read, call)
        timer = self._world.reactor.callLater(wait_s, request.cancel)
        try:
            call.answer_body = await as_future(request)
            call.ending = Ending.ANSWERED
        except _NOT_SENT:
            call.ending = Ending.NOT_SENT
        except (CancelledError, asyncio.CancelledError):
            call.ending = Ending.LEFT
        except _CUT as error:
            left = _is_cancelled(error)
            call.ending = Ending.LEFT if left else Ending.CUT
        finally:
            call.ended_s = time.monotonic()
            if timer.active():
                timer.cancel()

    def _read(self, response: Any, call: CallRecord) -> Any:
        call.status = response.code
        call.answer_id = _header(response, "Attempt-Id")
        call.signature = _header(response, "Response-Signature")
        return readBody(response)


def _is_cancelled(error: Any) -> bool:
    return any(reason.check(CancelledError) for reason in getattr(error, "reasons", ()))


def _header(response: Any, name: str) -> str:
    return str(response.headers.getRawHeaders(name, [""])[0])
