"""Tell the other hosts of this host's work, and learn of theirs, on one event loop."""

from turmericproxy.fleet.links import FleetLinks
from turmericproxy.fleet.messages import Batch, Hello, PlacedPrompt
from turmericproxy.fleet.peers import PeerTable
from turmericproxy.fleet.quotas import QuotaController, QuotaTolerance

__all__ = [
    "Batch",
    "FleetLinks",
    "Hello",
    "PeerTable",
    "PlacedPrompt",
    "QuotaController",
    "QuotaTolerance",
]
