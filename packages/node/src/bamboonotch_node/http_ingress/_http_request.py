"""One request of a caller, from its first byte until it is handed on."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from twisted.web import http
from zope.interface import provider

from bamboonotch_core.effects import Report
from bamboonotch_core.settings import RequestSettings
from bamboonotch_node.backend import Body
from bamboonotch_node.caller_memory import FIELD_BYTES, REQUEST_BYTES, CallerMemory
from bamboonotch_node.http_ingress._turn import ResponseTurn

__all__ = ["CallerConnection", "CallerHttpRequest", "RequestTaker"]

# Callers send these without waiting for the answers before them. Any other request is handed on
# when those are sent, so that a connection that closes early has not run it.
METHODS_AHEAD = frozenset({b"GET", b"HEAD"})
# Memory of a request is reserved in steps of this size.
RESERVED_STEP_BYTES = 4096


class RequestTaker(Protocol):
    """What takes the requests of a connection."""

    @property
    def settings(self) -> RequestSettings:
        """The settings in force for requests."""

    @property
    def memory(self) -> CallerMemory:
        """Bounds what callers can make the node hold."""

    def note_body(self, change_bytes: int) -> None:
        """Note a change of the size of all bodies."""

    def note_sent(self, size_bytes: int) -> None:
        """Note what leaves to callers on other hosts."""

    def input_refused(self, status: int, reason: str) -> None:
        """Report input that was refused before it became a request."""

    def report(self, report: Report) -> None:
        """Report what happened to a connection."""

    def request_received(self, http_request: CallerHttpRequest) -> None:
        """Take a request that was read completely."""

    def caller_gone(self, http_request: CallerHttpRequest) -> None:
        """Note that a caller's connection was lost."""


class CallerConnection(Protocol):
    """What a request needs of its connection."""

    factory: Any

    @property
    def has_unread_answers(self) -> bool:
        """Whether the caller has not received every answer that was written."""

    @property
    def requests(self) -> Sequence[Any]:
        """The requests that were read and not answered, the oldest first."""

    def refuse(self, status: int, reason: str) -> None:
        """Answer a request that was not read to its end, and close the connection."""


@provider(http.INonQueuedRequestFactory)
class CallerHttpRequest(http.Request):
    """One request of a caller; its head and body are kept in memory up to a bound.

    :param channel: the connection.
    """

    def __init__(self, channel: CallerConnection) -> None:
        turn = ResponseTurn(channel, is_first=not channel.requests)
        super().__init__(turn, parsePOSTFormSubmission=False)
        self.turn = turn
        # Whether the caller sent the request without waiting for the answers before it.
        self.sent_ahead = bool(channel.requests) or channel.has_unread_answers
        self.ingress: RequestTaker = channel.factory.ingress
        self.request_id = ""
        self.keeps_open = True
        self.is_read = False
        self.is_handed_on = False
        self.body = Body()
        self._held_bytes = 0
        self._spare_bytes = 0
        self._refused = False

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing; cookies pass through as a header."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body that announces too much.

        :param length: the announced length in bytes, or ``None``.
        """
        if length is not None and length > self.ingress.settings.max_body_bytes:
            self._refuse(413, "body-too-large")

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body.

        :param data: the piece.
        """
        if self._refused:
            return
        if len(self.body) + len(data) > self.ingress.settings.max_body_bytes:
            self._refuse(413, "body-too-large")
        elif not self._reserve(len(data)):
            self._refuse(503, "body-memory-exhausted")
        elif not self._refused:
            self.body.append(data)
            self.ingress.note_body(len(data))
            self.turn.note_progress(len(data))

    def reserve_field(self, size_bytes: int) -> bool:
        """Reserve memory for a field of the head, or return ``False`` when there is none.

        :param size_bytes: size of its name and value.
        """
        first_bytes = 0 if self._held_bytes else REQUEST_BYTES
        return self._reserve(first_bytes + FIELD_BYTES + size_bytes)

    def _reserve(self, size_bytes: int) -> bool:
        if size_bytes <= self._spare_bytes:
            self._spare_bytes -= size_bytes
            return True
        # In steps, because chunks and fields may be very small.
        step_bytes = max(size_bytes, RESERVED_STEP_BYTES)
        if not self.turn.reserve(step_bytes):
            return False
        self._held_bytes += step_bytes
        self._spare_bytes += step_bytes - size_bytes
        return True

    def give_way(self) -> None:
        """Free what was read of a request that is not handed on, and never hand it on."""
        if not self.is_handed_on:
            self._refused = True
            self.release_body()

    def abandon(self) -> None:
        """End a request that can never be answered on its connection."""
        self.give_way()
        if self.is_handed_on:
            self.release_body()
            self.ingress.caller_gone(self)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hand the whole request on.

        :param command: the method.
        :param path: the request target.
        :param version: the version of HTTP.
        """
        self.is_read = True
        if self._refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        if self.may_overtake or not self.turn.is_waiting:
            self._hand_on()

    @property
    def may_overtake(self) -> bool:
        """Whether the request may be worked on while requests before it are."""
        return self.method in METHODS_AHEAD

    def take_turn(self) -> None:
        """Note that every request before this one is answered."""
        self.turn.take()
        if self.is_read and not self._refused and not self.is_handed_on:
            self._hand_on()

    def _hand_on(self) -> None:
        self.is_handed_on = True
        self.ingress.request_received(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Report that the caller is gone.

        :param reason: why.
        """
        super().connectionLost(reason)
        self.release_body()
        self.ingress.caller_gone(self)

    def close_after_response(self) -> None:
        """Tell the caller that its connection closes after the response, and close it then."""
        self.keeps_open = False
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def release_body(self) -> None:
        """Free the body, and return the memory of the request."""
        if not self.body.is_released:
            self.body.release()
            self.ingress.note_body(-len(self.body))
        held_bytes, self._held_bytes, self._spare_bytes = self._held_bytes, 0, 0
        self.turn.release(held_bytes)

    def _refuse(self, status: int, reason: str) -> None:
        self.give_way()
        self.channel.refuse(status, reason)
