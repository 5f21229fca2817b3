"""Answer callers: the listener, the filter chain and the relays to upstreams."""

from turmericproxy.callers.api import CallerApi

__all__ = ["CallerApi"]
