"""TCP links between hosts."""

from turmericproxy.peers.links import PeerLinks
from turmericproxy.peers.states import PeerAddress, PeerState

__all__ = ["PeerAddress", "PeerLinks", "PeerState"]
