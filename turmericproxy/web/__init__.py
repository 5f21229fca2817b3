"""Serve HTTP for handlers that block, and call it through urllib3."""

from turmericproxy.web.client import CallFailure, FailureStage, HttpClient
from turmericproxy.web.server import HttpRequest, HttpResponse, HttpServer, create_json_response

__all__ = [
    "CallFailure",
    "FailureStage",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "create_json_response",
]
