"""An owner's response on its way to the caller."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IPushProducer
from twisted.web.http import NO_BODY_CODES
from zope.interface import implementer

from bamboonotch_node.backend import ResponseStart
from bamboonotch_node.forwarding import WINDOW_BYTES, IncomingAttempt
from bamboonotch_node.http_ingress._checks import HOP_BY_HOP
from bamboonotch_node.http_ingress._http_request import CallerHttpRequest

__all__ = ["CallerResponse"]

MESH_PREFIX = b"bamboonotch-"


@implementer(IPushProducer)
class CallerResponse:
    """Writes a response to the caller, as fast as the caller reads.

    :param http_request: the caller's request.
    :param attempt: where the response comes from.
    :param version: version of the configuration that this node runs.
    :param ended: called once, with whether the caller has the complete response and the size of
        the body passed on, in bytes.
    """

    def __init__(
        self,
        http_request: CallerHttpRequest,
        attempt: IncomingAttempt,
        version: int,
        ended: Callable[[bool, int], None],
    ) -> None:
        self._http = http_request
        self._attempt = attempt
        self._version = version
        self._ended = ended
        self._declared_bytes: int | None = None
        self._written_bytes = 0
        self._over = False
        self._window_counted = False

    def start(self, head: ResponseStart) -> None:
        """Write the head.

        :param head: the head.
        """
        http_request = self._http
        http_request.setResponseCode(head.status)
        headers = http_request.responseHeaders
        for name, value in head.headers:
            raw_name = name.encode("ascii")
            lowered = raw_name.lower()
            if lowered == b"content-length":
                self._declare_length(value, head.status)
            elif lowered in HOP_BY_HOP or lowered.startswith(MESH_PREFIX):
                continue
            headers.addRawHeader(raw_name, value.encode("latin-1"))
        headers.setRawHeaders(b"Bamboonotch-Outcome", [b"done"])
        headers.setRawHeaders(b"Bamboonotch-Version", [b"%d" % self._version])
        http_request.registerProducer(self, True)
        if http_request.channel.write_paused and not http_request.turn.is_waiting:
            self.pauseProducing()

    def _declare_length(self, value: str, status: int) -> None:
        bodiless = self._http.method == b"HEAD" or status in NO_BODY_CODES
        if value.isdigit() and not bodiless:
            self._declared_bytes = int(value)

    def write(self, data: bytes) -> None:
        """Write a piece of the body.

        :param data: the piece.
        """
        if self._over:
            return
        self._written_bytes += len(data)
        self._http.write(data)

    def finish(self, complete: bool) -> None:
        """End the response, or break the connection when it is not complete.

        :param complete: whether all of it arrived.
        """
        if self._over:
            return
        self._over = True
        self._count_window(False)
        if self._declared_bytes is not None and self._written_bytes != self._declared_bytes:
            complete = False
        self._http.unregisterProducer()
        if not complete:
            # A reset also reaches callers that do not count bytes. But it may take answers along
            # that the caller has not read, if it sends requests without waiting for them.
            self._http.turn.break_off(in_order=self._http.sent_ahead and self._is_delimited())
        self._ended(complete, self._written_bytes)
        if complete:
            self._http.finish()

    def _is_delimited(self) -> bool:
        """Tell whether the caller can see from a length or from chunks that a part is missing."""
        if not self._http.startedWriting:
            return False
        too_short = self._declared_bytes is not None and self._written_bytes < self._declared_bytes
        return too_short or bool(self._http.chunked)

    def close(self) -> None:
        """Write nothing more, because the caller is gone."""
        self._over = True
        self._count_window(False)

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold the response, because the caller does not read."""
        self._count_window(True)
        self._attempt.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Pass the response on again."""
        self._count_window(False)
        self._attempt.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop, because the connection is lost."""
        self._over = True
        self._count_window(False)

    def _count_window(self, counted: bool) -> None:
        """Count the memory of what still arrives while the response is held."""
        if counted is not self._window_counted:
            self._window_counted = counted
            self._http.turn.note_waiting(WINDOW_BYTES if counted else -WINDOW_BYTES)
