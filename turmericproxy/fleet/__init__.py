"""Exchange load, cache and quota state between the hosts of a fleet, on one event loop."""

from turmericproxy.fleet.batches import Batch, PlacedPrompt
from turmericproxy.fleet.links import FleetLinks
from turmericproxy.fleet.messages import Hello
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
