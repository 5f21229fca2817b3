"""Keep one HTTP client for each upstream address."""

import threading

from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.web import HttpClient

LARGEST_CLIENT_COUNT = 4096


class UpstreamClients:
    """Create clients on first use and close them together."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._clients: dict[str, HttpClient] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> HttpClient:
        """Return the client for an address."""
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = self._create(address)
            return client

    def _create(self, address: str) -> HttpClient:
        if len(self._clients) >= LARGEST_CLIENT_COUNT:
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
