"""Start of a tool on the asyncio reactor."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import asyncioreactor

__all__ = ["run_with_reactor"]


def run_with_reactor(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Install the asyncio reactor on a new loop and run a coroutine on it until it ends.

    The reactor must be started, not only installed, because name resolution uses its threads.

    :param main: returns the coroutine.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    with contextlib.suppress(KeyboardInterrupt):
        loop.run_until_complete(main())
    reactor.fireSystemEvent("shutdown")
