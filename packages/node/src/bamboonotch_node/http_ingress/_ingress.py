"""Requests of callers, from their arrival to their answer."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.web.http_headers import Headers

from bamboonotch_core.effects import Report
from bamboonotch_core.events import Event
from bamboonotch_core.request_effects import Outcome, PassResponse, RespondToCaller
from bamboonotch_core.request_events import CallerGone, RequestArrived, ResponseFinished
from bamboonotch_core.settings import NodeSettings, RequestSettings
from bamboonotch_node.backend import CallerRequest, HeaderList
from bamboonotch_node.caller_memory import CallerMemory
from bamboonotch_node.dialect import HttpDialect
from bamboonotch_node.forwarding import EffectHandlers, ForwardingClient
from bamboonotch_node.http_ingress._answer import answer_body, retry_after_s
from bamboonotch_node.http_ingress._checks import (
    BadRequestError,
    RequestHeaders,
    end_to_end_headers,
    host_of,
    read_key_digest,
    read_request_headers,
    without_access_headers,
)
from bamboonotch_node.http_ingress._factory import CallerFactory
from bamboonotch_node.http_ingress._http_request import CallerHttpRequest
from bamboonotch_node.http_ingress._response import CallerResponse

__all__ = ["HttpIngress"]

# Ids of callers that can stand in log lines and messages as they are.
SAFE_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")
READ_TOO_LATE = "read-too-late"
# How long callers have to read what was sent before the node ends.
CLOSE_TIMEOUT_S = 0.5


class _Pending:
    """A request whose caller waits.

    :param http_request: the library's request.
    :param request: what travels to the owner.
    """

    def __init__(self, http_request: CallerHttpRequest, request: CallerRequest) -> None:
        self.http_request = http_request
        self.request = request
        self.response: CallerResponse | None = None
        self.access_headers_removed = False


class HttpIngress:
    """Turns callers' requests into events and carries out the effects that answer them.

    :param settings: settings of the node.
    :param incarnation: incarnation of this process.
    :param reactor: the reactor.
    :param dispatch: takes each event.
    :param clock: monotonic clock in milliseconds.
    :param running_version: returns the version of the configuration that this node runs.
    :param report: takes reports of faults.
    :param dialect: names and rules of the HTTP spoken.
    :param request_settings: returns the settings in force for requests.
    :param unread_ms: returns for how long a request that is read now may have waited.
    :param memory: bounds what callers can make the node hold.
    :param note_sent: takes the size of what leaves to callers on other hosts, in bytes.
    :param has_workspaces: returns whether the running configuration has workspaces.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        reactor: Any,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
        running_version: Callable[[], int],
        report: Callable[[Report], None],
        dialect: HttpDialect,
        request_settings: Callable[[], RequestSettings],
        unread_ms: Callable[[], float],
        memory: CallerMemory,
        note_sent: Callable[[int], None] = lambda size_bytes: None,
        has_workspaces: Callable[[], bool] = lambda: False,
    ) -> None:
        self._has_workspaces = has_workspaces
        self.unread_ms = unread_ms
        self.memory = memory
        self.report = report
        self.note_sent = note_sent
        self._dialect = dialect
        self._request_settings = request_settings
        self.service = settings.identity.service
        self.factory = CallerFactory(self, reactor)
        self.forwarding: ForwardingClient | None = None
        self._id_prefix = f"{settings.identity.node_id}-{incarnation:x}-"
        self._next_number = 0
        self._dispatch = dispatch
        self._clock = clock
        self._running_version = running_version
        self._pending: dict[str, _Pending] = {}
        self._body_bytes = 0
        self._leaving = False

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def settings(self) -> RequestSettings:
        """The settings in force for requests."""
        return self._request_settings()

    def find_request(self, request_id: str) -> CallerRequest | None:
        """Return a request whose caller waits, as it may be forwarded now.

        Whether its key may be forwarded is decided here and not at arrival, because the
        configuration can change before the request is forwarded, and before each repeat.

        :param request_id: the request.
        """
        pending = self._pending.get(request_id)
        if pending is None:
            return None
        if not pending.access_headers_removed and self._has_workspaces():
            headers = without_access_headers(pending.request.headers, self._dialect)
            pending.request = replace(pending.request, headers=headers)
            pending.access_headers_removed = True
        return pending.request

    async def close(self) -> None:
        """Close all connections when what was written has reached the callers.

        Those with a request are reset then, because an orderly end could be taken for its answer.
        """
        for channel in list(self.factory.connections):
            if channel.requests:
                channel.break_off(in_order=False)
            else:
                channel.loseConnection()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.factory.wait_closed(), CLOSE_TIMEOUT_S)
        for channel in list(self.factory.connections):
            channel.transport.abortConnection()

    def leave(self) -> None:
        """Close each connection after its next response, because the process shuts down."""
        self._leaving = True

    def note_body(self, change_bytes: int) -> None:
        """Note a change of the size of all bodies.

        :param change_bytes: how much larger it is.
        """
        self._body_bytes += change_bytes

    def input_refused(self, status: int, reason: str) -> None:
        """Report input that was refused before it became a request.

        :param status: HTTP status of the answer.
        :param reason: why, lower case with dashes.
        """
        self.report(Report("caller-input-refused", (("status", status), ("reason", reason))))

    def request_received(self, http_request: CallerHttpRequest) -> None:
        """Take a request that was read completely.

        :param http_request: the library's request.
        """
        if self._leaving:
            http_request.close_after_response()
        try:
            checked = self._check(http_request)
        except BadRequestError as error:
            self.input_refused(error.status, error.reason)
            retry_after_ms = 1000 if error.status == 503 else 0
            self._answer(http_request, Outcome.NOT_RUN, error.reason, error.status, retry_after_ms)
            return
        self._arrive(http_request, checked)

    def caller_gone(self, http_request: CallerHttpRequest) -> None:
        """Note that a caller's connection was lost.

        :param http_request: the library's request.
        """
        pending = self._pending.pop(http_request.request_id, None)
        if pending is None:
            return
        if pending.response is not None:
            pending.response.close()
        self._dispatch(CallerGone(now_ms=self._clock(), request_id=http_request.request_id))
        self._release(http_request.request_id)

    def _check(self, http_request: CallerHttpRequest) -> RequestHeaders:
        if len(self._pending) >= self.settings.max_requests:
            raise BadRequestError(503, "too-many-requests")
        if not http_request.uri.startswith(b"/") or not http_request.uri.isascii():
            raise BadRequestError(400, "invalid-request-target")
        return read_request_headers(http_request.requestHeaders, self.settings, self._dialect)

    def _arrive(self, http_request: CallerHttpRequest, checked: RequestHeaders) -> None:
        timeout_ms, unread_ms = checked.timeout_ms, self.unread_ms()
        if timeout_ms is not None and unread_ms and timeout_ms > 0:
            timeout_ms -= unread_ms
            if timeout_ms <= 0:
                # The caller no longer waits, and nobody was given the request.
                self._answer(http_request, Outcome.NOT_RUN, READ_TOO_LATE, 503, 0)
                return
        self._next_number += 1
        request_id = f"{self._id_prefix}{self._next_number:x}"
        if SAFE_ID.fullmatch(checked.caller_request_id):
            # The caller's id finds the request in the logs of every node that it passes.
            request_id = f"{checked.caller_request_id}/{request_id}"
        http_request.request_id = request_id
        request = CallerRequest(
            request_id=request_id,
            method=http_request.method.decode("ascii"),
            path=http_request.uri.decode("ascii"),
            headers=self._forwarded_headers(http_request.requestHeaders),
            body=http_request.body,
        )
        host = host_of(http_request.requestHeaders)
        key_digest = read_key_digest(http_request.requestHeaders)
        # The library's form of many fields takes as much memory again as the one that is forwarded.
        http_request.requestHeaders = Headers()
        self._pending[request_id] = _Pending(http_request, request)
        self._dispatch(
            RequestArrived(
                now_ms=self._clock(),
                request_id=request_id,
                method=request.method,
                path=request.path,
                timeout_ms=timeout_ms,
                idempotency_key=checked.idempotency_key,
                attempt=checked.attempt,
                unix_ms=int(time.time() * 1000),
                host=host,
                key_digest=key_digest,
            )
        )

    def _forwarded_headers(self, headers: Any) -> HeaderList:
        forwarded = end_to_end_headers(headers, self._dialect)
        if not self._dialect.caller_service:
            return forwarded
        return (*forwarded, (self._dialect.caller_service.decode("ascii"), self.service))

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect of the answers to callers, by its type."""
        return {
            PassResponse: self._pass_response,
            RespondToCaller: self._respond_to_caller,
        }

    def _pass_response(self, effect: PassResponse) -> None:
        pending = self._pending.get(effect.request_id)
        assert self.forwarding is not None
        attempt = self.forwarding.find_attempt(effect.attempt_id)
        if pending is None or pending.response is not None or attempt is None:
            return
        pending.response = CallerResponse(
            pending.http_request,
            attempt,
            self._running_version(),
            lambda complete, size_bytes: self._response_ended(
                effect.request_id, complete, size_bytes
            ),
        )
        attempt.attach(pending.response)

    def _respond_to_caller(self, effect: RespondToCaller) -> None:
        pending = self._pending.get(effect.request_id)
        if pending is None or pending.response is not None:
            return
        del self._pending[effect.request_id]
        self._answer(
            pending.http_request,
            effect.outcome,
            effect.reason,
            effect.status,
            effect.retry_after_ms,
        )
        self._release(effect.request_id)

    def _response_ended(self, request_id: str, complete: bool, size_bytes: int) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        pending.http_request.release_body()
        self._dispatch(
            ResponseFinished(
                now_ms=self._clock(),
                request_id=request_id,
                complete=complete,
                size_bytes=size_bytes,
            )
        )
        self._release(request_id)

    def _answer(
        self,
        http_request: CallerHttpRequest,
        outcome: Outcome,
        reason: str,
        status: int,
        retry_after_ms: int,
    ) -> None:
        body = answer_body(outcome.value, reason)
        http_request.setResponseCode(status)
        headers = http_request.responseHeaders
        headers.setRawHeaders(b"Bamboonotch-Outcome", [outcome.value.encode("ascii")])
        headers.setRawHeaders(b"Bamboonotch-Reason", [reason.encode("latin-1", "replace")])
        headers.setRawHeaders(b"Bamboonotch-Version", [b"%d" % self._running_version()])
        headers.setRawHeaders(b"Content-Type", [b"application/json"])
        headers.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        if retry_after_ms:
            headers.setRawHeaders(
                b"Retry-After",
                [retry_after_s(retry_after_ms, self._dialect.retry_after_decimals).encode("ascii")],
            )
        if status == 401:
            # RFC 9110 section 15.5.2 requires it.
            headers.setRawHeaders(b"WWW-Authenticate", [b"Bearer"])
        http_request.release_body()
        http_request.write(body)
        http_request.finish()

    def _release(self, request_id: str) -> None:
        if self.forwarding is not None:
            self.forwarding.release(request_id)
