"""Serve callers: the HTTP listener, the request filters and the relays to upstreams."""

from turmericproxy.callers.api import CallerApi

__all__ = ["CallerApi"]
