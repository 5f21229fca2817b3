"""Define what the servers of a process share to stay within its limits."""

import resource
from dataclasses import dataclass, field

from turmericproxy.core.memory import MemoryAccount
from turmericproxy.edge.causes import CauseReporter
from turmericproxy.edge.connection_table import ConnectionTable
from turmericproxy.edge.turns import TurnQueue

# Descriptors that are reserved for files, the standard streams and the event loop.
RESERVED_DESCRIPTORS = 200
# Share of the other descriptors for connections of clients. Each request that runs has a
# connection of its own to an upstream, and hosts and the store need some too.
CLIENT_DESCRIPTOR_SHARE = 0.5
MIN_CLIENT_CONNECTIONS = 16
# Share of the other descriptors for the streams of other hosts, and their number in any case: a
# host of a large fleet has some dozens.
LINK_DESCRIPTOR_SHARE = 0.1
MIN_INCOMING_STREAMS = 32
# Bytes that are held for clients if no limit of the process's memory is given.
DEFAULT_HELD_BYTES = 512 * 1024 * 1024
# Seconds after which an answer of which nothing is read ends its connection. No request's deadline
# exceeds 16 s.
UNREAD_ANSWER_SECONDS = 60.0


def compute_client_connections(max_descriptors: float) -> float:
    """Return how many connections of clients a process with a limit of descriptors may have."""
    rest = max_descriptors - RESERVED_DESCRIPTORS
    return max(MIN_CLIENT_CONNECTIONS, CLIENT_DESCRIPTOR_SHARE * rest)


def compute_incoming_streams(max_descriptors: float) -> float:
    """Return how many streams of other hosts a process with a limit of descriptors may have."""
    rest = max_descriptors - RESERVED_DESCRIPTORS
    return max(MIN_INCOMING_STREAMS, LINK_DESCRIPTOR_SHARE * rest)


def read_descriptor_limit() -> float:
    """Return the process's limit of descriptors."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if limit == resource.RLIM_INFINITY else float(limit)


def _create_table() -> ConnectionTable:
    limit = compute_client_connections(read_descriptor_limit())
    return ConnectionTable(limit, CauseReporter())


@dataclass(frozen=True)
class EdgeResources:
    """Hold the account of memory, the open connections and the counters of the servers."""

    memory: MemoryAccount = field(default_factory=lambda: MemoryAccount(DEFAULT_HELD_BYTES))
    connections: ConnectionTable = field(default_factory=_create_table)
    reporter: CauseReporter = field(default_factory=CauseReporter)
    unread_seconds: float = UNREAD_ANSWER_SECONDS
    turns: TurnQueue = field(default_factory=TurnQueue)
