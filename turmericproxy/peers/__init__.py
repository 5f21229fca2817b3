"""Link the hosts with each other over TCP."""

from turmericproxy.peers.links import PeerAddress, PeerLinks, PeerState

__all__ = ["PeerAddress", "PeerLinks", "PeerState"]
