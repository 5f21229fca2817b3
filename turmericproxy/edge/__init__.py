"""Provide an asyncio HTTP/1.1 server for clients and an HTTP/1.1 client for upstreams."""

from turmericproxy.edge.limits import EdgeLimits
from turmericproxy.edge.messages import AnswerHead, ClientRequest, Headers
from turmericproxy.edge.resources import EdgeResources
from turmericproxy.edge.server import EdgeServer
from turmericproxy.edge.upstream import PersistentConnection, UpstreamCall, call_upstream, fetch
from turmericproxy.edge.writer import AnswerWriter

__all__ = [
    "AnswerHead",
    "AnswerWriter",
    "ClientRequest",
    "EdgeLimits",
    "EdgeResources",
    "EdgeServer",
    "Headers",
    "PersistentConnection",
    "UpstreamCall",
    "call_upstream",
    "fetch",
]
