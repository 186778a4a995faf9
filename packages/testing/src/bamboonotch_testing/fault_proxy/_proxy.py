"""A TCP proxy that injects faults, built on Twisted's port forwarding."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from twisted.protocols import portforward

__all__ = ["Direction", "FaultProxy"]


class Direction(Enum):
    """Which way bytes go."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


@dataclass
class _Faults:
    """Faults of one connection; new connections start with a copy of the proxy's."""

    delay_ms: dict[Direction, float] = field(default_factory=dict)
    drop_after_bytes: dict[Direction, int] = field(default_factory=dict)
    cut: set[Direction] = field(default_factory=set)
    frozen: bool = False

    def copy(self) -> _Faults:
        """Return the faults that a new connection starts with."""
        return _Faults(dict(self.delay_ms), dict(self.drop_after_bytes), set(self.cut))


class _Relay:
    """Common part of both halves of a connection: what to do with received bytes."""

    direction: Direction
    proxy: FaultProxy
    faults: _Faults
    peer: Any
    transport: Any

    def relay_init(self) -> None:
        """Start without waiting bytes."""
        self._waiting: deque[bytes] = deque()
        self._passed_bytes = 0

    def relay(self, data: bytes) -> None:
        """Pass bytes on, subject to the faults.

        :param data: the bytes.
        """
        if self.faults.frozen or self.direction in self.faults.cut:
            return
        delay_ms = self.faults.delay_ms.get(self.direction, 0.0)
        if delay_ms or self._waiting:
            self._waiting.append(data)
            asyncio.get_running_loop().call_later(delay_ms / 1000, self._pass_next)
        else:
            self._pass(data)

    def _pass_next(self) -> None:
        # Timers with equal times may fire in any order, so each passes the oldest bytes.
        self._pass(self._waiting.popleft())

    def _pass(self, data: bytes) -> None:
        if self.peer is None or self.faults.frozen:
            return
        limit = self.faults.drop_after_bytes.get(self.direction)
        if limit is not None and self._passed_bytes + len(data) > limit:
            data = data[: max(0, limit - self._passed_bytes)]
            self._forward(data)
            self.faults.cut.update(Direction)
            # What was passed must leave before the connection breaks.
            self.transport.loseConnection()
            self.peer.transport.loseConnection()
            return
        self._forward(data)

    def _forward(self, data: bytes) -> None:
        self._passed_bytes += len(data)
        self.proxy.bytes_passed[self.direction] += len(data)
        self.peer.transport.write(data)

    def lost(self) -> bool:
        """Note a lost half and tell whether the other half must be closed too."""
        self.proxy.halves.discard(self)
        return not self.faults.frozen

    def freeze(self) -> None:
        """Neither read nor write any more, nor tell the other side of an end."""
        self.faults.frozen = True
        self.transport.unregisterProducer()
        self.transport.pauseProducing()


class _ClientHalf(_Relay, portforward.ProxyClient):
    """The connection from the proxy to the server."""

    noisy = False
    direction = Direction.TO_CLIENT

    def connectionMade(self) -> None:  # noqa: N802
        """Connect the halves."""
        self.relay_init()
        self.proxy = self.peer.proxy
        self.faults = self.peer.faults
        self.proxy.halves.add(self)
        super().connectionMade()
        if self.faults.frozen:
            self.freeze()
            self.peer.freeze()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Relay bytes to the client.

        :param data: the bytes.
        """
        self.relay(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Close the other half.

        :param reason: why.
        """
        if self.lost():
            super().connectionLost(reason)


class _ClientHalfFactory(portforward.ProxyClientFactory):
    protocol = _ClientHalf
    noisy = False


class _ServerHalf(_Relay, portforward.ProxyServer):
    """The connection from the client to the proxy."""

    noisy = False
    direction = Direction.TO_SERVER
    clientProtocolFactory = _ClientHalfFactory  # noqa: N815

    def connectionMade(self) -> None:  # noqa: N802
        """Open the other half."""
        self.relay_init()
        self.proxy = self.factory.proxy
        self.faults = self.proxy.faults.copy()
        self.proxy.halves.add(self)
        self.proxy.connections += 1
        self.reactor = self.proxy.reactor
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Relay bytes to the server.

        :param data: the bytes.
        """
        self.relay(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Close the other half.

        :param reason: why.
        """
        if self.lost():
            super().connectionLost(reason)


class _Factory(portforward.ProxyFactory):
    protocol = _ServerHalf
    noisy = False
    proxy: FaultProxy


class FaultProxy:
    """Forwards TCP connections to one server and injects faults.

    :param reactor: the reactor.
    :param target: ``ip:port`` of the server.
    :param listen: ``ip:port`` to take connections on; port 0 chooses one.
    """

    def __init__(self, reactor: Any, target: str, listen: str = "127.0.0.1:0") -> None:
        self.reactor = reactor
        self.faults = _Faults()
        self.halves: set[Any] = set()
        self.connections = 0
        self.bytes_passed = dict.fromkeys(Direction, 0)
        host, _, port = target.rpartition(":")
        self._factory = _Factory(host, int(port))
        self._factory.proxy = self
        self._host, _, listen_port = listen.rpartition(":")
        self._listener: Any = reactor.listenTCP(
            int(listen_port), self._factory, interface=self._host, backlog=1024
        )
        self.port: int = self._listener.getHost().port

    @property
    def address(self) -> str:
        """``ip:port`` where the proxy takes connections."""
        return f"{self._host}:{self.port}"

    def cut(self) -> None:
        """Break all connections at once."""
        for half in list(self.halves):
            half.transport.abortConnection()

    def freeze(self) -> None:
        """Make all existing connections silent for good; new ones work."""
        for half in list(self.halves):
            half.freeze()

    def delay(self, direction: Direction, delay_ms: float) -> None:
        """Delay bytes of existing and new connections.

        :param direction: which way.
        :param delay_ms: the delay, in milliseconds.
        """
        for faults in self._all_faults():
            faults.delay_ms[direction] = delay_ms

    def drop_after(self, direction: Direction, size_bytes: int) -> None:
        """Break each new connection after a number of bytes.

        :param direction: which way the bytes are counted.
        :param size_bytes: how many pass.
        """
        self.faults.drop_after_bytes[direction] = size_bytes

    def cut_one_way(self, direction: Direction) -> None:
        """Discard bytes of existing and new connections without a sign to either end.

        :param direction: which way.
        """
        for faults in self._all_faults():
            faults.cut.add(direction)

    async def refuse(self) -> None:
        """Take no new connections."""
        listener, self._listener = self._listener, None
        stopping = None if listener is None else listener.stopListening()
        if stopping is not None:
            await stopping.asFuture(asyncio.get_running_loop())

    def accept(self) -> None:
        """Take new connections again, on the same port."""
        if self._listener is None:
            self._listener = self.reactor.listenTCP(
                self.port, self._factory, interface=self._host, backlog=1024
            )

    def clear(self) -> None:
        """Remove delays, limits and one-way cuts; frozen connections stay frozen."""
        for faults in self._all_faults():
            faults.delay_ms.clear()
            faults.drop_after_bytes.clear()
            faults.cut.clear()
        self.accept()

    async def close(self) -> None:
        """Break all connections and stop listening."""
        await self.refuse()
        self.cut()

    def describe(self) -> dict[str, Any]:
        """Return counters."""
        return {
            "connections": self.connections,
            "open": len(self.halves) // 2,
            "bytes": {way.value: count for way, count in self.bytes_passed.items()},
        }

    def _all_faults(self) -> list[_Faults]:
        return [self.faults, *{id(half.faults): half.faults for half in self.halves}.values()]
