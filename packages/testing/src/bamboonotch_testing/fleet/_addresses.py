"""Loopback addresses for the processes of one fleet.

Every node has an IP address of its own and fixed ports below the ephemeral range, so that a port
cannot be taken by an outgoing connection between choosing and binding it.
"""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass

__all__ = ["FleetAddresses", "NodeAddresses"]

PEER_PORT = 7100
HTTP_PORT = 7101
ADMIN_PORT = 7102
BACKEND_PORT = 7103
STORE_PORT = 7200
STORE_PROXY_PORT = 7201
PROXY_CONTROL_PORT = 7300
REGION_PROXY_PORT = 7400
_OCTETS = 250


def _claim_octet() -> tuple[int, socket.socket]:
    """Reserve a second octet for this fleet by binding its reservation port."""
    first = os.getpid() % _OCTETS
    for step in range(_OCTETS):
        octet = 1 + (first + step) % _OCTETS
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.0.1", STORE_PORT - 1))
        except OSError:
            reservation.close()
            continue
        return octet, reservation
    raise OSError("no loopback network is free")


@dataclass(frozen=True)
class NodeAddresses:
    """Addresses of one node.

    :param ip: its IP address.
    """

    ip: str

    @property
    def peer(self) -> str:
        """Where the node takes streams."""
        return f"{self.ip}:{PEER_PORT}"

    def region_proxy(self, region_index: int) -> str:
        """Return where the proxy for callers of one region listens.

        :param region_index: number of the region, from 0.
        """
        return f"{self.ip}:{REGION_PROXY_PORT + region_index}"

    @property
    def http(self) -> str:
        """Where the node takes callers."""
        return f"{self.ip}:{HTTP_PORT}"

    @property
    def admin(self) -> str:
        """Where the node takes operators."""
        return f"{self.ip}:{ADMIN_PORT}"

    @property
    def backend(self) -> str:
        """Where the backend server listens."""
        return f"{self.ip}:{BACKEND_PORT}"


class FleetAddresses:
    """Hands out addresses and keeps the fleet's network reserved until it is closed."""

    def __init__(self) -> None:
        self._octet, self._reservation = _claim_octet()

    def close(self) -> None:
        """Release the fleet's network."""
        self._reservation.close()

    @property
    def store(self) -> str:
        """Where the store listens."""
        return f"127.{self._octet}.0.1:{STORE_PORT}"

    def store_proxy(self, region_index: int) -> str:
        """Return where the proxy before the store listens for one region.

        :param region_index: number of the region, from 0.
        """
        return f"127.{self._octet}.0.1:{STORE_PROXY_PORT + region_index}"

    @property
    def proxy_control(self) -> str:
        """Where the group of fault proxies takes commands."""
        return f"127.{self._octet}.0.1:{PROXY_CONTROL_PORT}"

    def node(self, index: int) -> NodeAddresses:
        """Return the addresses of one node.

        :param index: number of the node, from 0.
        """
        high, low = divmod(index, _OCTETS)
        return NodeAddresses(f"127.{self._octet}.{1 + high}.{1 + low}")
