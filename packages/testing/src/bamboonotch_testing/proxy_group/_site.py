"""Control of a group of proxies over HTTP."""

from __future__ import annotations

import json
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site

from bamboonotch_testing.proxy_group._group import ProxyGroup

__all__ = ["make_control_site"]


class _Control(Resource):
    """``GET`` returns counters; ``POST`` injects a fault."""

    isLeaf = True  # noqa: N815

    def __init__(self, group: ProxyGroup) -> None:
        super().__init__()
        self._group = group

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Return the counters of every proxy."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self._group.describe()).encode()

    def render_POST(self, request: Any) -> bytes:  # noqa: N802
        """Inject the fault that the body describes."""
        try:
            command = json.loads(request.content.read())
            fault = command.pop("fault")
            delay_ms = float(command.pop("delay_ms", 0.0))
            chosen = self._group.inject(command, fault, delay_ms)
        except (ValueError, KeyError, TypeError) as error:
            request.setResponseCode(400)
            return json.dumps({"error": str(error)}).encode()
        return json.dumps({"proxies": chosen}).encode()


def make_control_site(group: ProxyGroup) -> Site:
    """Build the control site.

    :param group: the proxies.
    """
    site = Site(_Control(group))
    site.log = lambda request: None
    site.noisy = False
    return site
