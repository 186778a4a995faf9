"""The whole request path of one node, wired together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboonotch_core.effects import Effect, Report
from bamboonotch_core.events import Event
from bamboonotch_core.settings import NodeSettings, RequestSettings
from bamboonotch_node.backend import BackendClient
from bamboonotch_node.caller_memory import CallerMemory, caller_memory_limit_bytes
from bamboonotch_node.clock import now_ms
from bamboonotch_node.dialect import OWN_DIALECT, HttpDialect
from bamboonotch_node.forwarding import (
    EffectHandlers,
    ForwardingClient,
    ForwardingServer,
    OwnerSide,
    QuotaAnswers,
    Uplink,
)
from bamboonotch_node.http_ingress._ingress import HttpIngress

__all__ = ["RequestPath"]

# A stream notices silence up to one check (500 ms) late.
SILENCE_CHECK_MS = 500


class RequestPath:
    """Owns the HTTP ingress, the forward streams and the client of the backend server.

    ``handlers`` is what carries out each effect of the request part, by its type.

    :param settings: settings of the node.
    :param incarnation: incarnation of this process.
    :param reactor: the asyncio reactor of the running loop.
    :param dispatch: takes each event.
    :param running_version: returns the version of the configuration that this node runs.
    :param load: returns the work in slots and queue of the local backend server.
    :param report: takes reports of faults.
    :param clock: monotonic clock in milliseconds.
    :param dialect: names and rules of the HTTP spoken.
    :param request_settings: returns the settings in force for requests; those of the node if not
        given.
    :param unread_ms: returns for how long input that is read now may have waited, in milliseconds.
    :param has_workspaces: returns whether the running configuration has workspaces.
    :param uplink_waited: takes the time that a chunk waited for the link, in milliseconds.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        reactor: Any,
        dispatch: Callable[[Event], None],
        running_version: Callable[[], int],
        load: Callable[[], int],
        report: Callable[[Report], None],
        clock: Callable[[], float] = now_ms,
        dialect: HttpDialect = OWN_DIALECT,
        request_settings: Callable[[], RequestSettings] | None = None,
        unread_ms: Callable[[], float] = lambda: 0.0,
        uplink_waited: Callable[[float], None] = lambda waited_ms: None,
        has_workspaces: Callable[[], bool] = lambda: False,
    ) -> None:
        requests = settings.requests
        in_force = request_settings or (lambda: requests)
        orphan_ms = requests.stream_silent_ms + SILENCE_CHECK_MS + requests.fence_timeout_ms
        self.memory = CallerMemory(lambda: caller_memory_limit_bytes(settings, in_force()))
        self.backend = BackendClient(
            reactor, clock, load, report, dialect, dispatch, has_workspaces
        )
        self.uplink = Uplink(settings.identity.link_mbps, uplink_waited)
        self.owner = OwnerSide(self.backend, dispatch, clock, orphan_ms, self.uplink)
        self.quotas = QuotaAnswers(dispatch, clock)
        self.server = ForwardingServer(
            settings,
            incarnation,
            self.owner,
            clock,
            report,
            in_force,
            unread_ms,
            self.uplink,
            self.quotas,
            self.memory,
        )
        self.ingress = HttpIngress(
            settings,
            incarnation,
            reactor,
            dispatch,
            clock,
            running_version,
            report,
            dialect,
            in_force,
            unread_ms,
            self.memory,
            self.uplink.note_sent,
            has_workspaces,
        )
        self.client = ForwardingClient(
            settings,
            incarnation,
            dispatch,
            clock,
            self.ingress.find_request,
            self.owner,
            report,
            self.uplink,
        )
        self.ingress.forwarding = self.client
        self.handlers: EffectHandlers = {
            **self.ingress.handlers,
            **self.client.handlers,
            **self.owner.handlers,
            **self.quotas.handlers,
        }

    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect of the request part; others are ignored.

        :param effect: the effect.
        """
        handler = self.handlers.get(type(effect))
        if handler is not None:
            handler(effect)

    async def close(self) -> None:
        """Close every connection and stream; what is in progress breaks off."""
        await self.ingress.close()
        self.server.close()
        await self.client.close()
        self.uplink.close()
        self.backend.close()
