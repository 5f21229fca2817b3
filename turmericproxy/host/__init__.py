"""Assemble one host from its parts."""

from turmericproxy.host.daemon import HostDaemon

__all__ = ["HostDaemon"]
