"""Addresses of other hosts and the contents of their heartbeats."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from turmericproxy.core import DomainName, HostName, Incarnation


@dataclass(frozen=True)
class PeerAddress:
    """The address where another host listens for peers, as IP:PORT."""

    host: HostName
    domain: DomainName
    address: str


@dataclass(frozen=True)
class PeerState:
    """Contents of the last heartbeat reply of another host."""

    host: HostName
    domain: DomainName
    incarnation: Incarnation
    digest: Mapping[str, Any]


def create_state(body: Mapping[str, Any]) -> PeerState:
    """Return the state in the body of a heartbeat reply."""
    return PeerState(
        HostName(body["host"]),
        DomainName(body["domain"]),
        Incarnation(body["incarnation"]),
        body["digest"],
    )
