"""Control streams between nodes."""

from bamboonotch_node.control._links import ControlLinks
from bamboonotch_node.control._server import PeerServer
from bamboonotch_node.control._stream import LocalIdentity

__all__ = ["ControlLinks", "LocalIdentity", "PeerServer"]
