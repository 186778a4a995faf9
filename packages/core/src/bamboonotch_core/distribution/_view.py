"""The view of the membership that distribution works with."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

__all__ = ["MembershipView", "Neighbour"]


@dataclass(frozen=True)
class Neighbour:
    """One open link (a control stream) and the peer, which is the node at its other end.

    :param node_id: the peer.
    :param incarnation: the peer's incarnation, as the peer stated it on this link.
    :param region: the peer's region.
    :param data_centre: the peer's data centre.
    :param is_lasting: whether the overlay keeps the link. Any other link closes soon, and its peer
        must not become a witness, because each such closing would change the witness set.
    """

    link_id: str
    node_id: str
    incarnation: int
    region: str
    data_centre: str
    is_lasting: bool = True


@dataclass(frozen=True)
class MembershipView:
    """The membership after the event that is being reduced.

    :param neighbours: all open links, oldest first; of two links to one node the last is used.
    :param live_node_ids: members that are neither dead nor stopped; suspects are included.
    :param is_store_reader: whether this node keeps a watch on the store.
    :param reader_share: place of this node among the nodes of its region that keep such a watch, as
        a share of their number; 0 for other nodes.
    :param misses_store_reader: whether this node should have a link to a node with such a watch,
        but has none.
    :param is_lowest_slot: whether this node holds the lowest relay slot of the store's region.
    :param peer_addresses: ``ip:port`` of live members by node id, for opening a link to a witness
        that is no longer a neighbour; may be empty.
    :param far_gateways: node ids of the other regions' gateways if this node is the gateway of the
        store's region, otherwise empty. No other node brings these gateways a new version.
    :param own_incarnation: this node's incarnation in its member record, or 0 while unknown.
        Membership raises it when it finds a higher one, and witnesses refuse records with a lower
        one.
    """

    neighbours: tuple[Neighbour, ...] = ()
    live_node_ids: frozenset[str] = frozenset()
    is_store_reader: bool = False
    reader_share: float = 0.0
    misses_store_reader: bool = False
    is_lowest_slot: bool = False
    peer_addresses: Mapping[str, str] = Map()
    far_gateways: frozenset[str] = frozenset()
    own_incarnation: int = 0
