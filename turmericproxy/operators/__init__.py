"""Serve the resource API of the operators."""

from turmericproxy.operators.api import create_operator_server

__all__ = ["create_operator_server"]
