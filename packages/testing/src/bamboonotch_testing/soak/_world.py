"""The processes, proxies and stand-ins of one run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bamboonotch_testing.fault_proxy import FaultProxy
from bamboonotch_testing.fleet import FleetAddresses
from bamboonotch_testing.platform_backend import BackendPlan, PlatformBackend
from bamboonotch_testing.platform_node import NodePlan, PlatformNode
from bamboonotch_testing.platform_store import CONFIGURED_SERVICES, PlatformStoreServer
from bamboonotch_testing.soak._record import Record, Span
from bamboonotch_testing.soak._versions import make_version

__all__ = ["Place", "World", "as_future", "end_all"]

PLACES = (
    ("bagmati", "ktm-a"),
    ("bagmati", "ktm-b"),
    ("gandaki", "pkr-a"),
    ("gandaki", "pkr-b"),
)
PEER_PROXY_PORT, BACKEND_PORT, BACKEND_PROXY_PORT, STORE_PROXY_PORT = 7110, 7120, 7121, 7130
WORK_MS = 15.0
# The least slack that a day of the platform had is much larger; this one binds in a short run.
RETRY_SLACK = 8
GRACE_S = 6.0
FURTHER_SETTINGS = f"""\
kill_after_ms = {GRACE_S:g} s
shutdown_serve_ms = 300
fleet_retry_ratio = 0.2
fleet_retry_slack = {RETRY_SLACK}
"""


def as_future(deferred: Deferred[Any] | None) -> Awaitable[Any]:
    """Return what a ``Deferred`` gives as a future of the running loop.

    :param deferred: the ``Deferred``, or ``None`` for what has ended already.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Any] = (succeed(None) if deferred is None else deferred).asFuture(loop)
    return future


class Place:
    """One node, its backend server and the proxies around them.

    :param number: number of the node.
    :param world: the run.
    """

    def __init__(self, number: int, world: World) -> None:
        self.number = number
        self.service = CONFIGURED_SERVICES[number % len(CONFIGURED_SERVICES)]
        self._instances = 0
        ip = world.addresses.node(number).ip
        region, data_centre = PLACES[number % len(PLACES)]
        self.store_link = FaultProxy(world.reactor, world.store_address, f"{ip}:{STORE_PROXY_PORT}")
        plan = NodePlan(
            node_id=f"n{number}",
            service=self.service,
            ip=ip,
            store_address=self.store_link.address,
            region=region,
            data_centre=data_centre,
            peer_address=f"{ip}:{PEER_PROXY_PORT}",
            further_settings=FURTHER_SETTINGS,
        )
        self.node = PlatformNode(plan, world.directory, world.program)
        self.lives = 0
        self._log_start = 0
        self.peer_link = FaultProxy(world.reactor, self.node.peer_listen, plan.peer_address)
        self.backend = PlatformBackend(
            world.reactor,
            BackendPlan(self.next_instance(), self.service, work_ms=WORK_MS),
            self.node.control,
        )
        self.backend.listen(ip, BACKEND_PORT)
        self.backend_link = FaultProxy(
            world.reactor, self.backend.address, f"{ip}:{BACKEND_PROXY_PORT}"
        )
        self.backend.address = self.backend_link.address

    def next_instance(self) -> str:
        """Return the id of the next process of the backend server."""
        self._instances += 1
        return f"i-{self.number}-{self._instances}"

    def start_node(self) -> None:
        """Start the node, unless it runs."""
        if not self.node.is_running:
            self.lives += 1
            self._log_start = len(self.node.read_log())
            self.node.start()

    def is_starting(self) -> bool:
        """Tell whether the process has not said yet that it has started."""
        return "event=node-started" not in self.node.read_log()[self._log_start :]

    @property
    def links(self) -> tuple[FaultProxy, ...]:
        """The proxies."""
        return (self.peer_link, self.backend_link, self.store_link)

    async def close(self) -> None:
        """End the process and close what was opened."""
        self.node.kill()
        await as_future(self.backend.close())
        for link in self.links:
            await link.close()


class World:
    """Owns all parts of one run; leaving the context ends them.

    :param reactor: Twisted reactor, on the running loop.
    :param nodes: number of nodes.
    :param directory: where settings and logs are.
    :param program: arguments of the interpreter that start a node.
    """

    def __init__(self, reactor: Any, nodes: int, directory: Path, program: tuple[str, ...]) -> None:
        self.reactor = reactor
        self.directory = directory
        self.program = program
        self.addresses = FleetAddresses()
        self.store = PlatformStoreServer(reactor)
        self.store_address = self.store.listen()
        self.version = 0
        self.places = [Place(number, self) for number in range(nodes)]
        self.record = Record(tuple(place.service for place in self.places))

    async def __aenter__(self) -> World:
        self.write_version()
        for place in self.places:
            place.start_node()
        return self

    async def __aexit__(self, *error: object) -> None:
        for place in self.places:
            await place.close()
        await as_future(self.store.close())
        self.addresses.close()

    def write_version(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.store.data.put("op/config", make_version(self.version))
        self.record.versions[self.version] = time.monotonic()

    @contextmanager
    def disturbed(self, target: int | str, what: str, planned: bool = False) -> Iterator[None]:
        """Note a disturbance that lasts as long as the context.

        :param target: the store or a node.
        :param what: what happens.
        :param planned: whether it is planned work.
        """
        span = Span(str(target), what, planned, time.monotonic())
        self.record.spans.append(span)
        try:
            yield
        finally:
            span.ended_s = time.monotonic()

    def collect(self) -> Record:
        """Add what the backend servers saw to the record and return it."""
        for place in self.places:
            for run in place.backend.runs:
                self.record.runs[run.request_id].append((place.number, run))
            self.record.arrivals += [(place.number, item) for item in place.backend.arrivals]
        return self.record


async def end_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait for them.

    :param tasks: the tasks.
    """
    for task in tasks:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
