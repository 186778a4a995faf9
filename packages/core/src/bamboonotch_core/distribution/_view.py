"""What the distribution part needs to know of the membership."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

__all__ = ["MembershipView", "Neighbour"]


@dataclass(frozen=True)
class Neighbour:
    """One open control stream and the node at its other end.

    :param link_id: the stream.
    :param node_id: the peer.
    :param incarnation: the peer's incarnation, as it named itself on this stream.
    :param region: the peer's region.
    :param data_centre: the peer's data centre.
    :param is_lasting: whether the overlay wants the stream; any other one ends soon, and its peer
        must not become a witness, or each end of such a stream would change the witness set.
    """

    link_id: str
    node_id: str
    incarnation: int
    region: str
    data_centre: str
    is_lasting: bool = True


@dataclass(frozen=True)
class MembershipView:
    """Membership after the event that is being reduced.

    :param neighbours: every open stream, oldest first; of two streams to one node the last is used.
    :param live_node_ids: members that are neither dead nor stopped for good, suspects included.
    :param is_store_reader: whether this node keeps a watch on the store.
    :param is_lowest_slot: whether this node holds the lowest relay slot of the store's region.
    :param peer_addresses: ``ip:port`` of live members by node id, to reach a witness that is no
        longer a neighbour; may be empty.
    :param far_gateways: gateways of the other regions, if this node is the gateway of the store's
        region; only it can offer them a version that they cannot have from anyone else.
    :param own_incarnation: this node's incarnation in its member record; membership raises it when
        it finds a higher one, and witnesses refuse records of lower ones. 0 when it is not known.
    """

    neighbours: tuple[Neighbour, ...] = ()
    live_node_ids: frozenset[str] = frozenset()
    is_store_reader: bool = False
    is_lowest_slot: bool = False
    peer_addresses: Mapping[str, str] = Map()
    far_gateways: frozenset[str] = frozenset()
    own_incarnation: int = 0
