"""Serve and call HTTP through cheroot and urllib3."""

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
