"""What a node's installation speaks: HTTP dialect, store and further sites."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from bamboonotch_core.distribution import DistributionState, make_distribution_state
from bamboonotch_core.documents import DocumentState
from bamboonotch_core.effects import Report
from bamboonotch_core.events import Event
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.dialect import OWN_DIALECT, HttpDialect
from bamboonotch_node.forwarding import EffectHandlers
from bamboonotch_node.runtime._store_driver import StoreDriver
from bamboonotch_store.client import OnCall

__all__ = ["OWN_SURROUNDINGS", "EffectDriver", "Surroundings"]


class EffectDriver(Protocol):
    """Carries out the effects that concern the store, as an asynchronous context manager."""

    async def __aenter__(self) -> Any:
        """Take the resources."""

    async def __aexit__(self, *error: Any) -> None:
        """Release them."""

    def departures_kept(self) -> Deferred[bool]:
        """Return whether departures outlive this process, after a bounded time."""

    @property
    def handlers(self) -> EffectHandlers:
        """What carries out each effect that concerns the store, by its type."""


StoreDriverMaker = Callable[
    [NodeSettings, Any, Random, Callable[[Event], None], Callable[[Report], None], OnCall],
    EffectDriver,
]


def _no_sites(node: Any) -> Sequence[tuple[str, Any]]:
    return ()


@dataclass(frozen=True)
class Surroundings:
    """What the runtime is given by its installation.

    :param dialect: names and rules of the HTTP spoken.
    :param make_store_driver: makes what carries out the effects that concern the store.
    :param make_versions: makes the state of the part that follows versions.
    :param make_sites: makes further servers of a node, as pairs of ``ip:port`` and factory.
    """

    dialect: HttpDialect = OWN_DIALECT
    make_store_driver: StoreDriverMaker = StoreDriver
    make_versions: Callable[[NodeSettings, int], DistributionState | DocumentState] = (
        make_distribution_state
    )
    make_sites: Callable[[Any], Sequence[tuple[str, Any]]] = _no_sites


OWN_SURROUNDINGS = Surroundings()
"""The product's own interfaces."""
