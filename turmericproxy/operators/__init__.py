"""Serve the HTTP API for operators: resources, keys, status and metrics."""

from turmericproxy.operators.api import create_operator_server

__all__ = ["create_operator_server"]
