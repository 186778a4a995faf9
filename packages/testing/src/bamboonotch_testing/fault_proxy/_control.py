"""Control of a fault proxy over HTTP."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site

from bamboonotch_testing.fault_proxy._proxy import Direction, FaultProxy

__all__ = ["control_site"]


class _Control(Resource):
    """``GET /`` returns counters; ``POST /`` with ``{"fault": ...}`` injects a fault."""

    isLeaf = True  # noqa: N815

    def __init__(self, proxy: FaultProxy) -> None:
        super().__init__()
        self._proxy = proxy

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Return counters.

        :param request: the request.
        """
        request.setHeader(b"Content-Type", b"application/json")
        return json.dumps(self._proxy.describe()).encode("ascii") + b"\n"

    def render_POST(self, request: Any) -> Any:  # noqa: N802
        """Inject a fault.

        :param request: its body names the fault and its parameters.
        """
        try:
            self._inject(json.loads(request.content.read()))
        except (ValueError, KeyError, TypeError) as error:
            request.setResponseCode(400)
            return f"fault is not valid: {error}\n".encode()
        return self.render_GET(request)

    def _inject(self, document: dict[str, Any]) -> None:
        proxy = self._proxy
        fault = document["fault"]
        if fault in ("cut", "freeze", "clear", "accept"):
            getattr(proxy, fault)()
        elif fault == "refuse":
            asyncio.ensure_future(proxy.refuse())
        elif fault == "delay":
            proxy.delay(Direction(document["direction"]), float(document["delay_ms"]))
        elif fault == "drop-after":
            proxy.drop_after(Direction(document["direction"]), int(document["size_bytes"]))
        elif fault == "cut-one-way":
            proxy.cut_one_way(Direction(document["direction"]))
        else:
            raise ValueError(
                f"{fault!r} is not one of cut, freeze, delay, drop-after, cut-one-way, refuse, "
                "accept, clear"
            )


def control_site(proxy: FaultProxy, reactor: Any) -> Any:
    """Return the site that controls a proxy.

    :param proxy: the proxy.
    :param reactor: the reactor.
    """
    site = Site(_Control(proxy), reactor=reactor)
    site.log = lambda request: None
    site.displayTracebacks = False
    return site
