"""Create and cache HTTP clients, one for each upstream address."""

import threading

from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.web import HttpClient

MAX_CLIENTS = 4096


class UpstreamClients:
    """Cache of clients by address; above ``MAX_CLIENTS`` the oldest one is closed."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._clients: dict[str, HttpClient] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> HttpClient:
        """Return the client for an address, created on first use."""
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = self._create(address)
            return client

    def _create(self, address: str) -> HttpClient:
        if len(self._clients) >= MAX_CLIENTS:
            oldest = next(iter(self._clients))
            self._clients.pop(oldest).close()
        client = HttpClient(
            address,
            connect_timeout=self._settings.connect_timeout,
            read_timeout=self._settings.first_byte_timeout,
        )
        self._clients[address] = client
        return client

    def close(self) -> None:
        """Close every client."""
        with self._lock:
            clients, self._clients = list(self._clients.values()), {}
        for client in clients:
            client.close()
