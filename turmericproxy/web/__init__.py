"""Provide an HTTP server for blocking handlers and an HTTP client based on urllib3."""

from turmericproxy.web.client import CallFailure, FailureStage, HasData, HttpClient, SilenceHandler
from turmericproxy.web.server import HttpRequest, HttpResponse, HttpServer, create_json_response

__all__ = [
    "CallFailure",
    "FailureStage",
    "HasData",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "SilenceHandler",
    "create_json_response",
]
