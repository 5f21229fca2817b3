"""Describe the other hosts: where they listen, and what their heartbeats say."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from turmericproxy.core import DomainName, HostName, Incarnation


@dataclass(frozen=True)
class PeerAddress:
    """Say where another host listens for peers."""

    host: HostName
    domain: DomainName
    address: str


@dataclass(frozen=True)
class PeerState:
    """Hold what the last heartbeat of another host said."""

    host: HostName
    domain: DomainName
    incarnation: Incarnation
    digest: Mapping[str, Any]


def create_state(body: Mapping[str, Any]) -> PeerState:
    """Return the state that the body of a heartbeat describes."""
    return PeerState(
        HostName(body["host"]),
        DomainName(body["domain"]),
        Incarnation(body["incarnation"]),
        body["digest"],
    )
