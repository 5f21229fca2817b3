"""Link the hosts with each other over TCP."""

from turmericproxy.peers.links import PeerLinks
from turmericproxy.peers.states import PeerAddress, PeerState

__all__ = ["PeerAddress", "PeerLinks", "PeerState"]
